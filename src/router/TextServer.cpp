// Connections of the text server.

#include "router/TextServer.h"

namespace jacinthspindle::router {

namespace {

    constexpr std::chrono::seconds idleTimeout { 10 };
    constexpr std::chrono::milliseconds acceptPause { 50 };

} // namespace

TextHandler immediately(std::function<TextAnswer()> answer)
{
    return [answer = std::move(answer)](TextRequest) -> net::awaitable<TextAnswer> { co_return answer(); };
}

TextServer::TextServer(EventLoop& loop, TextHandler handler)
    : m_loop(loop)
    , m_acceptor(loop.io())
    , m_handler(std::move(handler))
{
}

std::optional<Reason> TextServer::open(const std::string& address)
{
    if (auto reason = listenOn(m_acceptor, address))
        return reason;
    m_loop.keepRunning("text-acceptor", [this] { return accept(); });
    return std::nullopt;
}

net::awaitable<void> TextServer::accept()
{
    net::steady_timer pause(m_loop.io());
    while (true) {
        ErrorCode ec;
        tcp::socket socket(m_loop.io());
        co_await m_acceptor.async_accept(socket, awaitInto(ec));
        if (ec == net::error::operation_aborted)
            co_return;
        if (!ec) {
            m_loop.spawn("text-connection", serve(std::move(socket)));
            continue;
        }
        pause.expires_after(acceptPause);
        co_await pause.async_wait(awaitInto(ec));
    }
}

net::awaitable<void> TextServer::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buf;
    ErrorCode ec;
    while (true) {
        http::request<http::string_body> request;
        stream.expires_after(idleTimeout);
        co_await http::async_read(stream, buf, request, awaitInto(ec));
        if (ec)
            co_return;
        TextRequest asked { std::string(request.target()), std::move(request.body()) };
        auto answer = co_await m_handler(std::move(asked));
        stream.expires_after(idleTimeout);
        http::response<http::string_body> response { static_cast<http::status>(answer.status), 11 };
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.keep_alive(request.keep_alive());
        response.body() = std::move(answer.text);
        response.prepare_payload();
        co_await http::async_write(stream, response, awaitInto(ec));
        if (ec || !request.keep_alive())
            co_return;
    }
}

} // namespace jacinthspindle::router
