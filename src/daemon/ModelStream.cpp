// The run of a model stream on its traffic thread.

#include "daemon/ModelStream.h"

#include "daemon/PromptFigures.h"
#include "spindleadapters/ActionCodec.h"
#include "spindlecore/internal/PromptBlocks.h"

#include <algorithm>

namespace jacinthspindle::daemon {

namespace {

    constexpr uint32_t progressInterval = 16; // Tokens between two progress reports.
    constexpr uint32_t defaultMaxTokens = 512; // Where the route is unknown; the decision core refuses it anyway.
    constexpr std::chrono::milliseconds defaultDeadline { 30000 };
    // 27 ms between tokens for 95 in 100; the limit leaves time for a recovery within 1 s.
    constexpr std::chrono::milliseconds stallBase { 800 };
    // The first token waits for the computation of the prompt, which grows with its length.
    constexpr std::chrono::milliseconds stallPerPromptToken { 1 };
    constexpr std::chrono::milliseconds maxStall { 10000 };
    constexpr uint32_t maxStallDoublings = 4;

    FailureKind failureOf(GenerationOutcome outcome)
    {
        switch (outcome) {
        case GenerationOutcome::ConnectFailed:
            return FailureKind::ConnectFailed;
        case GenerationOutcome::Stalled:
            return FailureKind::Stalled;
        case GenerationOutcome::Refused:
            return FailureKind::Refused;
        case GenerationOutcome::Complete:
        case GenerationOutcome::StreamBroken:
        case GenerationOutcome::Stopped:
            break;
        }
        return FailureKind::StreamBroken;
    }

} // namespace

ModelStream::ModelStream(TrafficContext& context, ModelQuery query)
    : m_context(context)
    , m_query(std::move(query))
    , m_request(context.identities.nextRequest())
{
}

std::optional<RequestEnd> ModelStream::open()
{
    auto table = m_context.control.table();
    const auto* route = table ? table->findRoute(m_query.route) : nullptr;
    uint32_t routeTokens = route ? route->maxTokens : defaultMaxTokens;
    m_maxTokens = std::min(m_query.maxTokens.value_or(routeTokens), routeTokens);
    m_promptTokens = estimatePromptTokens(m_query.prompt);
    m_seed = m_query.seed ? *m_query.seed : m_context.identities.random();
    m_binding = cursorBinding(m_query.workspace, m_query.route, m_query.prompt, m_query.maxTokens);
    if (auto end = readCursor())
        return end;

    RequestArrived arrival;
    arrival.request = m_request;
    arrival.workspace = m_query.workspace;
    arrival.route = m_query.route;
    arrival.promptTokens = m_promptTokens;
    arrival.maxTokens = m_maxTokens;
    arrival.firstPosition = m_cursor ? m_cursor->nextPosition : 0;
    arrival.prefixDigests = internal::promptBlockDigests(m_query.prompt);
    arrival.deadline = m_query.deadline.value_or(route ? route->deadline : defaultDeadline);
    m_admission = std::make_unique<Admission>(m_context, std::move(arrival));
    return m_admission->admit();
}

std::optional<RequestEnd> ModelStream::readCursor()
{
    if (m_query.lastEventId.empty())
        return std::nullopt;
    Reason reason;
    m_cursor = m_context.cursors.parse(m_query.lastEventId, m_binding, reason);
    if (!m_cursor)
        return RequestEnd { reason.code, Execution::NotRun, {}, reason.text };
    m_seed = m_cursor->seed;
    m_lastCursor = m_query.lastEventId;
    m_prefix.emplace(*m_cursor);
    m_context.trace.observe(m_cursor->logicalTime);
    m_context.metrics.add(Counter::StreamsResumed);
    return std::nullopt;
}

RequestEnd ModelStream::run(const Consumer& consumer)
{
    while (true) {
        if (auto end = expectAttempt())
            return *end;
        if (auto end = runAttempt(consumer))
            return *end;
    }
}

// Opens the attempt that was dispatched last in the validator.
std::optional<RequestEnd> ModelStream::expectAttempt()
{
    const auto& dispatch = m_admission->dispatch();
    const auto* route = m_admission->table().findRoute(m_query.route);
    if (!route)
        return endMismatch("the route is gone");
    if (!m_validator) {
        m_validator.emplace(m_request, route->layers);
        m_version = route->version;
        if (m_cursor && m_cursor->version != m_version)
            return endMismatch("the stream was made by version " + m_cursor->version);
    }
    AttemptExpected expected { dispatch.attempt, dispatch.chain, route->version, m_validator->nextPosition() };
    auto output = m_validator->apply(m_context.clock.now(), StreamInput(expected));
    recordStream(TraceKind::StreamInput, encodeStreamInput(expected));
    recordStream(TraceKind::StreamOutput, encodeStreamOutput(output));
    if (std::holds_alternative<AttemptOpened>(output))
        return std::nullopt;
    return endMismatch(m_validator->refusal());
}

RequestEnd ModelStream::endMismatch(const std::string& detail)
{
    m_admission->giveUp();
    return { ResultCode::CursorMismatch, m_hasSentToken || m_cursor ? Execution::Ran : Execution::NotRun, {}, detail };
}

std::chrono::milliseconds ModelStream::stallLimit() const
{
    auto limit = stallBase + stallPerPromptToken * (m_promptTokens + m_validator->nextPosition());
    // Each further attempt waits twice as long: when all engines are slow, giving up early only adds work for them.
    auto doublings = std::min(m_admission->dispatch().attempt - 1, maxStallDoublings);
    return std::min<std::chrono::milliseconds>(limit * (1U << doublings), maxStall);
}

GenerationCall ModelStream::generationCall() const
{
    const auto& table = m_admission->table();
    const auto* route = table.findRoute(m_query.route);
    GenerationCall call;
    call.request = m_request;
    call.attempt = m_admission->dispatch().attempt;
    call.model = route->target;
    call.version = route->version;
    call.adapter = route->adapter;
    call.prompt = m_query.prompt;
    call.seed = m_seed;
    call.firstPosition = m_validator->nextPosition();
    call.prefix = m_text;
    call.maxTokens = m_maxTokens;
    call.priority = m_admission->dispatch().priority;
    for (const auto& it : m_admission->dispatch().chain) {
        const auto* row = table.findEndpoint(it.endpoint);
        call.chain.push_back({ it, row ? row->address : std::string() });
    }
    return call;
}

std::optional<RequestEnd> ModelStream::runAttempt(const Consumer& consumer)
{
    m_hasFirstToken = false;
    m_stop = Stop::None;
    m_nextAsk = {};
    auto end = m_context.engine.run(
        generationCall(), [&](const TokenEvent& event) { return onToken(event, consumer); }, stallLimit(),
        [&] { return onSilence(); });
    switch (m_stop) {
    case Stop::CallerGone:
        cancelAttempt();
        m_admission->giveUp();
        return RequestEnd { ResultCode::CallerGone, Execution::Ran, {}, {} };
    case Stop::PrefixMismatch:
        cancelAttempt();
        return endMismatch("the regenerated text differs from the text that was sent");
    case Stop::Ended:
        cancelAttempt();
        break;
    case Stop::BadToken:
        cancelAttempt();
        return m_admission->retry(end.endpoint, FailureKind::BadToken, m_validator->nextPosition(), true);
    case Stop::Moved:
        cancelAttempt();
        return m_admission->move();
    case Stop::None:
        break;
    }
    if (m_validator->isComplete()) {
        m_admission->finish(m_validator->nextPosition());
        m_context.metrics.observe(Distribution::RequestTime, m_context.clock.now() - m_admission->arrivedAt());
        return RequestEnd {};
    }
    // A stage that only lost its connection to us may still run the attempt.
    if (end.outcome != GenerationOutcome::ConnectFailed)
        cancelAttempt();
    return m_admission->retry(end.endpoint, failureOf(end.outcome), m_validator->nextPosition(), true);
}

void ModelStream::cancelAttempt()
{
    const auto& dispatch = m_admission->dispatch();
    m_context.signals.cancel(dispatch.chain, m_admission->table(), m_request, dispatch.attempt);
}

// An engine that is silent may be alive: it is left only for another attempt, or at the request's deadline.
StreamControl ModelStream::onSilence()
{
    if (m_admission->isMoved()) {
        m_stop = Stop::Moved;
        return StreamControl::Stop;
    }
    if (m_admission->remaining() <= Duration::zero())
        return StreamControl::Stop;
    auto now = m_context.clock.now();
    if (now >= m_nextAsk) {
        // What was refused may be permitted later: the retry budget is refilled.
        m_nextAsk = now + stallLimit();
        m_admission->reportSilence(m_validator->nextPosition());
    }
    return StreamControl::Continue;
}

StreamControl ModelStream::onToken(const TokenEvent& event, const Consumer& consumer)
{
    auto control = takeToken(event, consumer);
    if (control == StreamControl::Stop || m_validator->isComplete() || !m_admission->isMoved())
        return control;
    m_stop = Stop::Moved;
    return StreamControl::Stop;
}

StreamControl ModelStream::takeToken(const TokenEvent& event, const Consumer& consumer)
{
    auto output = m_validator->accept(event);
    if (std::holds_alternative<Dropped>(output)) {
        m_context.metrics.add(Counter::TokensDropped);
        recordStream(TraceKind::StreamInput, encodeStreamInput(event));
        recordStream(TraceKind::StreamOutput, encodeStreamOutput(output));
        if (!m_validator->attemptFailed())
            return StreamControl::Continue;
        m_stop = Stop::BadToken;
        return StreamControl::Stop;
    }
    if (std::holds_alternative<Complete>(output))
        recordStream(TraceKind::StreamOutput, encodeStreamOutput(output));
    if (m_admission->isEnded()) {
        m_stop = Stop::Ended;
        return StreamControl::Stop;
    }
    m_text += event.text;
    reportProgress();
    if (m_prefix) {
        bool wasSkipping = m_prefix->state() == PrefixState::Skipping;
        auto state = m_prefix->add(event.position, event.text, event.isLast);
        if (state == PrefixState::Mismatch) {
            m_stop = Stop::PrefixMismatch;
            return StreamControl::Stop;
        }
        // The token that ends the skipped prefix is one that the caller has.
        if (state == PrefixState::Skipping || (wasSkipping && event.position < m_cursor->nextPosition))
            return StreamControl::Continue;
    } else
        m_digest.add(event.text);
    if (deliver(event, consumer))
        return StreamControl::Continue;
    m_stop = Stop::CallerGone;
    return StreamControl::Stop;
}

const std::string& ModelStream::textDigest() const
{
    return m_prefix ? m_prefix->digest().value() : m_digest.value();
}

bool ModelStream::deliver(const TokenEvent& event, const Consumer& consumer)
{
    auto receivedAt = m_context.clock.now();
    if (!m_hasSentToken)
        m_context.metrics.observe(Distribution::FirstToken, receivedAt - m_admission->arrivedAt());
    else
        m_context.metrics.observe(Distribution::TokenGap, receivedAt - m_lastTokenAt);
    m_hasSentToken = true;
    m_lastTokenAt = receivedAt;
    StreamCursor cursor { answerId(), event.position + 1, textDigest(), m_seed, m_version,
        m_context.trace.logicalTime() };
    m_lastCursor = m_context.cursors.format(cursor, m_binding);
    bool isTaken = consumer({ event.text, m_lastCursor, event.isLast });
    m_context.metrics.observe(Distribution::TokenOverhead, m_context.clock.now() - receivedAt);
    if (isTaken)
        m_context.metrics.add(Counter::TokensSent);
    return isTaken;
}

void ModelStream::reportProgress()
{
    uint32_t position = m_validator->nextPosition();
    uint32_t attempt = m_admission->dispatch().attempt;
    if (!m_hasFirstToken) {
        m_hasFirstToken = true;
        m_reportedPosition = position;
        m_context.control.post(FirstToken { m_request, attempt });
        return;
    }
    if (position < m_reportedPosition + progressInterval)
        return;
    m_reportedPosition = position;
    m_context.control.postHint(CoreInput(TokensProgressed { m_request, attempt, position }));
}

void ModelStream::recordStream(TraceKind kind, std::string payload)
{
    TraceRecord record;
    record.request = m_request;
    record.tableRevision = m_admission->dispatch().tableRevision;
    record.kind = kind;
    record.payload = std::move(payload);
    m_context.trace.record(std::move(record));
}

} // namespace jacinthspindle::daemon
