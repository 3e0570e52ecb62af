// Bookkeeping of cache events.

#include "spindlecore/internal/PrefixIndex.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // Bounds the memory: about 64 bytes per prefix, 536 endpoints at most.
    constexpr size_t maxPrefixesPerEndpoint = 1024;
    constexpr size_t maxHoldersPerPrefix = 32;
    // A gap may hide removals: each halves the belief, and events without a gap restore it slowly.
    constexpr double beliefAfterGap = 0.5;
    constexpr double beliefGain = 0.02;
    constexpr double learningRate = 0.1;

} // namespace

void PrefixIndex::apply(
    uint32_t endpoint, uint64_t sequence, const std::vector<uint64_t>& added, const std::vector<uint64_t>& removed)
{
    auto& holder = m_holders[endpoint];
    if (holder.sequence && sequence <= holder.sequence)
        return;
    bool hasGap = holder.sequence && sequence != holder.sequence + 1;
    holder.belief = hasGap ? holder.belief * beliefAfterGap : std::min(1.0, holder.belief + beliefGain);
    holder.sequence = sequence;
    for (auto digest : removed)
        remove(endpoint, digest);
    for (auto digest : added)
        add(endpoint, digest);
}

void PrefixIndex::add(uint32_t endpoint, uint64_t digest)
{
    if (holds(endpoint, digest))
        return;
    auto& endpoints = m_endpointsOf[digest];
    if (endpoints.size() >= maxHoldersPerPrefix)
        return;
    endpoints.push_back(endpoint);
    auto& order = m_holders[endpoint].order;
    order.push_back(digest);
    if (order.size() <= maxPrefixesPerEndpoint)
        return;
    auto oldest = order.front();
    order.pop_front();
    remove(endpoint, oldest);
}

void PrefixIndex::remove(uint32_t endpoint, uint64_t digest)
{
    auto it = m_endpointsOf.find(digest);
    if (it == m_endpointsOf.end())
        return;
    std::erase(it->second, endpoint);
    if (it->second.empty())
        m_endpointsOf.erase(it);
}

bool PrefixIndex::holds(uint32_t endpoint, uint64_t digest) const
{
    auto it = m_endpointsOf.find(digest);
    return it != m_endpointsOf.end() && std::find(it->second.begin(), it->second.end(), endpoint) != it->second.end();
}

const std::vector<uint32_t>& PrefixIndex::holders(const std::vector<uint64_t>& digests) const
{
    // A holder of a prefix also holds the shorter ones, so that the longest known one is found by halving.
    size_t low = 0;
    size_t high = digests.size();
    while (low < high) {
        size_t middle = (low + high + 1) / 2;
        if (m_endpointsOf.contains(digests[middle - 1]))
            low = middle;
        else
            high = middle - 1;
    }
    if (!low)
        return m_none;
    return m_endpointsOf.at(digests[low - 1]);
}

double PrefixIndex::expectedShare(uint32_t endpoint, const std::vector<uint64_t>& digests) const
{
    auto holder = m_holders.find(endpoint);
    if (digests.empty() || holder == m_holders.end())
        return 0;
    size_t low = 0;
    size_t high = digests.size();
    while (low < high) {
        size_t middle = (low + high + 1) / 2;
        if (holds(endpoint, digests[middle - 1]))
            low = middle;
        else
            high = middle - 1;
    }
    return holder->second.belief * static_cast<double>(low) / static_cast<double>(digests.size());
}

void PrefixIndex::learn(uint32_t endpoint, bool wasHit)
{
    auto it = m_holders.find(endpoint);
    if (it != m_holders.end())
        it->second.belief += learningRate * ((wasHit ? 1.0 : 0.0) - it->second.belief);
}

void PrefixIndex::forget(uint32_t endpoint)
{
    auto it = m_holders.find(endpoint);
    if (it == m_holders.end())
        return;
    auto order = std::move(it->second.order);
    m_holders.erase(it);
    for (auto digest : order)
        remove(endpoint, digest);
}

} // namespace jacinthspindle::internal
