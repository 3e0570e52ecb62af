// Running totals of the load that daemons tell.

#include "spindlecore/LoadLedger.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    // Bounds the cost of looking for old entries.
    constexpr Duration expiryInterval = std::chrono::milliseconds(200);

} // namespace

void LoadLedger::remove(const std::vector<EndpointLoad>& load)
{
    for (const auto& it : load) {
        auto total = m_total.find(it.endpoint);
        total->second -= it.running;
        if (!total->second)
            m_total.erase(total);
    }
}

void LoadLedger::expire(Instant now)
{
    if (now - m_expiredAt < expiryInterval)
        return;
    m_expiredAt = now;
    std::erase_if(m_entries, [&](const auto& it) {
        bool isOld = now - it.second.toldAt > validity;
        if (isOld)
            remove(it.second.load);
        return isOld;
    });
}

void LoadLedger::tell(Instant now, const std::string& daemon, const std::vector<EndpointLoad>& load)
{
    auto& entry = m_entries[daemon];
    remove(entry.load);
    entry.toldAt = now;
    entry.load = load;
    std::erase_if(entry.load, [](const EndpointLoad& it) { return !it.running; });
    for (const auto& it : entry.load)
        m_total[it.endpoint] += it.running;
}

std::vector<EndpointLoad> LoadLedger::sum(Instant now)
{
    expire(now);
    std::vector<EndpointLoad> all;
    all.reserve(m_total.size());
    for (const auto& [endpoint, running] : m_total)
        all.push_back({ endpoint, running });
    std::sort(
        all.begin(), all.end(), [](const EndpointLoad& a, const EndpointLoad& b) { return a.endpoint < b.endpoint; });
    return all;
}

size_t LoadLedger::daemons(Instant now)
{
    expire(now);
    return m_entries.size();
}

} // namespace jacinthspindle
