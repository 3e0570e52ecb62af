// Tests of the calls to workers.

#include "platform/Platform.h"
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
