// Exponential backoff of endpoints and pauses that they request.

#include "spindlecore/EndpointPauses.h"

#include <algorithm>

namespace jacinthspindle {

bool EndpointPauses::recordFailure(Instant now, const EndpointId& id)
{
    auto [it, isNew] = m_pauses.try_emplace(id);
    auto& pause = it->second;
    if (pause.isInProgress)
        return false;
    pause.length = isNew ? minPause : std::clamp(pause.length * 2, minPause, maxPause);
    pause.until = now + pause.length;
    pause.isInProgress = true;
    return true;
}

bool EndpointPauses::applyRequestedPause(Instant now, const EndpointId& id, Duration length)
{
    if (length <= Duration::zero())
        return false;
    auto [it, isNew] = m_pauses.try_emplace(id);
    auto& pause = it->second;
    bool begins = !pause.isInProgress;
    pause.until = std::max(begins ? now : pause.until, now + std::min(length, maxRequestedPause));
    // A requested pause is no failure: without an earlier one, the next failure starts at minPause.
    pause.length = isNew ? Duration::zero() : pause.length;
    pause.isInProgress = true;
    return begins;
}

std::vector<EndpointId> EndpointPauses::takeEnded(Instant now)
{
    std::vector<EndpointId> ended;
    for (auto& [id, pause] : m_pauses) {
        if (!pause.isInProgress || now < pause.until)
            continue;
        pause.isInProgress = false;
        ended.push_back(id);
    }
    // An endpoint has recovered when it has not failed for twice the length of its last pause after that pause ended.
    std::erase_if(m_pauses,
        [&](const auto& it) { return !it.second.isInProgress && now >= it.second.until + 2 * it.second.length; });
    return ended;
}

bool EndpointPauses::isPaused(const EndpointId& id) const
{
    auto it = m_pauses.find(id);
    return it != m_pauses.end() && it->second.isInProgress;
}

} // namespace jacinthspindle
