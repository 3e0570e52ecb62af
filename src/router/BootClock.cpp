// Time since boot, from the operating system.

#include "router/BootClock.h"

#include <ctime>

namespace jacinthspindle::router {

Instant BootClock::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime BootClock::wallNow() const
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace jacinthspindle::router
