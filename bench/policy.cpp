// Compares the decision core with baselines under seeded arrival lists and a manual clock.
// Prints one table per case, or one JSON line per case with --json.

#include "policy/Policies.h"
#include "policy/Run.h"
#include "policy/Statistics.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

using namespace jacinthspindle;

namespace {

struct Column {
    const char* name;
    double bench::Result::*member;
};

constexpr Column columns[] = {
    { "goodput", &bench::Result::goodputRatio },
    { "on_time", &bench::Result::onTimeShare },
    { "on_time/s", &bench::Result::onTimePerSecond },
    { "adm_ok", &bench::Result::admittedOnTime },
    { "first50", &bench::Result::firstP50 },
    { "first95", &bench::Result::firstP95 },
    { "first99", &bench::Result::firstP99 },
    { "btw50", &bench::Result::betweenP50 },
    { "btw95", &bench::Result::betweenP95 },
    { "btw99", &bench::Result::betweenP99 },
    { "short99", &bench::Result::shortP99 },
    { "sfirst99", &bench::Result::shortFirstP99 },
    { "long_ok", &bench::Result::longOnTime },
    { "refused", &bench::Result::refusedShare },
    { "wasted", &bench::Result::wastedTokens },
    { "fairness", &bench::Result::fairness },
    { "recovery", &bench::Result::recoverySeconds },
    { "att/adm", &bench::Result::attemptsPerAdmitted },
    { "drained", &bench::Result::dispatchesAfterDrain },
    { "busiest", &bench::Result::busiestShare },
};

struct Summary {
    double median = 0;
    double low = 0;
    double high = 0;
};

Summary summaryOf(const std::vector<bench::Result>& results, double bench::Result::*member)
{
    std::vector<double> values;
    values.reserve(results.size());
    for (const auto& it : results)
        values.push_back(it.*member);
    return { bench::quantile(values, 0.5), bench::quantile(values, 0), bench::quantile(values, 1) };
}

void printHead()
{
    std::printf("%-18s", "policy");
    for (const auto& it : columns)
        std::printf(" %9s", it.name);
    std::printf("\n");
}

void runOne(
    const bench::Case& item, bench::User user, const std::vector<std::string>& policies, uint32_t seeds, bool asJson)
{
    if (!asJson) {
        std::printf("\n%s, %s; target: %s\n", item.name.c_str(), bench::userName(user), item.target.c_str());
        printHead();
    }
    nlohmann::json line { { "case", item.name }, { "user", bench::userName(user) }, { "target", item.target },
        { "seeds", seeds } };
    for (const auto& policy : policies) {
        std::vector<bench::Result> results;
        for (uint32_t seed = 1; seed <= seeds; ++seed)
            results.push_back(bench::runCase(item, user, policy, seed));
        if (!asJson)
            std::printf("%-18s", policy.c_str());
        for (const auto& it : columns) {
            auto summary = summaryOf(results, it.member);
            line["policies"][policy][it.name]
                = { { "median", summary.median }, { "min", summary.low }, { "max", summary.high } };
            if (!asJson)
                std::printf(" %9.3f", summary.median);
        }
        if (!asJson) {
            auto spread = summaryOf(results, &bench::Result::goodputRatio);
            std::printf("  goodput %.3f-%.3f\n", spread.low, spread.high);
        }
    }
    if (asJson)
        std::cout << line.dump() << std::endl;
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Compares routing policies under a manual clock", ' ', "1");
    TCLAP::ValueArg<std::string> caseArg(
        "c", "case", "Run only the cases whose name starts with this", false, "", "name");
    TCLAP::ValueArg<std::string> userArg("u", "user", "Run only this user", false, "", "name");
    TCLAP::ValueArg<std::string> policyArg("p", "policy", "Run only this policy", false, "", "name");
    TCLAP::ValueArg<uint32_t> seedsArg("s", "seeds", "Number of seeds per case", false, 5, "count");
    TCLAP::SwitchArg jsonArg("j", "json", "Print JSON lines");
    for (TCLAP::Arg* it :
        { static_cast<TCLAP::Arg*>(&caseArg), static_cast<TCLAP::Arg*>(&userArg), static_cast<TCLAP::Arg*>(&policyArg),
            static_cast<TCLAP::Arg*>(&seedsArg), static_cast<TCLAP::Arg*>(&jsonArg) })
        command.add(*it);
    command.parse(argc, argv);
    auto policies = policyArg.getValue().empty() ? bench::policyNames() : std::vector { policyArg.getValue() };
    for (const auto& item : bench::policyCases()) {
        if (item.name.rfind(caseArg.getValue(), 0) != 0)
            continue;
        for (auto user : { bench::User::Authority, bench::User::TinigKamay }) {
            if (userArg.getValue().empty() || userArg.getValue() == bench::userName(user))
                runOne(item, user, policies, seedsArg.getValue(), jsonArg.getValue());
        }
    }
    return 0;
}
