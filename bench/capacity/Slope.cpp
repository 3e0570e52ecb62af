// Fit and output of slopes.

#include "capacity/Slope.h"

#include <cmath>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace jacinthspindle::bench {

namespace {

    std::vector<Slope>& reported()
    {
        static std::vector<Slope> slopes;
        return slopes;
    }

    double targetOf(const Slope& slope)
    {
        return slope.target > 0 ? slope.target : slope.sizes.back();
    }

} // namespace

Fit fitLine(const Slope& slope)
{
    auto n = static_cast<double>(slope.sizes.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (size_t i = 0; i < slope.sizes.size(); ++i) {
        sumX += slope.sizes[i];
        sumY += slope.values[i];
        sumXX += slope.sizes[i] * slope.sizes[i];
        sumXY += slope.sizes[i] * slope.values[i];
    }
    Fit fit;
    fit.perUnit = (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
    fit.intercept = (sumY - fit.perUnit * sumX) / n;
    double squares = 0;
    for (size_t i = 0; i < slope.sizes.size(); ++i) {
        double deviation = slope.values[i] - fit.intercept - fit.perUnit * slope.sizes[i];
        squares += deviation * deviation;
    }
    fit.residual = sumY > 0 ? std::sqrt(squares / n) / (sumY / n) : 0;
    return fit;
}

void report(const Slope& slope)
{
    auto fit = fitLine(slope);
    nlohmann::json line { { "slope", slope.name }, { "size_unit", slope.sizeUnit }, { "value_unit", slope.valueUnit },
        { "sizes", slope.sizes }, { "values", slope.values }, { "intercept", fit.intercept },
        { "per_unit", fit.perUnit }, { "residual", fit.residual }, { "target_size", targetOf(slope) },
        { "at_target", fit.intercept + fit.perUnit * targetOf(slope) } };
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
    reported().push_back(slope);
}

void printTable()
{
    std::printf("\n%-42s %-12s %9s %12s %12s %12s %9s  %s\n", "slope", "size", "greatest", "value there", "intercept",
        "per unit", "residual", "unit");
    for (const auto& it : reported()) {
        auto fit = fitLine(it);
        std::printf("%-42s %-12s %9.0f %12.4g %12.4g %12.4g %8.1f%%  %s\n", it.name.c_str(), it.sizeUnit.c_str(),
            it.sizes.back(), it.values.back(), fit.intercept, fit.perUnit, fit.residual * 100, it.valueUnit.c_str());
    }
}

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double heapBytes()
{
    auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace jacinthspindle::bench
