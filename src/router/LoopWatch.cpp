// Delays of an event loop's timer.

#include "router/LoopWatch.h"

#include <algorithm>

namespace jacinthspindle::router {

Duration LoopWatch::delayAt(Instant now) const
{
    auto late = m_tickedAt ? now - *m_tickedAt - m_interval : Duration::zero();
    return late < leastDelay ? Duration::zero() : late;
}

Duration LoopWatch::tick(Instant now)
{
    auto delay = delayAt(now);
    m_tickedAt = now;
    while (!m_delays.empty() && now - m_delays.front().endedAt > memory)
        m_delays.pop_front();
    if (delay > Duration::zero())
        m_delays.push_back({ now, delay });
    return delay;
}

Duration LoopWatch::longestDelay(Instant now) const
{
    auto longest = delayAt(now);
    for (const auto& it : m_delays) {
        if (now - it.endedAt <= memory)
            longest = std::max(longest, it.length);
    }
    return longest;
}

} // namespace jacinthspindle::router
