// Order of the hosts, pauses of failed sources, and the search for a source.

#include "spindlecore/FactSourceSelector.h"

#include <algorithm>
#include <utility>

namespace jacinthspindle {

FactSourceSelector::FactSourceSelector(HostId self, DataCentreId dataCentre, Duration searchTime)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_searchTime(std::max(searchTime, minSearchTime))
{
}

void FactSourceSelector::setHosts(std::vector<PeerHost> hosts)
{
    std::sort(hosts.begin(), hosts.end(), [this](const PeerHost& a, const PeerHost& b) {
        bool isLocalA = a.dataCentre == m_dataCentre;
        bool isLocalB = b.dataCentre == m_dataCentre;
        if (isLocalA != isLocalB)
            return isLocalA;
        return a.linkMbps != b.linkMbps ? a.linkMbps > b.linkMbps : a.host < b.host;
    });
    m_hosts = std::move(hosts);
}

std::optional<size_t> FactSourceSelector::rankInDataCentre() const
{
    auto own = std::find_if(m_hosts.begin(), m_hosts.end(), [this](const PeerHost& it) { return it.host == m_self; });
    if (own == m_hosts.end() || own->dataCentre != m_dataCentre)
        return std::nullopt;
    return static_cast<size_t>(own - m_hosts.begin());
}

Duration FactSourceSelector::retryPause() const
{
    auto rank = std::max<size_t>(1, rankInDataCentre().value_or(0));
    return std::min<Duration>(minRetryPause * rank, maxRetryPause);
}

size_t FactSourceSelector::localHosts() const
{
    return static_cast<size_t>(std::count_if(
        m_hosts.begin(), m_hosts.end(), [this](const PeerHost& it) { return it.dataCentre == m_dataCentre; }));
}

bool FactSourceSelector::isPaused(Instant now, const HostId& host) const
{
    auto it = m_pauses.find(host);
    return it != m_pauses.end() && now < it->second.until;
}

const PeerHost* FactSourceSelector::find(const HostId& host) const
{
    auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const PeerHost& peer) { return peer.host == host; });
    return it == m_hosts.end() ? nullptr : &*it;
}

// Hosts of other data centres are used only while the platform fails for this daemon.
bool FactSourceSelector::isCandidate(Instant now, const PeerHost& peer) const
{
    return peer.host != m_self && !isPaused(now, peer.host)
        && (peer.dataCentre == m_dataCentre || isPlatformUnavailable(now));
}

const PeerHost* FactSourceSelector::currentSource(Instant now) const
{
    bool isPlatformUnavailableNow = isPlatformUnavailable(now);
    if (now < m_readDirectlyUntil && !isPlatformUnavailableNow)
        return nullptr;
    // The known reader precedes the hosts in order, so that daemons share one reader. The first host of the order
    // ignores it and reads the platform itself while it can.
    bool isFirst = !m_hosts.empty() && m_hosts.front().host == m_self;
    const auto* reader
        = m_knownReader.isEmpty() || (isFirst && !isPlatformUnavailableNow) ? nullptr : find(m_knownReader);
    if (reader && isCandidate(now, *reader))
        return reader;
    for (const auto& it : m_hosts) {
        if (it.host == m_self) {
            if (!isPlatformUnavailableNow)
                return nullptr;
            continue;
        }
        if (it.dataCentre != m_dataCentre && !isPlatformUnavailableNow)
            return nullptr;
        if (isCandidate(now, it))
            return &it;
    }
    return nullptr;
}

bool FactSourceSelector::isPlatformUnavailable(Instant now) const
{
    return std::any_of(
        m_platformUnavailableUntil.begin(), m_platformUnavailableUntil.end(), [now](Instant it) { return now < it; });
}

void FactSourceSelector::pause(Instant now, const HostId& source)
{
    auto& pause = m_pauses[source];
    pause.length = std::clamp(pause.length * 2, minPause, maxPause);
    pause.until = now + pause.length;
}

void FactSourceSelector::updateSearch(Instant now)
{
    if (!m_searchingSince)
        m_searchingSince = now;
    if (now - *m_searchingSince < m_searchTime)
        return;
    m_readDirectlyUntil = now + directReadTime;
    m_searchingSince.reset();
}

std::optional<Duration> FactSourceSelector::searchTimeLeft(Instant now) const
{
    if (!m_searchingSince)
        return std::nullopt;
    return std::max(Duration::zero(), *m_searchingSince + m_searchTime - now);
}

void FactSourceSelector::recordFailure(Instant now, const HostId& source)
{
    pause(now, source);
    m_failedAt = now;
    if (m_knownReader == source)
        m_knownReader = {};
    updateSearch(now);
}

void FactSourceSelector::recordDecline(Instant now, const HostId& source, const HostId& reader)
{
    bool mayBecomeReader = m_failedAt && now - *m_failedAt < detectionSpread;
    m_pauses[source].until = now + (mayBecomeReader ? shortDeclinePause : minPause);
    m_knownReader = reader == source ? HostId() : reader;
    updateSearch(now);
}

void FactSourceSelector::recordResponse(const HostId& source)
{
    m_pauses.erase(source);
    m_searchingSince.reset();
    m_failedAt.reset();
}

void FactSourceSelector::recordPlatformRead(Instant now, FactKind kind, bool didAnswer)
{
    m_platformUnavailableUntil[static_cast<size_t>(kind)] = didAnswer ? Instant() : now + platformRetryPause;
}

} // namespace jacinthspindle
