// Measures for how long an event loop did not run: its process was not scheduled, was suspended, or one of its handlers
// took long.

#pragma once

#include <spindlecore/spindlecore.h>

#include <deque>
#include <optional>

namespace jacinthspindle::router {

// Not thread-safe; belongs to the loop that it measures.
class LoopWatch {
public:
    // Shorter delays are usual for timers.
    static constexpr Duration leastDelay = std::chrono::milliseconds(100);
    static constexpr Duration memory = std::chrono::seconds(3);

    // interval: time between two calls of tick() when the loop is not delayed.
    explicit LoopWatch(Duration interval)
        : m_interval(interval)
    {
    }

    // Called by a timer of the loop. Returns how late the call is; zero when it is late by less than leastDelay.
    Duration tick(Instant now);

    // Returns the longest delay of a tick within the last memory, including that of the next tick if it is due.
    Duration longestDelay(Instant now) const;

private:
    struct Delay {
        Instant endedAt {};
        Duration length {};
    };

    Duration delayAt(Instant now) const;

    Duration m_interval;
    std::optional<Instant> m_tickedAt;
    std::deque<Delay> m_delays; // Of at least leastDelay, oldest first; older ones than memory are dropped by tick().
};

} // namespace jacinthspindle::router
