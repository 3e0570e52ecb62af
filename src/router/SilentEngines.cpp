// Series of unanswered inquiries.

#include "router/SilentEngines.h"

namespace jacinthspindle::router {

void SilentEngines::noteSilence(const EndpointSighting& engine, Instant askedAt, Instant endedAt)
{
    auto [known, isNew] = m_engines.try_emplace(engine.endpoint, Silence { engine, askedAt, askedAt, endedAt });
    if (isNew)
        return;
    auto& silence = known->second;
    if (askedAt - silence.askedAt > longestInterval)
        silence.since = askedAt;
    silence.askedAt = askedAt;
    silence.endedAt = endedAt;
}

Duration SilentEngines::silenceOf(const EndpointId& id, Instant now) const
{
    auto found = m_engines.find(id);
    if (found == m_engines.end() || now - found->second.endedAt > longestInterval)
        return Duration::zero();
    return found->second.endedAt - found->second.since;
}

std::vector<EndpointSighting> SilentEngines::update(Instant now)
{
    std::erase_if(m_engines, [&](const auto& it) { return now - it.second.since > memory; });
    std::vector<EndpointSighting> engines;
    for (const auto& it : m_engines)
        engines.push_back(it.second.engine);
    return engines;
}

} // namespace jacinthspindle::router
