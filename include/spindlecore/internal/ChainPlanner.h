// Chooses the chain of an attempt: each layer once, in order, one version, at the least expected time.

#pragma once

#include "spindlecore/internal/EndpointBook.h"
#include "spindlecore/internal/PrefixIndex.h"
#include "spindlecore/internal/ServiceModel.h"

#include <random>
#include <vector>

namespace jacinthspindle::internal {

// Maps a random number to [0, 1); std distributions differ between standard libraries.
inline double uniform(std::mt19937_64& random)
{
    return static_cast<double>(random() >> 11) / 9007199254740992.0;
}

// The endpoints of a subset that hold the same layers.
struct StageGroup {
    LayerRange layers;
    uint32_t firstBoundary = 0; // Indices into Pool::boundaries.
    uint32_t endBoundary = 0;
    std::vector<EndpointIndex> members;
};

// The subset of endpoints from which this daemon serves one target, version and adapter.
struct Pool {
    RouteKind kind = RouteKind::Model;
    uint32_t layers = 0;
    std::vector<uint32_t> boundaries; // Ascending from 0 to layers; a service has only 0.
    std::vector<StageGroup> groups;
    bool isCovered = false; // Every layer is held by some member.
    // For a model, the same members by data centre, the daemon's own one first. Empty in these parts.
    std::vector<Pool> dataCentres;
};

struct SubsetSettings {
    DataCentreId dataCentre;
    uint64_t seed = 0;
    uint32_t localPerGroup = 0; // Endpoints of the own data centre per group.
    uint32_t remotePerGroup = 0; // Endpoints of other data centres; they also fill up missing local ones.
};

// Builds the subset by rendezvous hashing, so that few members change when endpoints come or go.
Pool buildPool(const EndpointBook&, const RouteRow&, const SubsetSettings&);

// What an attempt needs.
struct PlanRequest {
    double promptTokens = 0; // To be computed before the first token.
    double tokens = 0; // Expected to be generated.
    const std::vector<uint64_t>* prefixDigests = nullptr;
    const std::vector<EndpointIndex>* avoid = nullptr;
    bool needsRoom = true; // False: the attempt may wait at the engine; for admitted work that is replaced.
};

struct Plan {
    Chain chain; // Empty when there is no chain.
    std::vector<EndpointIndex> hops;
    double promptTokens = 0; // Expected to be computed, after cache hits.
    double firstToken = 0; // Expected seconds to the first token.
    double perToken = 0; // Expected seconds between tokens.
    bool expectsHit = false;
    bool isSlow = false; // Some endpoint says that it works much slower than its kind.
};

class ChainPlanner {
public:
    // choices: candidates per group and decision; 0 looks at all of them.
    ChainPlanner(const EndpointBook&, const ServiceModel&, const PrefixIndex&, uint32_t choices);

    // Returns a plan with an empty chain when no chain covers all layers. A chain stays inside one data centre, the own
    // one where it has room: a prompt's activations fill the pipe between two data centres, while the stream of an
    // answer is small. Chains cross only while no data centre can run all layers.
    Plan plan(Instant now, const Pool&, const PlanRequest&, std::mt19937_64& random);

private:
    struct Candidate {
        EndpointIndex index = 0;
        const StageGroup* group = nullptr;
        double prefill = 0; // Seconds per layer for the whole prompt.
        double decode = 0; // Seconds per layer and token.
        double wait = 0; // Seconds until a slot is free.
        double uncached = 1; // Expected share of the prompt that has to be computed.
    };
    // The cheapest way to have a candidate run the segment between two neighbouring boundaries.
    struct Step {
        double cost = 0;
        int32_t previous = -1; // Index of a step; -1 at the start.
        uint32_t candidate = 0;
        uint32_t from = 0; // Boundaries.
        uint32_t to = 0;
    };
    // Neighbouring segments that one candidate runs.
    struct Run {
        uint32_t candidate = 0;
        uint32_t from = 0; // Boundaries.
        uint32_t to = 0;
    };

    // A chain over the members of one data centre, or over all of them.
    Plan planWithin(Instant now, const Pool&, const PlanRequest&, std::mt19937_64& random);
    // Tries the data centres one after the other, the first one first and the others in random order.
    Plan planInOne(Instant now, const Pool&, const PlanRequest&, std::mt19937_64& random);
    void collect(Instant now, const Pool&, const PlanRequest&, std::mt19937_64& random);
    bool addCandidate(Instant now, const StageGroup&, EndpointIndex, const PlanRequest&, std::mt19937_64& random);
    Plan planService(Instant now, const Pool&, const PlanRequest&);
    // stagePrice: seconds that a chain is charged for each stage after the first.
    Plan search(const Pool&, const PlanRequest&, double stagePrice);
    std::vector<Run> runsOf(int32_t last) const;
    Plan trace(const Pool&, const PlanRequest&, int32_t last) const;

    const EndpointBook& m_book;
    const ServiceModel& m_model;
    const PrefixIndex& m_prefixes;
    uint32_t m_choices;
    std::vector<Candidate> m_candidates; // Reused between calls.
    std::vector<Step> m_steps;
};

} // namespace jacinthspindle::internal
