// Clock interface. All code that needs the time is passed a Clock; only the programs create a SystemClock.

#pragma once

#include "spindlecore/Types.h"

namespace jacinthspindle {

// Implementations are thread-safe.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0; // Monotonic.
    virtual WallTime wallNow() const = 0; // In whole milliseconds.
};

class SystemClock final : public Clock {
public:
    Instant now() const override;
    WallTime wallNow() const override;
};

// A clock that is advanced explicitly, for tests and for benchmarks of the decision core. Its wall time is derived from
// its monotonic time. Not thread-safe.
class ManualClock final : public Clock {
public:
    Instant now() const override { return m_now; }
    WallTime wallNow() const override
    {
        return WallTime(std::chrono::floor<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }
    void advance(Duration step) { m_now += step; }
    void set(Instant now) { m_now = now; }

private:
    Instant m_now {};
};

} // namespace jacinthspindle
