// Calls over Boost.Beast.

#include "router/HttpCaller.h"

#include "adapters/HttpStatus.h"

namespace jacinthspindle::router {

namespace {

    // Bounds framing that has no end.
    constexpr size_t maxReadAhead = size_t { 128 } << 10;

} // namespace

HttpCaller::HttpCaller(net::any_io_executor executor, std::string address, size_t maxAnswerBytes)
    : m_executor(std::move(executor))
    , m_address(std::move(address))
    , m_maxAnswerBytes(maxAnswerBytes)
{
}

std::optional<HttpReply> HttpCaller::fail(const char* step, const ErrorCode& ec)
{
    m_lastReason = { ResultCode::PlatformUnavailable, m_address + ": " + step + ": " + ec.message() };
    return std::nullopt;
}

net::awaitable<std::unique_ptr<beast::tcp_stream>> HttpCaller::takeStream(std::chrono::milliseconds timeout)
{
    auto stream = std::move(m_stream);
    if (stream && isQuiet(stream->socket()))
        co_return stream;
    stream = std::make_unique<beast::tcp_stream>(m_executor);
    auto ec = co_await connectTo(*stream, m_address, timeout);
    if (ec) {
        fail("connect", ec);
        stream.reset();
    }
    co_return stream;
}

net::awaitable<std::optional<HttpReply>> HttpCaller::call(http::verb method, std::string target, std::string body,
    std::chrono::milliseconds timeout, std::function<bool()> maySend)
{
    m_wasSent = false;
    auto stream = co_await takeStream(timeout);
    if (!stream)
        co_return std::nullopt;
    if (maySend && !maySend()) {
        m_lastReason = { ResultCode::PlatformUnavailable, m_address + ": no longer permitted" };
        m_stream = std::move(stream);
        co_return std::nullopt;
    }
    http::request<http::string_body> request { method, target, 11 };
    request.set(http::field::host, m_address);
    if (!body.empty())
        request.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : m_headers)
        request.set(name, value);
    request.body() = std::move(body);
    request.prepare_payload();
    stream->expires_after(timeout);
    ErrorCode ec;
    m_wasSent = true;
    co_await http::async_write(*stream, request, awaitInto(ec));
    if (ec)
        co_return fail("write", ec);
    beast::flat_buffer buf(maxReadAhead);
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_maxAnswerBytes);
    // A parser that is given head and body at once reserves the announced length before it has compared it with the
    // limit.
    co_await http::async_read_header(*stream, buf, parser, awaitInto(ec));
    if (!ec)
        co_await http::async_read(*stream, buf, parser, awaitInto(ec));
    if (ec)
        co_return fail("read", ec);
    auto& message = parser.get();
    if (!internal::isAnswerStatus(message.result_int()))
        co_return fail("read", make_error_code(http::error::bad_status));
    stream->expires_never();
    if (message.keep_alive() && !buf.size())
        m_stream = std::move(stream);
    HttpReply reply { message.result_int(), std::move(message.body()), std::move(message.base()) };
    co_return reply;
}

} // namespace jacinthspindle::router
