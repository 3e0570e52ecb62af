// Tests of admission control: immediate refusal, queueing, workspace limits and queue bounds.

#include "support/CoreDriver.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::CoreDriver;
using test::firstOf;

namespace {

// Sends requests until the first one is neither dispatched nor refused; returns its identifier.
std::string fillUntilOneIsQueued(CoreDriver& driver)
{
    for (int i = 0; i < 200; ++i) {
        auto id = "fill" + std::to_string(i);
        if (driver.arrive(id).empty())
            return id;
    }
    return {};
}

Table tableWithLimits(uint32_t requests, uint32_t tokens, uint32_t concurrency)
{
    auto table = test::sampleTable();
    for (auto& it : table.workspaces) {
        it.requestsPerSecond = requests;
        it.tokensPerSecond = tokens;
        it.concurrency = concurrency;
    }
    return table;
}

} // namespace

TEST_CASE("a request whose deadline is shorter than its expected service time is refused immediately")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    driver.arrive("running");
    auto decisions = driver.arrive("r1", "school", "assistant", 10ms);
    const auto* refuse = firstOf<Refuse>(decisions);
    REQUIRE(refuse);
    CHECK(refuse->code == ResultCode::DeadlineUnreachable);
    CHECK(refuse->retryAfter > 0ms);
}

TEST_CASE("requests for a full pool are queued and dispatched when a slot becomes free")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    auto waiting = fillUntilOneIsQueued(driver);
    REQUIRE_FALSE(waiting.empty());
    auto decisions = driver.finish("fill0");
    const auto* dispatch = firstOf<Dispatch>(decisions);
    REQUIRE(dispatch);
    CHECK(dispatch->request == RequestId(waiting));
}

TEST_CASE("an endpoint is never assigned more attempts than it has slots")
{
    CoreDriver driver;
    auto table = test::sampleTable();
    driver.adopt(table);
    std::map<EndpointId, uint32_t> attempts;
    for (int i = 0; i < 100; ++i) {
        auto decisions = driver.arrive("r" + std::to_string(i));
        if (const auto* dispatch = firstOf<Dispatch>(decisions)) {
            for (const auto& hop : dispatch->chain)
                ++attempts[hop.endpoint];
        }
    }
    for (const auto& it : attempts) {
        CAPTURE(it.first.value());
        CHECK(it.second <= table.findEndpoint(it.first)->slots);
    }
}

TEST_CASE("a queued request is refused well before its deadline, and retry hints are jittered")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    auto waiting = fillUntilOneIsQueued(driver);
    REQUIRE_FALSE(waiting.empty());
    std::set<Duration> hints;
    Duration elapsed {};
    bool wasRefused = false;
    while (!wasRefused && elapsed < 30s) {
        elapsed += 100ms;
        for (const auto& it : driver.tick()) {
            const auto* refuse = std::get_if<Refuse>(&it);
            REQUIRE(refuse);
            wasRefused = wasRefused || refuse->request == RequestId(waiting);
        }
    }
    CHECK(wasRefused);
    CHECK(elapsed <= 15s);
    for (int i = 0; i < 20; ++i) {
        auto decisions = driver.arrive("late" + std::to_string(i), "school", "assistant", 1ms);
        REQUIRE(firstOf<Refuse>(decisions));
        hints.insert(firstOf<Refuse>(decisions)->retryAfter);
    }
    CHECK(hints.size() > 10);
}

TEST_CASE("inputs that refer to a refused request have no effect")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    driver.arrive("running");
    REQUIRE(firstOf<Refuse>(driver.arrive("r1", "school", "assistant", 1ms)));
    CHECK(driver.finish("r1").empty());
    CHECK(driver.fail("r1", 1, EndpointId()).empty());
    CHECK(driver.send(CallerGone { RequestId("r1") }).empty());
    CHECK(driver.status().waiting == 0);
}

TEST_CASE("requests above the request rate of a share are refused until the rate allows them again")
{
    CoreDriver driver;
    driver.adopt(tableWithLimits(100, 0, 0));
    driver.send(ShareChanged { WorkspaceId("school"), 2, 0, 0 });
    int dispatched = 0;
    const Refuse* refuse = nullptr;
    std::vector<CoreDecision> decisions;
    for (int i = 0; i < 10; ++i) {
        decisions = driver.arrive("r" + std::to_string(i));
        dispatched += firstOf<Dispatch>(decisions) != nullptr;
        refuse = firstOf<Refuse>(decisions);
    }
    CHECK(dispatched == 3); // A burst of one second at 2 requests/s, plus the request that exhausts it.
    REQUIRE(refuse);
    CHECK(refuse->code == ResultCode::LimitExceeded);
    driver.advance(2s);
    CHECK(firstOf<Dispatch>(driver.arrive("later")));
}

TEST_CASE("a share of zero refuses all requests, and a limit that the table leaves unset is not enforced")
{
    CoreDriver driver;
    driver.adopt(tableWithLimits(100, 0, 0));
    driver.send(ShareChanged { WorkspaceId("school"), 0, 0, 0 });
    auto decisions = driver.arrive("r1");
    REQUIRE(firstOf<Refuse>(decisions));
    CHECK(firstOf<Refuse>(decisions)->code == ResultCode::LimitExceeded);
    CHECK(firstOf<Dispatch>(driver.arrive("r2", "mosque")));
    driver.adopt(tableWithLimits(0, 0, 0));
    CHECK(firstOf<Dispatch>(driver.arrive("r3")));
}

TEST_CASE("the token rate is charged by the expected length and corrected by the actual length")
{
    CoreDriver driver;
    driver.adopt(tableWithLimits(0, 1000, 0));
    driver.send(ShareChanged { WorkspaceId("school"), 0, 100, 0 });
    REQUIRE(firstOf<Dispatch>(driver.arrive("r1")));
    driver.advance(1s);
    driver.finish("r1", 1, 1000);
    driver.advance(5s);
    CHECK(firstOf<Refuse>(driver.arrive("r2")));
    driver.advance(10s);
    CHECK(firstOf<Dispatch>(driver.arrive("r3")));
}

TEST_CASE("the concurrency limit counts all admitted requests and releases them when they end")
{
    CoreDriver driver;
    driver.adopt(tableWithLimits(0, 0, 2));
    REQUIRE(firstOf<Dispatch>(driver.arrive("r1")));
    REQUIRE(firstOf<Dispatch>(driver.arrive("r2")));
    CHECK(firstOf<Refuse>(driver.arrive("r3")));
    driver.send(CallerGone { RequestId("r1") });
    CHECK(firstOf<Dispatch>(driver.arrive("r4")));
}

TEST_CASE("requests admitted before a concurrency limit was set do not release its places when they end")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    REQUIRE(firstOf<Dispatch>(driver.arrive("before")));
    driver.adopt(tableWithLimits(0, 0, 1));
    REQUIRE(firstOf<Dispatch>(driver.arrive("r1")));
    driver.finish("before");
    CHECK(firstOf<Refuse>(driver.arrive("r2")));
    driver.finish("r1");
    CHECK(firstOf<Dispatch>(driver.arrive("r3")));
}

TEST_CASE("unknown routes and unknown workspaces are refused with distinct codes")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    CHECK(firstOf<Refuse>(driver.arrive("r1", "school", "nothing"))->code == ResultCode::RouteUnknown);
    CHECK(firstOf<Refuse>(driver.arrive("r2", "nobody"))->code == ResultCode::WorkspaceUnknown);
}

TEST_CASE("requests above the request limit of the core are refused")
{
    auto config = test::coreConfig();
    config.requestLimit = 3;
    CoreDriver driver(config);
    driver.adopt(test::sampleTable());
    for (int i = 0; i < 3; ++i)
        driver.arrive("r" + std::to_string(i));
    auto decisions = driver.arrive("one-more");
    REQUIRE(firstOf<Refuse>(decisions));
    CHECK(firstOf<Refuse>(decisions)->code == ResultCode::QueueFull);
}
