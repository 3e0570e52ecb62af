// Tests of single calls to the store, to workers and to other daemons.

#include "router/HttpCaller.h"
#include "support/ScriptedServer.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::test;
using namespace std::chrono_literals;

namespace {

constexpr size_t mostBytes = 1000;

struct Outcome {
    std::optional<router::HttpReply> reply;
    std::string reason;
};

// Makes calls on one caller, one after the other.
std::vector<Outcome> callInTurn(const std::string& address, int calls)
{
    router::net::io_context io(1);
    router::HttpCaller caller(io.get_executor(), address, mostBytes);
    std::vector<Outcome> outcomes;
    auto callAll = [&]() -> router::net::awaitable<void> {
        for (int i = 0; i < calls; ++i) {
            auto reply = co_await caller.call(router::http::verb::get, "/", {}, 2000ms);
            outcomes.push_back({ std::move(reply), caller.lastReason().text });
        }
    };
    router::net::co_spawn(io, callAll(), router::net::detached);
    io.run();
    return outcomes;
}

std::string answerOfLength(const std::string& status, const std::string& length, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + length + "\r\n\r\n" + body;
}

} // namespace

// LOST: the announced length was reserved before it was checked, and the failed allocation ended the daemon.
TEST_CASE("an answer whose announced length exceeds the limit is refused before memory is reserved for it")
{
    for (const char* length : { "1001", "3000000000", "4000000000000", "100000000000000000", "9223372036854775807",
             "9223372036854775808", "18446744073709551615" }) {
        for (const char* status : { "200 OK", "202 Accepted", "404 Not Found", "503 Busy" }) {
            CAPTURE(length);
            CAPTURE(status);
            // Head and first bytes of the body arrive together.
            ScriptedServer server(answerOfLength(status, length, "{\"born\":"));
            auto outcomes = callInTurn(server.address(), 2);
            REQUIRE(outcomes.size() == 2);
            for (const auto& it : outcomes) {
                CHECK_FALSE(it.reply);
                CHECK(it.reason.find("body limit exceeded") != std::string::npos);
            }
        }
    }
}

TEST_CASE("an answer that is as long as the limit allows is read whole, and a length in excess of 64 bits is malformed")
{
    const std::string body(mostBytes, 'x');
    ScriptedServer longest(answerOfLength("200 OK", std::to_string(mostBytes), body));
    auto outcomes = callInTurn(longest.address(), 1);
    REQUIRE(outcomes.size() == 1);
    REQUIRE(outcomes[0].reply);
    CHECK(outcomes[0].reply->body == body);
    ScriptedServer malformed(answerOfLength("200 OK", "18446744073709551616", "x"));
    outcomes = callInTurn(malformed.address(), 1);
    REQUIRE(outcomes.size() == 1);
    CHECK_FALSE(outcomes[0].reply);
}

TEST_CASE("an answer without a length that grows beyond the limit is refused")
{
    const std::string tooMuch(mostBytes + 1, 'x');
    ScriptedServer chunked(chunkedHead() + chunk(tooMuch) + "0\r\n\r\n");
    ScriptedServer unframed("HTTP/1.1 200 OK\r\n\r\n" + tooMuch);
    for (const auto* server : { &chunked, &unframed }) {
        auto outcomes = callInTurn(server->address(), 1);
        REQUIRE(outcomes.size() == 1);
        CHECK_FALSE(outcomes[0].reply);
    }
}
