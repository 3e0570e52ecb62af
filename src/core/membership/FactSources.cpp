// Order of the hosts and pauses of those that failed.

#include "spindlecore/FactSources.h"

#include <algorithm>
#include <utility>

namespace jacinthspindle {

FactSources::FactSources(HostId self, DataCentreId dataCentre, Duration searchTime)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_searchTime(std::max(searchTime, shortestSearch))
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

std::optional<size_t> FactSources::hostsBefore() const
{
    auto own = std::find_if(m_hosts.begin(), m_hosts.end(), [this](const PeerHost& it) { return it.host == m_self; });
    if (own == m_hosts.end() || own->dataCentre != m_dataCentre)
        return std::nullopt;
    return static_cast<size_t>(own - m_hosts.begin());
}

Duration FactSources::retryPause() const
{
    auto before = std::max<size_t>(1, hostsBefore().value_or(0));
    return std::min<Duration>(shortestRetry * before, longestRetry);
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

const PeerHost* FactSources::find(const HostId& host) const
{
    auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const PeerHost& peer) { return peer.host == host; });
    return it == m_hosts.end() ? nullptr : &*it;
}

// Hosts of other data centres are asked only when the platform does not answer.
bool FactSources::mayAsk(Instant now, const PeerHost& peer) const
{
    return peer.host != m_self && !isPaused(now, peer.host) && (peer.dataCentre == m_dataCentre || isTurnedAway(now));
}

const PeerHost* FactSources::current(Instant now) const
{
    bool mayNotRead = isTurnedAway(now);
    if (now < m_readsUntil && !mayNotRead)
        return nullptr;
    // The host that others ask is preferred to those in the order: daemons with one source cost one reader.
    bool isFirst = !m_hosts.empty() && m_hosts.front().host == m_self;
    const auto* reader = m_reader.isEmpty() || (isFirst && !mayNotRead) ? nullptr : find(m_reader);
    if (reader && mayAsk(now, *reader))
        return reader;
    for (const auto& it : m_hosts) {
        if (it.host == m_self) {
            if (!mayNotRead)
                return nullptr;
            continue;
        }
        if (it.dataCentre != m_dataCentre && !mayNotRead)
            return nullptr;
        if (mayAsk(now, it))
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

void FactSources::search(Instant now)
{
    if (!m_searchingSince)
        m_searchingSince = now;
    if (now - *m_searchingSince < m_searchTime)
        return;
    m_readsUntil = now + ownReadingTime;
    m_searchingSince.reset();
}

std::optional<Duration> FactSources::searchTimeLeft(Instant now) const
{
    if (!m_searchingSince)
        return std::nullopt;
    return std::max(Duration::zero(), *m_searchingSince + m_searchTime - now);
}

void FactSources::failed(Instant now, const HostId& source)
{
    pause(now, source);
    m_failedAt = now;
    if (m_reader == source)
        m_reader = {};
    search(now);
}

void FactSources::declined(Instant now, const HostId& source, const HostId& reader)
{
    bool mayReadSoon = m_failedAt && now - *m_failedAt < noticeTime;
    m_pauses[source].until = now + (mayReadSoon ? declinedPause : shortestPause);
    m_reader = reader == source ? HostId() : reader;
    search(now);
}

void FactSources::answered(const HostId& source)
{
    m_pauses.erase(source);
    m_searchingSince.reset();
    m_failedAt.reset();
}

void FactSources::ownRead(Instant now, FactKind kind, bool didAnswer)
{
    m_turnedAwayUntil[static_cast<size_t>(kind)] = didAnswer ? Instant() : now + ownPause;
}

} // namespace jacinthspindle
