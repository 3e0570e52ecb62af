// Handles inputs about attempts, endpoints, the table and time. Admission is in Admission.cpp.

#include "spindlecore/internal/CoreState.h"

#include "spindlecore/internal/Digest.h"

#include <algorithm>
#include <cmath>

namespace jacinthspindle::internal {

namespace {

    // Assumed number of daemons until load reports allow an estimate.
    constexpr double initialPeers = 8;
    // Retries per window until the first RetryReserveChanged.
    constexpr double initialRetryReserve = 10;
    // How often the random thresholds for fractional slots are drawn again.
    constexpr Duration redrawInterval = std::chrono::milliseconds(500);
    // Weight of a new value in an exponential moving average.
    constexpr double averagingWeight = 0.1;
    // A first token later than lateFactor times the estimate plus lateSlackSeconds indicates an overloaded endpoint.
    constexpr double lateFactor = 2;
    constexpr double lateSlackSeconds = 0.1;
    // Multiplicative decrease of an endpoint's concurrency limit after a late first token.
    constexpr double limitDecreaseFactor = 0.9;
    constexpr double minRetryAfterSeconds = 0.5; // Before jitter.
    constexpr uint8_t priorityLevels = 4;

    double secondsOf(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1e9;
    }

    // Shortest remaining work first; 0 is the most urgent.
    uint8_t priorityOf(double remainingTokens)
    {
        if (remainingTokens <= 64)
            return 0;
        if (remainingTokens <= 256)
            return 1;
        return remainingTokens <= 1024 ? 2 : priorityLevels - 1;
    }

    // Engines read short prompts of a rank before its long ones, and these beside the short ones of the next rank.
    uint8_t servedPriority(const ActiveRequest& request)
    {
        constexpr uint8_t lowest = 9;
        return static_cast<uint8_t>(std::min<int>(lowest, request.rank + request.isLong));
    }

    void updateAverage(double& average, double value)
    {
        average += average > 0 ? averagingWeight * (value - average) : value;
    }

    std::string poolKey(const RouteRow& route)
    {
        const char separator = '\n';
        return std::string(route.kind == RouteKind::Model ? "m" : "s") + separator + route.target + separator
            + route.version + separator + route.adapter + separator + std::to_string(route.layers);
    }

} // namespace

size_t PoolState::queued() const
{
    size_t n = 0;
    for (const auto& it : queues)
        n += it.second.size();
    return n;
}

CoreState::CoreState(const CoreConfig& config)
    : m_config(config)
    , m_random(config.seed)
    , m_planner(m_endpoints, m_model, m_prefixes, config.choices)
    , m_retryReserve(initialRetryReserve)
    , m_subsetSeed(config.host.isEmpty() ? config.seed : sha256Prefix64(config.host.value()))
{
}

Duration CoreState::jittered(double seconds)
{
    // A random factor between 0.5 and 1.5 keeps refused callers from retrying at the same time.
    double baseSeconds = std::max(minRetryAfterSeconds, seconds);
    return Duration(std::llround(baseSeconds * (0.5 + uniform(m_random)) * 1e9));
}

ActiveRequest* CoreState::findAttempt(const RequestId& id, uint32_t attempt)
{
    auto it = m_requests.find(id);
    return it == m_requests.end() || it->second.attempt != attempt || !attempt ? nullptr : &it->second;
}

// Rebuilds the pool's endpoint subset if the set of endpoints that may serve has changed.
void CoreState::refreshPool(PoolState& pool)
{
    if (pool.generation == m_endpoints.generation())
        return;
    pool.generation = m_endpoints.generation();
    pool.pool = buildPool(m_endpoints, pool.route,
        { m_config.dataCentre, m_subsetSeed, m_config.localEndpoints, m_config.remoteEndpoints });
    pool.slots = pool.pool.groups.empty() ? 0 : DispatchGate::slots(m_endpoints, pool.pool);
}

// Starts an attempt that generates tokens from position on. Returns false if there is no suitable chain.
bool CoreState::dispatch(
    Instant now, ActiveRequest& request, uint32_t position, bool needsFreeSlot, Decisions& decisions)
{
    refreshPool(*request.pool);
    PlanRequest planRequest;
    planRequest.promptTokens = request.arrival.promptTokens + position;
    planRequest.tokens = std::max(1.0, request.expectedTokens - position);
    planRequest.prefixDigests = &request.arrival.prefixDigests;
    planRequest.excluded = &request.excluded;
    planRequest.needsFreeSlot = needsFreeSlot;
    auto plan = m_planner.plan(now, request.pool->pool, planRequest, m_random);
    if (plan.chain.empty())
        return false;
    request.chain = std::move(plan.chain);
    request.hops = std::move(plan.hops);
    request.plannedPromptTokens = plan.promptTokens;
    request.plannedFirstTokenSeconds = plan.secondsToFirstToken;
    request.expectsHit = plan.expectsHit;
    request.dispatchedAt = now;
    request.progressAt = now;
    request.hasFirstToken = false;
    request.position = position;
    request.startPosition = position;
    request.priority = request.isRanked() ? servedPriority(request) : priorityOf(request.expectedTokens - position);
    ++request.attempt;
    for (auto index : request.hops)
        m_endpoints[index].breaker.recordAttempt(now);
    takeSlots(now, request);
    ++m_status.dispatched;
    decisions.push_back(Dispatch {
        request.arrival.request, request.attempt, request.chain, request.priority, position, m_table->revision });
    return true;
}

// Counts the slots of the request's chain as taken.
void CoreState::takeSlots(Instant now, ActiveRequest& request)
{
    for (auto index : request.hops)
        m_endpoints.adjustOwnAttempts(now, index, 1);
    ++request.pool->running;
    request.pool->runningLong += request.isLong;
}

// Frees the slots that the request's attempt holds, if any.
void CoreState::releaseSlots(Instant now, ActiveRequest& request)
{
    if (request.hops.empty())
        return;
    for (auto index : request.hops)
        m_endpoints.adjustOwnAttempts(now, index, -1);
    --request.pool->running;
    request.pool->runningLong -= request.isLong;
    request.hops.clear();
    request.chain.clear();
}

void CoreState::remove(Requests::iterator it)
{
    auto limits = m_limits.find(it->second.arrival.workspace);
    if (it->second.isCounted && limits != m_limits.end())
        --limits->second.active;
    --it->second.estimate->active;
    m_requests.erase(it);
}

void CoreState::apply(Instant now, const FirstToken& input, Decisions&)
{
    auto* request = findAttempt(input.request, input.attempt);
    if (!request || request->hasFirstToken)
        return;
    request->hasFirstToken = true;
    if (request->isRanked())
        request->pool->pressure->noteBegun(
            request->ownPriority, request->arrival.promptTokens, now - request->arrivedAt);
    learnFirstToken(now, *request);
    request->progressAt = now;
    request->position = request->startPosition + 1;
}

// Updates the estimates of the route and of its endpoint by a call that has finished.
void CoreState::learnCall(Instant now, ActiveRequest& request)
{
    double seconds = secondsOf(now - request.dispatchedAt);
    auto& estimate = *request.estimate;
    // Old measurements say little about the present.
    if (estimate.isStale(now))
        estimate.callSeconds = seconds;
    else
        updateAverage(estimate.callSeconds, seconds);
    estimate.measuredAt = now;
    for (auto index : request.hops)
        m_model.learnCall(m_endpoints[index], seconds);
}

// Adapts the endpoints' concurrency limits (additive increase, multiplicative decrease), and updates the estimates of
// prefix cache hits and prefill time.
void CoreState::learnFirstToken(Instant now, ActiveRequest& request)
{
    double seconds = secondsOf(now - request.dispatchedAt);
    bool wasLate = seconds > lateFactor * request.plannedFirstTokenSeconds + lateSlackSeconds;
    for (auto index : request.hops) {
        auto& entry = m_endpoints[index];
        entry.ownAttemptLimit = wasLate
            ? std::max(1.0, entry.ownAttemptLimit * limitDecreaseFactor)
            : std::min<double>(entry.row.slots, entry.ownAttemptLimit + 1 / std::max(1.0, entry.ownAttemptLimit));
    }
    double decode = m_model.decodeTime(m_endpoints, request.hops, request.chain);
    double prompt = request.arrival.promptTokens + request.startPosition;
    if (request.expectsHit && prompt > request.plannedPromptTokens) {
        double hit = m_model.prefillTime(m_endpoints, request.hops, request.chain, request.plannedPromptTokens);
        double miss = m_model.prefillTime(m_endpoints, request.hops, request.chain, prompt);
        for (auto index : request.hops)
            m_prefixes.learn(index, seconds - decode < (hit + miss) / 2);
        return;
    }
    // A late first token reflects queueing at the endpoint rather than its speed, so it is not used as a measurement.
    if (wasLate || seconds <= decode || prompt < 1)
        return;
    m_model.learnPrefill(m_endpoints, request.hops, request.chain, prompt, seconds - decode);
    updateAverage(request.pool->secondsPerPromptToken, (seconds - decode) / prompt);
    request.estimate->measuredAt = now;
}

void CoreState::apply(Instant now, const TokensProgressed& input, Decisions& decisions)
{
    auto* request = findAttempt(input.request, input.attempt);
    if (!request || input.position <= request->position)
        return;
    double seconds = secondsOf(now - request->progressAt) / (input.position - request->position);
    if (request->hasFirstToken) {
        m_model.learnDecode(m_endpoints, request->hops, request->chain, seconds);
        updateAverage(request->pool->secondsPerToken, seconds);
    }
    request->hasFirstToken = true;
    request->position = input.position;
    request->progressAt = now;
    chargeProgress(*request, input.position);
    updateLength(*request, decisions);
}

// Charges generated tokens to the workspace as they arrive, because the answer's length is not known in advance.
void CoreState::chargeProgress(ActiveRequest& request, uint32_t position)
{
    if (position <= request.chargedPosition)
        return;
    double tokens = position - request.chargedPosition;
    request.queue().charge(request.arrival.workspace, request.weight, request.isLong, tokens);
    request.chargedPosition = position;
}

// Updates the expected length from the tokens received so far, and then the long-request flag and the priority.
void CoreState::updateLength(ActiveRequest& request, Decisions& decisions)
{
    if (request.pool->route.kind == RouteKind::Service)
        return;
    estimateLength(request);
    if (!request.isLong && (request.position >= longRequestTokens || request.expectedTokens >= longRequestTokens)) {
        request.isLong = true;
        ++request.pool->runningLong;
    }
    if (request.isRanked())
        return;
    auto priority = priorityOf(request.expectedTokens - request.position);
    // Priorities are only lowered here, so that shorter requests can overtake. An answer near its end needs no raise.
    if (priority <= request.priority)
        return;
    request.priority = priority;
    decisions.push_back(Reprioritize { request.arrival.request, request.attempt, priority });
}

void CoreState::apply(Instant now, const AttemptFailed& input, Decisions& decisions)
{
    auto* request = findAttempt(input.request, input.attempt);
    if (!request)
        return;
    const auto* faultyEndpoint = m_endpoints.find(input.endpoint);
    if (faultyEndpoint && input.kind == FailureKind::Refused)
        m_endpoints.markFull(now, *faultyEndpoint);
    else if (faultyEndpoint)
        m_endpoints[*faultyEndpoint].breaker.recordFailure(now, 1);
    if (!faultyEndpoint) {
        // The endpoint at fault is unknown: half a failure is divided among the endpoints of the chain.
        for (auto index : request->hops)
            m_endpoints[index].breaker.recordFailure(now, 0.5 / static_cast<double>(request->hops.size()));
    } else
        request->excluded.push_back(*faultyEndpoint);
    releaseSlots(now, *request);
    auto it = m_requests.find(input.request);
    auto pool = request->pool; // Outlives the request, which abandon() may remove.
    auto code = ResultCode::Ok;
    bool mayHaveRun = input.kind != FailureKind::ConnectFailed && input.kind != FailureKind::Refused;
    if (!input.mayRepeat)
        code = mayHaveRun ? ResultCode::OutcomeUnknown : ResultCode::EndpointFailed;
    else if (now >= request->deadline)
        code = ResultCode::DeadlineExceeded;
    else if (request->attempt >= m_config.maxAttempts || !request->pool->retries.tryConsume(now))
        code = ResultCode::AttemptsExhausted;
    else if (!dispatch(now, *request, std::max(input.position, request->arrival.firstPosition), false, decisions))
        code = ResultCode::NoChain;
    else
        ++m_status.repeated;
    if (code != ResultCode::Ok)
        abandon(it, code, decisions);
    dispatchQueued(now, *pool, decisions);
}

void CoreState::apply(Instant now, const AttemptStalled& input, Decisions& decisions)
{
    auto* request = findAttempt(input.request, input.attempt);
    if (!request || now >= request->deadline || request->attempt >= m_config.maxAttempts)
        return;
    auto pool = request->pool;
    if (!pool->retries.mayConsume(now))
        return;
    const auto* silent = m_endpoints.find(input.endpoint);
    if (silent)
        request->excluded.push_back(*silent);
    auto hops = request->hops;
    auto chain = request->chain;
    releaseSlots(now, *request);
    if (!dispatch(now, *request, std::max(input.position, request->arrival.firstPosition), false, decisions)) {
        request->hops = std::move(hops);
        request->chain = std::move(chain);
        takeSlots(now, *request);
        if (silent)
            request->excluded.pop_back();
        return;
    }
    if (silent)
        m_endpoints[*silent].breaker.recordFailure(now, 1);
    pool->retries.tryConsume(now);
    ++m_status.repeated;
    dispatchQueued(now, *pool, decisions);
}

void CoreState::abandon(Requests::iterator it, ResultCode code, Decisions& decisions)
{
    ++m_status.abandoned;
    decisions.push_back(Abandon { it->first, it->second.attempt, code, jittered(1) });
    remove(it);
}

void CoreState::apply(Instant now, const RequestFinished& input, Decisions& decisions)
{
    auto* request = findAttempt(input.request, input.attempt);
    if (!request)
        return;
    ++m_status.finished;
    auto pool = request->pool;
    const auto& arrival = request->arrival;
    for (auto index : request->hops)
        m_endpoints[index].breaker.recordSuccess();
    if (pool->route.kind == RouteKind::Service) {
        learnCall(now, *request);
    } else {
        m_lengths.learn(arrival.route, arrival.workspace, input.tokens);
        chargeProgress(*request, input.tokens);
        auto limits = m_limits.find(arrival.workspace);
        if (limits != m_limits.end())
            limits->second.tokens.charge(now, input.tokens - request->rateChargedTokens);
    }
    releaseSlots(now, *request);
    remove(m_requests.find(input.request));
    dispatchQueued(now, *pool, decisions);
}

void CoreState::apply(Instant now, const CallerGone& input, Decisions& decisions)
{
    auto it = m_requests.find(input.request);
    if (it == m_requests.end())
        return;
    auto pool = it->second.pool;
    it->second.queue().erase(it->second.arrival.workspace, input.request);
    releaseSlots(now, it->second);
    remove(it);
    dispatchQueued(now, *pool, decisions);
}

void CoreState::apply(Instant now, const LoadReported& input, Decisions& decisions)
{
    m_endpoints.applyLoadReport(now, input);
    for (const auto& it : m_pools)
        dispatchQueued(now, *it.second, decisions);
}

void CoreState::apply(Instant, const CacheChanged& input, Decisions&)
{
    if (const auto* index = m_endpoints.find(input.endpoint))
        m_prefixes.apply(*index, input.sequence, input.added, input.removed);
}

void CoreState::apply(Instant now, const EndpointStateReported& input, Decisions& decisions)
{
    m_endpoints.updateState(input);
    for (const auto& it : m_pools)
        dispatchQueued(now, *it.second, decisions);
}

void CoreState::apply(Instant now, const TableAdopted& input, Decisions& decisions)
{
    m_table = input.table;
    m_endpoints.adopt(*m_table);
    m_poolOfRoute.clear();
    for (const auto& it : m_pools)
        it.second->isReferenced = false;
    for (const auto& route : m_table->routes) {
        auto& pool = m_pools[poolKey(route)];
        if (!pool)
            pool = std::make_shared<PoolState>(PoolState { route, {}, 0, DispatchGate(initialPeers), {},
                RetryBudget(m_config.retryPercent / 100.0, m_retryReserve) });
        pool->isReferenced = true;
        m_poolOfRoute[route.route] = pool;
    }
    std::erase_if(m_limits, [&](const auto& it) { return !m_table->findWorkspace(it.first) && !it.second.active; });
    // Waiting requests whose pool no route uses any more are refused; running ones continue.
    std::vector<RequestId> orphans;
    for (const auto& it : m_requests) {
        if (!it.second.attempt && !it.second.pool->isReferenced)
            orphans.push_back(it.first);
    }
    for (const auto& id : orphans)
        refuseQueued(now, id, ResultCode::NoChain, {}, decisions);
    std::erase_if(m_pools, [](const auto& it) { return !it.second->isReferenced; });
    for (const auto& it : m_pools)
        dispatchQueued(now, *it.second, decisions);
}

void CoreState::apply(Instant, const ShareChanged& input, Decisions&)
{
    auto& limits = m_limits[input.workspace];
    limits.hasShare = true;
    limits.requests.setRate(input.requestsPerSecond);
    limits.tokens.setRate(input.tokensPerSecond);
    limits.concurrency = input.concurrency;
}

void CoreState::apply(Instant, const RetryReserveChanged& input, Decisions&)
{
    m_retryReserve = input.repetitions;
    for (const auto& it : m_pools)
        it.second->retries.setReserve(m_retryReserve);
}

void CoreState::apply(Instant, const AcceleratorsDeclared& input, Decisions&)
{
    for (const auto& it : input.accelerators)
        m_model.setLayerTime(m_endpoints.findOrAddKind(it.accelerator), { it.prefill, it.decode, it.perSequence });
}

void CoreState::apply(Instant, const PeersCounted& input, Decisions&)
{
    m_endpoints.setDaemonCount(input.daemons);
}

void CoreState::apply(Instant, const PaceReported& input, Decisions&)
{
    m_endpoints.setPace(input.endpoint, input.percent / 100.0);
}

void CoreState::apply(Instant, const DrainStarted& input, Decisions&)
{
    m_refuseNew = m_refuseNew || input.refuseNew;
}

void CoreState::apply(Instant now, const Tick&, Decisions& decisions)
{
    auto sinceLast = m_lastTick == Instant() ? Duration::zero() : now - m_lastTick;
    double seconds = secondsOf(sinceLast);
    m_lastTick = now;
    updatePressure(now, sinceLast);
    bool shouldRedraw = now - m_lastRedraw >= redrawInterval;
    if (shouldRedraw)
        m_lastRedraw = now;
    for (const auto& it : m_pools) {
        auto& pool = *it.second;
        refreshPool(pool);
        std::erase_if(pool.estimates, [now](const auto& entry) {
            return !entry.second->active && now - entry.second->arrivedAt >= RouteEstimate::lifetime;
        });
        pool.gate.updateDaemonCount(now, m_endpoints, pool.pool);
        if (seconds > 0) {
            pool.shortDemand += std::min(1.0, seconds) * (pool.shortDemandSinceTick / seconds - pool.shortDemand);
            pool.shortDemandSinceTick = 0;
        }
        if (shouldRedraw) {
            pool.gate.redrawThreshold(m_random);
            pool.longThreshold = uniform(m_random);
            for (auto& queue : pool.queues)
                queue.second.removeIdleFlows();
        }
        refuseLate(now, pool, decisions);
        dispatchQueued(now, pool, decisions);
    }
    raiseStarvedPriorities(now, decisions);
}

// Raises the priority of attempts that have waited long for their first token at an engine, so that they do not starve.
void CoreState::raiseStarvedPriorities(Instant now, Decisions& decisions)
{
    for (auto& [id, request] : m_requests) {
        if (!request.attempt || request.hasFirstToken || !request.priority || request.isRanked())
            continue;
        double waited = secondsOf(now - request.progressAt);
        if (waited < 1 + lateFactor * request.plannedFirstTokenSeconds)
            continue;
        request.progressAt = now;
        --request.priority;
        decisions.push_back(Reprioritize { id, request.attempt, request.priority });
    }
}

void CoreState::updatePressure(Instant now, Duration sinceLast)
{
    std::map<const PoolState*, std::map<uint8_t, double>> unread;
    for (const auto& [id, request] : m_requests) {
        bool isUnread = request.isRanked() && !request.hasFirstToken;
        if (isUnread && request.pool->pressure->isWaiting(request.ownPriority, now - request.arrivedAt))
            unread[request.pool.get()][request.rank] += request.arrival.promptTokens;
    }
    for (const auto& it : m_pools) {
        if (it.second->pressure)
            it.second->pressure->update(now, sinceLast, unread[it.second.get()]);
    }
}

void CoreState::apply(Instant now, const PressureReported& input, Decisions&)
{
    for (const auto& it : input.models) {
        auto found = m_poolOfRoute.find(it.model);
        if (found != m_poolOfRoute.end() && found->second->pressure)
            found->second->pressure->adopt(now - std::max(Duration::zero(), input.age), it.loads);
    }
}

std::vector<ModelPressure> CoreState::ownPressure() const
{
    std::vector<ModelPressure> models;
    for (const auto& [route, pool] : m_poolOfRoute) {
        if (pool->pressure)
            models.push_back({ route, pool->pressure->ownLoad() });
    }
    return models;
}

std::vector<ModelAdmission> CoreState::admission() const
{
    std::vector<ModelAdmission> models;
    for (const auto& [route, pool] : m_poolOfRoute) {
        if (pool->pressure)
            models.push_back({ route, pool->pressure->levels() });
    }
    return models;
}

std::vector<EndpointLoad> CoreState::ownLoad() const
{
    std::vector<EndpointLoad> load;
    for (EndpointIndex i = 0; i < m_endpoints.size(); ++i) {
        const auto& entry = m_endpoints[i];
        if (entry.ownAttempts && entry.isInTable && entry.row.kind == EndpointKind::Engine)
            load.push_back({ entry.row.endpoint, entry.ownAttempts });
    }
    return load;
}

CoreStatus CoreState::status() const
{
    auto status = m_status;
    for (const auto& it : m_requests)
        ++(it.second.attempt ? status.running : status.waiting);
    for (EndpointIndex i = 0; i < m_endpoints.size(); ++i) {
        status.openBreakers += m_endpoints[i].isInTable && !m_endpoints[i].breaker.isClosed();
        status.servingEndpoints += m_endpoints[i].mayServe();
    }
    return status;
}

} // namespace jacinthspindle::internal
