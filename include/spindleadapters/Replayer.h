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

// How a request ended, by the replayed decisions and the recorded inputs of all daemons that served it.
enum class OutcomeKind : uint8_t {
    Open,
    CallerGone,
    Refused,
    Abandoned,
    ActionNotRun,
    ActionUnknown,
    ActionRan,
    Complete
};

// Returns the name that files of stated outcomes use, for example "complete".
const char* outcomeName(OutcomeKind);

struct RequestOutcome {
    RequestId request;
    OutcomeKind kind = OutcomeKind::Open;
    ResultCode code = ResultCode::Ok;
    uint32_t tokens = 0; // For Complete: counted from position 0.
    uint32_t dispatches = 0; // Of all daemons; information, not part of a stated outcome.

    std::string toString() const; // "<request> <outcome> <code name> <tokens>", the line of a stated outcome.
};

struct ReplayReport {
    uint64_t processes = 0;
    uint64_t inputs = 0;
    uint64_t decisions = 0;
    uint64_t gaps = 0; // Processes whose records end at a gap: what follows it cannot be replayed.
    std::optional<Divergence> divergence;
    std::vector<RequestOutcome> outcomes; // Sorted by request.
};

// Records may come from several daemons, in any order, and may be doubled.
ReplayReport replayRecords(const std::vector<TraceRecord>&);

// Compares the outcomes of a replay with stated ones, one line per request in the form of RequestOutcome::toString().
// Empty lines and lines that start with '#' are passed over. Returns one text per difference.
std::vector<std::string> compareOutcomes(const ReplayReport&, const std::string& stated);

} // namespace jacinthspindle
