// Tests of endpoint states: an endpoint receives no new work from the first input on that reports it as leaving or
// down.

#include "support/CoreDriver.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using test::CoreDriver;
using test::firstOf;

namespace {

const EndpointId leaving("middle-a");

// Sends twelve requests, of which each is finished as soon as it is dispatched, and returns how often the endpoint was
// chosen.
int timesChosen(CoreDriver& driver, const std::string& prefix, const EndpointId& endpoint)
{
    int n = 0;
    for (int i = 0; i < 12; ++i) {
        auto id = prefix + std::to_string(i);
        auto decisions = driver.arrive(id);
        if (const auto* dispatch = firstOf<Dispatch>(decisions)) {
            n += test::uses(*dispatch, endpoint);
            driver.finish(id);
        }
    }
    return n;
}

} // namespace

TEST_CASE("a serving endpoint is chosen, which the drain tests rely on")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    CHECK(timesChosen(driver, "r", leaving) > 0);
}

TEST_CASE("any source alone stops new work to a leaving or failed endpoint, and only that source allows it again")
{
    for (auto source : { EndpointStateSource::HostList, EndpointStateSource::Health, EndpointStateSource::Engine }) {
        for (auto availability : { EndpointAvailability::Leaving, EndpointAvailability::Down }) {
            CAPTURE(static_cast<int>(source));
            CAPTURE(static_cast<int>(availability));
            CoreDriver driver;
            driver.adopt(test::sampleTable());
            driver.send(EndpointStateReported { leaving, source, availability });
            CHECK(timesChosen(driver, "after", leaving) == 0);
            auto other
                = source == EndpointStateSource::Health ? EndpointStateSource::Engine : EndpointStateSource::Health;
            driver.send(EndpointStateReported { leaving, other, EndpointAvailability::Serving });
            CHECK(timesChosen(driver, "other", leaving) == 0);
            driver.send(EndpointStateReported { leaving, source, EndpointAvailability::Serving });
            CHECK(timesChosen(driver, "again", leaving) > 0);
        }
    }
}

TEST_CASE("an endpoint whose row is draining or removed receives no work once the table is adopted")
{
    auto table = test::sampleTable();
    CoreDriver driver;
    driver.adopt(table);
    auto draining = table;
    for (auto& it : draining.endpoints) {
        if (it.endpoint == leaving)
            it.state = AdminState::Draining;
    }
    driver.adopt(draining);
    CHECK(timesChosen(driver, "draining", leaving) == 0);
    driver.adopt(table);
    CHECK(timesChosen(driver, "active", leaving) > 0);
    auto removed = table;
    std::erase_if(removed.endpoints, [](const EndpointRow& row) { return row.endpoint == leaving; });
    driver.adopt(removed);
    CHECK(timesChosen(driver, "removed", leaving) == 0);
}

TEST_CASE("an endpoint that was reported as leaving before its row appeared receives no work")
{
    auto table = test::sampleTable();
    auto without = table;
    std::erase_if(without.endpoints, [](const EndpointRow& row) { return row.endpoint == leaving; });
    CoreDriver driver;
    driver.adopt(without);
    driver.send(EndpointStateReported { leaving, EndpointStateSource::HostList, EndpointAvailability::Leaving });
    driver.adopt(table);
    CHECK(timesChosen(driver, "r", leaving) == 0);
    // The state is also kept while the row is removed.
    driver.adopt(without);
    driver.adopt(table);
    CHECK(timesChosen(driver, "s", leaving) == 0);
}

TEST_CASE("an attempt continues at a leaving endpoint, and its replacement uses other endpoints")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    auto decisions = driver.arrive("r1");
    const auto* first = firstOf<Dispatch>(decisions);
    REQUIRE(first);
    auto endpoint = first->chain[1].endpoint;
    CHECK(driver.send(EndpointStateReported { endpoint, EndpointStateSource::Engine, EndpointAvailability::Leaving })
              .empty());
    CHECK(driver.status().running == 1);
    auto replaced = driver.fail("r1", 1, EndpointId(), 5);
    const auto* second = firstOf<Dispatch>(replaced);
    REQUIRE(second);
    CHECK_FALSE(test::uses(*second, endpoint));
}

TEST_CASE("a request is refused with NoChain if no endpoint serves a stage")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    for (const char* name : { "middle-a", "middle-b" })
        driver.send(
            EndpointStateReported { EndpointId(name), EndpointStateSource::Health, EndpointAvailability::Down });
    auto decisions = driver.arrive("r1");
    const auto* refuse = firstOf<Refuse>(decisions);
    REQUIRE(refuse);
    CHECK(refuse->code == ResultCode::NoChain);
}

TEST_CASE("waiting requests are refused with NoChain when the last endpoint of a stage goes down")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    int waiting = 0;
    for (int i = 0; i < 30 && !waiting; ++i) {
        driver.arrive("r" + std::to_string(i));
        waiting = static_cast<int>(driver.status().waiting);
    }
    REQUIRE(waiting == 1);
    driver.send(
        EndpointStateReported { EndpointId("middle-a"), EndpointStateSource::Health, EndpointAvailability::Down });
    auto decisions = driver.send(
        EndpointStateReported { EndpointId("middle-b"), EndpointStateSource::Health, EndpointAvailability::Down });
    REQUIRE(firstOf<Refuse>(decisions));
    CHECK(firstOf<Refuse>(decisions)->code == ResultCode::NoChain);
    CHECK(driver.status().waiting == 0);
}

TEST_CASE("a draining daemon refuses new requests only after the drain lag of the load balancer")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    driver.send(DrainStarted { false });
    CHECK(firstOf<Dispatch>(driver.arrive("r1")));
    driver.send(DrainStarted { true });
    auto decisions = driver.arrive("r2");
    REQUIRE(firstOf<Refuse>(decisions));
    CHECK(firstOf<Refuse>(decisions)->code == ResultCode::ShuttingDown);
    CHECK(driver.status().running == 1);
}
