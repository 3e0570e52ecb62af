// The requests of callers and the checks of their answers.

#include "fleet/Callers.h"

#include <random>

namespace jacinthspindle::fleet {

namespace {

    namespace net = router::net;
    namespace http = router::http;
    namespace beast = router::beast;
    using router::awaitInto;
    using router::ErrorCode;
    using std::chrono::milliseconds;

    constexpr milliseconds connectTimeout { 1000 };
    constexpr milliseconds reconnectPause { 100 };
    // Of an answer that is late already; a daemon answers by then at the latest.
    constexpr milliseconds patience { 15000 };
    constexpr uint32_t longestPauseMs = 200; // Between two requests of a caller.
    constexpr uint32_t actionShare = 5; // One request in so many.

    http::request<http::string_body> requestOf(const Outcome& outcome)
    {
        auto path = std::string(outcome.isAction ? actionPrefix : streamPrefix) + "1";
        http::request<http::string_body> request { http::verb::post, path, 11 };
        request.set(http::field::host, "desk.example");
        request.set("X-Attempt-Id", outcome.id);
        request.set("X-Deadline-Ms", std::to_string(callerDeadline.count()));
        request.set("X-Token-Usage", "20,80");
        request.set(http::field::authorization, "Bearer key-1");
        request.body() = "question";
        request.prepare_payload();
        return request;
    }

    // Counts the whole events, and checks that each of them is the next one of this request.
    void readEvents(const std::string& body, Outcome& outcome)
    {
        size_t at = 0;
        for (auto end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
            auto event = body.substr(at, end + 2 - at);
            at = end + 2;
            outcome.isOwn = outcome.isOwn && event == eventText(outcome.id, ++outcome.events);
        }
    }

    void judgeBody(const http::response<http::string_body>& answer, Outcome& outcome)
    {
        outcome.status = answer.result_int();
        outcome.isOwn = answer["X-Attempt-Id"] == outcome.id;
        if (outcome.status != 200)
            return;
        if (outcome.isAction)
            outcome.isOwn = outcome.isOwn && (!outcome.isWhole || answer.body() == "done " + outcome.id);
        else
            readEvents(answer.body(), outcome);
        bool isLong = outcome.isAction || outcome.events == eventsPerStream;
        outcome.isOwn = outcome.isOwn && (!outcome.isWhole || isLong);
    }

} // namespace

Callers::Callers(CallerOptions options)
    : m_options(std::move(options))
{
    for (size_t daemon = 0; daemon < m_options.daemons.size(); ++daemon) {
        for (size_t i = 0; i < m_options.callersPerDaemon; ++i)
            net::co_spawn(m_io, call(daemon, i), net::detached);
    }
    m_thread = std::thread([this] { m_io.run(); });
}

Callers::~Callers()
{
    finish();
}

std::vector<Outcome> Callers::finish()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    return m_outcomes;
}

size_t Callers::ended() const
{
    std::lock_guard lock(m_mutex);
    return m_outcomes.size();
}

void Callers::record(Outcome outcome)
{
    std::lock_guard lock(m_mutex);
    m_outcomes.push_back(std::move(outcome));
}

net::awaitable<void> Callers::call(size_t daemon, size_t number)
{
    std::mt19937 random(m_options.seed + static_cast<uint32_t>(daemon * m_options.callersPerDaemon + number));
    std::unique_ptr<beast::tcp_stream> connection;
    Steady::time_point connectedAt;
    net::steady_timer timer(m_io);
    ErrorCode ec;
    for (size_t n = 0; !m_isStopping; ++n) {
        timer.expires_after(milliseconds(random() % longestPauseMs));
        co_await timer.async_wait(awaitInto(ec));
        if (!connection) {
            connection = std::make_unique<beast::tcp_stream>(m_io);
            ec = co_await router::connectTo(*connection, m_options.daemons[daemon], connectTimeout);
            if (ec) {
                connection.reset();
                timer.expires_after(reconnectPause);
                co_await timer.async_wait(awaitInto(ec));
                continue;
            }
            connectedAt = Steady::now();
        }
        Outcome outcome;
        outcome.connectedAt = connectedAt;
        outcome.id = "r" + std::to_string(m_options.seed) + '-' + std::to_string(daemon) + '-' + std::to_string(number)
            + '-' + std::to_string(n);
        outcome.daemon = daemon;
        outcome.isAction = random() % actionShare == 0;
        bool isKept = co_await exchange(*connection, outcome);
        record(std::move(outcome));
        if (!isKept)
            connection.reset();
    }
}

net::awaitable<bool> Callers::exchange(beast::tcp_stream& connection, Outcome& outcome)
{
    auto request = requestOf(outcome);
    ErrorCode ec;
    connection.expires_after(patience);
    co_await http::async_write(connection, request, awaitInto(ec));
    outcome.sentAt = Steady::now();
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    // Boost 1.74 compares a length with a missing limit as if it were exceeded.
    parser.body_limit(std::numeric_limits<uint64_t>::max());
    if (!ec)
        co_await http::async_read_header(connection, buf, parser, awaitInto(ec));
    bool hasHeader = !ec;
    while (!ec && !parser.is_done())
        co_await http::async_read_some(connection, buf, parser, awaitInto(ec));
    outcome.endedAt = Steady::now();
    outcome.isWhole = hasHeader && parser.is_done();
    bool isKept = outcome.isWhole && parser.keep_alive();
    if (hasHeader)
        judgeBody(parser.release(), outcome);
    co_return isKept;
}

} // namespace jacinthspindle::fleet
