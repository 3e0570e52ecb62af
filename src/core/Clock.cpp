// System clock: monotonic and wall time of the operating system.

#include "spindlecore/Clock.h"

namespace jacinthspindle {

Instant SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace jacinthspindle
