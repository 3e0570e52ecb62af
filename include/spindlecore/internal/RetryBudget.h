// Limits retries, so that a fault can add only a bounded share of load.

#pragma once

#include "spindlecore/Types.h"

#include <algorithm>
#include <array>

namespace jacinthspindle::internal {

// Sliding-window retry budget. The retries in a window are limited to a share of the first attempts in that window plus
// a fixed reserve. The reserve allows retries at low traffic and when a fault breaks many attempts at once.
class RetryBudget {
public:
    static constexpr Duration window = std::chrono::seconds(10);

    // share: retries per first attempt. reserve: additional retries per window.
    RetryBudget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
    {
    }

    void setReserve(double reserve) { m_reserve = reserve; }

    void recordFirstAttempt(Instant now) { ++slotAt(now).firstAttempts; }

    // Returns true if the budget allows one more retry.
    bool mayConsume(Instant now)
    {
        const auto& slot = slotAt(now);
        double allowed = m_reserve;
        double used = 0;
        for (const auto& it : m_slots) {
            if (it.number + slotCount < slot.number)
                continue;
            used += it.retries;
            // The oldest slot is only partly inside the window. Its retries count, its first attempts do not.
            if (it.number + slotCount > slot.number)
                allowed += m_share * it.firstAttempts;
        }
        return used + 1 <= allowed;
    }

    // Counts one retry if the budget allows it. Returns false when the budget is exhausted.
    bool tryConsume(Instant now)
    {
        if (!mayConsume(now))
            return false;
        ++slotAt(now).retries;
        return true;
    }

private:
    static constexpr int64_t slotCount = 10;

    struct Slot {
        // Start time in units of window / slotCount. The default lies before any window.
        int64_t number = -slotCount - 1;
        uint32_t firstAttempts = 0;
        uint32_t retries = 0;
    };

    Slot& slotAt(Instant now)
    {
        int64_t number = now.time_since_epoch() / (window / slotCount);
        auto& slot = m_slots[static_cast<size_t>(number) % m_slots.size()];
        if (slot.number != number)
            slot = { number, 0, 0 };
        return slot;
    }

    double m_share;
    double m_reserve;
    std::array<Slot, slotCount + 1> m_slots; // Ring buffer, indexed by Slot::number modulo its size.
};

} // namespace jacinthspindle::internal
