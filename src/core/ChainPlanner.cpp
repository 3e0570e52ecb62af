// Search for the chain with the least expected time over a few candidates of each stage.

#include "spindlecore/internal/ChainPlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jacinthspindle::internal {

namespace {

    // A full batch is taken to be slower than an empty one by this ratio, where nothing is declared.
    constexpr double batchSlowdown = 0.5;
    // An engine with more than this share of its slots taken soon preempts requests or lets them wait, and costs up to
    // the time of a whole request.
    constexpr double crowdedShare = 0.7;
    // Random part of an engine's expected time, so that daemons with the same news do not all choose the same engine.
    constexpr double choiceSpread = 0.15;
    // Seconds for which an attempt holds a slot, for the wait at an endpoint without room.
    constexpr double typicalHold = 4;
    constexpr double clashWeight = 3;
    // In a chain of unlike speeds the slots of the faster stages are idle while the slower ones compute.
    constexpr double mismatchWeight = 5;
    // Searches for a chain that engines accept; each one costs as much as the first.
    constexpr int maxPriceSteps = 6;
    constexpr double priceGrowth = 4;
    // A chain of another data centre must be this much faster, since its events cross.
    constexpr double leastGain = 1.3;
    // Bounds the candidates that holders of a cached prefix add to a decision.
    constexpr size_t maxCandidates = 32;

    bool contains(const std::vector<EndpointIndex>* list, EndpointIndex index)
    {
        return list && std::find(list->begin(), list->end(), index) != list->end();
    }

} // namespace

ChainPlanner::ChainPlanner(
    const EndpointBook& book, const ServiceModel& model, const PrefixIndex& prefixes, uint32_t choices)
    : m_book(book)
    , m_model(model)
    , m_prefixes(prefixes)
    , m_choices(choices)
{
}

bool ChainPlanner::addCandidate(
    Instant now, const StageGroup& group, EndpointIndex index, const PlanRequest& request, std::mt19937_64& random)
{
    const auto& entry = m_book[index];
    if (!entry.mayServe() || !entry.breaker.mayTry(now) || contains(request.avoid, index))
        return false;
    double room = m_book.room(now, entry);
    // A slot that an own attempt left is certain; the other daemons see the other free slots as well.
    bool isOwnSlot = entry.own < entry.ownAtReport;
    double contenders = isOwnSlot || entry.row.kind != EndpointKind::Engine ? 1 : m_book.peers();
    if (request.needsRoom && room < std::max(1.0, contenders * uniform(random)))
        return false;
    for (const auto& it : m_candidates) {
        if (it.index == index)
            return true;
    }
    double slots = std::max(1U, entry.row.slots);
    double load = std::clamp(1 - (room - 1) / slots, 0.0, 1.0);
    auto time = m_model.layerTime(entry);
    Candidate candidate;
    candidate.index = index;
    candidate.group = &group;
    if (request.prefixDigests)
        candidate.uncached = 1 - m_prefixes.expectedShare(index, *request.prefixDigests);
    double slowdown = time.perSequence > 0 ? 1 + time.perSequence * std::max(0.0, slots - room) / time.decode
                                           : 1 + batchSlowdown * load;
    slowdown *= 1 + choiceSpread * uniform(random);
    candidate.prefill = request.promptTokens * candidate.uncached * time.prefill * slowdown;
    candidate.decode = time.decode * slowdown;
    double clash = isOwnSlot ? 0 : clashWeight / std::max(1.0, room);
    double crowding = std::max(0.0, load - crowdedShare) / (1 - crowdedShare);
    candidate.wait = (std::max(0.0, 1 - room) + clash) * typicalHold / slots + crowding * crowding * typicalHold;
    m_candidates.push_back(candidate);
    return true;
}

void ChainPlanner::collect(Instant now, const Pool& pool, const PlanRequest& request, std::mt19937_64& random)
{
    m_candidates.clear();
    for (const auto& group : pool.groups) {
        if (group.members.empty())
            continue;
        size_t wanted = m_choices ? m_choices : group.members.size();
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
        const auto& entry = m_book[it.index];
        double cost = m_model.callTime(entry) * (1 + m_book.outstanding(now, entry)) / std::max(1U, entry.row.weight);
        if (cost < bestCost) {
            best = &it;
            bestCost = cost;
        }
    }
    if (!best || pool.groups.empty())
        return plan;
    plan.chain.push_back({ m_book[best->index].row.endpoint, {} });
    plan.hops.push_back(best->index);
    plan.firstToken = m_model.callTime(m_book[best->index]) + best->wait;
    return plan;
}

Plan ChainPlanner::plan(Instant now, const Pool& pool, const PlanRequest& request, std::mt19937_64& random)
{
    if (pool.kind == RouteKind::Service) {
        collect(now, pool, request, random);
        return planService(now, pool, request);
    }
    auto plan = planInOne(now, pool, request, random);
    if (!plan.chain.empty())
        return plan;
    // Where a data centre is only full, waiting for a slot is better than a chain that crosses.
    auto waiting = request;
    waiting.needsRoom = false;
    if (request.needsRoom && !planInOne(now, pool, waiting, random).chain.empty())
        return {};
    return planWithin(now, pool, request, random);
}

Plan ChainPlanner::planInOne(Instant now, const Pool& pool, const PlanRequest& request, std::mt19937_64& random)
{
    size_t n = pool.dataCentres.size();
    size_t others = std::max<size_t>(2, n) - 1;
    size_t turn = random() % others;
    Plan best;
    double bestCost = 0;
    for (size_t i = 0; i < n; ++i) {
        const auto& part = pool.dataCentres[i ? 1 + (turn + i) % others : 0];
        if (!part.isCovered)
            continue;
        auto plan = planWithin(now, part, request, random);
        if (plan.chain.empty())
            continue;
        double cost = (plan.firstToken + request.tokens * plan.perToken) * (i ? leastGain : 1);
        if (best.chain.empty() || cost < bestCost) {
            best = std::move(plan);
            bestCost = cost;
        }
        // Chains of other data centres are searched only while this one is slow.
        if (!best.isSlow)
            break;
    }
    return best;
}

Plan ChainPlanner::planWithin(Instant now, const Pool& pool, const PlanRequest& request, std::mt19937_64& random)
{
    collect(now, pool, request, random);
    // A price on each further stage leads to shorter chains; it rises until engines accept the chain.
    double price = 0;
    for (int attempt = 0; attempt < maxPriceSteps; ++attempt) {
        auto plan = search(pool, request, price);
        if (plan.chain.size() <= maxChainStages)
            return plan;
        double cost = plan.firstToken + request.tokens * plan.perToken;
        price = price > 0 ? price * priceGrowth : cost / static_cast<double>(plan.chain.size());
    }
    return {};
}

// Dynamic programming over the segments between boundaries. For each candidate, the cheapest way to have it run the
// segment that ends at a boundary is kept; it continues the candidate's own run or takes over from another candidate.
// The cost is the number of segments times the square of the candidates that hold a segment.
Plan ChainPlanner::search(const Pool& pool, const PlanRequest& request, double stagePrice)
{
    m_steps.clear();
    const double none = std::numeric_limits<double>::max();
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
            double before = segment ? none : candidate.wait;
            int32_t previous = -1;
            for (size_t step = previousBegin; step < previousEnd; ++step) {
                double cost = m_steps[step].cost;
                if (m_steps[step].candidate != i) {
                    const auto& earlier = m_candidates[m_steps[step].candidate];
                    double link = m_model.linkTime(m_book[earlier.index], m_book[candidate.index]);
                    double mismatch = mismatchWeight * stageLayers * std::abs(earlier.decode - candidate.decode);
                    cost += stagePrice + candidate.wait + link * (request.tokens + request.promptTokens)
                        + mismatch * request.tokens;
                }
                if (cost < before) {
                    before = cost;
                    previous = static_cast<int32_t>(step);
                }
            }
            if (before == none)
                continue;
            double cost = before + layers * (candidate.prefill + request.tokens * candidate.decode);
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
    return trace(pool, request, best);
}

// Joins the segments that follow each other at one candidate. A candidate that would appear twice runs what lies
// between as well: its range is contiguous, and an endpoint may appear only once in a chain.
std::vector<ChainPlanner::Run> ChainPlanner::runsOf(int32_t last) const
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

Plan ChainPlanner::trace(const Pool& pool, const PlanRequest& request, int32_t last) const
{
    Plan plan;
    double uncached = 0;
    for (const auto& run : runsOf(last)) {
        const auto& candidate = m_candidates[run.candidate];
        LayerRange layers { pool.boundaries[run.from], pool.boundaries[run.to] };
        if (!plan.hops.empty()) {
            double link = m_model.linkTime(m_book[plan.hops.back()], m_book[candidate.index]);
            plan.perToken += link;
            plan.firstToken += link * request.promptTokens;
        }
        plan.chain.push_back({ m_book[candidate.index].row.endpoint, layers });
        plan.hops.push_back(candidate.index);
        plan.perToken += layers.count() * candidate.decode;
        plan.firstToken += candidate.wait + layers.count() * candidate.prefill;
        uncached += candidate.uncached * layers.count() / pool.layers;
        plan.expectsHit = plan.expectsHit || candidate.uncached < 1;
        plan.isSlow = plan.isSlow || m_book[candidate.index].pace >= slowPace;
    }
    plan.firstToken += plan.perToken;
    plan.promptTokens = request.promptTokens * uncached;
    return plan;
}

} // namespace jacinthspindle::internal
