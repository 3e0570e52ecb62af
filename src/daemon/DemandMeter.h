// What each workspace would use of its limits at this daemon if nothing limited it.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/LimitShares.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace jacinthspindle::daemon {

// Used by the control thread. Rates are counted over windows of one second.
class DemandMeter {
public:
    void observe(Instant, const CoreInput&, const std::vector<CoreDecision>&);
    // Appends the demand of each workspace whose window has ended since the last call and is or was not empty.
    void collect(Instant, std::vector<DemandSeen>&);

private:
    struct Request {
        WorkspaceId workspace;
        uint32_t position = 0; // Tokens counted so far.
    };
    struct Usage {
        uint32_t arrivals = 0;
        uint32_t refusals = 0; // By a limit; they would have run.
        uint64_t refusedTokens = 0;
        uint64_t tokens = 0;
        uint32_t running = 0;
        bool wasBusy = false;
    };

    void countTokens(const RequestId&, uint32_t position);
    void end(const RequestId&);

    std::unordered_map<RequestId, Request> m_requests;
    std::map<WorkspaceId, Usage> m_usage; // Workspaces of the table only, because others are refused.
    Instant m_windowStart {};
};

} // namespace jacinthspindle::daemon
