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

const PeerHost* FactSourceSelector::keptSource(Instant now) const
{
    // The first host of the order reads the platform itself while it can.
    bool isFirst = !m_hosts.empty() && m_hosts.front().host == m_self;
    if (isFirst && !isPlatformUnavailable(now))
        return nullptr;
    // The known reader precedes the hosts in order, so that daemons share one reader.
    for (const auto* host : { &m_knownReader, &m_keptSource }) {
        const auto* peer = host->isEmpty() ? nullptr : find(*host);
        if (peer && isCandidate(now, *peer))
            return peer;
    }
    return nullptr;
}

const PeerHost* FactSourceSelector::currentSource(Instant now) const
{
    bool isPlatformUnavailableNow = isPlatformUnavailable(now);
    if (now < m_readDirectlyUntil && !isPlatformUnavailableNow)
        return nullptr;
    if (const auto* kept = keptSource(now))
        return kept;
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

bool FactSourceSelector::isInCharge(Instant now) const
{
    const auto* kept = keptSource(now);
    if (kept && kept->dataCentre == m_dataCentre)
        return false;
    auto first = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const PeerHost& it) {
        return it.host == m_self || (it.dataCentre == m_dataCentre && !isPaused(now, it.host));
    });
    return first == m_hosts.end() || first->host == m_self;
}

HostId FactSourceSelector::successor(Instant now) const
{
    auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const PeerHost& peer) {
        return peer.host != m_self && peer.dataCentre == m_dataCentre && !isPaused(now, peer.host);
    });
    return it == m_hosts.end() ? HostId() : it->host;
}

Duration FactSourceSelector::delayOfTest() const
{
    return testDelay * rankInDataCentre().value_or(m_hosts.size());
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
    readDirectly(now);
    m_searchingSince.reset();
}

void FactSourceSelector::readDirectly(Instant now)
{
    m_readDirectlyUntil = now + directReadTime;
    m_hasAnswered = {};
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
    m_waitingSince.reset();
    if (m_knownReader == source)
        m_knownReader = {};
    if (m_keptSource == source)
        m_keptSource = {};
    updateSearch(now);
}

void FactSourceSelector::recordDecline(Instant now, const HostId& source, const HostId& reader)
{
    bool mayBecomeReader = m_failedAt && now - *m_failedAt < detectionSpread;
    m_pauses[source].until = now + (mayBecomeReader ? shortDeclinePause : minPause);
    // Daemons that follow a source learn at about the same time that it is no longer a reader.
    if (m_keptSource == source) {
        m_failedAt = now;
        m_keptSource = {};
    }
    // A host that uses this daemon as its source knows of no reader.
    bool namesNone = reader == source || reader == m_self;
    if (!namesNone)
        m_knownReader = reader;
    else if (m_knownReader == source)
        m_knownReader = {};
    m_waitingSince.reset();
    updateSearch(now);
}

void FactSourceSelector::recordWaiting(Instant now, const HostId& source)
{
    m_keptSource = source;
    m_knownReader = {};
    if (!m_waitingSince)
        m_waitingSince = now;
    if (!m_searchingSince)
        m_searchingSince = now;
    // The platform may serve this daemon alone, so that it cannot wait for others longer than a search takes.
    bool isDue = now >= *m_waitingSince + delayOfTest() || now >= *m_searchingSince + m_searchTime;
    if (!isDue || now < m_testAgainAt)
        return;
    readDirectly(now);
    m_testAgainAt = now + testInterval;
}

void FactSourceSelector::recordReader(const HostId& reader)
{
    m_knownReader = reader;
    // It may have declined a short while ago.
    m_pauses.erase(reader);
}

void FactSourceSelector::recordResponse(const HostId& source)
{
    m_pauses.erase(source);
    m_keptSource = source;
    m_waitingSince.reset();
    m_searchingSince.reset();
    m_failedAt.reset();
}

void FactSourceSelector::recordPlatformRead(Instant now, FactKind kind, bool didAnswer)
{
    m_platformUnavailableUntil[static_cast<size_t>(kind)] = didAnswer ? Instant() : now + platformRetryPause;
    m_hasAnswered[static_cast<size_t>(kind)] = didAnswer;
    if (didAnswer)
        m_searchingSince.reset();
    // Once both kinds are read, this daemon goes on reading while it looks for another reader.
    if (!didAnswer || (m_hasAnswered[0] && m_hasAnswered[1]))
        m_readDirectlyUntil = {};
}

} // namespace jacinthspindle
