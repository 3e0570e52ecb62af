// Tests of pauses: their length after repeated failures, and requests that fail while one is in progress.

#include <doctest/doctest.h>
#include <spindlecore/EndpointPauses.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const Instant start { 1h };
const EndpointId engine { "engine" };

// When the pause ends that begins now.
Duration pauseAt(EndpointPauses& pauses, Instant now)
{
    REQUIRE(pauses.failed(now, engine));
    for (auto waited = 0ms; waited < 10s; waited += 100ms) {
        if (!pauses.takeEnded(now + waited).empty())
            return waited;
    }
    return Duration::max();
}

} // namespace

TEST_CASE("requests that fail during a pause neither lengthen it nor begin another")
{
    EndpointPauses pauses;
    CHECK(pauses.failed(start, engine));
    CHECK_FALSE(pauses.failed(start + 100ms, engine));
    CHECK(pauses.isPaused(engine));
    CHECK(pauses.takeEnded(start + 399ms).empty());
    CHECK(pauses.takeEnded(start + 400ms) == std::vector { engine });
    CHECK(pauses.takeEnded(start + 500ms).empty());
    CHECK_FALSE(pauses.isPaused(engine));
}

TEST_CASE("the pause of an endpoint that fails again at once doubles up to a bound")
{
    EndpointPauses pauses;
    auto now = start;
    for (auto expected : { 400ms, 800ms, 1600ms, 3200ms, 3200ms }) {
        CHECK(pauseAt(pauses, now) == expected);
        now += expected + 100ms;
    }
}

TEST_CASE("an endpoint that has worked for some time begins with a short pause again")
{
    EndpointPauses pauses;
    pauseAt(pauses, start);
    pauseAt(pauses, start + 500ms);
    pauses.takeEnded(start + 10s);
    CHECK(pauseAt(pauses, start + 10s) == 400ms);
}

TEST_CASE("an endpoint that asks for a pause has it in full, and fails with the shortest one afterwards")
{
    EndpointPauses pauses;
    CHECK_FALSE(pauses.asked(start, engine, 0s));
    CHECK_FALSE(pauses.isPaused(engine));
    CHECK(pauses.asked(start, engine, 7s));
    CHECK_FALSE(pauses.asked(start + 100ms, engine, 1s));
    CHECK_FALSE(pauses.failed(start + 100ms, engine));
    CHECK(pauses.takeEnded(start + 6900ms).empty());
    CHECK(pauses.takeEnded(start + 7s) == std::vector { engine });
    CHECK(pauseAt(pauses, start + 7100ms) == 400ms);
}

TEST_CASE("a pause that is asked for lengthens one in progress, and is bounded")
{
    EndpointPauses pauses;
    CHECK(pauses.failed(start, engine));
    CHECK_FALSE(pauses.asked(start, engine, 2s));
    CHECK(pauses.takeEnded(start + 1900ms).empty());
    CHECK(pauses.takeEnded(start + 2s) == std::vector { engine });
    CHECK(pauses.asked(start + 3s, engine, 10000h));
    CHECK(pauses.takeEnded(start + 3s + EndpointPauses::longestAsked) == std::vector { engine });
}
