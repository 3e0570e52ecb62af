// Decides from whom a daemon learns what the platform says: from the first host of its data centre, or from the
// platform itself. Few daemons then read the platform, whatever their number.

#pragma once

#include "spindlecore/Types.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle {

// Another daemon, as the platform's list of hosts names it.
struct PeerHost {
    HostId host;
    DataCentreId dataCentre;
    std::string address; // Where it answers other daemons; "IP:port".
    uint32_t linkMbps = 0; // Of its host. A daemon with a fast link answers the others.
    bool operator==(const PeerHost&) const = default;
};

// What the platform is read for.
enum class FactKind : uint8_t { Configuration, Endpoints };

// Deterministic and without I/O. Not thread-safe. A wrong choice costs calls and never correctness, since all facts
// carry their age.
class FactSources {
public:
    // After a source failed, this daemon reads for itself for this long, so that a change that comes meanwhile is seen
    // within the platform's bounds while another source is looked for.
    static constexpr Duration ownReadingTime = std::chrono::milliseconds(2000);
    // A source that failed is left alone for this long, doubled with each failure in a row up to the longest pause.
    static constexpr Duration shortestPause = std::chrono::milliseconds(4000);
    static constexpr Duration longestPause = std::chrono::seconds(32);
    // A daemon that has found no source for this long reads for itself, for the same reason; the owner may allow more
    // where changes may take longer.
    static constexpr Duration shortestSearch = std::chrono::milliseconds(300);
    // Daemons notice the loss of a common source within this time of each other. A host that declines meanwhile may be
    // about to read, and is asked again after a short pause.
    static constexpr Duration noticeTime = std::chrono::milliseconds(1200);
    static constexpr Duration declinedPause = std::chrono::milliseconds(300);
    // Between two reads that fail while no other daemon can be asked: the first hosts of a data centre try again soon,
    // and the others are told by them. An outage then costs few calls, though all daemons notice it.
    static constexpr Duration shortestRetry = std::chrono::milliseconds(250);
    static constexpr Duration longestRetry = std::chrono::milliseconds(2000);
    // Between two tries to read the platform while it turns this daemon away and other daemons are asked.
    static constexpr Duration ownPause = std::chrono::milliseconds(1000);

    FactSources(HostId self, DataCentreId dataCentre, Duration searchTime = shortestSearch);

    // Replaces the list of hosts. It may contain this daemon itself and hosts that are gone.
    void adopt(std::vector<PeerHost>);

    // The daemon to ask now; null when this daemon reads the platform itself. Valid until the next adopt().
    const PeerHost* current(Instant now) const;

    // The source did not answer, or what it said was too old.
    void failed(Instant now, const HostId& source);
    // The source answered that it does not read the platform itself. Facts that were passed on twice could come back to
    // the daemon that asked. reader: the host that it asks itself; empty when it has none.
    void declined(Instant now, const HostId& source, const HostId& reader = {});
    void answered(const HostId& source);
    // The platform did or did not answer this daemon.
    void ownRead(Instant now, FactKind, bool didAnswer);
    // The platform did not answer this daemon a short while ago.
    bool isTurnedAway(Instant now) const;
    // Time that is left to find a source before this daemon reads for itself; nothing while it does not search.
    std::optional<Duration> searchTimeLeft(Instant now) const;

    // Pause after a failed read of the platform.
    Duration retryPause() const;
    // Hosts of the own data centre that stand before this daemon in the order in which they are asked; nothing while
    // this daemon is not in the list.
    std::optional<size_t> hostsBefore() const;

    size_t hosts() const { return m_hosts.size(); }
    // Of the own data centre.
    size_t localHosts() const;

private:
    struct Pause {
        Instant until {};
        Duration length {};
    };

    bool isPaused(Instant now, const HostId&) const;
    void pause(Instant now, const HostId&);
    bool mayAsk(Instant now, const PeerHost&) const;
    const PeerHost* find(const HostId&) const;
    // Another source is looked for, or this daemon reads for itself because that has taken too long.
    void search(Instant now);

    const HostId m_self;
    const DataCentreId m_dataCentre;
    std::vector<PeerHost> m_hosts; // The own data centre first, then by descending link speed and by name.
    std::map<HostId, Pause> m_pauses;
    const Duration m_searchTime;
    std::optional<Instant> m_searchingSince; // No source has answered since.
    std::optional<Instant> m_failedAt; // When a source last failed.
    HostId m_reader; // A host that another one named as its source; empty: none.
    Instant m_readsUntil {}; // This daemon reads for itself until then.
    std::array<Instant, 2> m_turnedAwayUntil {}; // By kind: the platform does not answer this daemon.
};

} // namespace jacinthspindle
