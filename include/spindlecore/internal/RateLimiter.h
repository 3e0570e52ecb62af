// The generic cell rate algorithm (GCRA): a rate with a bounded burst in one instant of state.

#pragma once

#include "spindlecore/Types.h"

#include <algorithm>
#include <cmath>

namespace jacinthspindle::internal {

class RateLimiter {
public:
    // A rate of 0 allows nothing.
    void setRate(double perSecond) { m_perSecond = std::max(0.0, perSecond); }

    // Time until the next unit of work is allowed; zero when it is allowed now.
    Duration waitAt(Instant now) const
    {
        if (m_perSecond <= 0)
            return blockedWait;
        return std::max(Duration::zero(), m_theoreticalArrival - burst - now);
    }

    // Charges work; a negative cost gives back what was charged too much. Work larger than the burst goes into debt.
    void charge(Instant now, double cost)
    {
        if (m_perSecond <= 0)
            return;
        auto seconds = std::clamp(cost / m_perSecond, -maxDebtSeconds, maxDebtSeconds);
        m_theoreticalArrival = std::max(m_theoreticalArrival, now) + Duration(std::llround(seconds * 1e9));
    }

private:
    static constexpr Duration burst = std::chrono::seconds(1);
    static constexpr Duration blockedWait = std::chrono::seconds(5);
    static constexpr double maxDebtSeconds = 60;

    double m_perSecond = 0;
    Instant m_theoreticalArrival {};
};

} // namespace jacinthspindle::internal
