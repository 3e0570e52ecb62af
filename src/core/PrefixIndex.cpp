// Applies cache events and looks up cached prefixes.

#include "spindlecore/internal/PrefixIndex.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // These bound the memory: a prefix takes about 64 bytes, and there are at most 536 endpoints.
    constexpr size_t maxPrefixesPerEndpoint = 1024;
    constexpr size_t maxHoldersPerPrefix = 32;
    // A gap in the sequence of events may hide removals. Each gap multiplies the confidence by the factor, and each
    // event without a gap raises it by the gain.
    constexpr double confidenceFactorAfterGap = 0.5;
    constexpr double confidenceGain = 0.02;
    // Rate at which the confidence follows the measured cache hits.
    constexpr double learningRate = 0.1;

} // namespace

void PrefixIndex::apply(
    uint32_t endpoint, uint64_t sequence, const std::vector<uint64_t>& added, const std::vector<uint64_t>& removed)
{
    auto& cache = m_caches[endpoint];
    if (cache.sequence && sequence <= cache.sequence)
        return;
    bool hasGap = cache.sequence && sequence != cache.sequence + 1;
    cache.confidence
        = hasGap ? cache.confidence * confidenceFactorAfterGap : std::min(1.0, cache.confidence + confidenceGain);
    cache.sequence = sequence;
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
    auto& insertionOrder = m_caches[endpoint].insertionOrder;
    insertionOrder.push_back(digest);
    if (insertionOrder.size() <= maxPrefixesPerEndpoint)
        return;
    auto oldest = insertionOrder.front();
    insertionOrder.pop_front();
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
    // An endpoint that holds a prefix also holds all shorter ones, so a binary search finds the longest.
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
        return m_noHolders;
    return m_endpointsOf.at(digests[low - 1]);
}

double PrefixIndex::expectedShare(uint32_t endpoint, const std::vector<uint64_t>& digests) const
{
    auto cache = m_caches.find(endpoint);
    if (digests.empty() || cache == m_caches.end())
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
    return cache->second.confidence * static_cast<double>(low) / static_cast<double>(digests.size());
}

void PrefixIndex::learn(uint32_t endpoint, bool wasHit)
{
    auto it = m_caches.find(endpoint);
    if (it != m_caches.end())
        it->second.confidence += learningRate * ((wasHit ? 1.0 : 0.0) - it->second.confidence);
}

void PrefixIndex::removeEndpoint(uint32_t endpoint)
{
    auto it = m_caches.find(endpoint);
    if (it == m_caches.end())
        return;
    auto insertionOrder = std::move(it->second.insertionOrder);
    m_caches.erase(it);
    for (auto digest : insertionOrder)
        remove(endpoint, digest);
}

} // namespace jacinthspindle::internal
