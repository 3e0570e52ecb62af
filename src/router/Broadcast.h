// Wakes all coroutines of an event loop that wait for a change.

#pragma once

#include "router/Net.h"

namespace jacinthspindle::router {

// Belongs to one event loop.
class Broadcast {
public:
    explicit Broadcast(net::io_context& io)
        : m_timer(io)
    {
    }

    // Returns at the next notify(), or after a while without one; the caller tests its condition again.
    net::awaitable<void> wait()
    {
        if (m_timer.expiry() <= net::steady_timer::clock_type::now())
            m_timer.expires_after(longestWait);
        ErrorCode ec;
        co_await m_timer.async_wait(awaitInto(ec));
    }

    void notify() { m_timer.expires_after(longestWait); }

private:
    // Bounds how late a caller notices that its own time limit has passed.
    static constexpr std::chrono::milliseconds longestWait { 100 };

    net::steady_timer m_timer;
};

} // namespace jacinthspindle::router
