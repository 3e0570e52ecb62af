// End-to-end tests of Loan Actions: each runs at most once, whatever is lost, killed or paused.

#include "e2e/Cluster.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::e2e;

namespace {

void start(Cluster& cluster)
{
    auto fault = cluster.start();
    INFO(cluster.logs());
    REQUIRE(fault == "");
}

const char* const unknownOutcome = "unknown";

// Repeats the action at the daemon until it is answered as done.
CallAnswer repeatUntilDone(const Cluster& cluster, const std::string& daemon, const std::string& key)
{
    CallAnswer answer;
    waitFor([&] {
        answer = callAction(cluster.http(daemon), key);
        return answer.status == 201;
    });
    return answer;
}

} // namespace

TEST_CASE("an action runs once and a retry through any daemon returns the recorded answer")
{
    Cluster cluster;
    start(cluster);
    auto first = callAction(cluster.http("entry-1"), "k1");
    INFO(first.body << cluster.logs());
    CHECK(first.status == 201);
    for (const char* daemon : { "entry-1", "entry-2", "entry-3" }) {
        auto again = callAction(cluster.http(daemon), "k1");
        CHECK(again.status == 201);
        CHECK(again.body == first.body);
    }
    CHECK(cluster.runs("k1") == 1);
}

TEST_CASE("an action whose service answer is lost runs once and is settled by lookup")
{
    Cluster cluster;
    start(cluster);
    REQUIRE(cluster.setFaults("catalogue", { { "loseAnswers", 1 } }));
    auto first = callAction(cluster.http("entry-1"), "k1");
    INFO(first.body << cluster.logs());
    CHECK(cluster.runs("k1") == 1);
    auto again = repeatUntilDone(cluster, "entry-2", "k1");
    CHECK(again.status == 201);
    CHECK(cluster.runs("k1") == 1);
}

TEST_CASE("an action whose service answer is lost and that cannot be looked up is unknown, never repeated")
{
    ClusterOptions options;
    options.catalogueCapabilities = "";
    Cluster cluster(options);
    start(cluster);
    REQUIRE(cluster.setFaults("catalogue", { { "loseAnswers", 1 } }));
    for (const char* daemon : { "entry-1", "entry-2", "entry-3", "entry-1" }) {
        CAPTURE(daemon);
        auto answer = callAction(cluster.http(daemon), "k1");
        INFO(answer.body << cluster.logs());
        CHECK(answer.ran == unknownOutcome);
        CHECK(cluster.runs("k1") == 1);
    }
}

TEST_CASE("an action runs at most once when the answer to its claim is lost")
{
    // The claim takes effect, never does, or does after the answer to the caller.
    for (const char* fault : { "loseAnswers", "dropCommits", "lateCommits" }) {
        CAPTURE(fault);
        Cluster cluster;
        start(cluster);
        REQUIRE(cluster.setFaults("table", { { fault, 1 }, { "keyPrefix", "action/" } }));
        auto first = callAction(cluster.http("entry-1"), "k1");
        INFO(first.body << cluster.logs());
        auto runsAfterFirst = cluster.runs("k1");
        CHECK(runsAfterFirst <= 1);
        if (first.ran == "not run")
            CHECK(runsAfterFirst == 0);
        if (first.status == 201)
            CHECK(runsAfterFirst == 1);
        std::this_thread::sleep_for(milliseconds(700)); // A late commit takes effect within 500 ms.
        for (const char* daemon : { "entry-2", "entry-3", "entry-1" })
            callAction(cluster.http(daemon), "k1");
        CHECK(cluster.runs("k1") <= 1);
        if (first.ran == "not run")
            CHECK(cluster.runs("k1") == 0);
    }
}

TEST_CASE("an action whose daemon is killed runs once when the caller retries through another daemon")
{
    Cluster cluster;
    start(cluster);
    REQUIRE(cluster.setFaults("catalogue", { { "delayMs", 1500 } }));
    CallAnswer first;
    std::thread caller([&] { first = callAction(cluster.http("entry-1"), "k1"); });
    CHECK(waitFor([&] { return cluster.counters("catalogue").value("arrived", 0) == 1; }));
    cluster.daemon("entry-1").signal(SIGKILL);
    caller.join();
    auto again = repeatUntilDone(cluster, "entry-2", "k1");
    INFO(again.body << cluster.logs());
    CHECK(again.status == 201);
    CHECK(cluster.runs("k1") == 1);
}

TEST_CASE("a daemon that is paused after its claim cannot run the action again")
{
    Cluster cluster;
    start(cluster);
    REQUIRE(cluster.setFaults("catalogue", { { "delayMs", 1500 } }));
    CallAnswer first;
    std::thread caller([&] { first = callAction(cluster.http("entry-1"), "k1"); });
    CHECK(waitFor([&] { return cluster.counters("catalogue").value("arrived", 0) == 1; }));
    cluster.daemon("entry-1").signal(SIGSTOP);
    auto again = repeatUntilDone(cluster, "entry-2", "k1");
    cluster.daemon("entry-1").signal(SIGCONT);
    caller.join();
    INFO(first.body << " / " << again.body << cluster.logs());
    CHECK(again.status == 201);
    CHECK(cluster.runs("k1") == 1);
    CHECK(first.ran != "not run");
}

TEST_CASE("an error after the effect does not make the action run again")
{
    Cluster cluster;
    start(cluster);
    REQUIRE(cluster.setFaults("catalogue", { { "errorsAfterEffect", 1 } }));
    for (const char* daemon : { "entry-1", "entry-2", "entry-3" })
        callAction(cluster.http(daemon), "k1");
    INFO(cluster.logs());
    CHECK(cluster.runs("k1") == 1);
}

TEST_CASE("a new action is refused as not run while the platform is down and may be sent again afterwards")
{
    Cluster cluster;
    start(cluster);
    for (const char* target : { "table", "objects", "hosts" })
        REQUIRE(cluster.setFaults(target, { { "down", true } }));
    auto refused = callAction(cluster.http("entry-1"), "k1");
    INFO(refused.body << cluster.logs());
    CHECK(refused.ran == "not run");
    CHECK(cluster.runs("k1") == 0);
    auto read = get(cluster.http("entry-2"), "/r/catalogue-search/items");
    CHECK(read.status == 200);
    for (const char* target : { "table", "objects", "hosts" })
        REQUIRE(cluster.setFaults(target, Json::object()));
    CHECK(repeatUntilDone(cluster, "entry-1", "k2").status == 201);
    CHECK(cluster.runs("k2") == 1);
}
