// Tests of the observations of endpoints that the daemons of a data centre share.

#include "router/EndpointObservations.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using router::EndpointObservation;
using router::ObservationLog;

namespace {

const Instant start { 1h };
const HostId firstWitness { "north-1" };
const HostId secondWitness { "north-2" };

EndpointId engine(size_t n)
{
    return EndpointId("e" + std::to_string(n) + "@1");
}

} // namespace

TEST_CASE("an observation is given out once by its number, with its age, until it is too old")
{
    ObservationLog log;
    CHECK(log.last() == 0);
    CHECK(log.add(start, { engine(1), firstWitness, 40ms }));
    CHECK(log.last() == 1);
    CHECK(log.since(start + 60ms, 0) == std::vector { EndpointObservation { engine(1), firstWitness, 100ms } });
    CHECK(log.since(start + 60ms, 1).empty());
    CHECK(log.since(start + ObservationLog::validity, 0).empty());
    CHECK_FALSE(log.add(start, { engine(2), firstWitness, 1001ms }));
}

TEST_CASE("the same failure reported again is not news, and a later one is")
{
    ObservationLog log;
    CHECK(log.add(start, { engine(1), firstWitness, 0ms }));
    CHECK_FALSE(log.add(start + 50ms, { engine(1), firstWitness, 50ms }));
    CHECK_FALSE(log.add(start + 50ms, { engine(1), firstWitness, 200ms }));
    CHECK(log.add(start + 300ms, { engine(1), firstWitness, 0ms }));
    CHECK(log.add(start + 300ms, { engine(1), secondWitness, 0ms }));
    CHECK(log.since(start + 300ms, 1).size() == 2);
}

// A daemon that is cut off cannot reach any engine. If the others took its word for all of them, they would leave the
// whole data centre unused.
TEST_CASE("one witness counts for few endpoints at a time")
{
    ObservationLog log;
    size_t accepted = 0;
    for (size_t i = 0; i < 100; ++i)
        accepted += log.add(start + i * Duration(1ms), EndpointObservation { engine(i), firstWitness, 0ms }) ? 1 : 0;
    CHECK(accepted == ObservationLog::maxPerWitness);
    CHECK_MESSAGE(log.add(start + 100ms, { engine(50), secondWitness, 0ms }), "another witness is heard");
    auto later = start + 200ms + ObservationLog::validity;
    CHECK_MESSAGE(log.add(later, { engine(60), firstWitness, 0ms }), "its earlier observations are no longer valid");
}
