// Tests of fair queueing between workspaces and between short and long work, of learned answer lengths, and of the
// priorities that follow from them.

#include "support/CoreDriver.h"

#include <doctest/doctest.h>
#include <map>
#include <spindlecore/internal/FairQueue.h>
#include <spindlecore/internal/LengthModel.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using internal::FairQueue;
using test::CoreDriver;
using test::firstOf;

namespace {

const WorkspaceId school("school");
const WorkspaceId mosque("mosque");
const RouteId chat("assistant");

// Serves one request at a time from a queue in which every workspace always has requests, and returns the tokens served
// per workspace.
std::map<WorkspaceId, double> serve(
    const std::map<WorkspaceId, std::pair<double, double>>& weightAndTokens, int requests)
{
    FairQueue queue;
    std::map<WorkspaceId, double> served;
    int next = 0;
    auto push = [&](const WorkspaceId& workspace) {
        RequestId id("r" + std::to_string(next++));
        queue.push(workspace, weightAndTokens.at(workspace).first, { id, 1, false });
    };
    for (const auto& it : weightAndTokens) {
        for (int i = 0; i < 3; ++i)
            push(it.first);
    }
    for (int i = 0; i < requests; ++i) {
        auto* flow = queue.leastServedFlows(1).front();
        auto workspace = flow->workspace;
        const auto& [weight, tokens] = weightAndTokens.at(workspace);
        REQUIRE(queue.erase(workspace, flow->lanes[0].front().request));
        queue.charge(workspace, weight, false, tokens);
        served[workspace] += tokens;
        push(workspace);
    }
    return served;
}

} // namespace

TEST_CASE("workspaces share capacity by weight, measured in tokens rather than requests")
{
    auto served = serve({ { school, { 1, 100 } }, { mosque, { 2, 1000 } } }, 2000);
    CHECK(served[mosque] / served[school] == doctest::Approx(2).epsilon(0.05));
}

TEST_CASE("the credit that a workspace accumulates while idle is bounded")
{
    FairQueue queue;
    for (int i = 0; i < 1000; ++i) {
        queue.push(school, 1, { RequestId("s" + std::to_string(i)), 1, false });
        REQUIRE(queue.leastServedFlows(1).front()->workspace == school);
        queue.erase(school, RequestId("s" + std::to_string(i)));
        queue.charge(school, 1, false, 100);
    }
    // The other workspace becomes busy now. It must not be served exclusively until it has caught up on its idle time.
    int exclusivelyServed = 0;
    queue.push(school, 1, { RequestId("s"), 1, false });
    for (; exclusivelyServed < 500; ++exclusivelyServed) {
        RequestId id("m" + std::to_string(exclusivelyServed));
        queue.push(mosque, 1, { id, 1, false });
        if (queue.leastServedFlows(1).front()->workspace == school)
            break;
        queue.erase(mosque, id);
        queue.charge(mosque, 1, false, 100);
    }
    CHECK(exclusivelyServed <= 25);
}

TEST_CASE("long work of a workspace receives its share of the tokens while short work is queued")
{
    FairQueue queue;
    std::array<double, 2> served {};
    for (int i = 0; i < 2000; ++i) {
        queue.push(school, 1, { RequestId("short" + std::to_string(i)), 1, false });
        queue.push(school, 1, { RequestId("long" + std::to_string(i)), 10, true });
        auto* flow = queue.leastServedFlows(1).front();
        auto lane = flow->laneOrder().front();
        double tokens = lane ? 1000 : 100;
        queue.erase(school, flow->lanes[lane].front().request);
        queue.charge(school, 1, lane, tokens);
        served[lane] += tokens;
    }
    CHECK(served[1] / (served[0] + served[1]) == doctest::Approx(0.3).epsilon(0.1));
}

TEST_CASE("flows without queued requests are removed to bound the memory")
{
    FairQueue queue;
    for (int i = 0; i < 100; ++i) {
        WorkspaceId workspace("w" + std::to_string(i));
        queue.push(workspace, 1, { RequestId("r"), 1, false });
        queue.erase(workspace, RequestId("r"));
    }
    queue.removeIdleFlows();
    CHECK(queue.flows().empty());
    CHECK(queue.size() == 0);
}

TEST_CASE("overload by one workspace causes almost no refusals in another")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    int next = 0;
    std::vector<std::string> running;
    int quietRefused = 0;
    for (int round = 0; round < 200; ++round) {
        for (int i = 0; i < 10; ++i) {
            auto id = "noisy" + std::to_string(next++);
            for (const auto& it : driver.arrive(id)) {
                if (const auto* dispatch = std::get_if<Dispatch>(&it))
                    running.push_back(dispatch->request.value());
            }
        }
        auto quiet = "quiet" + std::to_string(round);
        for (const auto& it : driver.arrive(quiet, "mosque"))
            quietRefused += std::holds_alternative<Refuse>(it);
        driver.advance(250ms);
        for (int i = 0; i < 2 && !running.empty(); ++i) {
            auto id = running.front();
            running.erase(running.begin());
            for (const auto& it : driver.finish(id)) {
                if (const auto* dispatch = std::get_if<Dispatch>(&it))
                    running.push_back(dispatch->request.value());
            }
        }
        for (const auto& it : driver.tick(0ms)) {
            if (const auto* refuse = std::get_if<Refuse>(&it))
                quietRefused += refuse->request.value().starts_with("quiet");
            if (const auto* dispatch = std::get_if<Dispatch>(&it))
                running.push_back(dispatch->request.value());
        }
    }
    CHECK(quietRefused <= 4);
    CHECK(driver.status().refused > 1000);
}

TEST_CASE("answer lengths are learned per workspace and corrected by the tokens generated so far")
{
    internal::LengthModel model;
    for (int i = 0; i < 300; ++i) {
        model.learn(chat, school, 50);
        model.learn(chat, mosque, i % 2 ? 50 : 1500);
    }
    CHECK(model.expected(chat, school, 0, 2048) < 150);
    CHECK(model.expected(chat, mosque, 0, 2048) == doctest::Approx(775).epsilon(0.1));
    CHECK(model.expected(chat, mosque, 200, 2048) > 1200);
    CHECK(model.expected(chat, mosque, 0, 100) <= 100);
    CHECK(model.quantile(chat, school, 0.9, 2048) < 100);
    CHECK(model.quantile(chat, mosque, 0.9, 2048) > 1000);
}

TEST_CASE("an answer longer than expected is lowered in priority at its engines")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    for (int i = 0; i < 20; ++i) {
        driver.arrive("warm" + std::to_string(i));
        driver.finish("warm" + std::to_string(i), 1, 30);
    }
    auto decisions = driver.send(RequestArrived { RequestId("r1"), school, chat, 100, 2048, 0, {}, 300s });
    REQUIRE(firstOf<Dispatch>(decisions));
    CHECK(firstOf<Dispatch>(decisions)->priority == 0);
    driver.send(FirstToken { RequestId("r1"), 1 });
    uint8_t last = 0;
    for (uint32_t position = 16; position <= 480; position += 16) {
        driver.advance(300ms);
        decisions = driver.send(TokensProgressed { RequestId("r1"), 1, position });
        if (const auto* change = firstOf<Reprioritize>(decisions)) {
            CHECK(change->priority > last);
            last = change->priority;
        }
    }
    CHECK(last >= 1);
}

TEST_CASE("work that waits at an engine is raised in priority over time and does not starve")
{
    CoreDriver driver;
    auto table = test::sampleTable();
    for (auto& it : table.routes)
        it.maxTokens = 4096;
    driver.adopt(table);
    for (int i = 0; i < 20; ++i) {
        auto id = "warm" + std::to_string(i);
        driver.send(RequestArrived { RequestId(id), school, chat, 100, 4096, 0, {}, 600s });
        driver.finish(id, 1, 3000);
    }
    auto decisions = driver.send(RequestArrived { RequestId("r1"), school, chat, 100, 4096, 0, {}, 600s });
    REQUIRE(firstOf<Dispatch>(decisions));
    int priority = firstOf<Dispatch>(decisions)->priority;
    REQUIRE(priority > 0);
    for (int i = 0; i < 600 && priority > 0; ++i) {
        decisions = driver.tick();
        if (const auto* change = firstOf<Reprioritize>(decisions))
            priority = change->priority;
    }
    CHECK(priority == 0);
}
