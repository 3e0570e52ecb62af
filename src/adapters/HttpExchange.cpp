// HTTP exchanges by cpp-httplib.

#include "HttpExchange.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <strings.h>
#include <sys/socket.h>
#include <thread>

namespace jacinthspindle::internal {

namespace {

    using std::chrono::milliseconds;
    using Monotonic = std::chrono::steady_clock;

    // A server may close an idle connection without notice, and a call on it would then end as Broken. Common servers
    // keep idle connections for 2 s and more.
    constexpr milliseconds maxIdle { 1000 };
    constexpr size_t maxIdleConnections = 256;
    constexpr size_t errorTextLimit = 4096;
    // A stop that comes before the library has opened its socket has no effect and is repeated after this time.
    constexpr milliseconds stopInterval { 50 };

    struct HostAndPort {
        std::string host;
        int port = 0;
    };

    std::optional<HostAndPort> parseAddress(const std::string& address)
    {
        auto colon = address.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        HostAndPort result { address.substr(0, colon), 0 };
        if (result.host.size() > 2 && result.host.front() == '[' && result.host.back() == ']')
            result.host = result.host.substr(1, result.host.size() - 2);
        const char* end = address.data() + address.size();
        auto [rest, ec] = std::from_chars(address.data() + colon + 1, end, result.port);
        if (ec != std::errc() || rest != end || result.port < 1 || result.port > 65535)
            return std::nullopt;
        in6_addr buf {};
        if (inet_pton(AF_INET, result.host.c_str(), &buf) != 1 && inet_pton(AF_INET6, result.host.c_str(), &buf) != 1)
            return std::nullopt;
        return result;
    }

    bool hasControlCharacter(std::string_view text)
    {
        return std::any_of(
            text.begin(), text.end(), [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
    }

    // The library writes these texts into the request's head as they are.
    bool isSendable(const HttpCall& call)
    {
        bool isMethod = !call.method.empty()
            && std::all_of(call.method.begin(), call.method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
        if (!isMethod || call.path.empty() || call.path.front() != '/' || call.path.find(' ') != std::string::npos)
            return false;
        bool isClean = !hasControlCharacter(call.path) && !hasControlCharacter(call.contentType);
        return isClean && std::none_of(call.headers.begin(), call.headers.end(), [](const auto& it) {
            return hasControlCharacter(it.first) || hasControlCharacter(it.second);
        });
    }

    // A connection and the moment until which it may wait.
    struct Connection {
        explicit Connection(const HostAndPort& target)
            : client(target.host, target.port)
        {
            client.set_keep_alive(true);
            client.set_tcp_nodelay(true);
            client.set_decompress(false);
            client.set_url_encode(false);
            client.set_follow_location(false);
        }

        // Bytes that nobody asked for would be taken for the next answer.
        bool isQuiet() const
        {
            char buf = 0;
            return client.is_socket_open() && recv(client.socket(), &buf, 1, MSG_PEEK | MSG_DONTWAIT) < 0
                && errno == EAGAIN;
        }

        httplib::Client client;
        Monotonic::time_point idleSince {};
    };

    // Idle connections of the whole process, oldest first.
    class ConnectionPool {
    public:
        // Returns a kept connection; null when there is none.
        std::unique_ptr<Connection> take(const std::string& address)
        {
            auto kept = takeIdle(address);
            return kept && kept->isQuiet() ? std::move(kept) : nullptr;
        }

        void put(const std::string& address, std::unique_ptr<Connection> connection)
        {
            if (!connection->isQuiet())
                return;
            connection->idleSince = Monotonic::now();
            std::deque<Entry> expired;
            std::lock_guard lock(m_mutex);
            removeExpired(expired);
            m_idle.push_back({ address, std::move(connection) });
        }

    private:
        struct Entry {
            std::string address;
            std::unique_ptr<Connection> connection;
        };

        std::unique_ptr<Connection> takeIdle(const std::string& address)
        {
            std::deque<Entry> expired;
            std::lock_guard lock(m_mutex);
            removeExpired(expired);
            auto it = std::find_if(
                m_idle.rbegin(), m_idle.rend(), [&](const Entry& entry) { return entry.address == address; });
            if (it == m_idle.rend())
                return nullptr;
            auto connection = std::move(it->connection);
            m_idle.erase(std::next(it).base());
            return connection;
        }

        // Moves what is to be closed to expired.
        void removeExpired(std::deque<Entry>& expired)
        {
            auto limit = Monotonic::now() - maxIdle;
            while (!m_idle.empty()
                && (m_idle.size() >= maxIdleConnections || m_idle.front().connection->idleSince < limit)) {
                expired.push_back(std::move(m_idle.front()));
                m_idle.pop_front();
            }
        }

        std::mutex m_mutex;
        std::deque<Entry> m_idle;
    };

    ConnectionPool& connectionPool()
    {
        static ConnectionPool pool;
        return pool;
    }

    // Shuts down connections whose deadline has passed. The library's own time-outs hold for a single read, so that a
    // server that sends a byte at a time could hold a call for ever.
    class Watchdog {
    public:
        struct Watch {
            httplib::Client* client = nullptr;
            std::atomic<Monotonic::rep> deadline { 0 };
            std::atomic<bool> fired { false };

            void setDeadline(Monotonic::time_point at) { deadline = at.time_since_epoch().count(); }
            Monotonic::time_point getDeadline() const
            {
                return Monotonic::time_point(Monotonic::duration(deadline.load()));
            }
        };

        Watchdog()
            : m_thread([this] { run(); })
        {
        }

        ~Watchdog()
        {
            {
                std::lock_guard lock(m_mutex);
                m_isStopping = true;
            }
            m_wake.notify_one();
            m_thread.join();
        }

        void add(Watch& watch)
        {
            std::lock_guard lock(m_mutex);
            auto at = watch.getDeadline();
            bool isFirst = m_watches.empty() || at < m_watches.begin()->first;
            m_watches.emplace(at, &watch);
            if (isFirst)
                m_wake.notify_one();
        }

        // Returns after a running stop of this watch's client has ended.
        void remove(Watch& watch)
        {
            std::lock_guard lock(m_mutex);
            std::erase_if(m_watches, [&](const auto& it) { return it.second == &watch; });
        }

    private:
        void run()
        {
            std::unique_lock lock(m_mutex);
            while (!m_isStopping) {
                if (m_watches.empty()) {
                    m_wake.wait(lock);
                    continue;
                }
                auto [at, watch] = *m_watches.begin();
                auto now = Monotonic::now();
                if (at > now) {
                    m_wake.wait_until(lock, at);
                    continue;
                }
                m_watches.erase(m_watches.begin());
                m_watches.emplace(check(*watch, now), watch);
            }
        }

        // Returns the time of the next check.
        static Monotonic::time_point check(Watch& watch, Monotonic::time_point now)
        {
            if (watch.getDeadline() > now)
                return watch.getDeadline();
            watch.fired = true;
            watch.client->stop();
            return now + stopInterval;
        }

        std::mutex m_mutex;
        std::condition_variable m_wake;
        std::multimap<Monotonic::time_point, Watch*> m_watches;
        bool m_isStopping = false;
        std::thread m_thread;
    };

    Watchdog& watchdog()
    {
        static Watchdog instance;
        return instance;
    }

    class WatchGuard {
    public:
        WatchGuard(httplib::Client& client, milliseconds timeout)
        {
            m_watch.client = &client;
            extend(timeout);
            watchdog().add(m_watch);
        }
        ~WatchGuard() { watchdog().remove(m_watch); }
        WatchGuard(const WatchGuard&) = delete;
        WatchGuard& operator=(const WatchGuard&) = delete;

        void extend(milliseconds timeout) { m_watch.setDeadline(Monotonic::now() + timeout); }
        // The library's time-out for a single read may come a moment before the watchdog does.
        bool isExpired() const { return m_watch.fired || Monotonic::now() >= m_watch.getDeadline(); }

    private:
        Watchdog::Watch m_watch;
    };

    // Writing to a connection that the server has closed raises SIGPIPE, which ends a process that does not handle it.
    void ignorePipeSignal()
    {
        struct sigaction current { };
        if (sigaction(SIGPIPE, nullptr, &current) != 0 || current.sa_handler != SIG_DFL)
            return;
        current.sa_handler = SIG_IGN;
        sigaction(SIGPIPE, &current, nullptr);
    }

    bool wasNotSent(httplib::Error error)
    {
        return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
            || error == httplib::Error::BindIPAddress;
    }

    // Without a length or chunks, a connection that broke looks like the end of the body.
    bool hasMarkedEnd(const httplib::Response& response)
    {
        if (response.status == 204 || response.status == 304)
            return true;
        return response.has_header("Content-Length")
            || strcasecmp(response.get_header_value("Transfer-Encoding").c_str(), "chunked") == 0;
    }

    httplib::Request makeRequest(const HttpCall& call)
    {
        httplib::Request request;
        request.method = call.method;
        request.path = call.path;
        request.body = call.body;
        for (const auto& [name, value] : call.headers)
            request.headers.emplace(name, value);
        if (!call.contentType.empty())
            request.headers.emplace("Content-Type", call.contentType);
        return request;
    }

    // Collects one answer.
    class Receiver {
    public:
        Receiver(const HttpCall& call, const BodyReader& reader, WatchGuard& guard, HttpAnswer& answer)
            : m_call(call)
            , m_reader(reader)
            , m_guard(guard)
            , m_answer(answer)
        {
        }

        bool takeHead(const httplib::Response& response)
        {
            m_answer.status = response.status;
            m_isStreamed = m_reader && response.status == 200;
            for (const auto& [name, value] : response.headers)
                m_answer.headers.emplace_back(name, value);
            if (m_isStreamed)
                m_guard.extend(m_call.timeout);
            return true;
        }

        bool takeBytes(std::string_view bytes)
        {
            if (!m_isStreamed)
                return append(bytes);
            auto verdict = m_reader(bytes);
            if (verdict == ReaderVerdict::Progress)
                m_guard.extend(m_call.timeout);
            m_answer.stopped = verdict == ReaderVerdict::Stop;
            return !m_answer.stopped;
        }

    private:
        bool append(std::string_view bytes)
        {
            size_t limit = m_reader ? errorTextLimit : m_call.answerLimit;
            if (m_answer.body.size() + bytes.size() > limit) {
                m_answer.error = "the answer is larger than " + std::to_string(limit) + " bytes";
                return false;
            }
            m_answer.body += bytes;
            return true;
        }

        const HttpCall& m_call;
        const BodyReader& m_reader;
        WatchGuard& m_guard;
        HttpAnswer& m_answer;
        bool m_isStreamed = false;
    };

    void setTimeouts(httplib::Client& client, milliseconds timeout)
    {
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_write_timeout(timeout);
    }

    HttpAnswer exchangeOn(Connection& connection, const HttpCall& call, const BodyReader& reader, milliseconds timeout)
    {
        HttpAnswer answer;
        setTimeouts(connection.client, timeout);
        WatchGuard guard(connection.client, timeout);
        Receiver receiver(call, reader, guard, answer);
        auto request = makeRequest(call);
        request.response_handler = [&](const httplib::Response& response) { return receiver.takeHead(response); };
        request.content_receiver = [&](const char* data, size_t n, uint64_t, uint64_t) {
            return receiver.takeBytes({ data, n });
        };
        httplib::Response response;
        auto error = httplib::Error::Success;
        bool isDone = connection.client.send(request, response, error);
        answer.timedOut = !isDone && (guard.isExpired() || error == httplib::Error::ConnectionTimeout);
        if (isDone && hasMarkedEnd(response)) {
            answer.delivery = Delivery::Whole;
            return answer;
        }
        answer.delivery = wasNotSent(error) ? Delivery::NotSent : Delivery::Broken;
        if (answer.error.empty())
            answer.error = isDone ? "the answer's end is not marked" : httplib::to_string(error);
        return answer;
    }

    // The server closed the kept connection while the request was on its way.
    bool endedUnanswered(const HttpAnswer& answer)
    {
        return answer.delivery == Delivery::Broken && !answer.status && !answer.timedOut;
    }

    // An answer that the server writes once more on a kept connection looks like that of the next call. Calls that may
    // run once use their connection alone, and none is kept after a refusal. Tokens of a stream name their request.
    bool mayShareConnection(const HttpCall& call, const BodyReader& reader)
    {
        return call.isIdempotent || reader;
    }

    bool isSuccess(const HttpAnswer& answer)
    {
        return answer.delivery == Delivery::Whole && answer.status >= 200 && answer.status < 300;
    }

} // namespace

std::string HttpAnswer::header(std::string_view name) const
{
    for (const auto& it : headers) {
        if (it.first.size() == name.size() && strncasecmp(it.first.data(), name.data(), name.size()) == 0)
            return it.second;
    }
    return {};
}

HttpAnswer exchange(const HttpCall& call, const BodyReader& reader)
{
    HttpAnswer answer;
    auto target = parseAddress(call.address);
    if (!target || !isSendable(call) || call.timeout <= milliseconds::zero()) {
        answer.error = !target ? "the address is not IP:port" : "the request cannot be sent";
        return answer;
    }
    [[maybe_unused]] static const bool isPipeSignalIgnored = (ignorePipeSignal(), true);
    auto deadline = Monotonic::now() + call.timeout;
    bool isShared = mayShareConnection(call, reader);
    auto connection = isShared ? connectionPool().take(call.address) : nullptr;
    if (connection)
        answer = exchangeOn(*connection, call, reader, call.timeout);
    auto timeLeft = std::chrono::ceil<milliseconds>(deadline - Monotonic::now());
    bool isRepeated = call.isIdempotent && endedUnanswered(answer) && timeLeft > milliseconds::zero();
    if (!connection || isRepeated) {
        connection = std::make_unique<Connection>(*target);
        answer = exchangeOn(*connection, call, reader, timeLeft);
    }
    if (isShared && isSuccess(answer))
        connectionPool().put(call.address, std::move(connection));
    return answer;
}

std::string withQuery(const std::string& path, const std::vector<std::pair<std::string, std::string>>& parameters)
{
    httplib::Params params;
    for (const auto& [name, value] : parameters)
        params.emplace(name, value);
    return httplib::append_query_params(path, params);
}

std::string encodePathSegment(const std::string& text)
{
    auto query = withQuery({}, { { "x", text } });
    return query.substr(query.find('=') + 1);
}

} // namespace jacinthspindle::internal
