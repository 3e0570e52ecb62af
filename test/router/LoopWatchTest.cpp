// Tests of the measurement of an event loop's delays.

#include "router/LoopWatch.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using router::LoopWatch;

TEST_CASE("a timer that fires about when it is due counts as no delay")
{
    LoopWatch watch(100ms);
    Instant now(10s);
    CHECK(watch.tick(now) == 0ms);
    CHECK(watch.tick(now + 100ms) == 0ms);
    CHECK(watch.tick(now + 299ms) == 0ms);
    CHECK(watch.longestDelay(now + 300ms) == 0ms);
}

TEST_CASE("a delay is reported when it ends, seen before its end, and remembered for a few seconds")
{
    LoopWatch watch(100ms);
    Instant now(10s);
    watch.tick(now);
    CHECK(watch.longestDelay(now + 900ms) == 800ms);
    CHECK(watch.tick(now + 1300ms) == 1200ms);
    CHECK(watch.tick(now + 1400ms) == 0ms);
    CHECK(watch.longestDelay(now + 1400ms) == 1200ms);
    watch.tick(now + 4400ms);
    CHECK(watch.longestDelay(now + 4400ms) == 2900ms);
}
