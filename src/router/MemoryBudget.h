// Bound on the bytes of all requests and answers that a process holds at once.

#pragma once

#include <algorithm>
#include <cstddef>

namespace jacinthspindle::router {

// Belongs to one thread. Outlives its shares.
class MemoryBudget {
public:
    explicit MemoryBudget(size_t mostBytes)
        : m_most(mostBytes)
    {
    }

    size_t most() const { return m_most; }
    size_t held() const { return m_held; }
    size_t peak() const { return m_peak; }

    // What one holder has taken of the budget; given back at the end of its life.
    class Share {
    public:
        explicit Share(MemoryBudget& budget)
            : m_budget(budget)
        {
        }
        ~Share() { release(); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        // The holder holds so many bytes now. Returns false, and changes nothing, when the budget does not allow it.
        bool resize(size_t bytes)
        {
            if (bytes > m_bytes && bytes - m_bytes > m_budget.m_most - m_budget.m_held)
                return false;
            m_budget.m_held = m_budget.m_held - m_bytes + bytes;
            m_budget.m_peak = std::max(m_budget.m_peak, m_budget.m_held);
            m_bytes = bytes;
            return true;
        }
        void release() { resize(0); }

    private:
        MemoryBudget& m_budget;
        size_t m_bytes = 0;
    };

private:
    const size_t m_most;
    size_t m_held = 0; // Never more than m_most.
    size_t m_peak = 0; // Largest value of m_held so far.
};

} // namespace jacinthspindle::router
