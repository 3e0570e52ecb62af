// HTTP exchanges by Boost.Beast. cpp-httplib takes a chunked answer that is cut behind a chunk for a whole one.

#include "HttpExchange.h"

#include "HttpStatus.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <httplib.h>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <strings.h>
#include <utility> // Boost.Asio 1.74 needs it in C++20 and does not include it.

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace jacinthspindle::internal {

namespace {

    namespace net = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using ErrorCode = boost::system::error_code;
    using net::ip::tcp;
    using std::chrono::milliseconds;
    using Monotonic = std::chrono::steady_clock;

    // A server may close an idle connection without notice, and a call on it would then end as Broken. Common servers
    // keep idle connections for 2 s and more.
    constexpr milliseconds maxIdle { 1000 };
    constexpr size_t maxIdleConnections = 64; // Each has four descriptors.
    // Bytes that are read ahead of their parsing; bounds framing that has no end, such as that of a chunk.
    constexpr size_t maxReadAhead = size_t { 128 } << 10;
    // Small against the second within which a stream is to go on elsewhere.
    constexpr milliseconds silenceStep { 20 };
    constexpr size_t errorTextLimit = 4096;
    constexpr size_t readBytes = size_t { 16 } << 10;

    std::optional<tcp::endpoint> parseAddress(const std::string& address)
    {
        auto colon = address.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        auto host = address.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        uint16_t port = 0;
        const char* end = address.data() + address.size();
        auto [rest, wrong] = std::from_chars(address.data() + colon + 1, end, port);
        ErrorCode ec;
        auto ip = net::ip::make_address(host, ec);
        if (ec || wrong != std::errc() || rest != end || !port)
            return std::nullopt;
        return tcp::endpoint(ip, port);
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

    // One connection with an event loop of its own, so that any thread can use it, one at a time.
    class Connection {
    public:
        // The moment at which the running operation is ended.
        void setDeadline(Monotonic::time_point at) { m_stream.expires_at(at); }

        // Instead of a deadline: from then on mayGoOn is asked until it returns false, which ends the operation.
        void watch(Monotonic::time_point at, const std::function<bool()>& mayGoOn)
        {
            m_stream.expires_never();
            m_silentAt = at;
            m_mayGoOn = &mayGoOn;
        }
        void unwatch() { m_mayGoOn = nullptr; }
        bool isLeft() const { return m_isLeft; }

        ErrorCode connect(const tcp::endpoint& target)
        {
            auto ec = run([&](auto done) { m_stream.async_connect(target, std::move(done)); });
            ErrorCode ignored;
            if (!ec)
                m_stream.socket().set_option(tcp::no_delay(true), ignored);
            return ec;
        }

        template <typename Message> ErrorCode write(Message& message)
        {
            return run([&](auto done) {
                http::async_write(m_stream, message, [done](const ErrorCode& ec, size_t) mutable { done(ec); });
            });
        }

        template <typename Parser> ErrorCode readHeader(Parser& parser)
        {
            return run([&](auto done) {
                http::async_read_header(
                    m_stream, m_buffer, parser, [done](const ErrorCode& ec, size_t) mutable { done(ec); });
            });
        }

        template <typename Parser> ErrorCode readSome(Parser& parser)
        {
            return run([&](auto done) {
                http::async_read_some(
                    m_stream, m_buffer, parser, [done](const ErrorCode& ec, size_t) mutable { done(ec); });
            });
        }

        // Bytes that nobody asked for would be taken for the next answer.
        bool isQuiet()
        {
            if (m_buffer.size() || !m_stream.socket().is_open())
                return false;
            char byte = 0;
            ErrorCode ec;
            m_stream.socket().non_blocking(true, ec);
            m_stream.socket().receive(net::buffer(&byte, 1), tcp::socket::message_peek, ec);
            return ec == net::error::would_block;
        }

        Monotonic::time_point idleSince {};

    private:
        // Starts the operation and runs the loop until it has ended.
        template <typename Start> ErrorCode run(Start start)
        {
            ErrorCode result = net::error::operation_aborted;
            start([&result](const ErrorCode& ec) { result = ec; });
            m_io.restart();
            while (m_mayGoOn && !m_isLeft) {
                m_io.run_until(m_silentAt);
                // Bytes that arrived while this process was held up are no silence.
                m_io.poll();
                if (m_io.stopped())
                    return result;
                m_isLeft = !(*m_mayGoOn)();
                m_silentAt = Monotonic::now() + silenceStep;
            }
            if (m_isLeft)
                m_stream.cancel();
            m_io.run();
            return result;
        }

        net::io_context m_io { 1 };
        beast::tcp_stream m_stream { m_io };
        beast::flat_buffer m_buffer { maxReadAhead };
        Monotonic::time_point m_silentAt {};
        const std::function<bool()>* m_mayGoOn = nullptr;
        bool m_isLeft = false;
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

    using Request = http::request<http::string_body>;
    using Parser = http::response_parser<http::buffer_body>;

    Request makeRequest(const HttpCall& call)
    {
        Request request;
        request.version(11);
        request.method_string(call.method);
        request.target(call.path);
        request.set(http::field::host, call.address);
        for (const auto& [name, value] : call.headers)
            request.insert(name, value);
        if (!call.contentType.empty())
            request.set(http::field::content_type, call.contentType);
        request.body() = call.body;
        if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD"))
            request.content_length(call.body.size());
        return request;
    }

    std::unique_ptr<Parser> makeParser()
    {
        auto parser = std::make_unique<Parser>();
        // Boost 1.74 compares a length with a missing limit as if it were exceeded.
        parser->body_limit(std::numeric_limits<uint64_t>::max());
        return parser;
    }

    // One call over one connection.
    class Exchange {
    public:
        Exchange(Connection& connection, const HttpCall& call, const BodyReader& reader, milliseconds timeout)
            : m_connection(connection)
            , m_call(call)
            , m_reader(reader)
        {
            extend(timeout);
        }

        // target: null when the connection is open.
        HttpAnswer run(const tcp::endpoint* target)
        {
            ErrorCode ec;
            if (target)
                ec = m_connection.connect(*target);
            if (ec) {
                m_answer.timedOut = isTimeout(ec);
                m_answer.error = ec.message();
                return std::move(m_answer);
            }
            m_answer.delivery = Delivery::Broken;
            if (isWatched())
                m_connection.watch(m_deadline, m_call.mayGoOn);
            auto request = makeRequest(m_call);
            ec = m_connection.write(request);
            // A server may answer before it has read the whole request; the answer then still lies in the socket.
            if (!isTimeout(ec))
                ec = readHead();
            if (!ec)
                ec = readBody();
            end(ec);
            m_connection.unwatch();
            return std::move(m_answer);
        }

        // The server keeps the connection open after the answer.
        bool isKept() const { return m_isKept; }

    private:
        void extend(milliseconds timeout)
        {
            m_deadline = Monotonic::now() + timeout;
            if (m_isStreamed && isWatched())
                m_connection.watch(m_deadline, m_call.mayGoOn);
            else
                m_connection.setDeadline(m_deadline);
        }

        bool isWatched() const { return m_reader && m_call.mayGoOn; }

        bool isTimeout(const ErrorCode& ec) const
        {
            if (isWatched() && m_answer.delivery != Delivery::NotSent)
                return m_connection.isLeft();
            return ec && (ec == beast::error::timeout || Monotonic::now() >= m_deadline);
        }

        // Reads heads until that of the answer itself.
        ErrorCode readHead()
        {
            constexpr int maxInterim = 3;
            ErrorCode ec;
            for (int n = 0; !m_parser || isInterimStatus(m_parser->get().result_int()); ++n) {
                m_parser = makeParser();
                ec = n > maxInterim ? ErrorCode(http::error::bad_status) : m_connection.readHeader(*m_parser);
                if (ec)
                    return ec;
            }
            if (!isAnswerStatus(m_parser->get().result_int()))
                return http::error::bad_status;
            m_answer.status = static_cast<int>(m_parser->get().result_int());
            for (const auto& it : m_parser->get())
                m_answer.headers.emplace_back(it.name_string(), it.value());
            m_isStreamed = m_reader && m_answer.status == 200;
            // Only a stream may be worth waiting for.
            if (!m_isStreamed)
                m_connection.unwatch();
            if (m_isStreamed || isWatched())
                extend(m_call.timeout);
            return ec;
        }

        ErrorCode readBody()
        {
            std::array<char, readBytes> buf;
            while (!m_parser->is_done()) {
                m_parser->get().body().data = buf.data();
                m_parser->get().body().size = buf.size();
                auto ec = m_connection.readSome(*m_parser);
                if (ec && ec != http::error::need_buffer)
                    return ec;
                size_t n = buf.size() - m_parser->get().body().size;
                if (n && !take({ buf.data(), n }))
                    return net::error::operation_aborted;
            }
            return {};
        }

        bool take(std::string_view bytes)
        {
            if (!m_isStreamed)
                return append(bytes);
            auto verdict = m_reader(bytes);
            if (verdict == ReaderVerdict::Progress)
                extend(m_call.timeout);
            m_answer.stopped = verdict == ReaderVerdict::Stop;
            return !m_answer.stopped;
        }

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

        void end(const ErrorCode& ec)
        {
            m_answer.timedOut = isTimeout(ec);
            // Without a length or chunks, a connection that broke looks like the end of the body.
            bool hasMarkedEnd = !ec && !m_parser->need_eof();
            if (hasMarkedEnd)
                m_answer.delivery = Delivery::Whole;
            else if (m_answer.error.empty())
                m_answer.error = ec ? ec.message() : "the answer's end is not marked";
            m_isKept = hasMarkedEnd && m_parser->keep_alive();
        }

        Connection& m_connection;
        const HttpCall& m_call;
        const BodyReader& m_reader;
        Monotonic::time_point m_deadline;
        std::unique_ptr<Parser> m_parser;
        HttpAnswer m_answer;
        bool m_isStreamed = false;
        bool m_isKept = false;
    };

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
    auto deadline = Monotonic::now() + call.timeout;
    bool isShared = mayShareConnection(call, reader);
    auto connection = isShared ? connectionPool().take(call.address) : nullptr;
    bool isKept = false;
    auto run = [&](const tcp::endpoint* newTarget, milliseconds timeout) {
        Exchange exchange(*connection, call, reader, timeout);
        answer = exchange.run(newTarget);
        isKept = exchange.isKept();
    };
    if (connection)
        run(nullptr, call.timeout);
    auto timeLeft = std::chrono::ceil<milliseconds>(deadline - Monotonic::now());
    bool isRepeated = call.isIdempotent && endedUnanswered(answer) && timeLeft > milliseconds::zero();
    if (!connection || isRepeated) {
        try {
            connection = std::make_unique<Connection>();
        } catch (const boost::system::system_error& error) {
            // Out of descriptors.
            answer = {};
            answer.error = error.what();
            return answer;
        }
        run(&*target, timeLeft);
    }
    if (isShared && isKept && isSuccess(answer))
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
