// Inputs about attempts, endpoints and the table.

#include "spindlecore/internal/CoreState.h"

#include "spindlecore/internal/Digest.h"

#include <algorithm>
#include <cmath>

namespace jacinthspindle::internal {

namespace {

    // Estimate of the number of daemons before there is load to measure.
    constexpr double peersAtStart = 8;
    // Until the owner says how many repetitions the daemon may send.
    constexpr double retryReserveAtStart = 10;
    constexpr Duration redrawInterval = std::chrono::milliseconds(500);
    constexpr double measureRate = 0.1;
    // A first token later than this multiple of the estimate means that the endpoint was too busy.
    constexpr double lateRatio = 2;
    constexpr double lateSlack = 0.1; // Seconds.
    constexpr double limitDecrease = 0.9;
    constexpr double shortestRetry = 0.5; // Seconds.
    constexpr uint8_t priorities = 4;

    double secondsOf(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1e9;
    }

    uint8_t priorityOf(double remainingTokens)
    {
        if (remainingTokens <= 64)
            return 0;
        if (remainingTokens <= 256)
            return 1;
        return remainingTokens <= 1024 ? 2 : priorities - 1;
    }

    void blend(double& average, double value)
    {
        average += average > 0 ? measureRate * (value - average) : value;
    }

    std::string poolKey(const RouteRow& route)
    {
        const char separator = '\n';
        return std::string(route.kind == RouteKind::Model ? "m" : "s") + separator + route.target + separator
            + route.version + separator + route.adapter + separator + std::to_string(route.layers);
    }

} // namespace

CoreState::CoreState(const CoreConfig& config)
    : m_config(config)
    , m_random(config.seed)
    , m_planner(m_book, m_model, m_prefixes, config.choices)
    , m_retryReserve(retryReserveAtStart)
    , m_subsetSeed(config.host.isEmpty() ? config.seed : sha256Prefix64(config.host.value()))
{
}

Duration CoreState::jittered(double seconds)
{
    // Spread over a factor of three, so that refused callers do not come back at the same time.
    double base = std::max(shortestRetry, seconds);
    return Duration(std::llround(base * (0.5 + uniform(m_random)) * 1e9));
}

ActiveRequest* CoreState::findAttempt(const RequestId& id, uint32_t attempt)
{
    auto it = m_requests.find(id);
    return it == m_requests.end() || it->second.attempt != attempt || !attempt ? nullptr : &it->second;
}

// Rebuilds the subset after the set of endpoints that may serve has changed.
void CoreState::refresh(PoolState& pool)
{
    if (pool.generation == m_book.generation())
        return;
    pool.generation = m_book.generation();
    pool.pool = buildPool(
        m_book, pool.route, { m_config.dataCentre, m_subsetSeed, m_config.localEndpoints, m_config.remoteEndpoints });
    pool.slots = pool.pool.groups.empty() ? 0 : DispatchGate::slots(m_book, pool.pool);
}

bool CoreState::dispatch(Instant now, ActiveRequest& request, uint32_t position, bool needsRoom, Decisions& decisions)
{
    refresh(*request.pool);
    PlanRequest wanted;
    wanted.promptTokens = request.arrival.promptTokens + position;
    wanted.tokens = std::max(1.0, request.expectedTokens - position);
    wanted.prefixDigests = &request.arrival.prefixDigests;
    wanted.avoid = &request.avoid;
    wanted.needsRoom = needsRoom;
    auto plan = m_planner.plan(now, request.pool->pool, wanted, m_random);
    if (plan.chain.empty())
        return false;
    request.chain = std::move(plan.chain);
    request.hops = std::move(plan.hops);
    request.plannedPrompt = plan.promptTokens;
    request.plannedFirst = plan.firstToken;
    request.expectsHit = plan.expectsHit;
    request.dispatchedAt = now;
    request.progressAt = now;
    request.hasFirstToken = false;
    request.position = position;
    request.startPosition = position;
    request.priority = priorityOf(request.expectedTokens - position);
    ++request.attempt;
    for (auto index : request.hops) {
        m_book.changeOwn(now, index, 1);
        m_book[index].breaker.tried(now);
    }
    ++request.pool->running;
    request.pool->runningLong += request.isLong;
    ++m_status.dispatched;
    decisions.push_back(Dispatch {
        request.arrival.request, request.attempt, request.chain, request.priority, position, m_table->revision });
    return true;
}

// The attempt no longer holds slots.
void CoreState::release(Instant now, ActiveRequest& request)
{
    if (request.hops.empty())
        return;
    for (auto index : request.hops)
        m_book.changeOwn(now, index, -1);
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
    m_requests.erase(it);
}

void CoreState::apply(Instant now, const FirstToken& input, Decisions&)
{
    auto* request = findAttempt(input.request, input.attempt);
    if (!request || request->hasFirstToken)
        return;
    request->hasFirstToken = true;
    learnFirstToken(now, *request);
    request->progressAt = now;
    request->position = request->startPosition + 1;
}

void CoreState::learnFirstToken(Instant now, ActiveRequest& request)
{
    double seconds = secondsOf(now - request.dispatchedAt);
    bool wasLate = seconds > lateRatio * request.plannedFirst + lateSlack;
    for (auto index : request.hops) {
        auto& entry = m_book[index];
        entry.limit = wasLate ? std::max(1.0, entry.limit * limitDecrease)
                              : std::min<double>(entry.row.slots, entry.limit + 1 / std::max(1.0, entry.limit));
    }
    double decode = m_model.decodeTime(m_book, request.hops, request.chain);
    double prompt = request.arrival.promptTokens + request.startPosition;
    if (request.expectsHit && prompt > request.plannedPrompt) {
        double hit = m_model.prefillTime(m_book, request.hops, request.chain, request.plannedPrompt);
        double miss = m_model.prefillTime(m_book, request.hops, request.chain, prompt);
        for (auto index : request.hops)
            m_prefixes.learn(index, seconds - decode < (hit + miss) / 2);
        return;
    }
    // A late first token measures the queue of the endpoint and not its speed.
    if (wasLate || seconds <= decode || prompt < 1)
        return;
    m_model.learnPrefill(m_book, request.hops, request.chain, prompt, seconds - decode);
    blend(request.pool->perPromptToken, (seconds - decode) / prompt);
}

void CoreState::apply(Instant now, const TokensProgressed& input, Decisions& decisions)
{
    auto* request = findAttempt(input.request, input.attempt);
    if (!request || input.position <= request->position)
        return;
    double seconds = secondsOf(now - request->progressAt) / (input.position - request->position);
    if (request->hasFirstToken) {
        m_model.learnDecode(m_book, request->hops, request->chain, seconds);
        blend(request->pool->perToken, seconds);
    }
    request->hasFirstToken = true;
    request->position = input.position;
    request->progressAt = now;
    chargeProgress(*request, input.position);
    updateLength(*request, decisions);
}

// Lengths are not known before, so that generated tokens are charged as they come.
void CoreState::chargeProgress(ActiveRequest& request, uint32_t position)
{
    if (position <= request.chargedPosition)
        return;
    double tokens = position - request.chargedPosition;
    request.pool->queue.charge(request.arrival.workspace, request.weight, request.isLong, tokens);
    request.chargedPosition = position;
}

// Corrects the expected length by the tokens that came, and with it the lane and the priority.
void CoreState::updateLength(ActiveRequest& request, Decisions& decisions)
{
    if (request.pool->route.kind == RouteKind::Service)
        return;
    estimate(request);
    if (!request.isLong && (request.position >= longTokens || request.expectedTokens >= longTokens)) {
        request.isLong = true;
        ++request.pool->runningLong;
    }
    auto priority = priorityOf(request.expectedTokens - request.position);
    // Only a demotion is sent: it lets shorter work pass, and an answer near its end needs no help any more.
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
    const auto* atFault = m_book.find(input.endpoint);
    if (atFault && input.kind == FailureKind::Refused)
        m_book.markFull(now, *atFault);
    else if (atFault)
        m_book[*atFault].breaker.failed(now, 1);
    if (!atFault) {
        for (auto index : request->hops)
            m_book[index].breaker.failed(now, 0.5 / static_cast<double>(request->hops.size()));
    } else
        request->avoid.push_back(*atFault);
    release(now, *request);
    auto it = m_requests.find(input.request);
    auto keep = request->pool;
    auto code = ResultCode::Ok;
    bool reached = input.kind != FailureKind::ConnectFailed && input.kind != FailureKind::Refused;
    if (!input.mayRepeat)
        code = reached ? ResultCode::OutcomeUnknown : ResultCode::EndpointFailed;
    else if (now >= request->deadline)
        code = ResultCode::DeadlineExceeded;
    else if (request->attempt >= m_config.maxAttempts || !request->pool->retries.take(now))
        code = ResultCode::AttemptsExhausted;
    else if (!dispatch(now, *request, std::max(input.position, request->arrival.firstPosition), false, decisions))
        code = ResultCode::NoChain;
    else
        ++m_status.repeated;
    if (code != ResultCode::Ok)
        abandon(it, code, decisions);
    pump(now, *keep, decisions);
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
    auto keep = request->pool;
    const auto& arrival = request->arrival;
    for (auto index : request->hops)
        m_book[index].breaker.succeeded();
    if (keep->route.kind == RouteKind::Service) {
        double seconds = secondsOf(now - request->dispatchedAt);
        blend(keep->callSeconds, seconds);
        for (auto index : request->hops)
            m_model.learnCall(m_book[index], seconds);
    } else {
        m_lengths.learn(arrival.route, arrival.workspace, input.tokens);
        chargeProgress(*request, input.tokens);
        auto limits = m_limits.find(arrival.workspace);
        if (limits != m_limits.end())
            limits->second.tokens.charge(now, input.tokens - request->estimatedTokens);
    }
    release(now, *request);
    remove(m_requests.find(input.request));
    pump(now, *keep, decisions);
}

void CoreState::apply(Instant now, const CallerGone& input, Decisions& decisions)
{
    auto it = m_requests.find(input.request);
    if (it == m_requests.end())
        return;
    auto keep = it->second.pool;
    keep->queue.erase(it->second.arrival.workspace, input.request);
    release(now, it->second);
    remove(it);
    pump(now, *keep, decisions);
}

void CoreState::apply(Instant now, const LoadReported& input, Decisions& decisions)
{
    m_book.report(now, input);
    for (const auto& it : m_pools)
        pump(now, *it.second, decisions);
}

void CoreState::apply(Instant, const CacheChanged& input, Decisions&)
{
    if (const auto* index = m_book.find(input.endpoint))
        m_prefixes.apply(*index, input.sequence, input.added, input.removed);
}

void CoreState::apply(Instant now, const EndpointStateSeen& input, Decisions& decisions)
{
    m_book.see(input);
    for (const auto& it : m_pools)
        pump(now, *it.second, decisions);
}

void CoreState::apply(Instant now, const TableAdopted& input, Decisions& decisions)
{
    m_table = input.table;
    m_book.adopt(*m_table);
    m_poolOfRoute.clear();
    for (const auto& it : m_pools)
        it.second->isReferenced = false;
    for (const auto& route : m_table->routes) {
        auto& pool = m_pools[poolKey(route)];
        if (!pool)
            pool = std::make_shared<PoolState>(PoolState { route, {}, 0, DispatchGate(peersAtStart), {},
                RetryBudget(m_config.retryPercent / 100.0, m_retryReserve) });
        pool->isReferenced = true;
        m_poolOfRoute[route.route] = pool;
    }
    std::erase_if(m_limits, [&](const auto& it) { return !m_table->findWorkspace(it.first) && !it.second.active; });
    std::vector<RequestId> orphans;
    for (const auto& it : m_requests) {
        if (!it.second.attempt && !it.second.pool->isReferenced)
            orphans.push_back(it.first);
    }
    for (const auto& id : orphans)
        refuseQueued(now, id, ResultCode::NoChain, {}, decisions);
    std::erase_if(m_pools, [](const auto& it) { return !it.second->isReferenced; });
    for (const auto& it : m_pools)
        pump(now, *it.second, decisions);
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
        m_model.declare(m_book.kindOf(it.accelerator), { it.prefill, it.decode, it.perSequence });
}

void CoreState::apply(Instant, const PeersCounted& input, Decisions&)
{
    m_book.setPeers(input.daemons);
}

void CoreState::apply(Instant, const PaceReported& input, Decisions&)
{
    m_book.setPace(input.endpoint, input.percent / 100.0);
}

void CoreState::apply(Instant, const DrainStarted& input, Decisions&)
{
    m_refuseNew = m_refuseNew || input.refuseNew;
}

void CoreState::apply(Instant now, const Tick&, Decisions& decisions)
{
    double seconds = m_lastTick == Instant() ? 0 : secondsOf(now - m_lastTick);
    m_lastTick = now;
    bool redraws = now - m_lastRedraw >= redrawInterval;
    if (redraws)
        m_lastRedraw = now;
    for (const auto& it : m_pools) {
        auto& pool = *it.second;
        refresh(pool);
        pool.gate.updatePeers(now, m_book, pool.pool);
        if (seconds > 0) {
            pool.shortDemand += std::min(1.0, seconds) * (pool.shortDemandSinceTick / seconds - pool.shortDemand);
            pool.shortDemandSinceTick = 0;
        }
        if (redraws) {
            pool.gate.redraw(m_random);
            pool.longThreshold = uniform(m_random);
            pool.queue.prune();
        }
        refuseLate(now, pool, decisions);
        pump(now, pool, decisions);
    }
    promoteWaiting(now, decisions);
}

// Work that waits long at an engine rises in priority, so that it does not starve.
void CoreState::promoteWaiting(Instant now, Decisions& decisions)
{
    for (auto& [id, request] : m_requests) {
        if (!request.attempt || request.hasFirstToken || !request.priority)
            continue;
        double waited = secondsOf(now - request.progressAt);
        if (waited < 1 + lateRatio * request.plannedFirst)
            continue;
        request.progressAt = now;
        --request.priority;
        decisions.push_back(Reprioritize { id, request.attempt, request.priority });
    }
}

std::vector<EndpointLoad> CoreState::ownLoad() const
{
    std::vector<EndpointLoad> load;
    for (EndpointIndex i = 0; i < m_book.size(); ++i) {
        const auto& entry = m_book[i];
        if (entry.own && entry.isInTable && entry.row.kind == EndpointKind::Engine)
            load.push_back({ entry.row.endpoint, entry.own });
    }
    return load;
}

CoreStatus CoreState::status() const
{
    auto status = m_status;
    for (const auto& it : m_requests)
        ++(it.second.attempt ? status.running : status.waiting);
    for (EndpointIndex i = 0; i < m_book.size(); ++i) {
        status.openBreakers += m_book[i].isInTable && !m_book[i].breaker.isClosed();
        status.servingEndpoints += m_book[i].mayServe();
    }
    return status;
}

} // namespace jacinthspindle::internal
