// Admission: what is refused at once, what waits for a slot, and what starts next.

#include "spindlecore/internal/CoreState.h"

#include <algorithm>
#include <cmath>

namespace jacinthspindle::internal {

namespace {

    // Of the answers, the share whose length a deadline has to allow for.
    constexpr double admittedLengths = 0.9;
    // Estimates of service time are exceeded now and then by this ratio.
    constexpr double serviceMargin = 1.2;
    // The first request of a workspace may wait longer: a daemon frees a slot only about once per second, and a
    // workspace with little work would otherwise lose its share by chance.
    constexpr double firstFactor = 2;
    // Flows that are tried for one free slot before the daemon waits for the next.
    constexpr size_t triedFlows = 4;
    // Part of the slots that long work may have at any time.
    constexpr double leastLongShare = 0.3;
    // Before the first measurement.
    constexpr double initialPerToken = 0.02;
    constexpr double initialPerPromptToken = 0.0004;

    double secondsOf(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1e9;
    }

} // namespace

ResultCode CoreState::checkArrival(const RequestArrived& input) const
{
    if (!m_table)
        return ResultCode::TableNotReady;
    if (m_refuseNew)
        return ResultCode::ShuttingDown;
    const auto* route = m_table->findRoute(input.route);
    if (!route)
        return ResultCode::RouteUnknown;
    const auto& allowed = route->workspaces;
    bool mayUse = allowed.empty() || std::find(allowed.begin(), allowed.end(), input.workspace) != allowed.end();
    if (!mayUse || !m_table->findWorkspace(input.workspace))
        return ResultCode::WorkspaceUnknown;
    if (m_requests.size() >= m_config.requestLimit)
        return ResultCode::QueueFull;
    return ResultCode::Ok;
}

// Returns the time after which the workspace's limits allow the request, or nothing when they allow it now.
std::optional<Duration> CoreState::limitWait(Instant now, const ActiveRequest& request)
{
    const auto* row = m_table->findWorkspace(request.arrival.workspace);
    if (!row->requestsPerSecond && !row->tokensPerSecond && !row->concurrency)
        return std::nullopt;
    auto& limits = m_limits[row->workspace];
    if (!limits.hasShare) {
        // Until a share arrives, the limit of the table bounds this daemon alone.
        limits.requests.setRate(row->requestsPerSecond);
        limits.tokens.setRate(row->tokensPerSecond);
        limits.concurrency = row->concurrency;
    }
    Duration wait {};
    if (row->requestsPerSecond)
        wait = std::max(wait, limits.requests.waitAt(now));
    if (row->tokensPerSecond)
        wait = std::max(wait, limits.tokens.waitAt(now));
    if (row->concurrency && limits.active + 1 > limits.concurrency)
        wait = std::max<Duration>(wait, std::chrono::seconds(1));
    if (wait == Duration::zero())
        return std::nullopt;
    return wait;
}

void CoreState::chargeLimits(Instant now, ActiveRequest& request)
{
    auto it = m_limits.find(request.arrival.workspace);
    if (it == m_limits.end())
        return;
    request.isCounted = true;
    ++it->second.active;
    it->second.requests.charge(now, 1);
    it->second.tokens.charge(now, request.arrival.promptTokens + request.estimatedTokens);
}

void CoreState::refuse(Instant, const RequestId& id, ResultCode code, Duration wait, Decisions& decisions)
{
    ++m_status.refused;
    decisions.push_back(Refuse { id, code, jittered(secondsOf(wait)), m_table ? m_table->revision : 0 });
}

void CoreState::refuseQueued(Instant now, const RequestId& id, ResultCode code, Duration wait, Decisions& decisions)
{
    auto it = m_requests.find(id);
    it->second.pool->queue.erase(it->second.arrival.workspace, id);
    refuse(now, id, code, wait, decisions);
    auto limits = m_limits.find(it->second.arrival.workspace);
    if (limits != m_limits.end())
        limits->second.tokens.charge(now, -(it->second.arrival.promptTokens + it->second.estimatedTokens));
    remove(it);
}

void CoreState::estimate(ActiveRequest& request) const
{
    const auto& arrival = request.arrival;
    if (request.pool->route.kind == RouteKind::Service) {
        request.expectedTokens = 0;
        return;
    }
    request.expectedTokens = m_lengths.expected(arrival.route, arrival.workspace, request.position, arrival.maxTokens);
}

double CoreState::serviceSeconds(const ActiveRequest& request, double tokens) const
{
    const auto& pool = *request.pool;
    if (pool.route.kind == RouteKind::Service)
        return pool.callSeconds;
    double perToken = pool.perToken > 0 ? pool.perToken : initialPerToken;
    double perPrompt = pool.perPromptToken > 0 ? pool.perPromptToken : initialPerPromptToken;
    double prompt = request.arrival.promptTokens + request.position;
    return prompt * perPrompt + std::max(0.0, tokens - request.position) * perToken;
}

bool CoreState::canBeOnTime(Instant now, const ActiveRequest& request, double wait) const
{
    const auto& arrival = request.arrival;
    double tokens = std::max(request.expectedTokens,
        m_lengths.quantile(arrival.route, arrival.workspace, admittedLengths, arrival.maxTokens));
    double service = serviceSeconds(request, tokens) * serviceMargin;
    // With nothing running there is no newer measurement, so that a wrong estimate must not refuse everything.
    if (!request.pool->running)
        service = std::min(service, serviceSeconds(request, request.expectedTokens) / 2);
    return wait + service <= secondsOf(request.deadline - now);
}

double CoreState::maxWait(const ActiveRequest& request, bool isFirst) const
{
    double share = m_config.queueSharePercent / 100.0 * (isFirst ? firstFactor : 1);
    return secondsOf(request.deadline - request.arrivedAt) * share;
}

// Slots that attempts of this daemon free, for the wait of queued requests.
double CoreState::freedSlots(const PoolState& pool) const
{
    return std::max<double>(1, pool.running);
}

void CoreState::apply(Instant now, const RequestArrived& input, Decisions& decisions)
{
    if (m_requests.contains(input.request))
        return;
    auto code = checkArrival(input);
    if (code != ResultCode::Ok)
        return refuse(now, input.request, code, {}, decisions);
    const auto* route = m_table->findRoute(input.route);
    ActiveRequest request;
    request.arrival = input;
    request.pool = m_poolOfRoute.at(input.route);
    request.arrivedAt = now;
    request.deadline = now + (input.deadline > Duration::zero() ? input.deadline : Duration(route->deadline));
    request.weight = m_table->findWorkspace(input.workspace)->weight;
    request.position = input.firstPosition;
    if (!request.arrival.maxTokens || request.arrival.maxTokens > route->maxTokens)
        request.arrival.maxTokens = route->maxTokens;
    estimate(request);
    auto& pool = *request.pool;
    refresh(pool);
    if (!pool.pool.isCovered)
        return refuse(now, input.request, ResultCode::NoChain, {}, decisions);
    if (auto wait = limitWait(now, request))
        return refuse(now, input.request, ResultCode::LimitExceeded, *wait, decisions);
    request.isLong = request.expectedTokens >= longTokens;
    double hold = serviceSeconds(request, request.expectedTokens);
    if (!request.isLong)
        pool.shortDemandSinceTick += hold;
    double wait = pool.queue.expectedWait(input.workspace, request.isLong, freedSlots(pool));
    if (wait > maxWait(request, false) || !canBeOnTime(now, request, wait)) {
        auto hint = Duration(std::llround(std::min(wait, 10.0) * 1e9));
        return refuse(now, input.request, ResultCode::DeadlineUnreachable, hint, decisions);
    }
    if (pool.queue.size() >= m_config.queueLimit)
        return refuse(now, input.request, ResultCode::QueueFull, std::chrono::seconds(1), decisions);
    request.estimatedTokens = request.expectedTokens;
    chargeLimits(now, request);
    pool.queue.push(input.workspace, request.weight, { input.request, hold, request.isLong });
    auto keep = request.pool;
    m_requests.emplace(input.request, std::move(request));
    pump(now, *keep, decisions);
}

// Long work leaves slots for the short work that is likely to arrive: its mean demand and two standard deviations.
bool CoreState::mayStartLong(const PoolState& pool) const
{
    if (pool.route.kind == RouteKind::Service)
        return true;
    double peers = pool.gate.peers();
    double slots = pool.slots / peers;
    double reserve = pool.shortDemand + 2 * std::sqrt(pool.shortDemand / peers);
    double cap = std::max(leastLongShare * slots, slots - reserve);
    // With so few slots per daemon that the cap is below one, the daemons take turns.
    return pool.runningLong + pool.longThreshold < cap;
}

// Starts waiting requests while there are slots for them.
void CoreState::pump(Instant now, PoolState& pool, Decisions& decisions)
{
    if (pool.queue.size())
        refresh(pool);
    if (!pool.pool.isCovered)
        return refuseAll(now, pool, decisions);
    bool goesOn = true;
    while (goesOn && pool.queue.size()) {
        goesOn = false;
        if (m_config.sharesCapacity && !pool.gate.mayDispatch(now, m_book, pool.pool))
            return;
        for (auto* flow : pool.queue.inOrder(triedFlows)) {
            auto result = Taken::Skip;
            for (size_t lane : flow->laneOrder()) {
                if (result == Taken::Skip && !flow->lanes[lane].empty())
                    result = tryFirst(now, pool, *flow, lane, decisions);
            }
            if (result == Taken::Stop)
                return;
            if (result == Taken::Yes) {
                goesOn = true;
                break;
            }
        }
    }
}

// Refuses all waiting requests of a pool that lost its last endpoint for some layer.
void CoreState::refuseAll(Instant now, PoolState& pool, Decisions& decisions)
{
    std::vector<RequestId> waiting;
    for (const auto& it : pool.queue.flows()) {
        for (const auto& lane : it.second.lanes) {
            for (const auto& queued : lane)
                waiting.push_back(queued.request);
        }
    }
    for (const auto& id : waiting)
        refuseQueued(now, id, ResultCode::NoChain, std::chrono::seconds(1), decisions);
}

CoreState::Taken CoreState::tryFirst(
    Instant now, PoolState& pool, FairQueue::Flow& flow, size_t lane, Decisions& decisions)
{
    auto id = flow.lanes[lane].front().request;
    auto& request = m_requests.at(id);
    if (!canBeOnTime(now, request, 0)) {
        refuseQueued(now, id, ResultCode::DeadlineUnreachable, std::chrono::seconds(1), decisions);
        return Taken::Yes;
    }
    if (request.isLong && !mayStartLong(pool))
        return Taken::Skip;
    if (!dispatch(now, request, request.position, true, decisions))
        return Taken::Stop;
    pool.queue.erase(request.arrival.workspace, id);
    pool.queue.charge(request.arrival.workspace, request.weight, request.isLong, request.arrival.promptTokens);
    request.chargedPosition = request.position;
    pool.gate.redraw(m_random);
    if (request.isLong)
        pool.longThreshold = uniform(m_random);
    pool.retries.earn(now);
    return Taken::Yes;
}

// Refuses waiting requests at the moment at which they are no longer expected to be on time.
void CoreState::refuseLate(Instant now, PoolState& pool, Decisions& decisions)
{
    std::vector<std::pair<RequestId, double>> late;
    for (const auto& it : pool.queue.flows()) {
        for (const auto& lane : it.second.lanes) {
            double ahead = 0;
            for (const auto& queued : lane) {
                const auto& request = m_requests.at(queued.request);
                double wait = pool.queue.waitBehind(it.second, ahead, freedSlots(pool));
                bool waitsTooLong = secondsOf(now - request.arrivedAt) > maxWait(request, ahead <= 0);
                if (waitsTooLong || !canBeOnTime(now, request, wait))
                    late.emplace_back(queued.request, wait);
                else
                    ahead += queued.hold;
            }
        }
    }
    for (const auto& [id, wait] : late) {
        auto hint = Duration(std::llround(std::min(wait, 10.0) * 1e9));
        refuseQueued(now, id, ResultCode::DeadlineUnreachable, hint, decisions);
    }
}

} // namespace jacinthspindle::internal
