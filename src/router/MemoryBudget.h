// Bound on the bytes of requests, or of answers, that a process holds at once.

#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>

namespace jacinthspindle::router {

// Belongs to one thread.
class MemoryBudget {
public:
    // What each holder may hold without a share of the budget, so that the holders of much never stop small requests
    // and answers.
    static constexpr size_t freeBytes = size_t { 16 } << 10;

    explicit MemoryBudget(size_t mostBytes)
        : m_counts(std::make_shared<Counts>(Counts { mostBytes, 0, 0 }))
    {
    }

    size_t held() const { return m_counts->held; }
    size_t peak() const { return m_counts->peak; }

private:
    struct Counts {
        size_t most = 0;
        size_t held = 0; // Never more than most.
        size_t peak = 0; // Largest value of held so far.
    };

public:
    // What one holder has taken of the budget; given back at the end of its life, which may be after the budget's.
    class Share {
    public:
        explicit Share(const MemoryBudget& budget)
            : m_counts(budget.m_counts)
        {
        }
        ~Share() { release(); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        // The holder holds so many bytes now. Returns false, and changes nothing, when the budget does not allow it.
        bool resize(size_t bytes)
        {
            bytes -= std::min(bytes, freeBytes);
            if (bytes > m_bytes && bytes - m_bytes > m_counts->most - m_counts->held)
                return false;
            m_counts->held = m_counts->held - m_bytes + bytes;
            m_counts->peak = std::max(m_counts->peak, m_counts->held);
            m_bytes = bytes;
            return true;
        }
        void release() { resize(0); }

    private:
        const std::shared_ptr<Counts> m_counts;
        size_t m_bytes = 0;
    };

private:
    const std::shared_ptr<Counts> m_counts;
};

} // namespace jacinthspindle::router
