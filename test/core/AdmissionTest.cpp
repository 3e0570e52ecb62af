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

std::vector<CoreDecision> arriveRanked(CoreDriver& driver, const std::string& id, uint8_t priority,
    uint32_t promptTokens = 100, const std::string& workspace = "school")
{
    RequestArrived arrival { RequestId(id), WorkspaceId(workspace), RouteId("assistant"), promptTokens, 200, 0, {},
        30s };
    return driver.send(RankedArrival { arrival, priority, 500ms });
}

// Ranked requests of the least urgent priority until the first one is neither dispatched nor refused.
void fillRanked(CoreDriver& driver, int& running)
{
    while (running < 200 && !arriveRanked(driver, "fill" + std::to_string(running), 5).empty())
        ++running;
}

// The order in which waiting requests are dispatched as running ones finish.
std::vector<std::string> dispatchOrder(CoreDriver& driver, int running)
{
    std::vector<std::string> order;
    for (int i = 0; i < running; ++i) {
        for (const auto& it : driver.finish("fill" + std::to_string(i))) {
            if (const auto* dispatch = std::get_if<Dispatch>(&it))
                order.push_back(dispatch->request.value());
        }
    }
    return order;
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

TEST_CASE("waiting requests of a ranked model are dispatched by priority, and by arrival within one")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    int running = 0;
    fillRanked(driver, running);
    REQUIRE(running < 200);
    CHECK(arriveRanked(driver, "patient", 4).empty());
    CHECK(arriveRanked(driver, "urgent-1", 0).empty());
    CHECK(arriveRanked(driver, "middle", 2).empty());
    CHECK(arriveRanked(driver, "urgent-2", 0).empty());
    auto order = dispatchOrder(driver, running);
    REQUIRE(order.size() >= 4);
    order.resize(4);
    CHECK(order == std::vector<std::string> { "urgent-1", "urgent-2", "middle", "patient" });
}

TEST_CASE("requests of equal priority wait in the order of requests without any")
{
    auto play = [](bool isRanked) {
        CoreDriver driver;
        driver.adopt(test::sampleTable());
        auto arrive = [&](const std::string& id, const std::string& workspace) {
            return isRanked ? arriveRanked(driver, id, 3, 100, workspace) : driver.arrive(id, workspace);
        };
        int running = 0;
        while (running < 200 && !arrive("fill" + std::to_string(running), "school").empty())
            ++running;
        for (int i = 0; i < 6; ++i)
            arrive("w" + std::to_string(i), i % 2 ? "school" : "mosque");
        return dispatchOrder(driver, running);
    };
    CHECK(play(true) == play(false));
}

TEST_CASE("a ranked request that would be late gives up its place only if another one waits for it")
{
    for (bool isAlone : { true, false }) {
        CAPTURE(isAlone);
        CoreDriver driver;
        driver.adopt(test::sampleTable());
        int running = 0;
        // The last one of these waits.
        fillRanked(driver, running);
        if (!isAlone)
            arriveRanked(driver, "other", 5);
        bool isRefused = false;
        for (int i = 0; i < 7; ++i) {
            for (const auto& it : driver.tick())
                isRefused = isRefused || std::holds_alternative<Refuse>(it);
        }
        CHECK(isRefused != isAlone);
    }
}

TEST_CASE("short prompts of a ranked model overtake long ones, which keep their share")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    int running = 0;
    fillRanked(driver, running);
    arriveRanked(driver, "long-1", 1, 4000);
    arriveRanked(driver, "long-2", 1, 4000);
    for (int i = 0; i < 8; ++i)
        arriveRanked(driver, "short-" + std::to_string(i), 1);
    auto order = dispatchOrder(driver, running);
    REQUIRE(order.size() > 4);
    CHECK(order.front() == "short-0");
    auto first = std::find(order.begin(), order.end(), "long-1") - order.begin();
    auto second = std::find(order.begin(), order.end(), "long-2") - order.begin();
    CHECK(first > 0);
    CHECK(first < second);
}

TEST_CASE("engines are told a long prompt as less urgent than a short one of the same priority")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    auto priorityOf = [&](const std::string& id, uint8_t priority, uint32_t tokens) {
        auto decisions = arriveRanked(driver, id, priority, tokens);
        const auto* dispatch = firstOf<Dispatch>(decisions);
        REQUIRE(dispatch);
        // Slots are kept for short prompts.
        driver.finish(id);
        return dispatch->priority;
    };
    CHECK(priorityOf("r1", 2, 100) == 2);
    CHECK(priorityOf("r2", 2, 1000) == 3);
    CHECK(priorityOf("r3", 9, 1000) == 9);
}

TEST_CASE("a ranked request is refused at once and for that reason while too much waits ahead of it")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    arriveRanked(driver, "first", 0);
    arriveRanked(driver, "second", 3);
    PressureReported reported { { { RouteId("assistant"), { { 0, 500, 8000, 8000 }, { 3, 30000, 60000, 4000 } } } },
        200ms };
    for (int i = 0; i < 40; ++i) {
        driver.send(reported);
        driver.tick();
    }
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        auto decisions = arriveRanked(driver, "r" + std::to_string(i), 3);
        const auto* refuse = firstOf<Refuse>(decisions);
        refused += refuse && refuse->code == ResultCode::Overloaded;
    }
    CHECK(refused > 10);
    auto urgent = arriveRanked(driver, "urgent", 0);
    CHECK((!firstOf<Refuse>(urgent) || firstOf<Refuse>(urgent)->code != ResultCode::Overloaded));
    auto admission = driver.admission();
    REQUIRE(admission.size() == 1);
    CHECK(admission.front().levels.back().isShared);
    CHECK(admission.front().levels.back().admitted < 0.5);
    // Old figures decide nothing.
    driver.advance(3s);
    for (int i = 0; i < 10; ++i)
        driver.tick();
    CHECK_FALSE(driver.admission().front().levels.back().isShared);
}

TEST_CASE("the last free slots of a ranked model are left to more urgent requests while these ask for many")
{
    for (double urgentDemand : { 0.0, 8000.0 }) {
        CAPTURE(urgentDemand);
        CoreDriver driver;
        driver.adopt(test::sampleTable());
        arriveRanked(driver, "first", 0);
        arriveRanked(driver, "second", 5);
        driver.finish("first");
        driver.finish("second");
        PressureReported reported {
            { { RouteId("assistant"), { { 0, 0, urgentDemand, 4000 }, { 5, 100, 8000, 4000 } } } }, 0ms
        };
        for (int i = 0; i < 30; ++i) {
            driver.send(reported);
            driver.tick();
        }
        int running = 0;
        fillRanked(driver, running);
        bool isKept = urgentDemand > 0;
        auto urgent = arriveRanked(driver, "urgent", 0);
        CHECK((firstOf<Dispatch>(urgent) != nullptr) == isKept);
    }
}
