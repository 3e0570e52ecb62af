// Validity and bounds of observations.

#include "router/EndpointObservations.h"

namespace jacinthspindle::router {

bool ObservationLog::add(Instant now, const EndpointObservation& observation)
{
    for (auto& [witness, entries] : m_byWitness)
        std::erase_if(entries, [now](const auto& it) { return now - it.second.seenAt > validity; });
    std::erase_if(m_byWitness, [](const auto& it) { return it.second.empty(); });
    if (observation.age > validity)
        return false;
    auto seenAt = now - observation.age;
    auto& entries = m_byWitness[observation.witness];
    auto known = entries.find(observation.endpoint);
    if (known != entries.end() && seenAt <= known->second.seenAt)
        return false;
    if (known == entries.end() && entries.size() >= maxPerWitness)
        return false;
    entries[observation.endpoint] = { ++m_last, seenAt };
    return true;
}

std::vector<EndpointObservation> ObservationLog::since(Instant now, uint64_t number) const
{
    std::vector<EndpointObservation> observations;
    for (const auto& [witness, entries] : m_byWitness) {
        for (const auto& [endpoint, entry] : entries) {
            auto age = std::chrono::ceil<std::chrono::milliseconds>(now - entry.seenAt);
            if (entry.number > number && age <= validity)
                observations.push_back({ endpoint, witness, age });
        }
    }
    return observations;
}

} // namespace jacinthspindle::router
