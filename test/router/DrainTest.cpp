// Tests of requests that arrive while the process stops.

#include "support/RouterFixture.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::test;

namespace {

// A caller whose request arrives in pieces.
class SlowCaller {
public:
    explicit SlowCaller(const std::string& address)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        name.sin_port = htons(static_cast<uint16_t>(std::stoul(address.substr(address.rfind(':') + 1))));
        REQUIRE(connect(m_socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0);
    }
    ~SlowCaller() { close(m_socket); }

    void send(const std::string& bytes) const
    {
        REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    // What comes back until the router closes the connection.
    std::string receive() const
    {
        std::string received;
        char buf[4096];
        ssize_t n = 0;
        while ((n = recv(m_socket, buf, sizeof buf, 0)) > 0)
            received.append(buf, static_cast<size_t>(n));
        return received;
    }

private:
    int m_socket;
};

// A router that was told to stop, and whose routes give requests more time than the stop.
class StoppingRouter {
public:
    explicit StoppingRouter(const std::string& engine)
    {
        auto configuration = sampleConfiguration();
        for (auto& it : configuration.routes)
            it.timeout = 20s;
        configuration.limits.idleTimeout = 20s;
        m_router.platform().configuration = std::make_shared<const RoutingConfiguration>(configuration);
        m_router.start({ endpointAt("s1", "catalogue", engine) });
    }
    void stop()
    {
        m_router.traffic().drain([this] { m_hasStopped = true; });
    }
    bool hasStopped() const { return m_hasStopped; }
    const std::string& address() const { return m_router.routerSettings().frontAddress; }

private:
    RouterFixture m_router;
    std::atomic<bool> m_hasStopped { false };
};

std::string longRequest(const std::string& id)
{
    auto request = requestText("POST", "/loans/1", id, "body");
    auto at = request.find("X-Deadline-Ms: 4000");
    return request.replace(at, 19, "X-Deadline-Ms: 15000");
}

} // namespace

// LOST: it was passed on and cut without an answer at the end of the grace.
TEST_CASE("a request whose last byte comes late in the grace is refused as not run")
{
    ScriptedServer engine("", AfterAnswer::Hold);
    StoppingRouter router(engine.address());
    SlowCaller caller(router.address());
    auto request = longRequest("r1");
    caller.send(request.substr(0, request.size() - 1));
    std::this_thread::sleep_for(100ms);
    router.stop();
    std::this_thread::sleep_for(4s);
    caller.send(request.substr(request.size() - 1));
    auto answer = caller.receive();
    CHECK(statusOf(answer) == 503);
    CHECK(headerOf(answer, "Connection") == "close");
    CHECK(engine.connections() == 0);
}

// LOST: the process ended without an answer to what it had passed on.
TEST_CASE("a request that is still at an endpoint at the end of the grace is answered before the process ends")
{
    ScriptedServer engine("", AfterAnswer::Hold);
    StoppingRouter router(engine.address());
    SlowCaller caller(router.address());
    caller.send(longRequest("r1"));
    REQUIRE(RouterFixture::eventually([&] { return engine.connections() == 1; }));
    router.stop();
    auto answer = caller.receive();
    CHECK_FALSE(router.hasStopped());
    // It may have run.
    CHECK(statusOf(answer) == 504);
    REQUIRE(RouterFixture::eventually([&] { return router.hasStopped(); }));
}

TEST_CASE("a short request late in the grace is still served")
{
    ScriptedServer engine([](const std::string& request) { return ownAnswer(request, "200 OK", "done"); });
    StoppingRouter router(engine.address());
    SlowCaller caller(router.address());
    auto request = requestText("POST", "/loans/1", "r1", "body");
    auto at = request.find("X-Deadline-Ms: 4000");
    request.replace(at, 19, "X-Deadline-Ms: 1500");
    caller.send(request.substr(0, request.size() - 1));
    std::this_thread::sleep_for(100ms);
    router.stop();
    std::this_thread::sleep_for(4s);
    caller.send(request.substr(request.size() - 1));
    CHECK(statusOf(caller.receive()) == 200);
}

// LOST: the decision to close the connection threw away a request that had been read behind the one that was answered.
TEST_CASE("requests that were sent behind each other before a stop are all answered")
{
    ScriptedServer engine([](const std::string& request) {
        std::this_thread::sleep_for(300ms);
        return ownAnswer(request, "200 OK", "done");
    });
    StoppingRouter router(engine.address());
    SlowCaller caller(router.address());
    std::string requests;
    for (const char* id : { "r1", "r2", "r3" }) {
        auto request = requestText("GET", "/cards/1", id);
        requests += request.erase(request.find("Connection: close\r\n"), 19);
    }
    caller.send(requests);
    REQUIRE(RouterFixture::eventually([&] { return engine.connections() == 1; }));
    router.stop();
    auto answers = caller.receive();
    CAPTURE(answers);
    for (const char* id : { "r1", "r2", "r3" })
        CHECK(answers.find(std::string("X-Request-Id: ") + id) != std::string::npos);
    CHECK(answers.find("503") == std::string::npos);
    // The last one announces the end of the connection, and no other.
    auto close = answers.find("Connection: close");
    CHECK(close > answers.find("X-Request-Id: r2"));
    CHECK(close == answers.rfind("Connection: close"));
}
