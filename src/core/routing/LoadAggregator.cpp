// Running totals of the load that daemons report.

#include "spindlecore/LoadAggregator.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    // Minimum time between two searches for expired reports, which visit all of them.
    constexpr Duration expiryInterval = std::chrono::milliseconds(200);

} // namespace

void LoadAggregator::subtract(const std::vector<EndpointLoad>& load)
{
    for (const auto& it : load) {
        auto total = m_totals.find(it.endpoint);
        total->second -= it.running;
        if (!total->second)
            m_totals.erase(total);
    }
}

void LoadAggregator::removeExpired(Instant now)
{
    if (now - m_lastExpiry < expiryInterval)
        return;
    m_lastExpiry = now;
    std::erase_if(m_reports, [&](const auto& it) {
        bool isOld = now - it.second.reportedAt > validity;
        if (isOld)
            subtract(it.second.load);
        return isOld;
    });
}

void LoadAggregator::updateReport(Instant now, const std::string& daemon, const std::vector<EndpointLoad>& load)
{
    auto& report = m_reports[daemon];
    subtract(report.load);
    report.reportedAt = now;
    report.load = load;
    std::erase_if(report.load, [](const EndpointLoad& it) { return !it.running; });
    for (const auto& it : report.load)
        m_totals[it.endpoint] += it.running;
}

std::vector<EndpointLoad> LoadAggregator::sum(Instant now)
{
    removeExpired(now);
    std::vector<EndpointLoad> all;
    all.reserve(m_totals.size());
    for (const auto& [endpoint, running] : m_totals)
        all.push_back({ endpoint, running });
    std::sort(
        all.begin(), all.end(), [](const EndpointLoad& a, const EndpointLoad& b) { return a.endpoint < b.endpoint; });
    return all;
}

size_t LoadAggregator::reportingDaemons(Instant now)
{
    removeExpired(now);
    return m_reports.size();
}

} // namespace jacinthspindle
