// State transitions of the circuit breaker.

#include "spindlecore/internal/CircuitBreaker.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    constexpr double failuresToOpen = 2;
    // Part of a failure that a success offsets. It is small enough for the breaker to open when one request in three
    // fails.
    constexpr double failuresOffsetPerSuccess = 0.25;
    constexpr uint32_t successfulProbesToClose = 3;
    constexpr Duration minOpenTime = std::chrono::seconds(1);
    constexpr Duration maxOpenTime = std::chrono::seconds(30);
    // After this time another probe may be sent, so that a probe without a result can't keep the breaker open for good.
    constexpr Duration probeTimeout = std::chrono::seconds(10);

} // namespace

bool CircuitBreaker::allowsRequest(Instant now) const
{
    if (m_isClosed)
        return true;
    return now >= m_probeAt + (m_isProbeInFlight ? probeTimeout : Duration::zero());
}

void CircuitBreaker::recordAttempt(Instant now)
{
    if (m_isClosed)
        return;
    m_isProbeInFlight = true;
    m_probeAt = now;
}

void CircuitBreaker::recordSuccess()
{
    m_failures = std::max(0.0, m_failures - failuresOffsetPerSuccess);
    if (m_isClosed)
        return;
    m_isProbeInFlight = false;
    if (++m_successfulProbes < successfulProbesToClose)
        return;
    m_isClosed = true;
    m_failures = 0;
    m_openTime = {};
}

void CircuitBreaker::recordFailure(Instant now, double weight)
{
    m_failures += weight;
    bool opens = m_isClosed ? m_failures >= failuresToOpen : m_isProbeInFlight;
    if (!opens)
        return;
    m_openTime = m_openTime == Duration::zero() ? minOpenTime : std::min(maxOpenTime, m_openTime * 2);
    m_isClosed = false;
    m_isProbeInFlight = false;
    m_successfulProbes = 0;
    m_probeAt = now + m_openTime;
}

} // namespace jacinthspindle::internal
