// Selects the source of a daemon's facts, that is, of the configuration and the list of endpoints: a reader, which is a
// daemon that reads the platform and passes its facts on, or the platform itself. The number of readers stays small,
// however many daemons there are.

#pragma once

#include "spindlecore/FactTiming.h"
#include "spindlecore/Types.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle {

// A daemon in the platform's list of hosts.
struct PeerHost {
    HostId host;
    DataCentreId dataCentre;
    std::string address; // For requests of other daemons; "IP:port".
    uint32_t linkMbps = 0; // Link speed of its host. The daemon with the fastest link is preferred as reader.
    bool operator==(const PeerHost&) const = default;
};

// Kinds of facts that are read from the platform.
enum class FactKind : uint8_t { Configuration, Endpoints };

// The hosts of the own data centre are tried in a fixed order, the same on all of its daemons; a source that fails is
// skipped for a while, and one that returns facts is kept until it fails or declines. While the platform does not
// answer the reader, the others stay with it, and the first of them test the platform one after the other, since it may
// serve some hosts and not others. A poor choice costs extra calls but not correctness, since all facts carry their
// age. Deterministic and without I/O. Not thread-safe.
class FactSourceSelector {
public:
    // When a search finds no source in time, this daemon reads the platform itself, so that it receives changes within
    // the platform's time limits. It looks for a source again once it has read facts, and after this time at the
    // latest.
    static constexpr Duration directReadTime = std::chrono::milliseconds(2000);
    // A source that failed is not used for this long. The pause doubles with each consecutive failure, up to maxPause.
    static constexpr Duration minPause = std::chrono::milliseconds(4000);
    static constexpr Duration maxPause = std::chrono::seconds(32);
    // Default and minimum of the search time: a daemon that finds no source within it reads the platform itself. A
    // longer search time suits a configuration in which changes may take longer to arrive.
    static constexpr Duration minSearchTime = FactTiming::minSearchTime;
    // Daemons detect the failure of a common source within this time of each other. A host that declines meanwhile may
    // be about to become a reader and is tried again after shortDeclinePause instead of minPause.
    static constexpr Duration detectionSpread = std::chrono::milliseconds(1200);
    static constexpr Duration shortDeclinePause = std::chrono::milliseconds(300);
    // Bounds of the pause between two failed reads while no other daemon is available. The first hosts of a data centre
    // retry soon, and the others get the facts from them. An outage of the platform then causes few calls, although it
    // affects all daemons.
    static constexpr Duration minRetryPause = std::chrono::milliseconds(250);
    static constexpr Duration maxRetryPause = std::chrono::milliseconds(2000);
    // Pause between two attempts to read the platform while it fails for this daemon and other daemons are the source.
    static constexpr Duration platformRetryPause = std::chrono::milliseconds(1000);

    // While the reader waits for the platform, a daemon tests the platform after this delay per host before it, and
    // after the search time at the latest.
    static constexpr Duration testDelay = std::chrono::milliseconds(150);
    // Time between two tests of one daemon.
    static constexpr Duration testInterval = std::chrono::milliseconds(4000);

    FactSourceSelector(HostId self, DataCentreId dataCentre, Duration searchTime = minSearchTime);

    // Replaces the list of hosts, which may include this daemon itself and hosts that no longer run.
    void setHosts(std::vector<PeerHost>);

    // Returns the daemon to request facts from, or null when this daemon reads the platform itself. The pointer is
    // valid until the list of hosts is replaced.
    const PeerHost* currentSource(Instant now) const;

    // Records that the source did not respond or that its facts were too old.
    void recordFailure(Instant now, const HostId& source);
    // Records that the source declined because it is not a reader. A host that is not a reader never passes on facts,
    // since they could come back to the daemon that they came from. reader is the host that the source itself uses as
    // its source; empty when it has none.
    void recordDecline(Instant now, const HostId& source, const HostId& reader = {});
    // Records that the source would read the platform, but the platform does not answer it. This daemon stays with the
    // source and tests the platform itself after a delay that grows with its rank.
    void recordWaiting(Instant now, const HostId& source);
    // Records that this host reads the platform with success. It becomes the source while the platform does not answer
    // this daemon.
    void recordReader(const HostId&);
    // Records that the source returned facts.
    void recordResponse(const HostId& source);
    // Records whether the platform answered a read of this daemon.
    void recordPlatformRead(Instant now, FactKind, bool didAnswer);
    // Returns true for platformRetryPause after a failed read of either kind, unless a later read of the same kind
    // succeeds.
    bool isPlatformUnavailable(Instant now) const;
    // Returns true when this daemon is the one of its data centre that is to read the platform, also while the platform
    // does not answer it: it has no source, and no usable host precedes it.
    bool isInCharge(Instant now) const;
    // Returns the host of the own data centre that is to replace this daemon when it stops; empty: none.
    HostId successor(Instant now) const;
    // Returns the time left to find a source before this daemon reads the platform itself, or nothing when no search is
    // in progress.
    std::optional<Duration> searchTimeLeft(Instant now) const;

    // Returns the pause after a failed read of the platform; it grows with the number of hosts before this one.
    Duration retryPause() const;
    // Returns the number of hosts of the own data centre that precede this daemon in the order of selection, or nothing
    // when this daemon is not in the list.
    std::optional<size_t> rankInDataCentre() const;

    size_t hosts() const { return m_hosts.size(); }
    // Number of hosts in the own data centre.
    size_t localHosts() const;

private:
    struct Pause {
        Instant until {};
        Duration length {};
    };

    bool isPaused(Instant now, const HostId&) const;
    void pause(Instant now, const HostId&);
    // Returns true when facts may be requested from this host now.
    bool isCandidate(Instant now, const PeerHost&) const;
    const PeerHost* find(const HostId&) const;
    // Returns the source that is kept, or null when the order of hosts decides.
    const PeerHost* keptSource(Instant now) const;
    Duration delayOfTest() const;
    void readDirectly(Instant now);
    // Starts or continues the search for a source. Ends it after m_searchTime, when this daemon starts to read the
    // platform itself.
    void updateSearch(Instant now);

    const HostId m_self;
    const DataCentreId m_dataCentre;
    std::vector<PeerHost> m_hosts; // Own data centre first, then by descending link speed, then by name.
    std::map<HostId, Pause> m_pauses; // By failed or declining source.
    const Duration m_searchTime;
    std::optional<Instant> m_searchingSince; // Start of the search for a source; empty: none in progress.
    // Last failure of a source, or decline of a kept one; reset when a source returns facts.
    std::optional<Instant> m_failedAt;
    // The source named by the last host that declined, or a host that said that it is a reader; empty: none.
    HostId m_knownReader;
    HostId m_keptSource; // Returned facts, or waits for the platform; empty: none.
    std::optional<Instant> m_waitingSince; // When the kept source was first seen to wait for the platform.
    Instant m_testAgainAt {}; // After a failed test of the platform, no other one before this time.
    std::array<bool, 2> m_hasAnswered {}; // By FactKind: the last read since m_readDirectlyUntil was set succeeded.
    Instant m_readDirectlyUntil {}; // Until then this daemon reads the platform itself.
    std::array<Instant, 2> m_platformUnavailableUntil {}; // By FactKind; set by a failed read.
};

} // namespace jacinthspindle
