// Bookkeeping of revisions and the digest of a list.

#include "router/EndpointHistory.h"

#include <algorithm>

namespace jacinthspindle::router {

namespace {

    // FNV-1a, which gives the same value on all daemons and releases.
    constexpr uint64_t hashBasis = 14695981039346656037ULL;
    constexpr uint64_t hashPrime = 1099511628211ULL;

    void mix(uint64_t& hash, unsigned char byte)
    {
        hash = (hash ^ byte) * hashPrime;
    }

    void mix(uint64_t& hash, std::string_view text)
    {
        for (char it : text)
            mix(hash, static_cast<unsigned char>(it));
        mix(hash, static_cast<unsigned char>(0));
    }

    void mix(uint64_t& hash, uint32_t number)
    {
        for (uint32_t shift = 0; shift < 32; shift += 8)
            mix(hash, static_cast<unsigned char>(number >> shift));
    }

} // namespace

void EndpointHistory::recordUpdate(const EndpointId& id)
{
    m_updatedAt[id] = m_revision;
    m_removedAt.erase(id);
}

void EndpointHistory::recordRemoval(const EndpointId& id)
{
    m_updatedAt.erase(id);
    m_removedAt[id] = m_revision;
    if (m_removedAt.size() > maxRemovals)
        dropOldRemovals();
}

// Drops the older half, so that the cost of a removal does not grow with the removals that are kept.
void EndpointHistory::dropOldRemovals()
{
    std::vector<uint64_t> revisions;
    revisions.reserve(m_removedAt.size());
    for (const auto& it : m_removedAt)
        revisions.push_back(it.second);
    auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    m_oldestBase = std::max(m_oldestBase, *middle);
    std::erase_if(m_removedAt, [&](const auto& it) { return it.second <= m_oldestBase; });
}

std::optional<EndpointChanges> EndpointHistory::changesSince(
    uint64_t revision, const std::map<EndpointId, EndpointSighting>& list) const
{
    if (revision < m_oldestBase || revision > m_revision)
        return std::nullopt;
    EndpointChanges changes;
    changes.since = revision;
    if (revision == m_revision)
        return changes;
    for (const auto& [id, updatedAt] : m_updatedAt) {
        auto it = list.find(id);
        if (updatedAt > revision && it != list.end())
            changes.updated.push_back(it->second);
    }
    for (const auto& [id, removedAt] : m_removedAt) {
        if (removedAt > revision)
            changes.removed.push_back(id);
    }
    return changes;
}

uint64_t digestOf(const std::map<EndpointId, EndpointSighting>& list)
{
    uint64_t digest = 0;
    for (const auto& [id, endpoint] : list) {
        uint64_t hash = hashBasis;
        mix(hash, id.value());
        mix(hash, endpoint.address);
        mix(hash, endpoint.layers.first);
        mix(hash, endpoint.layers.end);
        digest ^= hash;
    }
    return digest;
}

} // namespace jacinthspindle::router
