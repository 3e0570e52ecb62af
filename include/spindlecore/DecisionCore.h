// The decision core of a daemon: admission, choice of the chain, priorities, retries and the life of endpoints.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/Types.h"

#include <memory>
#include <vector>

namespace jacinthspindle {

// Settings of a DecisionCore. They are part of the trace: the same settings and inputs give the same decisions.
struct CoreConfig {
    DataCentreId dataCentre; // Where this daemon runs.
    uint64_t seed = 0; // Of all random choices.

    bool operator==(const CoreConfig&) const = default;
    JACINTHSPINDLE_FIELDS(self.dataCentre, self.seed)
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
    // that concerns an unknown or finished request or an old attempt changes nothing.
    void apply(Instant now, const CoreInput&, std::vector<CoreDecision>& decisions);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jacinthspindle
