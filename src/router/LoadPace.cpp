// Interval between messages and their turns.

#include "router/LoadPace.h"

#include <algorithm>

namespace jacinthspindle::router {

Duration LoadPace::interval(size_t followers, size_t engines) const
{
    if (m_bytesPerSecond <= 0)
        return Duration::zero();
    double seconds = static_cast<double>(followers * engines * bytesPerEngine) / m_bytesPerSecond;
    auto limited = std::min(seconds, std::chrono::duration<double>(maxInterval).count());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(limited));
}

bool LoadPace::takeTurn(Instant now, const std::string& daemon, size_t followers, size_t engines)
{
    auto [it, isNew] = m_sentAt.try_emplace(daemon, now);
    if (!isNew && now - it->second < interval(followers, engines))
        return false;
    it->second = now;
    if (isNew)
        std::erase_if(m_sentAt, [now](const auto& entry) { return now - entry.second > maxInterval; });
    return true;
}

} // namespace jacinthspindle::router
