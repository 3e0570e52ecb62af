// Order of the hosts and pauses of those that failed.

#include "spindlecore/FactSources.h"

#include <algorithm>
#include <utility>

namespace jacinthspindle {

FactSources::FactSources(HostId self, DataCentreId dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void FactSources::adopt(std::vector<PeerHost> hosts)
{
    std::sort(hosts.begin(), hosts.end(), [this](const PeerHost& a, const PeerHost& b) {
        bool isOwnA = a.dataCentre == m_dataCentre;
        bool isOwnB = b.dataCentre == m_dataCentre;
        if (isOwnA != isOwnB)
            return isOwnA;
        return a.linkMbps != b.linkMbps ? a.linkMbps > b.linkMbps : a.host < b.host;
    });
    m_hosts = std::move(hosts);
}

bool FactSources::isPaused(Instant now, const HostId& host) const
{
    auto it = m_pauses.find(host);
    return it != m_pauses.end() && now < it->second.until;
}

const PeerHost* FactSources::current(Instant now) const
{
    bool isTurnedAway = now < m_turnedAwayUntil;
    if (now < m_readsUntil && !isTurnedAway)
        return nullptr;
    for (const auto& it : m_hosts) {
        if (it.host == m_self) {
            if (!isTurnedAway)
                return nullptr;
            continue;
        }
        // Hosts of other data centres are asked only when the platform does not answer.
        if (it.dataCentre != m_dataCentre && !isTurnedAway)
            return nullptr;
        if (!isPaused(now, it.host))
            return &it;
    }
    return nullptr;
}

void FactSources::failed(Instant now, const HostId& source)
{
    auto& pause = m_pauses[source];
    pause.length = std::clamp(pause.length * 2, shortestPause, longestPause);
    pause.until = now + pause.length;
    m_readsUntil = now + ownReadingTime;
}

void FactSources::ownRead(Instant now, bool didAnswer)
{
    m_turnedAwayUntil = didAnswer ? Instant() : now + ownPause;
}

} // namespace jacinthspindle
