// Runs recorded inputs through the decision code and compares the decisions with the recorded ones, bit for bit.

#pragma once

#include "spindlecore/spindlecore.h"

#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle {

// The first place at which the decision code and the trace disagree.
struct Divergence {
    HostId host;
    uint64_t incarnation = 0;
    uint64_t sequence = 0; // Of the recorded decision, or of the input after which one is missing.
    RequestId request;
    std::string expected; // What the trace holds; empty when it holds no decision.
    std::string actual; // What the code decides; empty when it decides nothing.
};

struct ReplayReport {
    uint64_t processes = 0;
    uint64_t inputs = 0;
    uint64_t decisions = 0;
    uint64_t gaps = 0; // Processes whose records end at a gap: what follows it cannot be replayed.
    std::optional<Divergence> divergence;
};

// Records may come from several daemons, in any order, and may be doubled.
ReplayReport replayRecords(const std::vector<TraceRecord>&);

} // namespace jacinthspindle
