// Endpoints that refused work or could not be reached, and for how long they are left alone.

#pragma once

#include "spindlecore/Types.h"

#include <map>
#include <vector>

namespace jacinthspindle {

// The pause starts short, since an engine that is short of memory takes work again soon, and doubles for an endpoint
// that fails again just after its pause, since a leaving or unreachable one does not. Deterministic; not thread-safe.
class EndpointPauses {
public:
    static constexpr Duration shortest = std::chrono::milliseconds(400);
    static constexpr Duration longest = std::chrono::milliseconds(3200);
    // A mistaken endpoint must not put itself out of service for good.
    static constexpr Duration longestAsked = std::chrono::minutes(10);

    // The endpoint failed. Returns true when its pause begins; false when it is in progress already, as with requests
    // that were sent before it began.
    bool failed(Instant now, const EndpointId&);

    // The endpoint asked to be left alone for that long, longestAsked at most. Returns true when a pause begins.
    bool asked(Instant now, const EndpointId&, Duration);

    // Returns the endpoints whose pause has ended since the last call.
    std::vector<EndpointId> takeEnded(Instant now);

    bool isPaused(const EndpointId&) const;

private:
    struct Pause {
        Instant until {};
        Duration length {};
        bool isInProgress = false;
    };

    std::map<EndpointId, Pause> m_pauses; // Also ended ones, for as long as they lengthen the next pause.
};

} // namespace jacinthspindle
