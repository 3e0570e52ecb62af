// Leader election for the planner, the one daemon that sends placement orders to engines. The lease is a row of the
// platform's table service, which the holder renews by compare-and-swap on the row version. It keeps two planners from
// working against each other. Correctness does not depend on it: each order states how many orders the engine is
// expected to have accepted before, and an engine refuses it otherwise.

#pragma once

#include "spindlecore/Types.h"

#include <optional>
#include <string>
#include <variant>

namespace jacinthspindle {

struct PlannerLeaseConfig {
    std::string holder; // Identity of this daemon; unique for each process start.
    Duration firstClaimDelay {}; // From reading that the row is absent to claiming it; 0 for the preferred daemon.
    // Interval between two renewals by the holder.
    Duration renewEvery = std::chrono::milliseconds(1000);
    // The lease expires this long after the last confirmed write was sent, and the holder stops sending orders. Less
    // than takeoverAfter, so that the holder has stopped before another daemon starts.
    Duration validFor = std::chrono::milliseconds(2600);
    // Interval between two reads by a daemon that does not hold the lease.
    Duration watchEvery = std::chrono::milliseconds(1500);
    // If the row stays unchanged for this long between two reads, its holder has failed.
    Duration takeoverAfter = std::chrono::milliseconds(2900);
    // Delay before the next attempt after a failed call.
    Duration retryEvery = std::chrono::milliseconds(500);
    // After an outage of the store, a running holder renews the lease within this time, since it retries every
    // retryEvery. Other daemons claim the lease only afterwards.
    Duration storeReturnGrace = std::chrono::milliseconds(1000);
};

// State machine of one daemon's lease. Deterministic and without I/O: the owner carries out the returned action and
// reports its result before it calls next() again, so that at most one action is in progress. Not thread-safe.
class PlannerLease {
public:
    explicit PlannerLease(PlannerLeaseConfig);

    struct Read { };
    struct Write {
        uint64_t expectedVersion = 0; // Current version of the row; 0 if it must not exist.
    };
    // Write the row with an empty holder on the same condition, so that another daemon can claim the lease at once.
    struct Release {
        uint64_t expectedVersion = 0;
    };
    using Action = std::variant<std::monostate, Read, Write, Release>;

    // Returns the action that is due now; std::monostate if none is.
    Action next(Instant now);

    // Called when this daemon shuts down: releases the lease if it is held. No other action follows.
    void resign() { m_isResigning = true; }

    // Reports the era that the store stated in an answer; 0 if it stated none. The era increases when the store is
    // restored from an older copy. The store then assigns row versions a second time, so all earlier confirmations are
    // void, and this daemon claims nothing until the lease of a holder of the previous era has expired. Call this
    // before reporting the result of the same call. Returns true when the result belongs to the previous era and must
    // not be reported.
    bool updateEra(Instant now, uint64_t era);

    // The row was read. The version is 0 if the row is absent; the holder is empty after a release.
    void wasRead(Instant now, uint64_t version, const std::string& holder);
    void readFailed(Instant now);

    // The write succeeded and the row has this version. The validity of the lease counts from sentAt.
    void wasWritten(Instant sentAt, uint64_t version);
    // The write failed on its condition: another daemon wrote the row in between.
    void wasRejected(Instant now);
    // The write failed or its answer was lost; it may have taken effect.
    void writeFailed(Instant now);

    // True while this daemon may send placement orders.
    bool isHolder(Instant now) const { return m_confirmedAt && now < *m_confirmedAt + m_config.validFor; }
    // Number of times that this daemon acquired the lease.
    uint64_t terms() const { return m_terms; }

private:
    // Unknown: the next action reads the row. Watching: another daemon holds the lease, and the row is polled.
    // Claiming: the next action writes the row to acquire the lease. Holding: the next action renews it.
    enum class State : uint8_t { Unknown, Watching, Claiming, Holding };

    void transitionTo(State, Instant nextAt);
    Action nextWhileResigning();

    PlannerLeaseConfig m_config;
    State m_state = State::Unknown;
    Instant m_nextAt {}; // Earliest time of the next action.
    uint64_t m_version = 0; // Version of the row when last read or written.
    Instant m_versionSeenAt {}; // When m_version was first read; valid in state Watching.
    bool m_isStoreUnreachable = false; // True after a failed read until the next successful one.
    Instant m_storeReturnedAt {}; // Time of the first successful read after a failed one.
    uint64_t m_era = 0; // Last era that the store stated; 0 if none.
    Instant m_noClaimBefore {}; // Until then a holder of the previous era may still send orders.
    std::optional<Instant> m_confirmedAt; // Send time of the last successful write; empty once the lease is lost.
    uint64_t m_terms = 0;
    bool m_isResigning = false;
};

} // namespace jacinthspindle
