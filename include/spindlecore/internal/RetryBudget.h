// A budget for repeated attempts, so that a fault adds a bounded share of load.

#pragma once

#include "spindlecore/Types.h"

#include <algorithm>

namespace jacinthspindle::internal {

// Each first attempt earns a fraction of a repetition; a small reserve covers a daemon with little traffic.
class RetryBudget {
public:
    // share: repetitions earned per first attempt. reserve: repetitions available at the start.
    RetryBudget(double share, double reserve)
        : m_share(share)
        , m_limit(std::max(1.0, reserve))
        , m_balance(m_limit)
    {
    }

    void earn() { m_balance = std::min(m_limit, m_balance + m_share); }

    // Takes one repetition; false when the budget is spent.
    bool take()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

    // Repetitions come back slowly even without first attempts.
    void refill(double repetitions) { m_balance = std::min(m_limit, m_balance + repetitions); }

private:
    double m_share;
    double m_limit;
    double m_balance;
};

} // namespace jacinthspindle::internal
