// Rate limiter with a bounded burst: the generic cell rate algorithm (GCRA), whose only state is the theoretical
// arrival time of the next unit of work.

#pragma once

#include "spindlecore/Types.h"

#include <algorithm>
#include <cmath>

namespace jacinthspindle::internal {

class RateLimiter {
public:
    // Sets the rate in units of work per second; 0 blocks all work.
    void setRate(double perSecond) { m_perSecond = std::max(0.0, perSecond); }

    // Returns the time until the next unit of work is allowed; zero when it is allowed now.
    Duration timeUntilAllowed(Instant now) const
    {
        if (m_perSecond <= 0)
            return zeroRateWait;
        return std::max(Duration::zero(), m_theoreticalArrival - burst - now);
    }

    // Charges units of work; a negative cost refunds an overcharge. Work that exceeds the burst becomes debt, which
    // delays later work; one charge adds at most maxDebtSeconds.
    void charge(Instant now, double cost)
    {
        if (m_perSecond <= 0)
            return;
        auto seconds = std::clamp(cost / m_perSecond, -maxDebtSeconds, maxDebtSeconds);
        m_theoreticalArrival = std::max(m_theoreticalArrival, now) + Duration(std::llround(seconds * 1e9));
    }

private:
    static constexpr Duration burst = std::chrono::seconds(1);
    static constexpr Duration zeroRateWait = std::chrono::seconds(5); // Returned as the wait while the rate is 0.
    static constexpr double maxDebtSeconds = 60;

    double m_perSecond = 0;
    Instant m_theoreticalArrival {};
};

} // namespace jacinthspindle::internal
