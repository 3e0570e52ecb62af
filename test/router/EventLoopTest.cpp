// Tests of event loops whose tasks fail.

#include "router/EventLoop.h"
#include "router/BootClock.h"
#include "support/RouterFixture.h"

using namespace jacinthspindle;
using namespace jacinthspindle::router;
using namespace jacinthspindle::test;

namespace {

class LoopFixture {
public:
    LoopFixture()
        : m_journal(m_clock, "host-1", m_log.descriptor())
        , loop(m_journal, metrics)
    {
    }

    void runFor(std::chrono::milliseconds time)
    {
        net::steady_timer timer(loop.io(), time);
        timer.async_wait([this](const ErrorCode&) { loop.stop(); });
        loop.run();
    }
    bool hasLogged(const std::string& text) const { return !m_log.lines(text).empty(); }

private:
    BootClock m_clock;
    LogFile m_log;
    Journal m_journal;

public:
    daemon::Metrics metrics;
    EventLoop loop;
};

net::awaitable<void> sleepFor(net::io_context& io, std::chrono::milliseconds time)
{
    net::steady_timer timer(io, time);
    ErrorCode ec;
    co_await timer.async_wait(awaitInto(ec));
}

// An operation that throws when it ends, as the parsing of a message does: the coroutine that awaits it gets nothing.
template <typename Token> auto failInside(net::io_context& io, Token&& token)
{
    return net::async_initiate<Token, void(ErrorCode)>(
        [&io](auto handler) {
            net::post(io, [handler = std::move(handler)]() mutable {
                auto kept = std::move(handler);
                throw std::length_error("too long");
            });
        },
        token);
}

net::awaitable<void> throwAfter(net::io_context& io, std::chrono::milliseconds time)
{
    co_await sleepFor(io, time);
    throw std::length_error("too long");
}

net::awaitable<void> failInsideAfter(net::io_context& io, std::chrono::milliseconds time)
{
    co_await sleepFor(io, time);
    ErrorCode ec;
    co_await failInside(io, awaitInto(ec));
}

using Failing = net::awaitable<void> (*)(net::io_context&, std::chrono::milliseconds);

} // namespace

// LOST: the exception of one call left the event loop and ended the daemon with all requests that it carried.
TEST_CASE("a task that throws ends alone, is counted and logged, and its state is put right")
{
    for (Failing fail : { Failing(throwAfter), Failing(failInsideAfter) }) {
        CAPTURE(fail == Failing(throwAfter));
        LoopFixture fixture;
        bool isOtherFinished = false;
        int failures = 0;
        auto other = [&]() -> net::awaitable<void> {
            co_await sleepFor(fixture.loop.io(), 50ms);
            isOtherFinished = true;
        };
        fixture.loop.spawn("other", other());
        fixture.loop.spawn("failing", fail(fixture.loop.io(), 1ms), [&] { ++failures; });
        fixture.runFor(100ms);
        CHECK(isOtherFinished);
        CHECK(failures == 1);
        CHECK(fixture.metrics.value(daemon::Counter::TasksFailed) == 1);
        CHECK(fixture.hasLogged("\"task\":\"failing\""));
        CHECK(fixture.hasLogged("too long"));
    }
}

TEST_CASE("a task that is to last begins anew after a failure")
{
    for (Failing fail : { Failing(throwAfter), Failing(failInsideAfter) }) {
        CAPTURE(fail == Failing(throwAfter));
        LoopFixture fixture;
        int begun = 0;
        auto begin = [&]() -> net::awaitable<void> {
            ++begun;
            return fail(fixture.loop.io(), begun < 3 ? 1ms : 10000ms);
        };
        fixture.loop.keepRunning("lasting", begin);
        fixture.runFor(EventLoop::restartPause * 4);
        CHECK(begun == 3);
        CHECK(fixture.metrics.value(daemon::Counter::TasksFailed) == 2);
    }
}

TEST_CASE("tasks that the end of the loop destroys have not failed")
{
    bool isFailure = false;
    {
        LoopFixture fixture;
        fixture.loop.spawn("lasting", sleepFor(fixture.loop.io(), 10000ms), [&] { isFailure = true; });
        fixture.runFor(10ms);
        CHECK(fixture.metrics.value(daemon::Counter::TasksFailed) == 0);
    }
    CHECK_FALSE(isFailure);
}

// Each way to the platform and to engines throws for a while, as it does when an answer cannot be held.
TEST_CASE("a daemon serves on while what it reads from the platform and from engines throws, and reads on afterwards")
{
    ScriptedServer server([](const std::string& request) { return ownAnswer(request, "200 OK", "ok"); });
    RouterFixture router;
    router.start({ endpointAt("c1", "catalogue", server.address()), endpointAt("e1", "assistant", closedAddress()) });
    auto setThrowing = [&](bool isThrowing) {
        std::lock_guard lock(router.platform().mutex);
        router.platform().isThrowing = isThrowing;
    };
    setThrowing(true);
    auto failed = [&] { return router.metrics().value(daemon::Counter::TasksFailed); };
    CHECK(RouterFixture::eventually([&] { return failed() > 5; }));
    for (const char* task : { "configuration", "endpoint-list", "engine-report" }) {
        CAPTURE(task);
        auto line = "\"task\":\"" + std::string(task) + '"';
        CHECK(RouterFixture::eventually([&] { return !router.logged(line).empty(); }));
    }
    CHECK(statusOf(router.send(requestText("GET", "/cards/1", "r1"))) == 200);
    setThrowing(false);
    auto configuration = sampleConfiguration();
    configuration.version = 4;
    configuration.workspaceByKey = { { "key-9", WorkspaceId("school") } };
    {
        std::lock_guard lock(router.platform().mutex);
        router.platform().configuration = std::make_shared<const RoutingConfiguration>(configuration);
    }
    auto isAdopted
        = [&] { return statusOf(router.send(requestText("GET", "/cards/1", "r2", {}, {}, "key-9"))) == 200; };
    CHECK(RouterFixture::eventually(isAdopted));
}

// A field of over 64 KiB cannot be held by the parser, which throws.
TEST_CASE("a request that the parser cannot hold ends its own connection, and others are served")
{
    ScriptedServer server([](const std::string& request) { return ownAnswer(request, "200 OK", "ok"); });
    RouterFixture router;
    auto configuration = sampleConfiguration();
    configuration.limits.maxHeaderBytes = 100000;
    router.platform().configuration = std::make_shared<const RoutingConfiguration>(configuration);
    router.start({ endpointAt("c1", "catalogue", server.address()) });
    auto wide = requestText("GET", "/cards/1", "r1", {}, "X-Wide: " + std::string(70000, 'x') + "\r\n");
    CHECK(statusOf(router.send(wide)) == 431);
    CHECK(statusOf(router.send(requestText("GET", "/cards/1", "r2"))) == 200);
    CHECK(server.connections() == 1);
}

TEST_CASE("a request whose task fails is answered, as not run if it was not sent, and its slot is free again")
{
    bool isSent = false;
    SUBCASE("before it was sent") { }
    SUBCASE("after it was sent")
    {
        isSent = true;
    }
    ScriptedServer server([](const std::string& request) { return ownAnswer(request, "200 OK", "ok"); });
    RouterFixture router;
    bool isThrowing = true;
    router.inputHook = [&](const CoreInput& input) {
        bool isMeant
            = isSent ? std::holds_alternative<RequestFinished>(input) : std::holds_alternative<RoutedArrival>(input);
        if (isMeant && std::exchange(isThrowing, false))
            throw std::length_error("input");
    };
    auto endpoint = endpointAt("c1", "catalogue", server.address());
    endpoint.slots = 1;
    router.start({ endpoint });
    auto answer = router.send(requestText("POST", "/loans/1", "r1", "flags"));
    CHECK(statusOf(answer) == (isSent ? 502 : 503));
    CHECK(headerOf(answer, "X-Request-Id") == "r1");
    CHECK(statusOf(router.send(requestText("POST", "/loans/1", "r2", "flags"))) == 200);
    CHECK(router.metrics().value(daemon::Counter::TasksFailed) == 1);
}
