// Admission control: refuses requests that cannot be served in time, queues the others and dispatches them to free
// slots.

#include "spindlecore/internal/CoreState.h"

#include <algorithm>
#include <cmath>

namespace jacinthspindle::internal {

namespace {

    // Quantile of the answer length for which the deadline must leave time.
    constexpr double admissionLengthQuantile = 0.9;
    // Factor by which the real service time may exceed its estimate.
    constexpr double serviceTimeMargin = 1.2;
    // Factor on the maximum wait of the first queued request of a workspace. A daemon frees a slot only about once per
    // second, so that a workspace with little work would otherwise lose its share by chance.
    constexpr double firstRequestWaitFactor = 2;
    // Bounds what a configuration without sensible targets can do.
    constexpr Duration shortestTarget = std::chrono::milliseconds(50);
    // A prompt this many times as long as the average of its model counts as long.
    constexpr double longPromptRatio = 2;
    constexpr double promptAveragingWeight = 0.05;
    // Flows that are tried for a free slot. When none of them can use it, dispatching stops until the next input or
    // tick.
    constexpr size_t maxFlowsPerSlot = 4;
    // Part of the slots that is available to long work at any time, whatever the demand of short work.
    constexpr double minLongShare = 0.3;
    // Estimates in seconds, used before the first measurement.
    constexpr double initialSecondsPerToken = 0.02;
    constexpr double initialSecondsPerPromptToken = 0.0004;

    double secondsOf(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1e9;
    }

} // namespace

// Checks the table, the route, the workspace and the request limit. Returns Ok or the code with which to refuse.
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

// Returns the time until the workspace's limits allow the request, or nullopt when they allow it now.
std::optional<Duration> CoreState::limitWait(Instant now, const ActiveRequest& request)
{
    const auto* row = m_table->findWorkspace(request.arrival.workspace);
    if (!row->requestsPerSecond && !row->tokensPerSecond && !row->concurrency)
        return std::nullopt;
    auto& limits = m_limits[row->workspace];
    if (!limits.hasShare) {
        // Until this daemon receives its share of the limit, it applies the table's whole limit to its own requests.
        limits.requests.setRate(row->requestsPerSecond);
        limits.tokens.setRate(row->tokensPerSecond);
        limits.concurrency = row->concurrency;
    }
    Duration wait {};
    if (row->requestsPerSecond)
        wait = std::max(wait, limits.requests.timeUntilAllowed(now));
    if (row->tokensPerSecond)
        wait = std::max(wait, limits.tokens.timeUntilAllowed(now));
    if (row->concurrency && limits.active + 1 > limits.concurrency)
        wait = std::max<Duration>(wait, std::chrono::seconds(1));
    if (wait == Duration::zero())
        return std::nullopt;
    return wait;
}

// Counts an admitted request against its workspace's limits; the tokens are an estimate until the request ends.
void CoreState::chargeLimits(Instant now, ActiveRequest& request)
{
    auto it = m_limits.find(request.arrival.workspace);
    if (it == m_limits.end())
        return;
    request.isCounted = true;
    ++it->second.active;
    it->second.requests.charge(now, 1);
    it->second.tokens.charge(now, request.arrival.promptTokens + request.rateChargedTokens);
}

void CoreState::refuse(Instant, const RequestId& id, ResultCode code, Duration wait, Decisions& decisions)
{
    ++m_status.refused;
    decisions.push_back(Refuse { id, code, jittered(secondsOf(wait)), m_table ? m_table->revision : 0 });
}

// Refuses a queued request and refunds the tokens that its workspace was charged at admission.
void CoreState::refuseQueued(Instant now, const RequestId& id, ResultCode code, Duration wait, Decisions& decisions)
{
    auto it = m_requests.find(id);
    it->second.queue().erase(it->second.arrival.workspace, id);
    refuse(now, id, code, wait, decisions);
    auto limits = m_limits.find(it->second.arrival.workspace);
    if (limits != m_limits.end())
        limits->second.tokens.charge(now, -(it->second.arrival.promptTokens + it->second.rateChargedTokens));
    remove(it);
}

// Sets the expected total length of the answer; 0 for a plain service.
void CoreState::estimateLength(ActiveRequest& request) const
{
    const auto& arrival = request.arrival;
    if (request.pool->route.kind == RouteKind::Service) {
        request.expectedTokens = 0;
        return;
    }
    request.expectedTokens = m_lengths.expected(arrival.route, arrival.workspace, request.position, arrival.maxTokens);
}

// Estimates the time in a slot, in seconds, for an answer that ends at the given number of tokens.
double CoreState::serviceSeconds(const ActiveRequest& request, double tokens) const
{
    const auto& pool = *request.pool;
    if (pool.route.kind == RouteKind::Service)
        return request.estimate->callSeconds;
    double secondsPerToken = pool.secondsPerToken > 0 ? pool.secondsPerToken : initialSecondsPerToken;
    double secondsPerPromptToken
        = pool.secondsPerPromptToken > 0 ? pool.secondsPerPromptToken : initialSecondsPerPromptToken;
    double prompt = request.arrival.promptTokens + request.position;
    return prompt * secondsPerPromptToken + std::max(0.0, tokens - request.position) * secondsPerToken;
}

// Whether the request is expected to meet its deadline after a further wait, in seconds.
bool CoreState::canMeetDeadline(Instant now, const ActiveRequest& request, double wait) const
{
    if (request.isProbe)
        return wait <= secondsOf(request.deadline - now);
    const auto& arrival = request.arrival;
    double tokens = std::max(request.expectedTokens,
        m_lengths.quantile(arrival.route, arrival.workspace, admissionLengthQuantile, arrival.maxTokens));
    double service = serviceSeconds(request, tokens) * serviceTimeMargin;
    // While nothing runs, no new measurement can correct an estimate that is too high. Allowing half of the expected
    // service time keeps such an estimate from refusing every request.
    if (!request.pool->running)
        service = std::min(service, serviceSeconds(request, request.expectedTokens) / 2);
    return wait + service <= secondsOf(request.deadline - now);
}

// Whether a request that is expected to be late is admitted as a measurement: only requests that are served correct an
// estimate, so that without one it could refuse all requests of the route for good, whatever the other routes do.
bool CoreState::mayProbe(Instant now, const ActiveRequest& request, double wait)
{
    const auto& estimate = *request.estimate;
    bool isDue = estimate.isStale(now) && now - estimate.probedAt >= RouteEstimate::validity;
    return isDue && !estimate.active && wait <= secondsOf(request.deadline - now);
}

std::shared_ptr<RouteEstimate> CoreState::findOrAddEstimate(
    Instant now, PoolState& pool, const RouteId& route, Duration timeout)
{
    auto& estimate = pool.estimates[route];
    if (!estimate || estimate->timeout != timeout) {
        estimate = std::make_shared<RouteEstimate>();
        estimate->timeout = timeout;
    }
    estimate->arrivedAt = now;
    return estimate;
}

// Whether the pressure on the model allows the request, which may be raised to the highest priority for it.
bool CoreState::passPressure(ActiveRequest& request)
{
    auto& gate = request.pool->pressure;
    if (!gate)
        gate.emplace();
    gate->noteArrival(request.ownPriority, request.arrival.promptTokens, request.target);
    auto verdict = gate->judge(request.ownPriority, uniform(m_random));
    if (verdict == PressureGate::Verdict::Raised)
        request.rank = gate->highestPriority();
    return verdict != PressureGate::Verdict::Refused;
}

// Whether the prompt is long among those of the model, and so would hold up the others that wait to be read.
bool CoreState::hasLongPrompt(const ActiveRequest& request)
{
    auto& pool = *request.pool;
    double tokens = request.arrival.promptTokens;
    pool.promptTokens += pool.promptTokens > 0 ? promptAveragingWeight * (tokens - pool.promptTokens) : tokens;
    return tokens >= longPromptRatio * pool.promptTokens;
}

// Returns how long the request may stay queued, in seconds. isFirst: no remaining request of its lane is ahead of it.
double CoreState::maxWait(const ActiveRequest& request, bool isFirst) const
{
    double share = m_config.queueSharePercent / 100.0 * (isFirst ? firstRequestWaitFactor : 1);
    double longest = secondsOf(request.deadline - request.arrivedAt) * share;
    // A ranked request that would be late gives up its place if another one waits for it. Alone, it is still served.
    if (request.isRanked() && request.pool->queued() > 1) {
        double reading = request.arrival.promptTokens * request.pool->secondsPerPromptToken;
        longest = std::min(longest, std::max(0.0, secondsOf(request.target) - reading));
    }
    return longest;
}

// Returns the expected time, in seconds, until the request that arrives gets a slot.
double CoreState::expectedWait(const ActiveRequest& request) const
{
    double wait = 0;
    for (const auto& [rank, queue] : request.pool->queues) {
        if (rank > request.rank)
            break;
        wait += queue.expectedWait(request.arrival.workspace, request.isLong, freedSlots(*request.pool));
    }
    return wait;
}

// Returns the number of slots that this daemon's running attempts will free, by which the wait of queued requests is
// estimated; at least 1.
double CoreState::freedSlots(const PoolState& pool) const
{
    return std::max<double>(1, pool.running);
}

void CoreState::apply(Instant now, const RequestArrived& input, Decisions& decisions)
{
    ActiveRequest request;
    request.arrival = input;
    admit(now, std::move(request), input.route, Duration::zero(), decisions);
}

void CoreState::apply(Instant now, const RankedArrival& input, Decisions& decisions)
{
    ActiveRequest request;
    request.arrival = input.arrival;
    request.target = std::max<Duration>(input.target, shortestTarget);
    request.ownPriority = input.priority;
    request.rank = input.priority;
    admit(now, std::move(request), input.arrival.route, Duration::zero(), decisions);
}

void CoreState::apply(Instant now, const RoutedArrival& input, Decisions& decisions)
{
    ActiveRequest request;
    request.arrival = input.arrival;
    admit(now, std::move(request), input.route, input.timeout, decisions);
}

void CoreState::admit(
    Instant now, ActiveRequest request, const RouteId& estimatedRoute, Duration timeout, Decisions& decisions)
{
    auto id = request.arrival.request;
    if (m_requests.contains(id))
        return;
    auto code = checkArrival(request.arrival);
    if (code != ResultCode::Ok)
        return refuse(now, id, code, {}, decisions);
    const auto* route = m_table->findRoute(request.arrival.route);
    request.pool = m_poolOfRoute.at(request.arrival.route);
    request.arrivedAt = now;
    bool hasDeadline = request.arrival.deadline > Duration::zero();
    request.deadline = now + (hasDeadline ? request.arrival.deadline : Duration(route->deadline));
    request.weight = m_table->findWorkspace(request.arrival.workspace)->weight;
    request.position = request.arrival.firstPosition;
    if (!request.arrival.maxTokens || request.arrival.maxTokens > route->maxTokens)
        request.arrival.maxTokens = route->maxTokens;
    estimateLength(request);
    auto& pool = *request.pool;
    refreshPool(pool);
    if (!pool.pool.isCovered)
        return refuse(now, id, ResultCode::NoChain, {}, decisions);
    if (auto wait = limitWait(now, request))
        return refuse(now, id, ResultCode::LimitExceeded, *wait, decisions);
    if (request.isRanked() && !passPressure(request))
        return refuse(now, id, ResultCode::Overloaded, pool.pressure->retryAfter(request.ownPriority), decisions);
    if (timeout == Duration::zero())
        timeout = route->deadline;
    request.estimate = findOrAddEstimate(now, pool, estimatedRoute, timeout);
    request.isLong = request.expectedTokens >= longRequestTokens || (request.isRanked() && hasLongPrompt(request));
    double slotSeconds = serviceSeconds(request, request.expectedTokens);
    if (!request.isLong)
        pool.shortDemandSinceTick += slotSeconds;
    double wait = expectedWait(request);
    bool isInTime = canMeetDeadline(now, request, wait);
    request.isProbe = !isInTime && mayProbe(now, request, wait);
    if (wait > maxWait(request, false) || !(isInTime || request.isProbe)) {
        auto hint = Duration(std::llround(std::min(wait, 10.0) * 1e9));
        return refuse(now, id, ResultCode::DeadlineUnreachable, hint, decisions);
    }
    if (pool.queued() >= m_config.queueLimit)
        return refuse(now, id, ResultCode::QueueFull, std::chrono::seconds(1), decisions);
    if (request.isProbe)
        request.estimate->probedAt = now;
    ++request.estimate->active;
    request.rateChargedTokens = request.expectedTokens;
    chargeLimits(now, request);
    request.queue().push(request.arrival.workspace, request.weight, { id, slotSeconds, request.isLong });
    auto sharedPool = request.pool; // The request is moved into m_requests below.
    m_requests.emplace(id, std::move(request));
    dispatchQueued(now, *sharedPool, decisions);
}

// Whether another long request may start. Slots are reserved for the short work that is likely to arrive: its mean
// demand plus two standard deviations.
bool CoreState::mayStartLong(const PoolState& pool) const
{
    if (pool.route.kind == RouteKind::Service)
        return true;
    double daemonCount = pool.gate.daemonCount();
    double slots = pool.slots / daemonCount;
    double reserve = pool.shortDemand + 2 * std::sqrt(pool.shortDemand / daemonCount);
    double cap = std::max(minLongShare * slots, slots - reserve);
    // When the cap is below one slot per daemon, the random threshold makes the daemons take turns at running long
    // work.
    return pool.runningLong + pool.longThreshold < cap;
}

// Dispatches queued requests while slots are free. Refuses them all when the pool does not cover all layers.
void CoreState::dispatchQueued(Instant now, PoolState& pool, Decisions& decisions)
{
    if (pool.queued())
        refreshPool(pool);
    if (!pool.pool.isCovered)
        return refuseAllQueued(now, pool, decisions);
    for (auto& [rank, queue] : pool.queues) {
        if (!dispatchQueue(now, pool, rank, queue, decisions))
            return;
    }
}

bool CoreState::isReserved(Instant now, const PoolState& pool, uint8_t rank) const
{
    double reserved = pool.pressure ? pool.pressure->reservedShare(rank) : 0;
    return reserved > 0 && DispatchGate::freeShare(now, m_endpoints, pool.pool) < reserved;
}

bool CoreState::dispatchQueue(Instant now, PoolState& pool, uint8_t rank, FairQueue& queue, Decisions& decisions)
{
    bool startedAny = true;
    while (startedAny && queue.size()) {
        startedAny = false;
        if (isReserved(now, pool, rank))
            return true;
        if (m_config.sharesCapacity && !pool.gate.mayDispatch(now, m_endpoints, pool.pool))
            return false;
        for (auto* flow : queue.leastServedFlows(maxFlowsPerSlot)) {
            auto result = QueueResult::LaneBlocked;
            for (size_t lane : flow->laneOrder()) {
                if (result == QueueResult::LaneBlocked && !flow->lanes[lane].empty())
                    result = tryDispatchFirst(now, pool, *flow, lane, decisions);
            }
            if (result == QueueResult::NoSlot)
                return false;
            if (result == QueueResult::Dequeued) {
                startedAny = true;
                break;
            }
        }
    }
    return true;
}

// Refuses all queued requests of a pool that has no endpoint left for some layer.
void CoreState::refuseAllQueued(Instant now, PoolState& pool, Decisions& decisions)
{
    std::vector<RequestId> waiting;
    for (auto& queue : pool.queues) {
        for (const auto& it : queue.second.flows()) {
            for (const auto& lane : it.second.lanes) {
                for (const auto& queued : lane)
                    waiting.push_back(queued.request);
            }
        }
    }
    for (const auto& id : waiting)
        refuseQueued(now, id, ResultCode::NoChain, std::chrono::seconds(1), decisions);
}

// Tries to dispatch the first request of a lane. The result is Dequeued when it left the queue, dispatched or refused.
// LaneBlocked: it stays, and other lanes or flows may be tried. NoSlot: it stays, and no further request can be
// dispatched now.
CoreState::QueueResult CoreState::tryDispatchFirst(
    Instant now, PoolState& pool, FairQueue::Flow& flow, size_t lane, Decisions& decisions)
{
    auto id = flow.lanes[lane].front().request;
    auto& request = m_requests.at(id);
    if (!canMeetDeadline(now, request, 0)) {
        refuseQueued(now, id, ResultCode::DeadlineUnreachable, std::chrono::seconds(1), decisions);
        return QueueResult::Dequeued;
    }
    if (request.isLong && !mayStartLong(pool))
        return QueueResult::LaneBlocked;
    if (!dispatch(now, request, request.position, true, decisions))
        return QueueResult::NoSlot;
    auto& queue = request.queue();
    queue.erase(request.arrival.workspace, id);
    queue.charge(request.arrival.workspace, request.weight, request.isLong, request.arrival.promptTokens);
    request.chargedPosition = request.position;
    pool.gate.redrawThreshold(m_random);
    if (request.isLong)
        pool.longThreshold = uniform(m_random);
    pool.retries.recordFirstAttempt(now);
    return QueueResult::Dequeued;
}

// Refuses queued requests that have waited too long or are no longer expected to meet their deadlines.
void CoreState::refuseLate(Instant now, PoolState& pool, Decisions& decisions)
{
    std::vector<std::pair<RequestId, double>> late;
    for (auto& [rank, queue] : pool.queues) {
        for (const auto& it : queue.flows()) {
            for (const auto& lane : it.second.lanes) {
                double ahead = 0;
                for (const auto& queued : lane) {
                    const auto& request = m_requests.at(queued.request);
                    double wait = queue.expectedWaitBehind(it.second, ahead, freedSlots(pool));
                    bool waitsTooLong = secondsOf(now - request.arrivedAt) > maxWait(request, ahead <= 0);
                    if (waitsTooLong || !canMeetDeadline(now, request, wait))
                        late.emplace_back(queued.request, wait);
                    else
                        ahead += queued.slotSeconds;
                }
            }
        }
    }
    for (const auto& [id, wait] : late) {
        auto hint = Duration(std::llround(std::min(wait, 10.0) * 1e9));
        refuseQueued(now, id, ResultCode::DeadlineUnreachable, hint, decisions);
    }
}

} // namespace jacinthspindle::internal
