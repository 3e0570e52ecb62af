// End-to-end tests of streamed completions over three stages, two data centres and three daemons.

#include "e2e/Cluster.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::e2e;

namespace {

constexpr uint32_t longStream = 300;
// Tokens after which a fault comes: the stream is well under way and far from its end.
constexpr size_t wellUnderWay = 20;

// The stream came to its marked end and holds exactly the text that the engines generate for the query.
void checkWhole(StreamCaller& caller, const StreamQuery& query, const Cluster& cluster)
{
    bool hasEnded = caller.waitForEnd();
    INFO("problem: " << caller.problem() << cluster.logs());
    CHECK(hasEnded);
    CHECK(caller.status() == 200);
    CHECK(caller.tokens().size() == query.tokens);
    CHECK(caller.text() == Cluster::expectedText(query));
    CHECK(caller.isWhole());
}

void start(Cluster& cluster)
{
    auto fault = cluster.start();
    INFO(cluster.logs());
    REQUIRE(fault == "");
}

} // namespace

TEST_CASE("a streamed completion is whole and each layer runs once for each token")
{
    Cluster cluster;
    start(cluster);
    auto query = cluster.query(50);
    for (const char* daemon : { "entry-1", "entry-2", "entry-3" }) {
        CAPTURE(daemon);
        StreamCaller caller(cluster.http(daemon), query);
        checkWhole(caller, query, cluster);
    }
    for (const char* stage : { "front", "middle", "back" }) {
        CAPTURE(stage);
        CHECK(cluster.stageTokens(stage) == 3 * query.tokens);
    }
}

TEST_CASE("a stream goes on whole when the process of a stage is killed")
{
    for (const char* stage : { "front", "middle", "back" }) {
        CAPTURE(stage);
        Cluster cluster;
        start(cluster);
        auto query = cluster.query(longStream);
        StreamCaller caller(cluster.http("entry-1"), query);
        CHECK(caller.waitForTokens(wellUnderWay));
        auto endpoint = cluster.busyEndpoint(stage);
        INFO("problem: " << caller.problem() << cluster.logs());
        REQUIRE(endpoint != "");
        cluster.endpoint(endpoint).signal(SIGKILL);
        CHECK(cluster.endpoint(endpoint).waitForEnd() == 128 + SIGKILL);
        checkWhole(caller, query, cluster);
    }
}

TEST_CASE("a stream is whole although the connection to a stage breaks or a stage falls silent")
{
    for (const char* fault : { "breakAfterTokens", "stallAfterTokens" }) {
        CAPTURE(fault);
        Cluster cluster;
        start(cluster);
        auto query = cluster.query(longStream);
        StreamCaller caller(cluster.http("entry-2"), query);
        CHECK(caller.waitForTokens(wellUnderWay));
        auto endpoint = cluster.busyEndpoint("middle");
        REQUIRE(endpoint != "");
        REQUIRE(cluster.setFaults(endpoint, { { fault, 5 } }));
        checkWhole(caller, query, cluster);
    }
}

TEST_CASE("a stream is whole although stages cross, double and delay tokens")
{
    Cluster cluster;
    start(cluster);
    const std::vector<Json> faults { { { "crossEvery", 7 } }, { { "doubleEvery", 7 } }, { { "lateEvery", 7 } } };
    for (const auto& it : faults) {
        CAPTURE(it.dump());
        REQUIRE(cluster.setFaults("middle-north", it));
        REQUIRE(cluster.setFaults("middle-south", it));
        auto query = cluster.query(100, it.dump());
        StreamCaller caller(cluster.http("entry-2"), query);
        checkWhole(caller, query, cluster);
    }
}

TEST_CASE("a caller whose daemon is killed resumes at another daemon and gets each token once")
{
    Cluster cluster;
    start(cluster);
    auto query = cluster.query(longStream);
    StreamCaller first(cluster.http("entry-1"), query);
    CHECK(first.waitForTokens(wellUnderWay));
    cluster.daemon("entry-1").signal(SIGKILL);
    CHECK(first.waitForEnd());
    CHECK_FALSE(first.isWhole());
    auto again = query;
    again.lastEventId = first.lastEventId();
    CAPTURE(again.lastEventId);
    StreamCaller second(cluster.http("entry-2"), again);
    CHECK(second.waitForEnd());
    INFO("problem: " << second.problem() << cluster.logs());
    CHECK(second.isWhole());
    CHECK(first.tokens().size() + second.tokens().size() == query.tokens);
    CHECK(first.text() + second.text() == Cluster::expectedText(query));
}

TEST_CASE("a resumed stream keeps the seed that the first daemon chose")
{
    Cluster cluster;
    start(cluster);
    auto query = cluster.query(longStream);
    query.seed.reset();
    StreamCaller first(cluster.http("entry-1"), query);
    CHECK(first.waitForTokens(wellUnderWay));
    cluster.daemon("entry-1").signal(SIGKILL);
    CHECK(first.waitForEnd());
    auto again = query;
    again.lastEventId = first.lastEventId();
    StreamCaller second(cluster.http("entry-3"), again);
    CHECK(second.waitForEnd());
    INFO("problem: " << second.problem() << cluster.logs());
    CHECK(second.isWhole());
    CHECK(first.tokens().size() + second.tokens().size() == query.tokens);
}

TEST_CASE("SIGTERM lets a stream in progress end whole and the daemon ends with status 0")
{
    Cluster cluster;
    start(cluster);
    auto query = cluster.query(longStream);
    StreamCaller caller(cluster.http("entry-1"), query);
    CHECK(caller.waitForTokens(wellUnderWay));
    cluster.daemon("entry-1").signal(SIGTERM);
    checkWhole(caller, query, cluster);
    CHECK(cluster.daemon("entry-1").waitForEnd() == 0);
}

TEST_CASE("streams start and go on while the platform is down")
{
    Cluster cluster;
    start(cluster);
    auto query = cluster.query(longStream);
    StreamCaller running(cluster.http("entry-1"), query);
    CHECK(running.waitForTokens(wellUnderWay));
    for (const char* target : { "table", "objects", "hosts" })
        REQUIRE(cluster.setFaults(target, { { "down", true } }));
    StreamCaller started(cluster.http("entry-2"), query);
    checkWhole(running, query, cluster);
    checkWhole(started, query, cluster);
}

TEST_CASE("a stream is whole although its daemon is stopped and continued")
{
    Cluster cluster;
    start(cluster);
    auto query = cluster.query(longStream);
    StreamCaller caller(cluster.http("entry-1"), query);
    CHECK(caller.waitForTokens(wellUnderWay));
    cluster.daemon("entry-1").signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1500)); // Longer than the stall limit of the daemon.
    cluster.daemon("entry-1").signal(SIGCONT);
    checkWhole(caller, query, cluster);
}
