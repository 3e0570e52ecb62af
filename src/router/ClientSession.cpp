// Reading of requests, their checks, and writing of answers.

#include "router/ClientSession.h"

#include "router/Traffic.h"

#include <array>

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    // A configuration that was confirmed longer ago than the revocation bound less this margin decides about no key:
    // the margin covers the time between the check and the start of the work at the endpoint.
    constexpr milliseconds revocationMargin { 500 };
    // Older configurations do not prove that a route or key does not exist: it may have been added since.
    constexpr milliseconds absenceProof { 1950 };
    // For refusals because of a configuration that is too old; another daemon may know a newer one.
    constexpr milliseconds staleRetryAfter { 100 };
    // For refusals because other requests take all the memory; they are read and passed on by then.
    constexpr milliseconds memoryRetryAfter { 300 };
    // What is read of a request that was refused.
    constexpr milliseconds longestDiscard { 1000 };
    constexpr size_t mostDiscardedBytes = size_t { 8 } << 20;
    constexpr milliseconds defaultDeadline { 30000 };
    // Bytes that are read ahead of their parsing; bounds framing that has no end, such as that of a chunk.
    constexpr size_t maxReadAhead = size_t { 128 } << 10;
    // A caller sends its request right after it has connected.
    constexpr milliseconds shortestIdle { 300 };
    // Reading a response takes no longer than this for a caller that reads at all.
    constexpr milliseconds writeTimeout { 10000 };

    std::string hostWithoutPort(beast::string_view host)
    {
        return std::string(host.substr(0, host.find(':')));
    }

    // "prompt,output"; a request that states nothing counts as small.
    void readTokens(beast::string_view text, RoutedRequest& request)
    {
        auto comma = text.find(',');
        if (comma == beast::string_view::npos)
            return;
        request.promptTokens = parseNumber<uint32_t>(text.substr(0, comma)).value_or(0);
        request.maxTokens = parseNumber<uint32_t>(text.substr(comma + 1)).value_or(0);
    }

    // "ID:tokens,ID:tokens"; the last part belongs to the request itself.
    std::vector<PromptPart> partsOf(beast::string_view text)
    {
        std::vector<PromptPart> parts;
        for (auto comma = text.find(','); comma != beast::string_view::npos; comma = text.find(',')) {
            auto part = text.substr(0, comma);
            while (part.starts_with(' '))
                part.remove_prefix(1);
            auto identifier = part.substr(0, part.find(':'));
            parts.push_back(promptPartOf({ identifier.data(), identifier.size() }));
            text.remove_prefix(comma + 1);
        }
        return parts;
    }

    std::optional<std::string> keyOf(const http::request<http::string_body>& request)
    {
        constexpr beast::string_view scheme = "Bearer ";
        auto value = request[http::field::authorization];
        if (value.size() <= scheme.size() || !beast::iequals(value.substr(0, scheme.size()), scheme))
            return std::nullopt;
        return std::string(value.substr(scheme.size()));
    }

    // Requests that two parsers could read differently are not passed on.
    bool isAmbiguous(const http::request<http::string_body>& request)
    {
        auto encoding = request[http::field::transfer_encoding];
        return request.count(http::field::host) != 1 || request.count(http::field::transfer_encoding) > 1
            || (!encoding.empty() && !beast::iequals(encoding, "chunked")) || request.target().empty()
            || request.target().front() != '/';
    }

} // namespace

ClientSession::ClientSession(Traffic& traffic, tcp::socket socket)
    : m_traffic(traffic)
    , m_stream(std::move(socket))
    , m_buffer(maxReadAhead)
    , m_held(traffic.requestMemory())
    , m_idleSince(traffic.context().clock.now())
{
    tuneSocket(m_stream.socket());
}

void ClientSession::closeIfIdle(Instant now)
{
    if (m_isIdle && now - m_idleSince >= shortestIdle && !hasBytes(m_stream.socket()))
        m_stream.close();
}

// A request that has arrived behind the one that is being answered is served before the connection ends.
bool ClientSession::keepsConnection()
{
    return !m_wantsClose && (!m_traffic.isDraining() || m_buffer.size() || hasBytes(m_stream.socket()));
}

net::awaitable<void> ClientSession::run()
{
    auto self = shared_from_this();
    bool isReset = false;
    while (co_await awaitFirstByte()) {
        auto request = co_await readRequest();
        if (!request)
            break;
        bool isAnswered = co_await serve(std::move(*request));
        m_held.release();
        if (!isAnswered) {
            // Without chunks, an orderly end of the connection would look like that of a whole answer.
            isReset = m_isOldVersion;
            break;
        }
        if (!keepsConnection())
            break;
    }
    close(isReset);
}

void ClientSession::close(bool isReset)
{
    ErrorCode ignored;
    if (isReset)
        m_stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
    else
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.close();
    m_traffic.leave(shared_from_this());
}

net::awaitable<void> ClientSession::finishAbandoned()
{
    auto self = shared_from_this();
    m_wantsClose = true;
    m_held.release();
    ErrorCode ignored;
    m_stream.socket().cancel(ignored);
    auto exchange = std::exchange(m_exchange, nullptr);
    if (exchange) {
        m_traffic.leave(exchange->id());
        auto status = exchange->abandon();
        if (status)
            co_await sendWhole(errorAnswer(m_traffic.context().settings.headers, ResultCode::EndpointFailed, *status,
                exchange->wireId(), std::nullopt));
    } else if (!m_isIdle) {
        // The request could not be held, for example because of the length of one field.
        bool isSent = co_await reject(ResultCode::RequestTooLarge, 431, {}, std::nullopt);
        if (isSent)
            co_await discardRest();
    }
    close(exchange && m_isOldVersion);
}

net::awaitable<bool> ClientSession::awaitFirstByte()
{
    if (m_buffer.size())
        co_return true;
    m_isIdle = true;
    m_idleSince = m_traffic.context().clock.now();
    m_buffer = beast::flat_buffer(maxReadAhead);
    const auto& view = m_traffic.view();
    m_stream.expires_after(view ? view->configuration->limits.idleTimeout : CallerLimits().idleTimeout);
    ErrorCode ec;
    constexpr size_t firstRead = 2048;
    auto n = co_await m_stream.async_read_some(m_buffer.prepare(firstRead), awaitInto(ec));
    m_buffer.commit(n);
    m_isIdle = !n;
    co_return !ec && n;
}

net::awaitable<std::optional<ClientSession::Request>> ClientSession::readRequest()
{
    const auto view = m_traffic.view();
    const auto limits = view ? view->configuration->limits : CallerLimits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    ErrorCode ec;
    m_stream.expires_after(limits.headerTimeout);
    co_await http::async_read_header(m_stream, m_buffer, parser, awaitInto(ec));
    if (ec)
        co_return co_await rejectUnread(ec);
    m_isOldVersion = parser.get().version() < 11;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> goOn { http::status::continue_, 11 };
        co_await http::async_write(m_stream, goOn, awaitInto(ec));
    }
    m_stream.expires_after(limits.idleTimeout);
    while (!ec && !parser.is_done()) {
        if (!hold(parser.get().body(), parser.content_length()))
            co_return co_await rejectUnheld(parser.get().base());
        co_await http::async_read_some(m_stream, m_buffer, parser, awaitInto(ec));
    }
    if (ec)
        co_return co_await rejectUnread(ec);
    if (!hold(parser.get().body(), boost::none))
        co_return co_await rejectUnheld(parser.get().base());
    // What grew for a long body is not kept while the request is served.
    m_buffer.shrink_to_fit();
    hold(parser.get().body(), boost::none);
    m_stream.expires_never();
    m_wantsClose = !parser.keep_alive();
    co_return parser.release();
}

// A body is copied for each attempt, and what is read ahead may grow with it.
bool ClientSession::hold(const std::string& body, const boost::optional<uint64_t>& length)
{
    auto bytes = std::max(body.capacity(), length ? static_cast<size_t>(*length) : size_t {});
    return m_held.resize(2 * bytes + m_buffer.capacity());
}

// The process has no memory for the request, which is not read to its end.
net::awaitable<std::optional<ClientSession::Request>> ClientSession::rejectUnheld(const http::request_header<>& header)
{
    m_wantsClose = true;
    m_held.release();
    std::string wireId(header[m_traffic.context().settings.headers.requestId]);
    bool isSent = co_await reject(ResultCode::QueueFull, 503, std::move(wireId), memoryRetryAfter);
    if (isSent)
        co_await discardRest();
    co_return std::nullopt;
}

// Reads on without keeping anything, so that the answer is not lost with a connection that is reset for bytes that
// were never read.
net::awaitable<void> ClientSession::discardRest()
{
    ErrorCode ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    std::array<char, 4096> ignored;
    m_stream.expires_after(longestDiscard);
    for (size_t n = 0; !ec && n < mostDiscardedBytes;)
        n += co_await m_stream.async_read_some(net::buffer(ignored), awaitInto(ec));
}

// Answers a request that cannot be read; the connection ends with it.
net::awaitable<std::optional<ClientSession::Request>> ClientSession::rejectUnread(const ErrorCode& ec)
{
    m_wantsClose = true;
    if (ec == http::error::end_of_stream || ec.category() == net::error::get_system_category())
        co_return std::nullopt;
    if (ec == beast::error::timeout) {
        // The stream has closed the socket, so that no answer can be given; the caller sees the connection end.
        m_traffic.context().journal.write(LineKind::Decision, "request-read-timeout");
        co_return std::nullopt;
    }
    if (ec == http::error::header_limit)
        co_await reject(ResultCode::RequestTooLarge, 431, {}, std::nullopt);
    else if (ec == http::error::body_limit)
        co_await reject(ResultCode::RequestTooLarge, 413, {}, std::nullopt);
    else
        co_await reject(ResultCode::RequestMalformed, 400, {}, std::nullopt);
    co_await discardRest();
    co_return std::nullopt;
}

net::awaitable<bool> ClientSession::reject(
    ResultCode code, unsigned status, std::string wireId, std::optional<Duration> retryAfter)
{
    m_traffic.context().metrics.addResult(code);
    auto age = m_traffic.configurationAge();
    m_traffic.context().journal.write(LineKind::Decision, "rejected",
        { { "request", wireId }, { "code", static_cast<int>(code) }, { "result", resultName(code) },
            { "status", status },
            { "configuration_version", m_traffic.view() ? m_traffic.view()->configuration->version : 0 },
            { "configuration_age_ms", age == Duration::max() ? -1 : millisecondsOf(age) } });
    auto answer = errorAnswer(m_traffic.context().settings.headers, code, status, wireId, retryAfter);
    co_return co_await sendWhole(std::move(answer));
}

std::variant<WorkspaceId, ClientSession::Refusal> ClientSession::identify(
    const RoutingConfiguration& configuration, const RouteSettings& route, const Request& message) const
{
    auto key = keyOf(message);
    // Such a route needs no key. One that is sent all the same decides for whom the endpoint works.
    bool mayLackKey = route.isPublic && (!key || !configuration.hasKeys());
    if (mayLackKey)
        return noWorkspace;
    auto age = m_traffic.configurationAge();
    const Refusal stale { ResultCode::TableNotReady, 503, staleRetryAfter };
    if (age > m_traffic.context().settings.keyRevocationBound - revocationMargin)
        return stale;
    const auto& holders = configuration.workspaceByKey;
    auto holder = key ? holders.find(*key) : holders.end();
    if (holder != holders.end())
        return holder->second;
    if (key && age > absenceProof)
        return stale;
    return Refusal { ResultCode::WorkspaceUnknown, 401, std::nullopt };
}

net::awaitable<bool> ClientSession::serve(Request message)
{
    const auto& names = m_traffic.context().settings.headers;
    auto arrivedAt = m_traffic.context().clock.now();
    std::string wireId(message[names.requestId]);
    const auto view = m_traffic.view();
    auto age = m_traffic.configurationAge();
    if (!view)
        co_return co_await reject(ResultCode::TableNotReady, 503, wireId, staleRetryAfter);
    if (isAmbiguous(message) || wireId.empty()) {
        m_wantsClose = true;
        co_return co_await reject(ResultCode::RequestMalformed, 400, wireId, std::nullopt);
    }
    std::string target(message.target());
    const auto* route = view->routes->find(hostWithoutPort(message[http::field::host]), target);
    bool provesAbsence = age <= absenceProof;
    if (!route && !provesAbsence)
        co_return co_await reject(ResultCode::TableNotReady, 503, wireId, staleRetryAfter);
    if (!route)
        co_return co_await reject(ResultCode::RouteUnknown, 404, wireId, std::nullopt);
    RoutedRequest request;
    auto identity = identify(*view->configuration, *route, message);
    if (const auto* refusal = std::get_if<Refusal>(&identity))
        co_return co_await reject(refusal->code, refusal->status, wireId, refusal->retryAfter);
    request.workspace = std::get<WorkspaceId>(identity);
    request.wireId = wireId;
    request.id = m_traffic.uniqueId(wireId);
    request.route = *route;
    request.service = chooseService(*route, RequestId(wireId));
    const auto* service = view->configuration->findService(request.service);
    request.isModel = service && service->model;
    request.rank = view->ranks->find(request.service, *route, request.workspace);
    request.configurationVersion = view->configuration->version;
    request.arrivedAt = arrivedAt;
    auto callerWaits = parseNumber<uint32_t>(message[names.deadline]);
    auto deadline = callerWaits ? milliseconds(*callerWaits) : defaultDeadline;
    request.deadline = arrivedAt + std::min(deadline, route->timeout);
    if (!m_traffic.canOutlast(request.deadline))
        co_return co_await reject(ResultCode::ShuttingDown, 503, wireId, staleRetryAfter);
    request.lastEvent = parseNumber<uint64_t>(message[names.lastEvent]);
    readTokens(message[names.tokens], request);
    if (request.isModel)
        request.parts = partsOf(message[names.promptParts]);
    request.message = std::move(message);

    auto exchange = std::make_shared<Exchange>(m_traffic.context(), *this, std::move(request));
    m_traffic.enter(exchange);
    m_exchange = exchange;
    watchCaller(exchange);
    auto end = co_await exchange->run();
    m_exchange.reset();
    m_traffic.leave(exchange->id());
    ErrorCode ignored;
    m_stream.socket().cancel(ignored);
    if (end == ExchangeEnd::CallerLost)
        m_wantsClose = true;
    co_return end == ExchangeEnd::Answered;
}

// Notices that the caller closes its connection while its request is in progress.
void ClientSession::watchCaller(const std::shared_ptr<Exchange>& exchange)
{
    // Bytes of a next request hide the end of the connection; it is then noticed when the answer is written.
    if (m_buffer.size())
        return;
    m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), exchange](const ErrorCode& ec) {
        if (!ec && !isOpen(self->m_stream.socket()))
            exchange->callerGone();
    });
}

net::awaitable<bool> ClientSession::sendWhole(http::response<http::string_body> answer)
{
    if (!keepsConnection())
        m_wantsClose = true;
    answer.keep_alive(!m_wantsClose);
    m_stream.expires_after(writeTimeout);
    ErrorCode ec;
    co_await http::async_write(m_stream, answer, awaitInto(ec));
    m_stream.expires_never();
    co_return !ec;
}

net::awaitable<bool> ClientSession::beginParts(http::response_header<> header)
{
    if (!keepsConnection() || m_isOldVersion)
        m_wantsClose = true;
    http::response<http::empty_body> answer { std::move(header) };
    answer.keep_alive(!m_wantsClose);
    answer.chunked(!m_isOldVersion);
    http::response_serializer<http::empty_body> serializer { answer };
    m_stream.expires_after(writeTimeout);
    ErrorCode ec;
    co_await http::async_write_header(m_stream, serializer, awaitInto(ec));
    co_return !ec;
}

net::awaitable<bool> ClientSession::sendPart(std::string_view bytes)
{
    m_stream.expires_after(writeTimeout);
    ErrorCode ec;
    auto buf = net::buffer(bytes.data(), bytes.size());
    if (m_isOldVersion)
        co_await net::async_write(m_stream, buf, awaitInto(ec));
    else
        co_await net::async_write(m_stream, http::make_chunk(buf), awaitInto(ec));
    co_return !ec;
}

net::awaitable<bool> ClientSession::endParts()
{
    m_stream.expires_after(writeTimeout);
    ErrorCode ec;
    if (!m_isOldVersion)
        co_await net::async_write(m_stream, http::make_chunk_last(), awaitInto(ec));
    m_stream.expires_never();
    co_return !ec;
}

} // namespace jacinthspindle::router
