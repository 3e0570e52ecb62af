// The decision core of a daemon: admission, choice of the chain, priorities, retries and the life of endpoints.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/LoadLedger.h"
#include "spindlecore/Types.h"

#include <memory>
#include <vector>

namespace jacinthspindle {

// Settings of a DecisionCore. They are part of the trace: the same settings and inputs give the same decisions.
struct CoreConfig {
    DataCentreId dataCentre; // Where this daemon runs.
    uint64_t seed = 0; // Of all random choices.
    HostId host; // Chooses the subset of endpoints; a daemon that restarts keeps its subset.
    uint32_t choices = 3; // Endpoints per stage that a decision compares; 0: all of the subset.
    uint32_t localEndpoints = 16; // Per layer range in the subset, in the own data centre.
    uint32_t remoteEndpoints = 4; // Per layer range in the subset, in other data centres.
    bool sharesCapacity = true; // Leave the other daemons their part of free slots that all of them see.
    uint32_t queueLimit = 512; // Requests that wait for a slot.
    uint32_t requestLimit = 16384; // Requests that wait or run.
    uint32_t queueSharePercent = 15; // Of the deadline, the longest time that a request may wait for a slot.
    uint32_t maxAttempts = 4; // Per request.
    uint32_t retryPercent = 20; // Repetitions earned per hundred first attempts.

    bool operator==(const CoreConfig&) const = default;
    JACINTHSPINDLE_FIELDS(self.dataCentre, self.seed, self.host, self.choices, self.localEndpoints,
        self.remoteEndpoints, self.sharesCapacity, self.queueLimit, self.requestLimit, self.queueSharePercent,
        self.maxAttempts, self.retryPercent)
};

// Figures for metrics and for operators. Counters rise from 0 at the start.
struct CoreStatus {
    uint64_t dispatched = 0; // Attempts, first ones and repetitions.
    uint64_t repeated = 0; // Attempts after the first one of a request.
    uint64_t refused = 0;
    uint64_t abandoned = 0;
    uint64_t finished = 0;
    uint32_t waiting = 0; // Requests without an attempt.
    uint32_t running = 0;
    uint32_t openBreakers = 0;
    uint32_t servingEndpoints = 0;
};

// Deterministic: no clock, no I/O, and no randomness except from the recorded seed. Not thread-safe; its owner is the
// control thread.
class DecisionCore {
public:
    explicit DecisionCore(const CoreConfig&);
    ~DecisionCore();
    DecisionCore(const DecisionCore&) = delete;
    DecisionCore& operator=(const DecisionCore&) = delete;

    // Applies one input and appends the decisions that follow from it. now must not decrease between calls. An input
    // that concerns an unknown or finished request or an old attempt changes nothing. Decisions may concern other
    // requests than the input does: a finished request makes room for waiting ones, and a Tick refuses those that can
    // no longer be on time. The owner sends a Tick about every 100 ms.
    void apply(Instant now, const CoreInput&, std::vector<CoreDecision>& decisions);

    CoreStatus status() const;

    // Engines at which attempts of this daemon run, for the other daemons of its data centre.
    std::vector<EndpointLoad> ownLoad() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jacinthspindle
