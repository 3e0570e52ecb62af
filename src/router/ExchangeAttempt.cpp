// One attempt of a request at an endpoint: its connection, its answer, and what is passed on of it.

#include "router/Exchange.h"

#include "adapters/HttpStatus.h"

#include <limits>

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    // An endpoint that lives accepts within a few milliseconds; a lost packet is sent again after 200 ms.
    constexpr milliseconds connectTimeout { 350 };
    // The endpoint's own answer at the deadline is preferred to one of the router.
    constexpr milliseconds deadlineGrace { 60 };
    // A request that must not run twice is sent over a connection that was used just now: an older one may be about to
    // be closed, and then nobody knows whether the request ran.
    constexpr milliseconds freshIdle { 400 };
    // A head that refuses sooner was short of room, or knew before that a stage is away.
    constexpr milliseconds shortestStall { 400 };
    // Of an answer that is no stream, what is held until it is whole, so that a failed one can be replaced. Longer
    // answers are passed on as they come.
    constexpr size_t maxHeldBytes = size_t { 64 } << 10;

} // namespace

net::awaitable<std::unique_ptr<EndpointConnection>> Exchange::acquire(const EndpointSighting& endpoint)
{
    auto maxIdle = mayRunAgain() ? Duration::max() : Duration(freshIdle);
    if (auto idle = m_context.pool.takeIdle(endpoint.address, maxIdle))
        co_return idle;
    auto timeout = std::min<Duration>(connectTimeout, std::max<Duration>(timeLeft(), milliseconds(1)));
    co_return co_await m_context.pool.connect(
        endpoint.address, std::chrono::duration_cast<milliseconds>(timeout) + milliseconds(1));
}

net::awaitable<Exchange::AttemptResult> Exchange::attempt(const Dispatch& dispatch)
{
    m_movedFrom.reset();
    m_silent.reset();
    m_attempt = dispatch.attempt;
    m_attemptPriority = dispatch.priority;
    m_events.discardPartialEvent();
    auto view = m_context.currentView();
    const auto& first = dispatch.chain.front().endpoint;
    const auto* head = view->findEndpoint(first);
    auto chain = chainText(*view, dispatch.chain);
    if (isWithheld())
        co_return AttemptResult { AttemptEnd::Withheld, {}, FailureKind::StreamBroken, "part of the prompt" };
    if (head && !maySendTo(first))
        co_return AttemptResult { AttemptEnd::OutOfAttempts, {}, FailureKind::StreamBroken, "attempts of the route" };
    if (!head || !chain)
        co_return AttemptResult { AttemptEnd::NotSent, first, FailureKind::ConnectFailed, "endpoint has gone" };
    m_head = *head;
    note("dispatched",
        { { "attempt", dispatch.attempt }, { "endpoint", first.value() }, { "chain", *chain },
            { "table_revision", dispatch.tableRevision }, { "left_ms", millisecondsOf(timeLeft()) },
            { "rank", m_request.rank ? dispatch.priority : -1 } });
    m_context.metrics.add(daemon::Counter::AttemptsStarted);
    // The same head would not tell the two runs apart.
    if (m_standby && !m_standby->hasDelivered && m_standby->head.endpoint == first)
        m_standby.reset();
    OpenAttempt open;
    open.number = dispatch.attempt;
    open.head = m_head;
    open.connection = co_await acquire(m_head);
    if (!open.connection || m_isCallerGone)
        co_return AttemptResult { AttemptEnd::NotSent, first, FailureKind::ConnectFailed, "connect" };
    m_connection = open.connection.get();
    m_progressAt = open.sentAt = m_context.clock.now();
    ++m_sends;
    m_heads.insert(first);
    bool hadRun = m_mayHaveRun;
    m_mayHaveRun = true;
    m_connection->stream.expires_after(std::max<Duration>(timeLeft(), milliseconds(1)) + deadlineGrace);
    if (!m_request.isModel)
        chain->clear();
    AttemptResult result;
    bool isWritten = co_await writeRequest(*m_connection, *chain);
    if (isWritten)
        result = co_await receive(open);
    else
        result = broken("write");
    if (result.end == AttemptEnd::NotExecuted)
        m_mayHaveRun = hadRun;
    settle(std::move(open), result);
    co_return result;
}

net::awaitable<Exchange::AttemptResult> Exchange::resume(OpenAttempt open, uint32_t number)
{
    m_movedFrom.reset();
    m_silent.reset();
    m_attempt = open.number = number;
    m_head = open.head;
    m_events.restorePartialEvent(std::move(open.partialEvent));
    m_connection = open.connection.get();
    m_progressAt = m_context.clock.now();
    m_connection->stream.expires_after(timeLeft() + deadlineGrace);
    note("attempt-resumed",
        { { "attempt", number }, { "endpoint", m_head.endpoint.value() }, { "left_ms", millisecondsOf(timeLeft()) } });
    auto result = co_await receive(open);
    settle(std::move(open), result);
    co_return result;
}

net::awaitable<Exchange::AttemptResult> Exchange::receive(OpenAttempt& open)
{
    bool hasHeader = open.parser && open.parser->is_header_done();
    if (!hasHeader) {
        bool isAnswered = co_await readOwnHeader(open);
        // A header that is half read can be read on; another request's body cannot.
        bool isKept = !open.parser->is_header_done() && isInterrupted(*open.connection);
        if (!isAnswered)
            co_return isKept ? setAside() : broken("no answer");
    }
    const auto& header = open.parser->get();
    if (isSuccess(header.result_int()) && header[http::field::content_type].starts_with("text/event-stream"))
        co_return co_await relayStream(open);
    co_return co_await takeWhole(*open.connection, *open.parser);
}

void Exchange::settle(OpenAttempt open, const AttemptResult& result)
{
    m_connection = nullptr;
    open.isSilent = !m_returning;
    noteLoss(open, result);
    if (result.end == AttemptEnd::SetAside) {
        // Of two attempts, the one is kept from which the caller has received something.
        if (!m_standby || open.hasDelivered) {
            open.partialEvent = m_events.takePartialEvent();
            m_standby = std::move(open);
        }
        return;
    }
    // A refusal or a failure that the endpoint writes once more could answer the same request when it is repeated.
    bool isReusable = result.end == AttemptEnd::Complete && open.parser && open.parser->is_done()
        && isSuccess(open.parser->get().result_int()) && open.parser->keep_alive() && !open.isForeign
        && !open.connection->buffer.size() && !open.connection->isWriteBroken && !m_isCallerGone && !m_movedFrom;
    if (isReusable)
        m_context.pool.giveBack(std::move(open.connection), idleLimitOf(open.parser->get().base()));
}

// An engine that ends under the request ends its connection if it is the head. Another one is named by the head, which
// waits for it, or refuses after it has waited.
void Exchange::noteLoss(const OpenAttempt& open, const AttemptResult& result)
{
    if (open.hasDelivered || m_request.parts.empty())
        return;
    auto now = m_context.clock.now();
    if (result.end == AttemptEnd::Failed && result.kind == FailureKind::StreamBroken)
        return m_context.noteLoss({ open.head, m_request.parts, open.sentAt, now });
    bool isStalled = result.kind == FailureKind::Stalled
        || (result.end == AttemptEnd::NotExecuted && now - open.sentAt >= shortestStall);
    const auto* stage = isStalled ? m_context.currentView()->findEndpoint(result.atFault) : nullptr;
    if (stage && stage->endpoint != open.head.endpoint)
        m_context.noteLoss({ *stage, m_request.parts, open.sentAt, now });
}

bool Exchange::isInterrupted(EndpointConnection& connection) const
{
    return m_movedFrom && !m_isCallerGone && connection.stream.socket().is_open();
}

Exchange::AttemptResult Exchange::setAside() const
{
    return { AttemptEnd::SetAside, *m_movedFrom, FailureKind::Stalled, "an endpoint is silent" };
}

Exchange::AttemptResult Exchange::broken(const char* detail) const
{
    if (m_isCallerGone)
        return { AttemptEnd::CallerGone, {}, FailureKind::StreamBroken, detail };
    if (m_movedFrom)
        return { AttemptEnd::Failed, *m_movedFrom, FailureKind::Stalled, "an endpoint is silent" };
    if (timeLeft() <= Duration::zero())
        return { AttemptEnd::TimedOut, {}, FailureKind::StreamBroken, "deadline" };
    return { AttemptEnd::Failed, m_head.endpoint, FailureKind::StreamBroken, detail };
}

net::awaitable<bool> Exchange::writeRequest(EndpointConnection& connection, std::string chain)
{
    ForwardedRequest forwarded;
    forwarded.caller = &m_request.message;
    forwarded.workspace = m_request.workspace;
    forwarded.timeLeft = std::chrono::duration_cast<milliseconds>(timeLeft());
    forwarded.instance = m_head.instance;
    forwarded.chain = std::move(chain);
    forwarded.lastEvent = m_events.lastId();
    if (m_request.rank)
        forwarded.priority = m_attemptPriority;
    auto message = forwardRequest(m_context.settings.headers, forwarded);
    ErrorCode ec;
    co_await http::async_write(connection.stream, message, awaitInto(ec));
    connection.isWriteBroken = bool(ec);
    // An endpoint may answer and close before it has read the whole body; the answer then still lies in the socket.
    co_return !ec || ec == net::error::broken_pipe || ec == net::error::connection_reset;
}

// Reads headers until those of this request's answer. A faulty endpoint may have sent another answer first.
net::awaitable<bool> Exchange::readOwnHeader(OpenAttempt& open)
{
    constexpr int maxForeign = 2;
    auto& connection = *open.connection;
    auto& parser = open.parser;
    for (int i = 0; i <= maxForeign; ++i) {
        // A header that was half read when the attempt was set aside is read on.
        if (!parser || parser->is_header_done())
            parser = std::make_unique<Parser>();
        // Boost 1.74 compares a length with a missing limit as if it were exceeded.
        parser->body_limit(std::numeric_limits<uint64_t>::max());
        ErrorCode ec;
        co_await http::async_read_header(connection.stream, connection.buffer, *parser, awaitInto(ec));
        if (ec)
            co_return false;
        auto status = parser->get().result_int();
        if (!internal::isAnswerStatus(status) && !internal::isInterimStatus(status)) {
            note("unknown-status", { { "endpoint", m_head.endpoint.value() }, { "status", status } });
            co_return false;
        }
        noteEndpoint(parser->get().base());
        if (internal::isAnswerStatus(status) && parser->get()[m_context.settings.headers.requestId] == m_request.wireId)
            co_return true;
        open.isForeign = true;
        note("foreign-answer", { { "endpoint", m_head.endpoint.value() } });
        std::string ignored;
        auto end = co_await readBody(connection, *parser, ignored);
        if (end != BodyEnd::Whole || !parser->keep_alive())
            co_return false;
    }
    co_return false;
}

net::awaitable<std::optional<std::string_view>> Exchange::readSome(EndpointConnection& connection, Parser& parser)
{
    parser.get().body().data = m_chunk.data();
    parser.get().body().size = m_chunk.size();
    ErrorCode ec;
    co_await http::async_read_some(connection.stream, connection.buffer, parser, awaitInto(ec));
    if (ec && ec != http::error::need_buffer)
        co_return std::nullopt;
    bool endsWithConnection = parser.is_done() && parser.need_eof();
    if (endsWithConnection && connection.isWriteBroken)
        co_return std::nullopt;
    m_byteAt = m_context.clock.now();
    co_return std::string_view(m_chunk.data(), m_chunk.size() - parser.get().body().size);
}

bool Exchange::hold(const EndpointConnection& connection, size_t bytes)
{
    bytes += connection.buffer.capacity();
    if (m_standby)
        bytes += m_standby->partialEvent.size() + m_standby->connection->buffer.capacity();
    return m_held.resize(bytes);
}

net::awaitable<Exchange::BodyEnd> Exchange::readBody(EndpointConnection& connection, Parser& parser, std::string& body)
{
    while (!parser.is_done()) {
        if (body.size() > maxHeldBytes || !hold(connection, body.capacity()))
            co_return BodyEnd::TooLong;
        auto bytes = co_await readSome(connection, parser);
        if (!bytes)
            co_return BodyEnd::BrokenOff;
        body.append(*bytes);
    }
    co_return BodyEnd::Whole;
}

net::awaitable<Exchange::AttemptResult> Exchange::takeWhole(EndpointConnection& connection, Parser& parser)
{
    std::string body;
    auto end = co_await readBody(connection, parser, body);
    // A refusal needs no body.
    bool needsEnd = !saysNotExecuted(parser.get().base());
    if (end == BodyEnd::BrokenOff && needsEnd)
        co_return broken("answer broke off");
    if (end != BodyEnd::TooLong)
        co_return classify(parser.get().base(), body);
    bool isOwnSuccess = isSuccess(parser.get().result_int()) && isOwnAnswer(parser.get().base());
    if (!isOwnSuccess)
        co_return notOwnAnswer();
    if (m_hasBegun)
        co_return noContinuation();
    co_return co_await passThrough(connection, parser, std::move(body));
}

// Passes on an answer that is too long to be held. The caller's reading bounds how fast it is read.
net::awaitable<Exchange::AttemptResult> Exchange::passThrough(
    EndpointConnection& connection, Parser& parser, std::string body)
{
    m_hasBegun = true;
    m_isPassingThrough = true;
    m_standby.reset();
    bool isReached = co_await m_sink.beginParts(forwardResponseHeader(parser.get().base()));
    if (isReached)
        isReached = co_await m_sink.sendPart(body);
    body = {};
    m_held.release();
    while (isReached && !parser.is_done()) {
        auto bytes = co_await readSome(connection, parser);
        if (!bytes)
            co_return broken("answer broke off");
        if (!bytes->empty())
            isReached = co_await m_sink.sendPart(*bytes);
    }
    if (!isReached) {
        m_isCallerGone = true;
        co_return broken("caller");
    }
    co_return AttemptResult { AttemptEnd::Complete, {}, FailureKind::BadToken, "" };
}

// Passes on what the answer says about the endpoint, whichever request it belongs to.
void Exchange::noteEndpoint(const http::response_header<>& header) const
{
    EndpointNotice notice { m_head.endpoint, header[m_context.settings.headers.leaving] == "1", std::nullopt };
    if (header.result_int() == 503)
        notice.pause = retryAfterOf(header);
    if (notice.isLeaving || notice.pause)
        m_context.postNotice(std::move(notice));
}

EndpointId Exchange::faultOf(const http::response_header<>& header) const
{
    auto address = header[m_context.settings.headers.atFault];
    if (address.empty())
        return m_head.endpoint;
    const auto* endpoint = m_context.currentView()->findAddress(std::string(address));
    return endpoint ? endpoint->endpoint : EndpointId();
}

bool Exchange::saysNotExecuted(const http::response_header<>& header) const
{
    return header.count(m_context.settings.headers.notExecuted) || header.result_int() == 421;
}

// The signature proves that the endpoint made the answer; its body has no encoding, since none was asked for.
bool Exchange::isOwnAnswer(const http::response_header<>& header) const
{
    return header.count(m_context.settings.headers.signature) && !header.count(http::field::content_encoding);
}

Exchange::AttemptResult Exchange::notOwnAnswer() const
{
    return { AttemptEnd::Failed, m_head.endpoint, FailureKind::BadToken, "not the endpoint's answer" };
}

// Only a stream continues what the caller has received of one.
Exchange::AttemptResult Exchange::noContinuation() const
{
    return { AttemptEnd::Failed, m_head.endpoint, FailureKind::BadToken, "answer does not continue the stream" };
}

Exchange::AttemptResult Exchange::classify(const http::response_header<>& header, const std::string& body)
{
    auto status = header.result_int();
    // A stage of a chain refuses when it is lost, leaves or is short of memory. It is avoided like one that cannot be
    // reached; taken for full, it would make everything wait that needs its layers.
    auto kind = m_request.isModel ? FailureKind::ConnectFailed : FailureKind::Refused;
    if (saysNotExecuted(header))
        return { AttemptEnd::NotExecuted, faultOf(header), kind, "not executed" };
    if (!isOwnAnswer(header))
        return notOwnAnswer();
    if (m_hasBegun)
        return noContinuation();
    http::response<http::string_body> answer;
    answer.base() = forwardResponseHeader(header);
    answer.body() = body;
    answer.content_length(answer.body().size());
    m_answer = std::move(answer);
    bool isFailure = status >= 500 && mayRunAgain() && status != 504;
    if (isFailure)
        return { AttemptEnd::Failed, m_head.endpoint, FailureKind::BadToken, "endpoint error" };
    return { AttemptEnd::Complete, {}, FailureKind::BadToken, "" };
}

void Exchange::noteEvent(Instant now)
{
    if (m_firstEventAt) {
        m_longestGap = std::max(m_longestGap, now - m_eventAt);
        m_context.metrics.observe(daemon::Distribution::TokenGap, now - m_eventAt);
    } else {
        m_firstEventAt = now;
        m_context.metrics.observe(daemon::Distribution::FirstToken, now - m_request.arrivedAt);
    }
    m_eventAt = now;
}

net::awaitable<bool> Exchange::sendEvents(
    const http::response_header<>& header, const std::string& events, uint32_t attempt)
{
    if (!m_hasBegun) {
        m_hasBegun = true;
        m_context.postInput(FirstToken { m_request.id, attempt });
        auto forwarded = forwardResponseHeader(header);
        bool isReached = co_await m_sink.beginParts(std::move(forwarded));
        if (!isReached)
            co_return false;
    }
    if (events.empty())
        co_return true;
    co_return co_await m_sink.sendPart(events);
}

// Passes whole events on as they come. The caller has received nothing of an event that breaks off, so that the stream
// can be continued after the last whole one.
net::awaitable<Exchange::AttemptResult> Exchange::relayStream(OpenAttempt& open)
{
    auto& connection = *open.connection;
    auto& parser = *open.parser;
    const auto header = parser.get().base();
    if (!isOwnAnswer(header))
        co_return notOwnAnswer();
    std::string events;
    size_t unfinished = 0; // Bytes since the last event that ended; those of its end are counted too.
    while (!parser.is_done()) {
        if (isInterrupted(connection))
            co_return setAside();
        auto bytes = co_await readSome(connection, parser);
        if (!bytes && isInterrupted(connection))
            co_return setAside();
        if (!bytes)
            co_return broken("stream broke off");
        if (bytes->empty())
            continue;
        events.clear();
        if (!m_events.feed(*bytes, events))
            co_return broken("event too long");
        unfinished = bytes->size() + (events.empty() ? unfinished : 0);
        if (!hold(connection, unfinished))
            co_return broken("no memory for an event");
        if (events.empty())
            continue;
        // Bytes that end no event are no progress: the caller sees none either.
        m_progressAt = m_context.clock.now();
        noteEvent(m_progressAt);
        m_context.noteAlive(m_head.endpoint);
        if (!open.hasDelivered)
            m_context.parts.recordBegin(m_progressAt, m_request.parts);
        open.hasDelivered = true;
        m_standby.reset();
        if (m_returning) {
            m_returning.reset();
            m_movedFrom.reset();
        }
        bool isReached = co_await sendEvents(header, events, open.number);
        if (!isReached) {
            m_isCallerGone = true;
            co_return broken("caller");
        }
    }
    if (m_events.isInsideEvent())
        co_return broken("stream ended inside an event");
    // Only the end of the connection ends such an answer, and an engine that ends looks the same.
    if (!open.hasDelivered && parser.need_eof() && !m_events.lastId())
        co_return broken("stream ended before its first event");
    events.clear();
    bool isReached = co_await sendEvents(header, events, open.number);
    if (!isReached)
        m_isCallerGone = true;
    co_return isReached ? AttemptResult { AttemptEnd::Complete, {}, FailureKind::BadToken, "" } : broken("caller");
}

} // namespace jacinthspindle::router
