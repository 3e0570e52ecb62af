// Tests of answers that break off, are written twice, or do not belong to the stream that has begun.

#include "support/PausingEngine.h"
#include "support/RouterFixture.h"

#include <doctest/doctest.h>
#include <limits>

using namespace jacinthspindle;
using namespace jacinthspindle::test;

namespace {

std::string identityOf(const std::string& request)
{
    return "X-Request-Id: " + headerOf(request, "X-Request-Id") + "\r\nX-Signature: s\r\n";
}

std::string streamHead(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\n" + identityOf(request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string wholeStream(const std::string& request)
{
    return streamHead(request) + chunk(PausingEngine::event(1)) + "0\r\n\r\n";
}

// Sends bytes and reads what comes back; returns the error that ended the connection, 0 for an orderly end.
int endOf(const std::string& address, const std::string& bytes)
{
    router::net::io_context io(1);
    router::tcp::socket socket(io);
    socket.connect(*router::parseAddress(address));
    router::net::write(socket, router::net::buffer(bytes));
    router::ErrorCode ec;
    std::string received;
    router::net::read(socket, router::net::dynamic_buffer(received), ec);
    return ec == router::net::error::eof ? 0 : ec.value();
}

// Keeps its connections: refuses the first request, and writes that refusal once more before the answer to a later
// request on the same connection.
class RepeatingServer {
public:
    // status and head: of the refusal, beside its identity.
    explicit RepeatingServer(std::string status = "503 Service Unavailable", std::string head = "X-Not-Executed: 1\r\n")
        : m_status(std::move(status))
        , m_head(std::move(head))
        , m_socket(listenOnLoopback(m_name))
    {
        listen(m_socket, 16);
        m_thread = std::thread([this] { accept(); });
    }
    ~RepeatingServer()
    {
        m_isStopping = true;
        m_thread.join();
        for (auto& it : m_connections)
            it.join();
        close(m_socket);
    }
    std::string address() const { return addressOf(m_name); }
    int run() const { return m_run; }

private:
    static bool isReadable(int socket)
    {
        pollfd entry { socket, POLLIN, 0 };
        return poll(&entry, 1, 10) > 0;
    }
    void accept()
    {
        while (!m_isStopping) {
            if (!isReadable(m_socket))
                continue;
            int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            m_connections.emplace_back([this, socket] {
                serve(socket);
                close(socket);
            });
        }
    }
    void serve(int socket)
    {
        std::string refusal;
        std::string bytes;
        while (!m_isStopping) {
            char buf[4096];
            if (!isReadable(socket))
                continue;
            ssize_t n = recv(socket, buf, sizeof buf, 0);
            if (n <= 0)
                return;
            bytes.append(buf, static_cast<size_t>(n));
            if (!bytes.ends_with("question"))
                continue;
            std::string answer;
            if (!m_hasRefused.exchange(true))
                answer = refusal = httpAnswer(m_status, "", identityOf(bytes) + m_head);
            else {
                ++m_run;
                answer = refusal + wholeStream(bytes);
            }
            send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
            bytes.clear();
        }
    }

    const std::string m_status;
    const std::string m_head;
    sockaddr_in m_name {};
    int m_socket;
    std::list<std::thread> m_connections; // Grows in m_thread only.
    std::atomic<bool> m_hasRefused { false };
    std::atomic<int> m_run { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace

// ORDER and MIXED: the next engine's error or other answer was joined to the stream, or ended it as a whole one.
TEST_CASE("an answer that is no stream neither joins nor ends a stream that has begun")
{
    const std::string body(200000, 'x');
    const std::pair<const char*, std::string> answers[]
        = { { "409 Conflict", "error text" }, { "504 Gateway Timeout", "error text" },
              { "500 Internal Server Error", "error text" }, { "200 OK", "short" }, { "200 OK", body } };
    for (const auto& it : answers) {
        const std::string status = it.first;
        const auto& text = it.second;
        CAPTURE(status);
        CAPTURE(text.size());
        auto engine = [&](const std::string& request) {
            if (headerOf(request, "Last-Event-ID").empty())
                return streamHead(request) + chunk(PausingEngine::event(1));
            return ownAnswer(request, status, text);
        };
        ScriptedServer first(engine);
        ScriptedServer second(engine);
        RouterFixture router;
        router.start(
            { endpointAt("e1", "assistant", first.address()), endpointAt("e2", "assistant", second.address()) });
        auto answer = router.send(requestText("POST", "/ask/1", "r1", "question"));
        CHECK(statusOf(answer) == 200);
        CHECK(first.connections() + second.connections() == 2);
        auto received = answer.substr(answer.find("\r\n\r\n") + 4);
        CHECK(received == chunk(PausingEngine::event(1)));
    }
}

// REFUSED and TWICE: a refusal that was written once more was read as the answer to a request that ran.
TEST_CASE("a refusal that an endpoint writes once more does not answer the repeated request")
{
    RepeatingServer server;
    RouterFixture router;
    router.start({ endpointAt("e1", "assistant", server.address()) });
    CHECK(statusOf(router.send(requestText("POST", "/ask/1", "r1", "question"))) == 503);
    auto answer = router.send(requestText("POST", "/ask/1", "r1", "question"));
    CHECK(server.run() == 1);
    CHECK(statusOf(answer) == 200);
    CHECK(answer.ends_with("0\r\n\r\n"));
}

// REFUSED: a refusal in the endpoint's own name was delivered, and its connection kept.
TEST_CASE("an endpoint's own refusal that is written once more does not answer the repeated request")
{
    for (const char* status : { "429 Too Many Requests", "503 Service Unavailable" }) {
        for (const char* path : { "/loans/7", "/cards/7" }) {
            CAPTURE(status);
            CAPTURE(path);
            RepeatingServer server(status, "");
            RouterFixture router;
            router.start({ endpointAt("c1", "catalogue", server.address()) });
            router.send(requestText("POST", path, "r1", "question"));
            auto answer = router.send(requestText("POST", path, "r1", "question"));
            bool isRefused = statusOf(answer) == 429 || statusOf(answer) == 503;
            CHECK_FALSE((isRefused && server.run()));
        }
    }
}

// MIXED: an interim answer that names the request was delivered as its final one.
TEST_CASE("an interim answer of an endpoint is passed over")
{
    for (const char* interim : { "100 Continue", "103 Early Hints" }) {
        for (bool hasIdentity : { false, true }) {
            CAPTURE(interim);
            CAPTURE(hasIdentity);
            ScriptedServer server([&](const std::string& request) {
                return std::string("HTTP/1.1 ") + interim + "\r\n" + (hasIdentity ? identityOf(request) : std::string())
                    + "\r\n" + httpAnswer("200 OK", "booked", identityOf(request));
            });
            RouterFixture router;
            router.start({ endpointAt("c1", "catalogue", server.address()) });
            auto answer = router.send(requestText("POST", "/loans/7", "r1", "flags"));
            CHECK(statusOf(answer) == 200);
            CHECK(answer.ends_with("booked"));
        }
    }
}

// ORDER: a second run was joined to events that have no place in the stream.
TEST_CASE("a begun stream whose events name no place is not joined with a second run")
{
    auto engine = [](const std::string& request) { return streamHead(request) + chunk("data: a\n\n"); };
    ScriptedServer first(engine);
    ScriptedServer second(engine);
    RouterFixture router;
    router.start({ endpointAt("e1", "assistant", first.address()), endpointAt("e2", "assistant", second.address()) });
    auto answer = router.send(requestText("POST", "/ask/1", "r1", "question"));
    CHECK(answer.substr(answer.find("\r\n\r\n") + 4) == chunk("data: a\n\n"));
    CHECK(first.connections() + second.connections() == 1);
}

// ORDER: events of two runs were joined on a route whose streams may not be resumed.
TEST_CASE("a begun stream of a route without resumption is not joined with a second run")
{
    auto engine = [](const std::string& request) { return streamHead(request) + chunk(PausingEngine::event(1)); };
    ScriptedServer first(engine);
    ScriptedServer second(engine);
    RouterFixture router;
    router.start({ endpointAt("c1", "catalogue", first.address()), endpointAt("c2", "catalogue", second.address()) });
    auto answer = router.send(requestText("POST", "/cards/1", "r1", "question"));
    CHECK(answer.substr(answer.find("\r\n\r\n") + 4) == chunk(PausingEngine::event(1)));
    CHECK(first.connections() + second.connections() == 1);
}

// MIXED: a caller without chunks took the end of a cut stream for that of a whole one.
TEST_CASE("a cut stream ends with a reset for a caller that knows no chunks")
{
    auto engine = [](const std::string& request) { return streamHead(request) + chunk(PausingEngine::event(1)); };
    ScriptedServer server(engine);
    RouterFixture router;
    router.start({ endpointAt("e1", "assistant", server.address()) });
    auto text = requestText("POST", "/ask/1", "r1", "question");
    text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
    CHECK(endOf(router.routerSettings().frontAddress, text) == ECONNRESET);
}

// MIXED and ORDER: an endpoint stops in the middle of its answer's head.
TEST_CASE("an answer whose head is cut anywhere becomes no success")
{
    for (auto after : { AfterAnswer::Close, AfterAnswer::Reset }) {
        for (const char* path : { "/loans/7", "/ask/1" }) {
            for (size_t cut : { 5U, 12U, 15U, 17U, 30U, 45U, 70U }) {
                CAPTURE(static_cast<int>(after));
                CAPTURE(path);
                CAPTURE(cut);
                ScriptedServer server(
                    [cut](const std::string& request) { return wholeStream(request).substr(0, cut); }, after);
                RouterFixture router;
                router.start({ endpointAt("c1", "catalogue", server.address()),
                    endpointAt("e1", "assistant", server.address()) });
                auto answer = router.send(requestText("POST", path, "r1", "question"));
                CHECK(statusOf(answer) == 502);
                CHECK(server.connections() == 1);
            }
        }
    }
}

// MIXED: an answer without a length is whole only when its connection ends without a reset.
TEST_CASE("an answer without a length is whole after an end and never after a reset")
{
    auto answerOf = [](AfterAnswer after) {
        ScriptedServer server(
            [](const std::string& request) { return "HTTP/1.1 200 OK\r\n" + identityOf(request) + "\r\nbooked"; },
            after);
        RouterFixture router;
        router.start({ endpointAt("c1", "catalogue", server.address()) });
        return router.send(requestText("POST", "/loans/7", "r1", "flags"));
    };
    auto ended = answerOf(AfterAnswer::Close);
    CHECK(statusOf(ended) == 200);
    CHECK(ended.ends_with("booked"));
    CHECK(statusOf(answerOf(AfterAnswer::Reset)) == 502);
}

namespace {

// Answers uploads before it has read them.
class EarlyServer {
public:
    enum class End { Reset, InOrder, AfterUpload };
    struct Script {
        std::function<std::string(const std::string& request)> answer;
        End end = End::Reset;
        size_t bytesReadBefore = 0; // Of the upload, before the answer.
        std::chrono::milliseconds pause {}; // Between the answer and the reset.
    };

    // More than the buffers of both sockets hold.
    static constexpr size_t uploadBytes = 3500000;

    explicit EarlyServer(Script script)
        : m_script(std::move(script))
        , m_socket(listenOnLoopback(m_name))
    {
        listen(m_socket, 16);
        m_thread = std::thread([this] { serve(); });
    }
    ~EarlyServer()
    {
        m_isStopping = true;
        m_thread.join();
        close(m_socket);
    }

    std::string address() const { return addressOf(m_name); }
    int requests() const { return m_requests; }

private:
    static bool isReadable(int socket, int milliseconds = 20)
    {
        pollfd entry { socket, POLLIN, 0 };
        return poll(&entry, 1, milliseconds) > 0;
    }

    void serve()
    {
        while (!m_isStopping) {
            if (!isReadable(m_socket))
                continue;
            int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            answer(socket);
            close(socket);
        }
    }

    // Reads until so many bytes of the body have come, or no more come for a while.
    static std::string readRequest(int socket, size_t bodyBytes)
    {
        std::string received;
        size_t head = std::string::npos;
        char buf[16384];
        while (head == std::string::npos || received.size() < head + 4 + bodyBytes) {
            if (!isReadable(socket, 2000))
                return received;
            ssize_t n = recv(socket, buf, sizeof buf, 0);
            if (n <= 0)
                return received;
            received.append(buf, static_cast<size_t>(n));
            head = received.find("\r\n\r\n");
        }
        return received;
    }

    void answer(int socket)
    {
        constexpr size_t wholeUpload = std::numeric_limits<size_t>::max() / 2;
        bool isPatient = m_script.end == End::AfterUpload;
        auto request = readRequest(socket, isPatient ? uploadBytes : m_script.bytesReadBefore);
        ++m_requests;
        auto text = m_script.answer(request);
        send(socket, text.data(), text.size(), MSG_NOSIGNAL);
        if (m_script.end == End::InOrder) {
            shutdown(socket, SHUT_WR);
            readRequest(socket, wholeUpload);
        }
        if (m_script.end == End::Reset) {
            std::this_thread::sleep_for(m_script.pause);
            linger abort { 1, 0 };
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        }
    }

    const Script m_script;
    sockaddr_in m_name {};
    int m_socket;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

void allowUploads(RouterFixture& router)
{
    auto configuration = *router.platform().configuration;
    configuration.limits.maxBodyBytes = EarlyServer::uploadBytes;
    router.platform().configuration = std::make_shared<const RoutingConfiguration>(configuration);
}

std::string uploadTo(const std::string& path, EarlyServer& server, const char* service = "catalogue")
{
    RouterFixture router;
    allowUploads(router);
    router.start({ endpointAt("c1", service, server.address()) });
    return router.send(requestText("POST", path, "r1", std::string(EarlyServer::uploadBytes, 'u')));
}

// Whether the caller takes the answer for a whole success: its length is stated, or its last chunk came.
bool looksWhole(const std::string& answer)
{
    bool hasMarkedEnd = !headerOf(answer, "Content-Length").empty() || answer.ends_with("0\r\n\r\n");
    return statusOf(answer) == 200 && hasMarkedEnd;
}

std::string unmarkedHead(const std::string& request, const std::string& fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + identityOf(request) + fields + "\r\n";
}

} // namespace

// MIXED: a part of an answer was whole to the caller, since the write of the upload had taken the error of the reset.
TEST_CASE("an answer without a length is not whole after a reset during the upload")
{
    const std::vector<EarlyServer::Script> scripts {
        { [](const std::string& it) { return unmarkedHead(it) + "part"; } },
        { [](const std::string& it) { return unmarkedHead(it) + "part"; }, EarlyServer::End::Reset, 0, 300ms },
        { [](const std::string& it) { return unmarkedHead(it) + "part"; }, EarlyServer::End::Reset, 500000 },
        { [](const std::string& it) { return "HTTP/1.1 102 Processing\r\n\r\n" + unmarkedHead(it) + "part"; } },
        { [](const std::string& it) { return unmarkedHead(it); } },
        { [](const std::string& it) { return unmarkedHead(it) + std::string(100000, 'p'); } },
    };
    for (size_t i = 0; i < scripts.size(); ++i) {
        CAPTURE(i);
        EarlyServer action(scripts[i]);
        auto answer = uploadTo("/loans/7", action);
        CHECK_FALSE(looksWhole(answer));
        bool hasBegun = statusOf(answer) == 200;
        CHECK_MESSAGE((hasBegun || statusOf(answer) == 502), "it may have run");
        CHECK_MESSAGE(action.requests() == 1, "an action is not sent again");
        EarlyServer read(scripts[i]);
        answer = uploadTo("/cards/7", read);
        CHECK_FALSE(looksWhole(answer));
        CHECK(statusOf(answer) != 503);
    }
}

// MIXED: streams decided for themselves whether the end of the connection ends them.
TEST_CASE("a stream without a length is not whole after a reset during the upload")
{
    for (int events : { 0, 1, 2 }) {
        CAPTURE(events);
        EarlyServer engine({ [events](const std::string& request) {
            auto text = unmarkedHead(request, "Content-Type: text/event-stream\r\n");
            for (int i = 1; i <= events; ++i)
                text += PausingEngine::event(i);
            return text;
        } });
        auto answer = uploadTo("/ask/7", engine, "assistant");
        CHECK_FALSE(looksWhole(answer));
    }
}

TEST_CASE("an early answer whose connection ends in order, or whose length is stated, is whole")
{
    using End = EarlyServer::End;
    auto unmarked = [](const std::string& request) { return unmarkedHead(request) + "booked"; };
    auto marked = [](const std::string& request) { return unmarkedHead(request, "Content-Length: 6\r\n") + "booked"; };
    const std::vector<EarlyServer::Script> scripts { { unmarked, End::InOrder }, { unmarked, End::AfterUpload },
        { marked, End::InOrder }, { marked, End::AfterUpload }, { marked, End::Reset } };
    for (size_t i = 0; i < scripts.size(); ++i) {
        CAPTURE(i);
        EarlyServer server(scripts[i]);
        auto answer = uploadTo("/loans/7", server);
        CHECK(statusOf(answer) == 200);
        CHECK(answer.ends_with("booked"));
        CHECK(server.requests() == 1);
    }
}

TEST_CASE("a refusal without a length that is reset during the upload still tells that the request did not run")
{
    EarlyServer server({ [](const std::string& request) {
        return "HTTP/1.1 503 Service Unavailable\r\n" + identityOf(request) + "X-Not-Executed: 1\r\n\r\nfull";
    } });
    CHECK(statusOf(uploadTo("/loans/7", server)) == 503);
}

// An engine that ends under a request writes its head first. The caller received a whole, empty answer.
TEST_CASE("a stream without length and chunks that ends before its first event is not whole")
{
    std::atomic<int> requests { 0 };
    auto engine = [&](const std::string& request) {
        if (!requests++)
            return "HTTP/1.1 200 OK\r\n" + identityOf(request) + "Content-Type: text/event-stream\r\n\r\n";
        return wholeStream(request);
    };
    ScriptedServer first(engine);
    ScriptedServer second(engine);
    RouterFixture router;
    router.start({ endpointAt("e1", "assistant", first.address()), endpointAt("e2", "assistant", second.address()) });
    auto answer = router.send(requestText("POST", "/ask/1", "r1", "question"));
    CHECK(requests == 2);
    CHECK(answer.find(PausingEngine::event(1)) != std::string::npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
}

// MIXED: workers in trouble wrote answers whose status was 000, which reached callers as answers.
TEST_CASE("an answer with a status that does not exist is no answer")
{
    const char* statuses[] = { "000 Nothing", "001 Low", "099 Low", "101 Switching Protocols", "600 High", "999 High",
        "+20 Sign", "-20 Sign", "20 Short", "2000 Long", " 200 Space", "2 0 Space", "20x Letter", "x", "" };
    for (const std::string status : statuses) {
        CAPTURE(status);
        ScriptedServer server([&](const std::string& request) {
            return ownAnswer(request, status, "text", "X-Signature: s\r\nX-Not-Executed: 1\r\n");
        });
        RouterFixture router;
        router.start(
            { endpointAt("c1", "catalogue", server.address()), endpointAt("e1", "assistant", server.address()) });
        // Nobody knows whether an action ran; 503 would promise that it did not.
        CHECK(statusOf(router.send(requestText("POST", "/loans/7", "r1", "flags"))) == 502);
        CHECK(server.connections() == 1);
        CHECK(statusOf(router.send(requestText("GET", "/cards/7", "r2"))) == 502);
        CHECK(statusOf(router.send(requestText("POST", "/ask/1", "r3", "question"))) == 502);
    }
}

TEST_CASE("a request that may run again is repeated after an answer with a status that does not exist")
{
    std::atomic<int> n { 0 };
    auto engine = [&](const std::string& request) {
        return ++n == 1 ? ownAnswer(request, "000 Nothing", "text") : ownAnswer(request, "200 OK", "card");
    };
    ScriptedServer first(engine);
    ScriptedServer second(engine);
    RouterFixture router;
    router.start({ endpointAt("c1", "catalogue", first.address()), endpointAt("c2", "catalogue", second.address()) });
    auto answer = router.send(requestText("GET", "/cards/7", "r1"));
    CHECK(statusOf(answer) == 200);
    CHECK(answer.ends_with("card"));
    CHECK(n == 2);
}

TEST_CASE("each status that exists reaches the caller, also without a reason")
{
    for (const std::string status : { "200 OK", "200 ", "299 Odd", "404 Not Found", "599 Odd" }) {
        CAPTURE(status);
        ScriptedServer server([&](const std::string& request) { return ownAnswer(request, status, "text"); });
        RouterFixture router;
        router.start({ endpointAt("c1", "catalogue", server.address()) });
        CHECK(statusOf(router.send(requestText("POST", "/loans/7", "r1", "flags"))) == std::stoi(status));
    }
}
