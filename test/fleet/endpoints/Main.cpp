// Stand-in of an engine and a plain service in one process, which a test can suspend and kill: streams of events at a
// steady pace, and actions. Writes the identifier of each request that begins as a line of its output.
// Usage: jacinthspindle-fleet-endpoints IP:PORT BORN

#include "fleet/Wire.h"
#include "router/Net.h"

#include <csignal>
#include <iostream>

namespace {

using namespace jacinthspindle;
using fleet::eventText;
using router::awaitInto;
using router::ErrorCode;
using router::tcp;
using router::net::awaitable;
namespace net = router::net;
namespace http = router::http;
namespace beast = router::beast;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::chrono::seconds idleTimeout { 15 };

class Endpoint {
public:
    Endpoint(net::io_context& io, const std::string& address, std::string born)
        : m_acceptor(io)
        , m_born(std::move(born))
    {
        m_failure = router::listenOn(m_acceptor, address);
        if (!m_failure)
            net::co_spawn(io, accept(), net::detached);
    }

    const std::optional<Reason>& failure() const { return m_failure; }

private:
    awaitable<void> accept()
    {
        while (true) {
            ErrorCode ec;
            tcp::socket socket(m_acceptor.get_executor());
            co_await m_acceptor.async_accept(socket, awaitInto(ec));
            if (!ec)
                net::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), net::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buf;
        bool isKept = true;
        while (isKept) {
            ErrorCode ec;
            Request request;
            stream.expires_after(idleTimeout);
            co_await http::async_read(stream, buf, request, awaitInto(ec));
            if (ec)
                co_return;
            stream.expires_never();
            isKept = co_await answer(stream, request);
        }
    }

    awaitable<bool> answer(beast::tcp_stream& stream, const Request& request)
    {
        if (request.target().starts_with("/jacinthspindle/")) {
            bool isSent = co_await send(stream, request, report());
            co_return isSent;
        }
        // Flushed, since a killed process loses what it holds.
        std::cout << request["X-Attempt-Id"] << std::endl;
        ++m_running;
        bool isAction = request.target().starts_with(fleet::actionPrefix);
        bool isSent = false;
        if (isAction)
            isSent = co_await act(stream, request);
        else
            isSent = co_await streamEvents(stream, request);
        --m_running;
        co_return isSent;
    }

    std::string report() const
    {
        return R"({"born":)" + m_born
            + R"(,"stage":"hybrid","models":[],"busy":false,"sequence":0,"queued":0,"running":)"
            + std::to_string(m_running)
            + R"(,"kvUsed":0,"kvTotal":100000,"handles":0,"pace":1.0,"layers":{"from":0,"to":8,"version":1},"stalled":[]})";
    }

    static awaitable<bool> send(beast::tcp_stream& stream, const Request& request, std::string body)
    {
        Response response { http::status::ok, 11 };
        response.set("X-Attempt-Id", request["X-Attempt-Id"]);
        response.set("X-Response-Signature", "signature");
        response.body() = std::move(body);
        response.prepare_payload();
        ErrorCode ec;
        co_await http::async_write(stream, response, awaitInto(ec));
        co_return !ec;
    }

    static awaitable<bool> act(beast::tcp_stream& stream, const Request& request)
    {
        net::steady_timer timer(stream.get_executor(), fleet::actionTime);
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
        bool isSent = co_await send(stream, request, "done " + std::string(request["X-Attempt-Id"]));
        co_return isSent;
    }

    static awaitable<bool> streamEvents(beast::tcp_stream& stream, const Request& request)
    {
        std::string id(request["X-Attempt-Id"]);
        http::response<http::empty_body> head { http::status::ok, 11 };
        head.set("X-Attempt-Id", id);
        head.set("X-Response-Signature", "signature");
        head.set(http::field::content_type, "text/event-stream");
        head.chunked(true);
        http::response_serializer<http::empty_body> serializer { head };
        ErrorCode ec;
        net::steady_timer timer(stream.get_executor(), fleet::readTime);
        co_await timer.async_wait(awaitInto(ec));
        co_await http::async_write_header(stream, serializer, awaitInto(ec));
        auto next = router::parseNumber<size_t>(request["Last-Event-Id"]).value_or(0) + 1;
        for (auto n = next; n <= fleet::eventsPerStream && !ec; ++n) {
            timer.expires_after(fleet::eventInterval);
            co_await timer.async_wait(awaitInto(ec));
            auto event = eventText(id, n);
            co_await net::async_write(stream, http::make_chunk(net::buffer(event)), awaitInto(ec));
        }
        if (!ec)
            co_await net::async_write(stream, http::make_chunk_last(), awaitInto(ec));
        co_return !ec;
    }

    tcp::acceptor m_acceptor;
    const std::string m_born;
    std::optional<Reason> m_failure;
    uint32_t m_running = 0;
};

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
        return 2;
    net::io_context io(1);
    Endpoint endpoint(io, argv[1], argv[2]);
    if (const auto& failure = endpoint.failure()) {
        std::cerr << argv[1] << ": " << failure->text << '\n';
        return 1;
    }
    io.run();
    return 0;
}
