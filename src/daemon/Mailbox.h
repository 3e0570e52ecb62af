// The decisions for one request on their way from the control thread to the request's traffic thread.

#pragma once

#include "spindlecore/Decisions.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace jacinthspindle::daemon {

// A decision and the table on which it rests.
struct Delivery {
    CoreDecision decision;
    std::shared_ptr<const Table> table;
};

// Thread-safe. It holds at most one decision per input of its request, so it is bounded by the number of attempts.
class Mailbox {
public:
    void deliver(Delivery delivery)
    {
        {
            std::lock_guard lock(m_mutex);
            m_isEnded = m_isEnded || std::holds_alternative<Abandon>(delivery.decision);
            m_deliveries.push_back(std::move(delivery));
        }
        m_arrived.notify_one();
    }

    // Waits for the next decision; returns nothing when the time limit passes first.
    std::optional<Delivery> wait(Duration limit)
    {
        std::unique_lock lock(m_mutex);
        if (!m_arrived.wait_for(lock, limit, [this] { return !m_deliveries.empty(); }))
            return std::nullopt;
        auto delivery = std::move(m_deliveries.front());
        m_deliveries.pop_front();
        return delivery;
    }

    // A decision waits to be taken.
    bool hasDelivery() const
    {
        std::lock_guard lock(m_mutex);
        return !m_deliveries.empty();
    }

    // An Abandon has been delivered: the running attempt is to be stopped.
    bool isEnded() const
    {
        std::lock_guard lock(m_mutex);
        return m_isEnded;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<Delivery> m_deliveries;
    bool m_isEnded = false;
};

} // namespace jacinthspindle::daemon
