// A clock that also counts the time for which the host was suspended. The age of what a daemon believes must include
// that time: a key may have been taken away meanwhile.

#pragma once

#include <spindlecore/spindlecore.h>

namespace jacinthspindle::router {

class BootClock final : public Clock {
public:
    Instant now() const override;
    WallTime wallNow() const override;
};

} // namespace jacinthspindle::router
