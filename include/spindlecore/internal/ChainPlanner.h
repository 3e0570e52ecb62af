// Chooses the chain of endpoints for an attempt. A chain runs every layer once and in order, uses one model version,
// and has the least estimated time among the candidates considered.

#pragma once

#include "spindlecore/internal/EndpointRegistry.h"
#include "spindlecore/internal/PrefixIndex.h"
#include "spindlecore/internal/ServiceModel.h"

#include <random>
#include <vector>

namespace jacinthspindle::internal {

// Maps a random number to [0, 1). The distributions of the standard library would give different values on different
// implementations.
inline double uniform(std::mt19937_64& random)
{
    return static_cast<double>(random() >> 11) / 9007199254740992.0;
}

// The endpoints of a pool that hold the same range of layers.
struct StageGroup {
    LayerRange layers;
    uint32_t firstBoundary = 0; // Index into Pool::boundaries.
    uint32_t endBoundary = 0; // Index into Pool::boundaries, one past the last segment.
    std::vector<EndpointIndex> members;
};

// The subset of endpoints that this daemon uses for one target, version and adapter.
struct Pool {
    RouteKind kind = RouteKind::Model;
    uint32_t layers = 0;
    std::vector<uint32_t> boundaries; // Layer numbers, ascending from 0 to layers; a service has only 0.
    std::vector<StageGroup> groups;
    bool isCovered = false; // Every layer is held by at least one member.
    // For a model: the same members split by data centre, the daemon's own data centre first. Empty in the nested
    // pools.
    std::vector<Pool> dataCentres;
};

struct SubsetSettings {
    DataCentreId dataCentre;
    uint64_t seed = 0;
    uint32_t localPerGroup = 0; // Endpoints of the daemon's own data centre per group.
    uint32_t remotePerGroup = 0; // Endpoints of other data centres per group; more are added if local ones are missing.
};

// Selects the subset by rendezvous hashing, so that few members change when endpoints are added or removed.
Pool buildPool(const EndpointRegistry&, const RouteRow&, const SubsetSettings&);

// The work for which a chain is planned.
struct PlanRequest {
    double promptTokens = 0; // To be computed before the first token.
    double tokens = 0; // Expected number of generated tokens.
    // Digests of the prompt's prefixes, shortest first; may be null.
    const std::vector<uint64_t>* prefixDigests = nullptr;
    const std::vector<EndpointIndex>* excluded = nullptr; // Endpoints excluded from the chain; may be null.
    // Whether every endpoint needs a free slot. False when an admitted request is dispatched again: its attempt may
    // queue at the engine.
    bool needsFreeSlot = true;
};

struct Plan {
    Chain chain; // Empty if no chain was found.
    std::vector<EndpointIndex> hops; // The endpoints of the chain's stages, in the same order.
    double promptTokens = 0; // Expected number of prompt tokens to compute after cache hits.
    double secondsToFirstToken = 0; // Expected seconds to the first token.
    double secondsPerToken = 0; // Expected seconds between tokens.
    bool expectsHit = false; // Some endpoint is expected to have a prefix of the prompt cached.
    bool isSlow = false; // Some endpoint reports a pace of slowPace or more.
};

class ChainPlanner {
public:
    // choices: number of candidates to consider per group and decision; 0 considers all members.
    ChainPlanner(const EndpointRegistry&, const ServiceModel&, const PrefixIndex&, uint32_t choices);

    // Returns a plan with an empty chain if no chain covers all layers. A chain stays inside one data centre, the
    // daemon's own if it has free slots: the activations of prompts fill the link between two data centres, whereas the
    // stream of an answer is small. A chain spans several data centres only while no single one can run all layers.
    Plan plan(Instant now, const Pool&, const PlanRequest&, std::mt19937_64& random);

private:
    struct Candidate {
        EndpointIndex index = 0;
        const StageGroup* group = nullptr;
        double prefill = 0; // Seconds per layer for the whole prompt.
        double decode = 0; // Seconds per layer and token.
        double wait = 0; // Expected seconds until a slot is free.
        double uncached = 1; // Expected share of the prompt that has to be computed.
    };
    // The cheapest partial chain in which a candidate runs the segment between two adjacent boundaries.
    struct Step {
        double cost = 0; // Seconds.
        int32_t previous = -1; // Index into m_steps; -1 for the first segment.
        uint32_t candidate = 0; // Index into m_candidates.
        uint32_t from = 0; // Index into Pool::boundaries.
        uint32_t to = 0; // Index into Pool::boundaries.
    };
    // Consecutive segments that one candidate runs.
    struct Run {
        uint32_t candidate = 0; // Index into m_candidates.
        uint32_t from = 0; // Index into Pool::boundaries.
        uint32_t to = 0; // Index into Pool::boundaries.
    };

    // Plans a chain over all members of the pool, which may be the nested pool of one data centre.
    Plan planOverPool(Instant now, const Pool&, const PlanRequest&, std::mt19937_64& random);
    // Plans a chain inside one data centre. Tries the daemon's own data centre first, then the others in turn from a
    // random start.
    Plan planInDataCentre(Instant now, const Pool&, const PlanRequest&, std::mt19937_64& random);
    void collectCandidates(Instant now, const Pool&, const PlanRequest&, std::mt19937_64& random);
    // Returns whether the endpoint is usable and among the candidates.
    bool addCandidate(Instant now, const StageGroup&, EndpointIndex, const PlanRequest&, std::mt19937_64& random);
    Plan planService(Instant now, const Pool&, const PlanRequest&);
    // stagePenalty: seconds added to the cost of a chain for each stage after the first.
    Plan searchChain(const Pool&, const PlanRequest&, double stagePenalty);
    // last: index of the last step of the chain.
    std::vector<Run> joinRuns(int32_t last) const;
    Plan buildPlan(const Pool&, const PlanRequest&, int32_t last) const;

    const EndpointRegistry& m_endpoints;
    const ServiceModel& m_model;
    const PrefixIndex& m_prefixes;
    uint32_t m_candidatesPerGroup; // 0: all members.
    std::vector<Candidate> m_candidates; // Kept between calls to reuse the memory.
    std::vector<Step> m_steps; // Kept between calls to reuse the memory.
};

} // namespace jacinthspindle::internal
