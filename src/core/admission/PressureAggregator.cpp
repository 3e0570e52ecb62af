// Sums of the pressure that daemons report.

#include "spindlecore/PressureAggregator.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    // The sums are asked for once for each answer to another daemon; they change less often than that.
    constexpr Duration sumInterval = std::chrono::milliseconds(100);
    // A figure counts up to this many times the median of the daemons, or up to the bound below if that is more.
    constexpr double maxMedianRatio = 8;
    // Two of the longest prompts; most daemons of a large fleet have no request that waits at any one moment.
    constexpr double alwaysCounted = 4096;

    using Figures = std::vector<double>;

    double clippedSum(Figures& figures)
    {
        auto middle = figures.begin() + static_cast<std::ptrdiff_t>(figures.size() / 2);
        std::nth_element(figures.begin(), middle, figures.end());
        double most = std::max(alwaysCounted, maxMedianRatio * *middle);
        double sum = 0;
        for (double it : figures)
            sum += std::clamp(it, 0.0, most);
        return sum;
    }

    struct LoadFigures {
        Figures unread;
        Figures demand;
        Figures begun;
    };

} // namespace

void PressureAggregator::updateReport(Instant now, const std::string& daemon, std::vector<ModelPressure> models)
{
    m_reports[daemon] = { now, std::move(models) };
}

std::vector<ModelPressure> PressureAggregator::sum(Instant now)
{
    if (m_summedAt != Instant() && now - m_summedAt < sumInterval)
        return m_sum;
    m_summedAt = now;
    std::erase_if(m_reports, [&](const auto& it) { return now - it.second.reportedAt > validity; });
    std::map<std::pair<RouteId, uint8_t>, LoadFigures> all;
    for (const auto& [daemon, report] : m_reports) {
        for (const auto& model : report.models) {
            for (const auto& it : model.loads) {
                auto& figures = all[{ model.model, it.priority }];
                figures.unread.push_back(it.unreadTokens);
                figures.demand.push_back(it.demand);
                figures.begun.push_back(it.begun);
            }
        }
    }
    m_sum.clear();
    for (auto& [key, figures] : all) {
        if (m_sum.empty() || m_sum.back().model != key.first)
            m_sum.push_back({ key.first, {} });
        m_sum.back().loads.push_back(
            { key.second, clippedSum(figures.unread), clippedSum(figures.demand), clippedSum(figures.begun) });
    }
    return m_sum;
}

} // namespace jacinthspindle
