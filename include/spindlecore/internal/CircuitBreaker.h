// A circuit breaker with hysteresis: it opens after a few failures and closes only after several successes.

#pragma once

#include "spindlecore/Types.h"

namespace jacinthspindle::internal {

class CircuitBreaker {
public:
    // True when work may be sent now: always while closed, one probe at a time after the waiting time of an open one.
    bool allowsRequest(Instant now) const;
    bool isClosed() const { return m_isClosed; }

    // Work was sent.
    void recordAttempt(Instant now);
    void recordSuccess();
    // weight is 1 for the endpoint at fault and less for one that is only suspected.
    void recordFailure(Instant now, double weight);

private:
    bool m_isClosed = true;
    bool m_isProbing = false;
    double m_failures = 0; // While closed: failures less some credit for each success.
    uint32_t m_successes = 0; // While open: successful probes in a row.
    Instant m_probeAt {};
    Duration m_wait {};
};

} // namespace jacinthspindle::internal
