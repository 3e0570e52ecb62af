// A budget for repeated attempts, so that a fault adds a bounded share of load.

#pragma once

#include "spindlecore/Types.h"

#include <algorithm>
#include <array>

namespace jacinthspindle::internal {

// In any window of time there are at most as many repetitions as a share of the first attempts in it, and a reserve
// that covers a daemon with little traffic and faults that break many attempts at once.
class RetryBudget {
public:
    static constexpr Duration window = std::chrono::seconds(10);

    // share: repetitions per first attempt. reserve: repetitions per window beside them.
    RetryBudget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
    {
    }

    void setReserve(double reserve) { m_reserve = reserve; }

    void earn(Instant now) { ++slotAt(now).firsts; }

    // Takes one repetition; false when the budget is spent.
    bool take(Instant now)
    {
        auto& slot = slotAt(now);
        double allowed = m_reserve;
        double taken = 0;
        for (const auto& it : m_slots) {
            if (it.number + slots < slot.number)
                continue;
            taken += it.repetitions;
            // The oldest slot lies in the window only in part.
            if (it.number + slots > slot.number)
                allowed += m_share * it.firsts;
        }
        if (taken + 1 > allowed)
            return false;
        ++slot.repetitions;
        return true;
    }

private:
    static constexpr int64_t slots = 10;

    struct Slot {
        int64_t number = -slots - 1; // Of its part of time.
        uint32_t firsts = 0;
        uint32_t repetitions = 0;
    };

    Slot& slotAt(Instant now)
    {
        int64_t number = now.time_since_epoch() / (window / slots);
        auto& slot = m_slots[static_cast<size_t>(number) % m_slots.size()];
        if (slot.number != number)
            slot = { number, 0, 0 };
        return slot;
    }

    double m_share;
    double m_reserve;
    std::array<Slot, slots + 1> m_slots; // By number, modulo their count.
};

} // namespace jacinthspindle::internal
