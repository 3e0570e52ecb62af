// Tests of endpoint backoff: length after repeated failures, failures during a pause, and requested pauses.

#include <doctest/doctest.h>
#include <spindlecore/EndpointPauses.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const Instant start { 1h };
const EndpointId engine { "engine" };

// Records a failure and returns the length of the pause that begins, to 100 ms; the maximum when it exceeds 10 s.
Duration measurePause(EndpointPauses& pauses, Instant now)
{
    REQUIRE(pauses.recordFailure(now, engine));
    for (auto waited = 0ms; waited < 10s; waited += 100ms) {
        if (!pauses.takeEnded(now + waited).empty())
            return waited;
    }
    return Duration::max();
}

} // namespace

TEST_CASE("failures during a pause neither extend it nor begin another one")
{
    EndpointPauses pauses;
    CHECK(pauses.recordFailure(start, engine));
    CHECK_FALSE(pauses.recordFailure(start + 100ms, engine));
    CHECK(pauses.isPaused(engine));
    CHECK(pauses.takeEnded(start + 399ms).empty());
    CHECK(pauses.takeEnded(start + 400ms) == std::vector { engine });
    CHECK(pauses.takeEnded(start + 500ms).empty());
    CHECK_FALSE(pauses.isPaused(engine));
}

TEST_CASE("the pause of an endpoint doubles up to a bound when it fails shortly after each pause")
{
    EndpointPauses pauses;
    auto now = start;
    for (auto expected : { 400ms, 800ms, 1600ms, 3200ms, 3200ms }) {
        CHECK(measurePause(pauses, now) == expected);
        now += expected + 100ms;
    }
}

TEST_CASE("an endpoint without failures for some time starts with the minimum pause again")
{
    EndpointPauses pauses;
    measurePause(pauses, start);
    measurePause(pauses, start + 500ms);
    pauses.takeEnded(start + 10s);
    CHECK(measurePause(pauses, start + 10s) == 400ms);
}

TEST_CASE("a requested pause lasts its full time, and a failure after it starts with the minimum pause")
{
    EndpointPauses pauses;
    CHECK_FALSE(pauses.applyRequestedPause(start, engine, 0s));
    CHECK_FALSE(pauses.isPaused(engine));
    CHECK(pauses.applyRequestedPause(start, engine, 7s));
    CHECK_FALSE(pauses.applyRequestedPause(start + 100ms, engine, 1s));
    CHECK_FALSE(pauses.recordFailure(start + 100ms, engine));
    CHECK(pauses.takeEnded(start + 6900ms).empty());
    CHECK(pauses.takeEnded(start + 7s) == std::vector { engine });
    CHECK(measurePause(pauses, start + 7100ms) == 400ms);
}

TEST_CASE("a requested pause extends one in progress and is limited to a maximum")
{
    EndpointPauses pauses;
    CHECK(pauses.recordFailure(start, engine));
    CHECK_FALSE(pauses.applyRequestedPause(start, engine, 2s));
    CHECK(pauses.takeEnded(start + 1900ms).empty());
    CHECK(pauses.takeEnded(start + 2s) == std::vector { engine });
    CHECK(pauses.applyRequestedPause(start + 3s, engine, 10000h));
    CHECK(pauses.takeEnded(start + 3s + EndpointPauses::maxRequestedPause) == std::vector { engine });
}
