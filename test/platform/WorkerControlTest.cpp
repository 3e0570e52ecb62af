// Tests of the calls to workers and to the store.

#include "platform/Platform.h"
#include "router/BootClock.h"
#include "support/LogFile.h"
#include "support/ScriptedServer.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

OrderOutcome order(const std::string& address)
{
    router::net::io_context io(1);
    platform::WorkerControl control(io.get_executor());
    router::EndpointSighting engine;
    engine.instance = "i-1";
    engine.address = address;
    auto outcome = OrderOutcome::Failed;
    auto place = [&]() -> router::net::awaitable<void> {
        outcome = co_await control.place(engine, { 0, 8 }, 3, 2000ms, [] { return true; });
    };
    router::net::co_spawn(io, place(), router::net::detached);
    io.run();
    return outcome;
}

} // namespace

TEST_CASE("an order names the worker that is meant, so that any other one at its address refuses it")
{
    test::ScriptedServer server(test::httpAnswer("202 Accepted", ""));
    CHECK(order(server.address()) == OrderOutcome::Accepted);
    CHECK(server.lastRequest().find("\r\nX-Expect-Instance: i-1\r\n") != std::string::npos);
    test::ScriptedServer other(test::httpAnswer("421 Misdirected Request", ""));
    CHECK(order(other.address()) == OrderOutcome::Failed);
}

// MIXED: such a number is no answer, so that the order may have been carried out.
TEST_CASE("an order that is answered with a status that does not exist has an unknown outcome")
{
    for (const char* status : { "000 Nothing", "099 Low", "101 Switching Protocols", "600 High", "999 High" }) {
        CAPTURE(status);
        test::ScriptedServer server(test::httpAnswer(status, ""));
        CHECK(order(server.address()) == OrderOutcome::Unknown);
    }
}

// LOST: such a report or answer to an order ended the daemon.
TEST_CASE("a report, an order and the store's rows with an announced length beyond memory count as not answered")
{
    test::ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 100000000000000000\r\n\r\n{\"born\":");
    CHECK(order(server.address()) == OrderOutcome::Unknown);

    router::net::io_context io(1);
    router::BootClock clock;
    test::LogFile log;
    router::Journal journal(clock, "host-1", log.descriptor());
    platform::StoreEra era;
    platform::WorkerControl control(io.get_executor());
    platform::StoreEndpointSource endpoints(io.get_executor(), journal, era, server.address());
    platform::StoreConfigurationSource configurations(
        io.get_executor(), clock, journal, era, server.address(), FactTiming(2000ms));
    platform::StoreHosts hosts(io.get_executor(), era, server.address());
    platform::StoreLease lease(io.get_executor(), era, server.address());
    bool isFinished = false;
    auto callAll = [&]() -> router::net::awaitable<void> {
        auto report = co_await control.report(server.address(), 2000ms);
        CHECK_FALSE(report);
        auto listed = co_await endpoints.list();
        CHECK_FALSE(listed);
        auto sighting = co_await configurations.next();
        CHECK_FALSE(sighting);
        auto listedHosts = co_await hosts.list();
        CHECK_FALSE(listedHosts);
        auto row = co_await lease.read();
        CHECK_FALSE(row);
        auto written = co_await lease.write(1, "host-1");
        CHECK(written.first == CommitOutcome::Unknown);
        isFinished = true;
    };
    router::net::co_spawn(io, callAll(), router::net::detached);
    io.run();
    CHECK(isFinished);
}
