// The decision core of a daemon: a deterministic state machine for admission, chain selection, priorities, retries and
// endpoint availability.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/LoadAggregator.h"
#include "spindlecore/Types.h"

#include <memory>
#include <vector>

namespace jacinthspindle {

// Settings of a DecisionCore. They are recorded in the trace, so that a replay of the same inputs gives the same
// decisions.
struct CoreConfig {
    DataCentreId dataCentre; // Data centre in which this daemon runs.
    uint64_t seed = 0; // Seed of the random number generator.
    HostId host; // Hashed to select the endpoint subset, so that a restarted daemon keeps its subset.
    uint32_t choices = 3; // Endpoints compared per stage; 0 compares the whole subset.
    uint32_t localEndpoints = 16; // Subset size per layer range in the daemon's data centre.
    uint32_t remoteEndpoints = 4; // Subset size per layer range in other data centres.
    bool sharesCapacity = true; // Use only a share of the free slots that all daemons see.
    uint32_t queueLimit = 512; // Maximum number of requests that wait for a slot.
    uint32_t requestLimit = 16384; // Maximum number of requests that wait or run.
    uint32_t queueSharePercent = 15; // Maximum wait for a slot, as a percentage of the request's deadline.
    uint32_t maxAttempts = 4; // Attempts per request, including the first.
    uint32_t retryPercent = 20; // Retries allowed per 100 first attempts.

    bool operator==(const CoreConfig&) const = default;
    JACINTHSPINDLE_FIELDS(self.dataCentre, self.seed, self.host, self.choices, self.localEndpoints,
        self.remoteEndpoints, self.sharesCapacity, self.queueLimit, self.requestLimit, self.queueSharePercent,
        self.maxAttempts, self.retryPercent)
};

// Status for metrics and operators. The first five members are counters since the start, the others current values.
struct CoreStatus {
    uint64_t dispatched = 0; // Attempts, including retries.
    uint64_t repeated = 0; // Retries: attempts after the first one of a request.
    uint64_t refused = 0;
    uint64_t abandoned = 0;
    uint64_t finished = 0;
    uint32_t waiting = 0; // Requests that wait for their first attempt.
    uint32_t running = 0;
    uint32_t openBreakers = 0;
    uint32_t servingEndpoints = 0;
};

// Deterministic: reads no clock, does no I/O and draws random numbers only from the recorded seed. Not thread-safe;
// owned by the control thread.
class DecisionCore {
public:
    explicit DecisionCore(const CoreConfig&);
    ~DecisionCore();
    DecisionCore(const DecisionCore&) = delete;
    DecisionCore& operator=(const DecisionCore&) = delete;

    // Applies one input and appends the resulting decisions. now must not decrease between calls. Inputs for an unknown
    // or finished request, or for an attempt other than the current one, are ignored. Decisions may concern other
    // requests than the input does: a finished request frees slots for waiting ones, and a Tick refuses waiting
    // requests that can no longer meet their deadline. The owner sends a Tick about every 100 ms.
    void apply(Instant now, const CoreInput&, std::vector<CoreDecision>& decisions);

    CoreStatus status() const;

    // Number of this daemon's running attempts per engine, for the other daemons of its data centre.
    std::vector<EndpointLoad> ownLoad() const;

    // Demand of this daemon's requests on models whose requests differ in priority, for the same daemons.
    std::vector<ModelPressure> ownPressure() const;
    // How admission to these models stands, for operators.
    std::vector<ModelAdmission> admission() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jacinthspindle
