// Chooses the one daemon that orders engines to hold layers: a row of the platform's table service that its holder
// rewrites on the condition that nobody else has. The lease keeps two planners from working against each other; safety
// does not rest on it, since each order names the number of orders that the engine is expected to have accepted.

#pragma once

#include "spindlecore/Types.h"

#include <optional>
#include <string>
#include <variant>

namespace jacinthspindle {

struct PlannerLeaseConfig {
    std::string holder; // Unique per process start.
    Duration firstClaimDelay {}; // From the first read of an absent row to the claim; 0 for the preferred daemon.
    // Between two writes of the holder.
    Duration renewEvery = std::chrono::milliseconds(1000);
    // Without a confirmed write for this long the holder stops giving orders; less than takeoverAfter, so that it has
    // stopped before another daemon starts.
    Duration validFor = std::chrono::milliseconds(2600);
    // Between two reads of a daemon that does not hold the lease.
    Duration watchEvery = std::chrono::milliseconds(1500);
    // A row that has not changed for this long between two reads has lost its holder.
    Duration takeoverAfter = std::chrono::milliseconds(2900);
    // After a call that failed.
    Duration retryEvery = std::chrono::milliseconds(500);
    // After an outage of the store a living holder has renewed the lease within this time: it tries every retryEvery.
    Duration returnGrace = std::chrono::milliseconds(1000);
};

// Deterministic and without I/O. At most one action is in progress; the owner reports its result before it asks for the
// next one. Not thread-safe.
class PlannerLease {
public:
    explicit PlannerLease(PlannerLeaseConfig);

    struct Read { };
    struct Write {
        uint64_t expectedVersion = 0; // Of the row; 0: it must not exist.
    };
    // Write the row without a holder on the same condition, so that another daemon takes the lease at once.
    struct Release {
        uint64_t expectedVersion = 0;
    };
    using Action = std::variant<std::monostate, Read, Write, Release>;

    // Returns what is to be done now.
    Action next(Instant now);

    // This daemon leaves: it gives the lease back if it holds it, and takes no other action any more.
    void resign() { m_isResigning = true; }

    // The store names the era of its contents, which rises when it comes back from an older copy; 0: it names none.
    // Versions are given out again then, so that nothing that was confirmed before counts, and a holder of the former
    // era may act until its time is over. To be called before the result of the call that saw it is reported; returns
    // true when that result belongs to an action of the former era and must not be reported.
    bool sawEra(Instant now, uint64_t era);

    // The row was read: its version, 0 when absent, and its holder; empty after a release.
    void wasRead(Instant now, uint64_t version, const std::string& holder);
    void readFailed(Instant now);

    // The write took effect with this version, counted from the moment it was sent.
    void wasWritten(Instant sentAt, uint64_t version);
    // Another daemon wrote the row.
    void wasRejected(Instant now);
    // It is not known whether the write took effect.
    void writeFailed(Instant now);

    // True while this daemon may give orders.
    bool isHolder(Instant now) const { return m_confirmedAt && now < *m_confirmedAt + m_config.validFor; }
    // Rises with each time that the lease was gained.
    uint64_t terms() const { return m_terms; }

private:
    // Unknown: the row must be read. Watching: another daemon holds it. Claiming: the next action takes the row over.
    // Holding: the next action renews it.
    enum class State : uint8_t { Unknown, Watching, Claiming, Holding };

    void enter(State, Instant nextAt);
    Action resigned();

    PlannerLeaseConfig m_config;
    State m_state = State::Unknown;
    Instant m_nextAt {}; // No action before.
    uint64_t m_version = 0; // Of the row, as last read or written.
    Instant m_versionSeenAt {}; // When m_version was first seen; valid while watching.
    bool m_isAway = false; // The last read failed.
    Instant m_returnedAt {}; // First read after a failed one.
    uint64_t m_era = 0; // As last seen; 0: none.
    Instant m_heldBackUntil {}; // No claim before: a holder of the former era may still act.
    std::optional<Instant> m_confirmedAt; // When the last write that took effect was sent, while nobody else wrote.
    uint64_t m_terms = 0;
    bool m_isResigning = false;
};

} // namespace jacinthspindle
