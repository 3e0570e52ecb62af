// Pace at which a reader sends the load of a data centre's engines to its followers.

#pragma once

#include <spindlecore/spindlecore.h>

#include <map>
#include <string>

namespace jacinthspindle::router {

// The load goes to all followers and grows with the engines, so that its traffic grows with the square of the fleet.
// Bounds it to a share of the reader's link by sending it less often. Deterministic and without I/O. Not thread-safe.
class LoadPace {
public:
    // Share of the link that the load may take.
    static constexpr double linkShare = 0.2;
    // Encoded size of one engine's load.
    static constexpr size_t bytesPerEngine = 48;
    // Older load says little about the present. A fleet that is too large for the link is sent its load this often.
    static constexpr Duration maxInterval = std::chrono::milliseconds(1500);

    // linkMbps: speed of the reader's link; 0: unknown, the load is always sent.
    explicit LoadPace(uint32_t linkMbps)
        : m_bytesPerSecond(linkMbps * linkShare * 1e6 / 8)
    {
    }

    // Returns the time between two messages with the load of this many engines to one of this many followers.
    Duration interval(size_t followers, size_t engines) const;

    // Returns true, and counts the message as sent, when the interval has passed since the last one to this daemon.
    bool takeTurn(Instant now, const std::string& daemon, size_t followers, size_t engines);

private:
    double m_bytesPerSecond;
    std::map<std::string, Instant> m_sentAt; // By daemon; those that have not asked for maxInterval are removed.
};

} // namespace jacinthspindle::router
