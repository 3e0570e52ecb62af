// Circuit breaker with hysteresis: it opens after a few failures and closes only after several successful probes.

#pragma once

#include "spindlecore/Types.h"

namespace jacinthspindle::internal {

// Sends probes one at a time after it has been open for some time. That time doubles with each failed probe, up to a
// bound. Not thread-safe.
class CircuitBreaker {
public:
    // Returns true when a request may be sent: always while closed; while open, one probe at a time after the open
    // time.
    bool allowsRequest(Instant now) const;
    bool isClosed() const { return m_isClosed; }

    // Records that a request was sent. While open, it is the probe.
    void recordAttempt(Instant now);
    void recordSuccess();
    // Records a failure. weight is 1 for the endpoint that failed and less for one that only may have caused the
    // failure.
    void recordFailure(Instant now, double weight);

private:
    bool m_isClosed = true;
    bool m_isProbeInFlight = false;
    double m_failures = 0; // While closed: weighted failures, reduced by each success; never negative.
    uint32_t m_successfulProbes = 0; // While open: consecutive successful probes.
    Instant m_probeAt {}; // While open: time of the probe in flight, or of the next one.
    Duration m_openTime {}; // Between opening and the next probe; zero after the breaker has closed.
};

} // namespace jacinthspindle::internal
