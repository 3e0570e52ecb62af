// Index of the prompt prefixes that endpoints have cached, built from their cache events. Events arrive late and may be
// lost, so each endpoint has a confidence: the probability that its cached prefixes are still as recorded.

#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace jacinthspindle::internal {

class PrefixIndex {
public:
    // Applies a cache event of the endpoint; an event whose sequence number is not greater than the last one is
    // ignored.
    void apply(
        uint32_t endpoint, uint64_t sequence, const std::vector<uint64_t>& added, const std::vector<uint64_t>& removed);

    // Share of the prompt that the endpoint has cached according to the index, times the endpoint's confidence. The
    // digests are those of the prompt's prefixes, shortest first.
    double expectedShare(uint32_t endpoint, const std::vector<uint64_t>& digests) const;

    // Endpoints that hold the longest indexed prefix of the prompt; empty if no prefix is indexed.
    const std::vector<uint32_t>& holders(const std::vector<uint64_t>& digests) const;

    // Adjusts the endpoint's confidence after an answer for which a cache hit was expected. wasHit: the time to the
    // first token was closer to the estimate for a hit than to that for a miss.
    void learn(uint32_t endpoint, bool wasHit);
    // Removes all prefixes and the confidence of the endpoint.
    void removeEndpoint(uint32_t endpoint);

private:
    struct EndpointCache {
        uint64_t sequence = 0; // Of the last event; 0: none yet.
        double confidence = 1; // Probability that the endpoint's recorded prefixes are still cached.
        std::deque<uint64_t> insertionOrder; // Digests, oldest first; may include digests that have been removed since.
    };

    void add(uint32_t endpoint, uint64_t digest);
    void remove(uint32_t endpoint, uint64_t digest);
    bool holds(uint32_t endpoint, uint64_t digest) const;

    // Both maps are only looked up, never iterated over.
    std::unordered_map<uint32_t, EndpointCache> m_caches; // By endpoint.
    std::unordered_map<uint64_t, std::vector<uint32_t>> m_endpointsOf; // By digest.
    std::vector<uint32_t> m_noHolders; // Always empty; returned by holders() if no prefix is indexed.
};

} // namespace jacinthspindle::internal
