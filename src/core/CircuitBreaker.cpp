// Transitions of the circuit breaker.

#include "spindlecore/internal/CircuitBreaker.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    constexpr double failuresToOpen = 2;
    // A success takes back this part of a failure, so that an endpoint with one failure in three opens.
    constexpr double creditPerSuccess = 0.25;
    constexpr uint32_t successesToClose = 3;
    constexpr Duration shortestWait = std::chrono::seconds(1);
    constexpr Duration longestWait = std::chrono::seconds(30);
    // A probe whose outcome never comes must not keep the breaker open for good.
    constexpr Duration probeTimeout = std::chrono::seconds(10);

} // namespace

bool CircuitBreaker::allowsRequest(Instant now) const
{
    if (m_isClosed)
        return true;
    return now >= m_probeAt + (m_isProbing ? probeTimeout : Duration::zero());
}

void CircuitBreaker::recordAttempt(Instant now)
{
    if (m_isClosed)
        return;
    m_isProbing = true;
    m_probeAt = now;
}

void CircuitBreaker::recordSuccess()
{
    m_failures = std::max(0.0, m_failures - creditPerSuccess);
    if (m_isClosed)
        return;
    m_isProbing = false;
    if (++m_successes < successesToClose)
        return;
    m_isClosed = true;
    m_failures = 0;
    m_wait = {};
}

void CircuitBreaker::recordFailure(Instant now, double weight)
{
    m_failures += weight;
    bool opens = m_isClosed ? m_failures >= failuresToOpen : m_isProbing;
    if (!opens)
        return;
    m_wait = m_wait == Duration::zero() ? shortestWait : std::min(longestWait, m_wait * 2);
    m_isClosed = false;
    m_isProbing = false;
    m_successes = 0;
    m_probeAt = now + m_wait;
}

} // namespace jacinthspindle::internal
