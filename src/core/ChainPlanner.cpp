// Searches for the chain with the least expected time over a few candidates per stage.

#include "spindlecore/internal/ChainPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jacinthspindle::internal {

namespace {

    // Slowdown of a full batch relative to an empty one, used where no time per sequence is configured.
    constexpr double batchSlowdown = 0.5;
    // Above this share of occupied slots an engine soon preempts requests or queues them. The cost added for it rises
    // up to the time of a whole request.
    constexpr double crowdedLoad = 0.7;
    // Maximum random share added to an engine's expected time, so that daemons with the same load reports do not all
    // choose the same engine.
    constexpr double costJitter = 0.15;
    // Typical time for which an attempt holds a slot; used to estimate the wait for a free slot.
    constexpr double typicalSlotHoldSeconds = 4;
    // Weight of the risk that several daemons choose the same free slots.
    constexpr double contentionWeight = 3;
    // Cost of stages with different speeds: the slots of the faster stages are idle while the slower ones compute.
    constexpr double speedMismatchWeight = 5;
    // Limit on repeated searches for a chain of at most maxChainStages; each search takes as long as the first.
    constexpr int maxSearches = 6;
    constexpr double stagePenaltyGrowth = 4;
    // A chain of another data centre must be faster by this factor, since its events cross between data centres.
    constexpr double minRemoteSpeedup = 1.3;
    // Endpoints are no longer added for a cached prefix once a decision has this many candidates.
    constexpr size_t maxCandidates = 32;

    bool contains(const std::vector<EndpointIndex>* list, EndpointIndex index)
    {
        return list && std::find(list->begin(), list->end(), index) != list->end();
    }

} // namespace

ChainPlanner::ChainPlanner(
    const EndpointRegistry& registry, const ServiceModel& model, const PrefixIndex& prefixes, uint32_t choices)
    : m_endpoints(registry)
    , m_model(model)
    , m_prefixes(prefixes)
    , m_candidatesPerGroup(choices)
{
}

bool ChainPlanner::addCandidate(
    Instant now, const StageGroup& group, EndpointIndex index, const PlanRequest& request, std::mt19937_64& random)
{
    const auto& entry = m_endpoints[index];
    if (!entry.mayServe() || !entry.breaker.allowsRequest(now) || contains(request.excluded, index))
        return false;
    double freeSlots = m_endpoints.freeSlots(now, entry);
    // A slot released by this daemon since the last report is known only to this daemon. The other daemons compete for
    // all other free slots.
    bool isSlotReleasedHere = entry.ownAttempts < entry.ownAttemptsAtReport;
    double competingDaemons
        = isSlotReleasedHere || entry.row.kind != EndpointKind::Engine ? 1 : m_endpoints.daemonCount();
    if (request.needsFreeSlot && freeSlots < std::max(1.0, competingDaemons * uniform(random)))
        return false;
    for (const auto& it : m_candidates) {
        if (it.index == index)
            return true;
    }
    double slots = std::max(1U, entry.row.slots);
    double load = std::clamp(1 - (freeSlots - 1) / slots, 0.0, 1.0);
    auto time = m_model.layerTime(entry);
    Candidate candidate;
    candidate.index = index;
    candidate.group = &group;
    if (request.prefixDigests)
        candidate.uncached = 1 - m_prefixes.expectedShare(index, *request.prefixDigests);
    double slowdown = time.perSequence > 0 ? 1 + time.perSequence * std::max(0.0, slots - freeSlots) / time.decode
                                           : 1 + batchSlowdown * load;
    slowdown *= 1 + costJitter * uniform(random);
    candidate.prefill = request.promptTokens * candidate.uncached * time.prefill * slowdown;
    candidate.decode = time.decode * slowdown;
    double contention = isSlotReleasedHere ? 0 : contentionWeight / std::max(1.0, freeSlots);
    double crowding = std::max(0.0, load - crowdedLoad) / (1 - crowdedLoad);
    candidate.wait = (std::max(0.0, 1 - freeSlots) + contention) * typicalSlotHoldSeconds / slots
        + crowding * crowding * typicalSlotHoldSeconds;
    m_candidates.push_back(candidate);
    return true;
}

void ChainPlanner::collectCandidates(Instant now, const Pool& pool, const PlanRequest& request, std::mt19937_64& random)
{
    m_candidates.clear();
    for (const auto& group : pool.groups) {
        if (group.members.empty())
            continue;
        size_t wanted = m_candidatesPerGroup ? m_candidatesPerGroup : group.members.size();
        size_t start = random() % group.members.size();
        for (size_t i = 0, found = 0; i < group.members.size() && found < wanted; ++i)
            found += addCandidate(now, group, group.members[(start + i) % group.members.size()], request, random);
    }
    if (!request.prefixDigests || request.prefixDigests->empty())
        return;
    for (auto holder : m_prefixes.holders(*request.prefixDigests)) {
        for (const auto& group : pool.groups) {
            bool isMember = std::find(group.members.begin(), group.members.end(), holder) != group.members.end();
            if (isMember && m_candidates.size() < maxCandidates)
                addCandidate(now, group, holder, request, random);
        }
    }
}

Plan ChainPlanner::planService(Instant now, const Pool& pool, const PlanRequest&)
{
    Plan plan;
    const Candidate* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto& it : m_candidates) {
        const auto& entry = m_endpoints[it.index];
        double cost
            = m_model.callTime(entry) * (1 + m_endpoints.outstanding(now, entry)) / std::max(1U, entry.row.weight);
        if (cost < bestCost) {
            best = &it;
            bestCost = cost;
        }
    }
    if (!best || pool.groups.empty())
        return plan;
    plan.chain.push_back({ m_endpoints[best->index].row.endpoint, {} });
    plan.hops.push_back(best->index);
    plan.secondsToFirstToken = m_model.callTime(m_endpoints[best->index]) + best->wait;
    return plan;
}

Plan ChainPlanner::plan(Instant now, const Pool& pool, const PlanRequest& request, std::mt19937_64& random)
{
    if (pool.kind == RouteKind::Service) {
        collectCandidates(now, pool, request, random);
        return planService(now, pool, request);
    }
    auto plan = planInDataCentre(now, pool, request, random);
    if (!plan.chain.empty())
        return plan;
    // If a data centre holds all layers and only lacks free slots, waiting is better than a chain across data centres.
    auto withoutFreeSlots = request;
    withoutFreeSlots.needsFreeSlot = false;
    if (request.needsFreeSlot && !planInDataCentre(now, pool, withoutFreeSlots, random).chain.empty())
        return {};
    return planOverPool(now, pool, request, random);
}

Plan ChainPlanner::planInDataCentre(Instant now, const Pool& pool, const PlanRequest& request, std::mt19937_64& random)
{
    size_t n = pool.dataCentres.size();
    size_t others = std::max<size_t>(2, n) - 1;
    size_t offset = random() % others;
    Plan best;
    double bestCost = 0;
    for (size_t i = 0; i < n; ++i) {
        const auto& dataCentrePool = pool.dataCentres[i ? 1 + (offset + i) % others : 0];
        if (!dataCentrePool.isCovered)
            continue;
        auto plan = planOverPool(now, dataCentrePool, request, random);
        if (plan.chain.empty())
            continue;
        double cost = (plan.secondsToFirstToken + request.tokens * plan.secondsPerToken) * (i ? minRemoteSpeedup : 1);
        if (best.chain.empty() || cost < bestCost) {
            best = std::move(plan);
            bestCost = cost;
        }
        // Further data centres are tried only while the best chain has a slow endpoint.
        if (!best.isSlow)
            break;
    }
    return best;
}

Plan ChainPlanner::planOverPool(Instant now, const Pool& pool, const PlanRequest& request, std::mt19937_64& random)
{
    collectCandidates(now, pool, request, random);
    // A penalty for each further stage favours shorter chains. It rises until the chain has no more stages than engines
    // accept.
    double stagePenalty = 0;
    for (int attempt = 0; attempt < maxSearches; ++attempt) {
        auto plan = searchChain(pool, request, stagePenalty);
        if (plan.chain.size() <= maxChainStages)
            return plan;
        double cost = plan.secondsToFirstToken + request.tokens * plan.secondsPerToken;
        stagePenalty
            = stagePenalty > 0 ? stagePenalty * stagePenaltyGrowth : cost / static_cast<double>(plan.chain.size());
    }
    return {};
}

// Dynamic programming over the segments between adjacent boundaries. Each step stores the cheapest partial chain in
// which a candidate runs the segment; the previous segment was run by the same candidate or by another one. The running
// time is proportional to the number of segments times the square of the number of candidates that hold a segment.
Plan ChainPlanner::searchChain(const Pool& pool, const PlanRequest& request, double stagePenalty)
{
    m_steps.clear();
    const double unreachable = std::numeric_limits<double>::max();
    auto last = static_cast<uint32_t>(pool.boundaries.size() - 1);
    double stageLayers = last ? static_cast<double>(pool.layers) / last : 0;
    size_t previousBegin = 0;
    size_t previousEnd = 0;
    for (uint32_t segment = 0; segment < last; ++segment) {
        double layers = pool.boundaries[segment + 1] - pool.boundaries[segment];
        for (uint32_t i = 0; i < m_candidates.size(); ++i) {
            const auto& candidate = m_candidates[i];
            if (candidate.group->firstBoundary > segment || candidate.group->endBoundary <= segment)
                continue;
            double costBefore = segment ? unreachable : candidate.wait;
            int32_t previous = -1;
            for (size_t step = previousBegin; step < previousEnd; ++step) {
                double cost = m_steps[step].cost;
                if (m_steps[step].candidate != i) {
                    const auto& earlier = m_candidates[m_steps[step].candidate];
                    double link = m_model.linkTime(m_endpoints[earlier.index], m_endpoints[candidate.index]);
                    double mismatch = speedMismatchWeight * stageLayers * std::abs(earlier.decode - candidate.decode);
                    cost += stagePenalty + candidate.wait + link * (request.tokens + request.promptTokens)
                        + mismatch * request.tokens;
                }
                if (cost < costBefore) {
                    costBefore = cost;
                    previous = static_cast<int32_t>(step);
                }
            }
            if (costBefore == unreachable)
                continue;
            double cost = costBefore + layers * (candidate.prefill + request.tokens * candidate.decode);
            m_steps.push_back({ cost, previous, i, segment, segment + 1 });
        }
        previousBegin = previousEnd;
        previousEnd = m_steps.size();
        if (previousBegin == previousEnd)
            return {};
    }
    int32_t best = -1;
    for (size_t step = previousBegin; step < previousEnd; ++step) {
        if (best < 0 || m_steps[step].cost < m_steps[static_cast<size_t>(best)].cost)
            best = static_cast<int32_t>(step);
    }
    return buildPlan(pool, request, best);
}

// Joins consecutive segments of the same candidate into runs. An endpoint may appear only once in a chain, so a
// candidate that would appear twice also runs the segments in between; it holds them, since its layer range is
// contiguous.
std::vector<ChainPlanner::Run> ChainPlanner::joinRuns(int32_t last) const
{
    std::vector<Run> runs;
    for (int32_t step = last; step >= 0; step = m_steps[static_cast<size_t>(step)].previous) {
        const auto& it = m_steps[static_cast<size_t>(step)];
        runs.push_back({ it.candidate, it.from, it.to });
    }
    std::reverse(runs.begin(), runs.end());
    std::vector<Run> joined;
    for (const auto& run : runs) {
        auto same
            = std::find_if(joined.begin(), joined.end(), [&](const Run& it) { return it.candidate == run.candidate; });
        if (same == joined.end()) {
            joined.push_back(run);
            continue;
        }
        same->to = run.to;
        joined.erase(same + 1, joined.end());
    }
    return joined;
}

Plan ChainPlanner::buildPlan(const Pool& pool, const PlanRequest& request, int32_t last) const
{
    Plan plan;
    double uncached = 0;
    for (const auto& run : joinRuns(last)) {
        const auto& candidate = m_candidates[run.candidate];
        LayerRange layers { pool.boundaries[run.from], pool.boundaries[run.to] };
        if (!plan.hops.empty()) {
            double link = m_model.linkTime(m_endpoints[plan.hops.back()], m_endpoints[candidate.index]);
            plan.secondsPerToken += link;
            plan.secondsToFirstToken += link * request.promptTokens;
        }
        plan.chain.push_back({ m_endpoints[candidate.index].row.endpoint, layers });
        plan.hops.push_back(candidate.index);
        plan.secondsPerToken += layers.count() * candidate.decode;
        plan.secondsToFirstToken += candidate.wait + layers.count() * candidate.prefill;
        uncached += candidate.uncached * layers.count() / pool.layers;
        plan.expectsHit = plan.expectsHit || candidate.uncached < 1;
        plan.isSlow = plan.isSlow || m_endpoints[candidate.index].pace >= slowPace;
    }
    plan.secondsToFirstToken += plan.secondsPerToken;
    plan.promptTokens = request.promptTokens * uncached;
    return plan;
}

} // namespace jacinthspindle::internal
