// The life of a request: decisions and the answer. Attempts are in ExchangeAttempt.cpp.

#include "router/Exchange.h"

#include <algorithm>

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    // Attempts of one request, whatever they ended with; a chain meets lost stages one after the other.
    constexpr uint32_t maxSends = 4;
    // A refusal is repeated by the caller only if it can come back while part of its time is left.
    constexpr int retryAfterShare = 4;
    // Callers leave a stream after this time without an event, four times the objective of the first one or eight times
    // the permitted pause, whichever is longest.
    constexpr milliseconds leastPatience { 2000 };
    // Between two questions to the core whether another attempt may take over from a silent one.
    constexpr milliseconds moveInterval { 500 };
    // For requests whose prompts have a part under which engines end: they are not served later either.
    constexpr std::chrono::minutes withheldRetryAfter { 10 };
    // An event of a stream holds a few tokens; only the length estimates of the core use the figure.
    constexpr uint32_t tokensPerEvent = 2;

} // namespace

Exchange::Exchange(const ExchangeContext& context, CallerSink& sink, RoutedRequest request)
    : m_context(context)
    , m_sink(sink)
    , m_request(std::move(request))
    , m_decisionTimer(context.executor)
    , m_held(context.answerMemory)
{
    if (m_request.lastEvent)
        m_events.resumeAfter(*m_request.lastEvent);
}

void Exchange::decide(const CoreDecision& decision)
{
    // A change of priority concerns engines that take one for running work; the platform's do not.
    if (std::holds_alternative<Reprioritize>(decision))
        return;
    m_decision = decision;
    if (!m_decidedAt)
        m_decidedAt = m_context.clock.now();
    m_decisionTimer.cancel();
    if (m_connection && m_silent && std::holds_alternative<Dispatch>(decision)) {
        m_movedFrom = m_silent;
        interrupt();
    }
}

void Exchange::callerGone()
{
    m_isCallerGone = true;
    m_decisionTimer.cancel();
    m_standby.reset();
    m_returning.reset();
    closeConnection();
}

void Exchange::expire()
{
    m_request.deadline = std::min(m_request.deadline, m_context.clock.now());
    m_decisionTimer.cancel();
    if (m_connection)
        interrupt();
}

void Exchange::moveAway(const EndpointId& silent)
{
    if (!m_connection || m_movedFrom || hasBytes(m_connection->stream.socket()))
        return;
    auto now = m_context.clock.now();
    if (m_isAbandoned || (m_silent && now - m_askedAt < moveInterval))
        return;
    if (const char* noRepeat = whyNoRepeat({ AttemptEnd::Failed, silent, FailureKind::Stalled, "" })) {
        m_noRepeat = noRepeat;
        return;
    }
    m_silent = silent;
    m_askedAt = now;
    m_context.postInput(AttemptStalled { m_request.id, m_attempt, silent, position() });
}

void Exchange::followStandby()
{
    if (!m_connection)
        return;
    bool hasGoneOn
        = m_standby && hasBytes(m_standby->connection->stream.socket()) && !hasBytes(m_connection->stream.socket());
    if (!m_movedFrom && hasGoneOn) {
        m_returning = std::exchange(m_standby, std::nullopt);
        m_movedFrom = m_head.endpoint;
    }
    // Between two reads there is nothing to cancel, so that an earlier interruption may have had no effect.
    if (m_movedFrom)
        interrupt();
}

std::optional<unsigned> Exchange::abandon()
{
    m_connection = nullptr;
    m_standby.reset();
    m_returning.reset();
    m_context.postInput(CallerGone { m_request.id });
    std::optional<unsigned> status;
    if (!m_hasBegun && !m_isCallerGone)
        status = m_mayHaveRun ? 502 : 503;
    finish(ResultCode::EndpointFailed, status.value_or(0), EndedBy::Router);
    return status;
}

void Exchange::interrupt()
{
    m_connection->stream.cancel();
}

void Exchange::excuse(Duration delay)
{
    m_progressAt = std::min(m_context.clock.now(), m_progressAt + delay);
}

void Exchange::closeConnection()
{
    if (m_connection)
        m_connection->stream.close();
}

bool Exchange::isSilentFor(Duration duration) const
{
    return m_connection && m_request.isModel && m_context.clock.now() - m_progressAt >= duration
        && !hasBytes(m_connection->stream.socket());
}

bool Exchange::isStalled() const
{
    const auto& route = m_request.route;
    auto patience = std::max({ leastPatience, route.targetLatency * 4, route.targetEventGap * 8 });
    return isSilentFor(patience);
}

void Exchange::note(const char* event, std::vector<LineField> fields)
{
    fields.insert(fields.begin(), { { "request", m_request.wireId }, { "service", m_request.service } });
    m_context.journal.write(LineKind::Decision, event, fields);
}

daemon::ServiceLevel Exchange::serviceLevel(ResultCode code, unsigned status, Duration took) const
{
    if (code != ResultCode::Ok)
        return status == 503 ? daemon::ServiceLevel::Refused : daemon::ServiceLevel::Failed;
    const auto& route = m_request.route;
    auto answered = m_firstEventAt ? *m_firstEventAt - m_request.arrivedAt : took;
    bool isPaused = route.targetEventGap.count() && m_longestGap > route.targetEventGap;
    bool isLate = isPaused || answered > route.targetLatency;
    return isLate ? daemon::ServiceLevel::Late : daemon::ServiceLevel::InTime;
}

std::vector<LineField> Exchange::requestFields() const
{
    return { { "route", m_request.route.route.value() }, { "priority", m_request.route.priority },
        { "rank", m_request.rank ? *m_request.rank : -1 }, { "prompt_tokens", m_request.promptTokens },
        { "queued_ms", m_decidedAt ? millisecondsOf(*m_decidedAt - m_request.arrivedAt) : -1 } };
}

const char* Exchange::nameOf(EndedBy by)
{
    switch (by) {
    case EndedBy::Endpoint:
        return "endpoint";
    case EndedBy::Router:
        return "router";
    case EndedBy::Deadline:
        return "deadline";
    case EndedBy::Caller:
        break;
    }
    return "caller";
}

void Exchange::finish(ResultCode code, unsigned status, EndedBy by)
{
    auto now = m_context.clock.now();
    auto took = now - m_request.arrivedAt;
    if (by == EndedBy::Router && m_hasBegun)
        m_context.metrics.add(daemon::Counter::AnswersCut);
    m_context.metrics.addResult(code);
    if (by != EndedBy::Caller)
        m_context.metrics.addServed(m_request.route.priority, serviceLevel(code, status, took));
    m_context.metrics.add(daemon::Counter::RequestsFinished);
    m_context.metrics.observe(daemon::Distribution::RequestTime, took);
    std::vector<LineField> fields { { "code", static_cast<int>(code) }, { "result", resultName(code) },
        { "status", status }, { "took_ms", millisecondsOf(took) }, { "sends", m_sends }, { "heads", m_heads.size() },
        { "heads_counted", countedHeads() }, { "events", m_events.delivered() },
        { "first_event_ms", m_firstEventAt ? millisecondsOf(*m_firstEventAt - m_request.arrivedAt) : -1 },
        { "longest_gap_ms", millisecondsOf(m_longestGap) }, { "ended_by", nameOf(by) }, { "no_repeat", m_noRepeat },
        { "last_byte_ms", m_byteAt ? millisecondsOf(now - *m_byteAt) : -1 },
        { "held_up_ms", millisecondsOf(m_context.recentDelay()) },
        { "configuration_began", m_request.configurationVersion },
        { "configuration_ended", m_context.currentView()->configuration->version } };
    auto ofRequest = requestFields();
    fields.insert(fields.end(), ofRequest.begin(), ofRequest.end());
    note("request-ended", std::move(fields));
}

net::awaitable<std::optional<CoreDecision>> Exchange::nextDecision()
{
    while (!m_decision && !m_isCallerGone && timeLeft() > Duration::zero()) {
        m_decisionTimer.expires_after(timeLeft());
        ErrorCode ec;
        co_await m_decisionTimer.async_wait(awaitInto(ec));
    }
    auto decision = std::move(m_decision);
    m_decision.reset();
    co_return decision;
}

net::awaitable<ExchangeEnd> Exchange::run()
{
    m_context.metrics.add(daemon::Counter::RequestsArrived);
    if (isWithheld())
        co_return co_await withhold();
    RequestArrived arrival { m_request.id, m_request.workspace, RouteId(m_request.service), m_request.promptTokens,
        m_request.maxTokens, 0, {}, timeLeft() };
    if (m_request.rank)
        m_context.postInput(RankedArrival { std::move(arrival), *m_request.rank, m_request.route.targetLatency });
    else
        m_context.postInput(RoutedArrival { std::move(arrival), m_request.route.route, m_request.route.timeout });
    auto end = co_await runAttempts();
    m_standby.reset();
    m_returning.reset();
    // The request ended while the core decided about another attempt, which the core still counts.
    if (m_decision && std::holds_alternative<Dispatch>(*m_decision))
        m_context.postInput(CallerGone { m_request.id });
    co_return end;
}

net::awaitable<ExchangeEnd> Exchange::runAttempts()
{
    while (true) {
        auto decision = co_await nextDecision();
        if (m_isCallerGone)
            co_return endWithoutCaller();
        const auto* dispatched = decision ? std::get_if<Dispatch>(&*decision) : nullptr;
        if (!dispatched && !mayResumeStandby())
            co_return co_await endWithoutAttempt(decision);
        uint32_t number = dispatched ? dispatched->attempt : m_standby->number;
        AttemptResult result;
        if (dispatched) {
            result = co_await attempt(*dispatched);
        } else {
            m_isAbandoned = true;
            auto standby = std::exchange(m_standby, std::nullopt);
            result = co_await resume(std::move(*standby), number);
        }
        while (auto next = takeNextTurn(result)) {
            noteFailure(result, number, nullptr);
            result = co_await resume(std::move(*next), number);
        }
        if (result.end == AttemptEnd::SetAside) {
            noteFailure(result, number, nullptr);
            continue;
        }
        if (result.end == AttemptEnd::Withheld) {
            m_context.postInput(CallerGone { m_request.id });
            co_return co_await withhold();
        }
        bool isOver = false;
        auto end = co_await afterAttempt(result, number, isOver);
        if (isOver)
            co_return end;
    }
}

// The core is not asked: both attempts were dispatched already.
std::optional<Exchange::OpenAttempt> Exchange::takeNextTurn(const AttemptResult& result)
{
    if (!mayResume() || result.end == AttemptEnd::Complete)
        return std::nullopt;
    if (m_returning)
        return std::exchange(m_returning, std::nullopt);
    bool hasFailed = result.end != AttemptEnd::SetAside && result.end != AttemptEnd::OutOfAttempts;
    if (hasFailed && m_standby && !m_standby->isSilent)
        return std::exchange(m_standby, std::nullopt);
    return std::nullopt;
}

net::awaitable<ExchangeEnd> Exchange::endWithoutAttempt(const std::optional<CoreDecision>& decision)
{
    if (!decision) {
        m_context.postInput(CallerGone { m_request.id });
        co_return co_await giveUp(ResultCode::DeadlineExceeded);
    }
    if (const auto* refused = std::get_if<Refuse>(&*decision))
        co_return co_await refuse(*refused);
    const auto& abandoned = std::get<Abandon>(*decision);
    m_noRepeat = resultName(abandoned.code);
    co_return co_await giveUp(abandoned.code);
}

void Exchange::noteFailure(const AttemptResult& result, uint32_t attempt, const char* noRepeat)
{
    m_context.metrics.add(daemon::Counter::AttemptsFailed);
    m_noRepeat = noRepeat ? noRepeat : "";
    m_wasSilent = result.kind == FailureKind::Stalled;
    note("attempt-failed",
        { { "attempt", attempt }, { "endpoint", result.atFault.value() }, { "detail", result.detail },
            { "may_repeat", !noRepeat }, { "no_repeat", m_noRepeat }, { "events", m_events.delivered() },
            { "left_ms", millisecondsOf(timeLeft()) },
            { "last_byte_ms", m_byteAt ? millisecondsOf(m_context.clock.now() - *m_byteAt) : -1 },
            { "held_up_ms", millisecondsOf(m_context.recentDelay()) } });
}

uint32_t Exchange::position() const
{
    return static_cast<uint32_t>(m_events.delivered()) * tokensPerEvent;
}

// Reports the attempt to the core. The exchange is over unless the core decides about another attempt.
net::awaitable<ExchangeEnd> Exchange::afterAttempt(const AttemptResult& result, uint32_t attempt, bool& isOver)
{
    isOver = true;
    if (result.end == AttemptEnd::Complete) {
        m_context.postInput(RequestFinished { m_request.id, attempt, position() });
        if (m_hasBegun) {
            bool isWhole = co_await m_sink.endParts();
            finish(ResultCode::Ok, 200, EndedBy::Endpoint);
            co_return isWhole ? ExchangeEnd::Answered : ExchangeEnd::CallerLost;
        }
        co_return co_await sendAnswer();
    }
    if (m_isCallerGone)
        co_return endWithoutCaller();
    const char* noRepeat = m_isAbandoned ? "abandoned" : whyNoRepeat(result);
    noteFailure(result, attempt, noRepeat);
    if (!m_isAbandoned) {
        m_context.postInput(
            AttemptFailed { m_request.id, attempt, result.atFault, result.kind, position(), !noRepeat });
        // The core also answers when no attempt may follow; then the stream that was set aside goes on.
        if (!noRepeat || mayResumeStandby()) {
            isOver = false;
            co_return ExchangeEnd::Answered;
        }
    }
    bool isLate = result.end == AttemptEnd::TimedOut;
    co_return co_await giveUp(isLate ? ResultCode::DeadlineExceeded : ResultCode::EndpointFailed);
}

bool Exchange::mayRunAgain() const
{
    return m_request.route.repeatability == Repeatability::Idempotent
        || m_request.route.repeatability == Repeatability::ResumableStream;
}

const char* Exchange::whyNoRepeat(const AttemptResult& result) const
{
    if (m_isPassingThrough)
        return "part of the answer is sent";
    // Another run is joined to what the caller has only behind an event that names its place.
    bool isContinuable = m_request.route.repeatability == Repeatability::ResumableStream && m_events.lastId();
    if (m_hasBegun && !isContinuable)
        return "cannot be continued";
    if (timeLeft() <= Duration::zero() || result.end == AttemptEnd::TimedOut)
        return "deadline";
    if (result.end == AttemptEnd::OutOfAttempts)
        return "attempts of the route";
    if (result.end == AttemptEnd::NotSent)
        return nullptr;
    if (m_sends >= maxSends)
        return "attempts of a request";
    if (result.end == AttemptEnd::NotExecuted && m_request.isModel)
        return nullptr; // Another chain may have the same head, which is no further endpoint; see maySendTo().
    if (countedHeads() >= m_request.route.maxAttempts)
        return "attempts of the route";
    return result.end == AttemptEnd::NotExecuted || mayRunAgain() ? nullptr : "may have run";
}

bool Exchange::maySendTo(const EndpointId& head) const
{
    return m_heads.contains(head) || countedHeads() < m_request.route.maxAttempts;
}

size_t Exchange::countedHeads() const
{
    return m_heads.size() - static_cast<size_t>(std::count_if(m_heads.begin(), m_heads.end(), m_context.isLost));
}

net::awaitable<ExchangeEnd> Exchange::refuse(const Refuse& refused)
{
    auto longest = std::max(Duration::zero(), timeLeft()) / retryAfterShare;
    auto fields = requestFields();
    fields.insert(fields.begin(),
        { { "code", static_cast<int>(refused.code) }, { "result", resultName(refused.code) },
            { "table_revision", refused.tableRevision } });
    note("refused", std::move(fields));
    co_return co_await sendError(refused.code, 503, std::min(refused.retryAfter, longest));
}

net::awaitable<ExchangeEnd> Exchange::withhold()
{
    m_noRepeat = resultName(ResultCode::PromptPartBlocked);
    m_context.metrics.add(daemon::Counter::RequestsWithheld);
    if (m_mayHaveRun)
        co_return co_await giveUp(ResultCode::PromptPartBlocked);
    co_return co_await sendError(ResultCode::PromptPartBlocked, 503, withheldRetryAfter);
}

// The last answer to a request that no further attempt is made for.
net::awaitable<ExchangeEnd> Exchange::giveUp(ResultCode code)
{
    if (m_hasBegun) {
        // Without its end the answer cannot be taken for a whole one.
        finish(code, 200, whoGaveUp(code));
        co_return ExchangeEnd::CallerLost;
    }
    if (m_answer)
        co_return co_await sendAnswer();
    bool isLate = timeLeft() <= Duration::zero() || code == ResultCode::DeadlineExceeded;
    if (isLate)
        co_return co_await sendError(ResultCode::DeadlineExceeded, 504, std::nullopt);
    if (m_mayHaveRun)
        co_return co_await sendError(code, 502, std::nullopt);
    // The endpoints that refused were asked a moment ago; a short pause lets them take other work.
    constexpr milliseconds pause { 100 };
    co_return co_await sendError(code, 503, std::min<Duration>(pause, timeLeft() / retryAfterShare));
}

Exchange::EndedBy Exchange::whoGaveUp(ResultCode code) const
{
    if (code == ResultCode::DeadlineExceeded || timeLeft() <= Duration::zero())
        return EndedBy::Deadline;
    // Before an attempt the refusal is this daemon's; an attempt that broke off was ended by its endpoint.
    return m_wasSilent || !m_sends ? EndedBy::Router : EndedBy::Endpoint;
}

ExchangeEnd Exchange::endWithoutCaller()
{
    m_context.postInput(CallerGone { m_request.id });
    m_context.metrics.add(daemon::Counter::CallersGone);
    finish(ResultCode::CallerGone, 0, EndedBy::Caller);
    return ExchangeEnd::CallerLost;
}

// Delivers the endpoint's own answer, which may be a failure.
net::awaitable<ExchangeEnd> Exchange::sendAnswer()
{
    auto status = m_answer->result_int();
    bool isSent = co_await m_sink.sendWhole(std::move(*m_answer));
    finish(isSuccess(status) ? ResultCode::Ok : ResultCode::EndpointFailed, status, EndedBy::Endpoint);
    co_return isSent ? ExchangeEnd::Answered : ExchangeEnd::CallerLost;
}

net::awaitable<ExchangeEnd> Exchange::sendError(ResultCode code, unsigned status, std::optional<Duration> retryAfter)
{
    auto answer = errorAnswer(m_context.settings.headers, code, status, m_request.wireId, retryAfter);
    finish(code, status, whoGaveUp(code));
    bool isSent = co_await m_sink.sendWhole(std::move(answer));
    co_return isSent ? ExchangeEnd::Answered : ExchangeEnd::CallerLost;
}

} // namespace jacinthspindle::router
