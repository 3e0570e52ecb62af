// Tests of how long engines count as silent.

#include "router/SilentEngines.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using router::SilentEngines;

namespace {

constexpr Instant begin(100s);

router::EndpointSighting engineOf(const std::string& name)
{
    router::EndpointSighting engine;
    engine.endpoint = EndpointId(name);
    return engine;
}

// Inquiries from one moment to another, of which none is answered.
void askInVain(SilentEngines& engines, const std::string& name, Instant from, Instant to)
{
    for (auto at = from; at <= to; at += 700ms)
        engines.noteSilence(engineOf(name), at, at + 350ms);
}

} // namespace

TEST_CASE("the silence of an engine lasts from the first to the last unanswered inquiry")
{
    SilentEngines engines;
    CHECK(engines.silenceOf(EndpointId("e1"), begin) == 0ms);
    askInVain(engines, "e1", begin, begin + 1400ms);
    CHECK(engines.silenceOf(EndpointId("e1"), begin + 1750ms) == 1750ms);
    CHECK(engines.silenceOf(EndpointId("e2"), begin + 1750ms) == 0ms);
}

TEST_CASE("an answer ends the silence of an engine")
{
    SilentEngines engines;
    askInVain(engines, "e1", begin, begin + 2800ms);
    engines.noteAnswer(EndpointId("e1"));
    CHECK(engines.silenceOf(EndpointId("e1"), begin + 3200ms) == 0ms);
    askInVain(engines, "e1", begin + 3500ms, begin + 3500ms);
    CHECK(engines.silenceOf(EndpointId("e1"), begin + 3850ms) == 350ms);
}

// BUDGET: an engine counted as silent for the time in which it was not asked.
TEST_CASE("the silence of an engine begins anew after a time in which it was not asked")
{
    SilentEngines engines;
    askInVain(engines, "e1", begin, begin + 700ms);
    CHECK(engines.silenceOf(EndpointId("e1"), begin + 1050ms) == 1050ms);
    askInVain(engines, "e1", begin + 2500ms, begin + 2500ms);
    CHECK(engines.silenceOf(EndpointId("e1"), begin + 2850ms) == 350ms);
    askInVain(engines, "e1", begin + 3200ms, begin + 4600ms);
    CHECK(engines.silenceOf(EndpointId("e1"), begin + 4950ms) == 2450ms);
}

// BUDGET: after a freeze, an engine counted as silent for inquiries that went unanswered before it.
TEST_CASE("a silence that ended in doubt does not count later")
{
    SilentEngines engines;
    askInVain(engines, "e1", begin, begin + 2100ms);
    auto endedAt = begin + 2450ms;
    CHECK(engines.silenceOf(EndpointId("e1"), endedAt + SilentEngines::longestInterval) == 2450ms);
    CHECK(engines.silenceOf(EndpointId("e1"), endedAt + SilentEngines::longestInterval + 1ms) == 0ms);
}

TEST_CASE("silent engines are asked again until they are forgotten")
{
    SilentEngines engines;
    askInVain(engines, "e1", begin, begin + 9800ms);
    auto asked = engines.update(begin + SilentEngines::memory);
    REQUIRE(asked.size() == 1);
    CHECK(asked.front().endpoint == EndpointId("e1"));
    CHECK(engines.update(begin + SilentEngines::memory + 1ms).empty());
    CHECK(engines.silenceOf(EndpointId("e1"), begin + SilentEngines::memory) == 0ms);
}
