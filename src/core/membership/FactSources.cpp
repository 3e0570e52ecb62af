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

size_t FactSources::localHosts() const
{
    return static_cast<size_t>(std::count_if(
        m_hosts.begin(), m_hosts.end(), [this](const PeerHost& it) { return it.dataCentre == m_dataCentre; }));
}

bool FactSources::isPaused(Instant now, const HostId& host) const
{
    auto it = m_pauses.find(host);
    return it != m_pauses.end() && now < it->second.until;
}

const PeerHost* FactSources::current(Instant now) const
{
    bool mayNotRead = isTurnedAway(now);
    if (now < m_readsUntil && !mayNotRead)
        return nullptr;
    for (const auto& it : m_hosts) {
        if (it.host == m_self) {
            if (!mayNotRead)
                return nullptr;
            continue;
        }
        // Hosts of other data centres are asked only when the platform does not answer.
        if (it.dataCentre != m_dataCentre && !mayNotRead)
            return nullptr;
        if (!isPaused(now, it.host))
            return &it;
    }
    return nullptr;
}

bool FactSources::isTurnedAway(Instant now) const
{
    return std::any_of(m_turnedAwayUntil.begin(), m_turnedAwayUntil.end(), [now](Instant it) { return now < it; });
}

void FactSources::pause(Instant now, const HostId& source)
{
    auto& pause = m_pauses[source];
    pause.length = std::clamp(pause.length * 2, shortestPause, longestPause);
    pause.until = now + pause.length;
}

void FactSources::failed(Instant now, const HostId& source)
{
    pause(now, source);
    m_readsUntil = now + ownReadingTime;
}

void FactSources::declined(Instant now, const HostId& source)
{
    pause(now, source);
    if (!m_declinedSince)
        m_declinedSince = now;
    if (now - *m_declinedSince < longestSearch)
        return;
    m_readsUntil = now + ownReadingTime;
    m_declinedSince.reset();
}

void FactSources::answered(const HostId& source)
{
    m_pauses.erase(source);
    m_declinedSince.reset();
}

void FactSources::ownRead(Instant now, FactKind kind, bool didAnswer)
{
    m_turnedAwayUntil[static_cast<size_t>(kind)] = didAnswer ? Instant() : now + ownPause;
}

} // namespace jacinthspindle
