// Backoff for endpoints that refused work or could not be reached: they receive no requests during a pause.

#pragma once

#include "spindlecore/Types.h"

#include <map>
#include <vector>

namespace jacinthspindle {

// Exponential backoff per endpoint. The first pause is short, since an engine that lacks memory accepts work again
// soon. It doubles, up to maxPause, when the endpoint fails again shortly after its pause, as an endpoint does that is
// leaving or unreachable. Deterministic; not thread-safe.
class EndpointPauses {
public:
    static constexpr Duration minPause = std::chrono::milliseconds(400);
    static constexpr Duration maxPause = std::chrono::milliseconds(3200);
    // Bounds the pause that an endpoint can request, so that a wrong value can't take it out of service for good.
    static constexpr Duration maxRequestedPause = std::chrono::minutes(10);

    // Records a failure. Returns true when a pause begins. Returns false when one is already in progress: the failed
    // request may have been sent before it began.
    bool recordFailure(Instant now, const EndpointId&);

    // Applies a pause that the endpoint requested, limited to maxRequestedPause. Extends a pause in progress that ends
    // earlier; a length of zero or less has no effect. Returns true when a pause begins.
    bool applyRequestedPause(Instant now, const EndpointId&, Duration);

    // Ends the pauses that are over and returns their endpoints. A pause ends only with this call, also for isPaused().
    std::vector<EndpointId> takeEnded(Instant now);

    bool isPaused(const EndpointId&) const;

private:
    struct Pause {
        Instant until {};
        Duration length {}; // Of the last pause after a failure; zero when there was none.
        bool isInProgress = false;
    };

    // Includes ended pauses until the endpoint counts as recovered, since their length determines the next one.
    std::map<EndpointId, Pause> m_pauses;
};

} // namespace jacinthspindle
