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
    // A daemon that hosts have declined for this long reads for itself, for the same reason.
    static constexpr Duration longestSearch = std::chrono::milliseconds(300);
    // Between two tries to read the platform while it turns this daemon away and other daemons are asked.
    static constexpr Duration ownPause = std::chrono::milliseconds(1000);

    FactSources(HostId self, DataCentreId dataCentre);

    // Replaces the list of hosts. It may contain this daemon itself and hosts that are gone.
    void adopt(std::vector<PeerHost>);

    // The daemon to ask now; null when this daemon reads the platform itself. Valid until the next adopt().
    const PeerHost* current(Instant now) const;

    // The source did not answer, or what it said was too old.
    void failed(Instant now, const HostId& source);
    // The source answered that it does not read the platform itself. Facts that were passed on twice could come back to
    // the daemon that asked.
    void declined(Instant now, const HostId& source);
    void answered(const HostId& source);
    // The platform did or did not answer this daemon.
    void ownRead(Instant now, FactKind, bool didAnswer);
    // The platform did not answer this daemon a short while ago.
    bool isTurnedAway(Instant now) const;

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

    const HostId m_self;
    const DataCentreId m_dataCentre;
    std::vector<PeerHost> m_hosts; // The own data centre first, then by descending link speed and by name.
    std::map<HostId, Pause> m_pauses;
    std::optional<Instant> m_declinedSince; // The first host declined since the last answer.
    Instant m_readsUntil {}; // This daemon reads for itself until then.
    std::array<Instant, 2> m_turnedAwayUntil {}; // By kind: the platform does not answer this daemon.
};

} // namespace jacinthspindle
