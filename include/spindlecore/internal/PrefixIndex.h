// Which endpoints are believed to hold which cached prefixes. Events are late and may be lost, so that a prefix is only
// believed with a probability.

#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace jacinthspindle::internal {

class PrefixIndex {
public:
    void apply(
        uint32_t endpoint, uint64_t sequence, const std::vector<uint64_t>& added, const std::vector<uint64_t>& removed);

    // Share of the prompt that the endpoint holds, times the probability that it still does.
    double expectedShare(uint32_t endpoint, const std::vector<uint64_t>& digests) const;

    // Endpoints that hold the longest known prefix of the prompt; empty when none is known.
    const std::vector<uint32_t>& holders(const std::vector<uint64_t>& digests) const;

    // An answer began as fast as a hit would, or not. The belief in the endpoint's events follows.
    void learn(uint32_t endpoint, bool wasHit);
    void forget(uint32_t endpoint);

private:
    struct Holder {
        uint64_t sequence = 0;
        double belief = 1; // Probability that an event of this endpoint is still true.
        std::deque<uint64_t> order; // Oldest first; may hold digests that were removed since.
    };

    void add(uint32_t endpoint, uint64_t digest);
    void remove(uint32_t endpoint, uint64_t digest);
    bool holds(uint32_t endpoint, uint64_t digest) const;

    std::unordered_map<uint32_t, Holder> m_holders; // Only looked up, never iterated over.
    std::unordered_map<uint64_t, std::vector<uint32_t>> m_endpointsOf; // Likewise.
    std::vector<uint32_t> m_none;
};

} // namespace jacinthspindle::internal
