// Tests of the pace at which a reader sends the load of the engines.

#include "router/LoadPace.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using router::LoadPace;

namespace {

const Instant start { 1h };

// Returns the bytes of load that a reader sends in ten seconds when each follower asks every 300 ms.
double bytesSent(uint32_t linkMbps, size_t followers, size_t engines)
{
    LoadPace pace(linkMbps);
    double bytes = 0;
    for (auto now = start; now < start + 10s; now += 300ms) {
        for (size_t i = 0; i < followers; ++i) {
            if (pace.takeTurn(now, "host-" + std::to_string(i), followers, engines))
                bytes += static_cast<double>(engines * LoadPace::bytesPerEngine);
        }
    }
    return bytes;
}

} // namespace

// A reader with 100 followers and 1,000 engines sent 40 kB to each of them with every answer, three times a second.
TEST_CASE("the load that a reader sends takes no more than its share of the link")
{
    struct Fleet {
        uint32_t linkMbps;
        size_t followers;
        size_t engines;
    };
    for (const auto& it : { Fleet { 200, 45, 35 }, Fleet { 14, 45, 35 }, Fleet { 200, 100, 1000 } }) {
        CAPTURE(it.linkMbps);
        CAPTURE(it.followers);
        CAPTURE(it.engines);
        double allowed = it.linkMbps * 1e6 / 8 * LoadPace::linkShare * 10;
        double firstRound = static_cast<double>(it.followers * it.engines * LoadPace::bytesPerEngine);
        CHECK(bytesSent(it.linkMbps, it.followers, it.engines) <= allowed + firstRound);
    }
}

TEST_CASE("a link that carries all of the load delays none of it")
{
    LoadPace pace(200);
    CHECK(pace.interval(45, 35) < 50ms);
    for (auto now = start; now < start + 2s; now += 50ms)
        CHECK(pace.takeTurn(now, "host-1", 45, 35));
    LoadPace unknown(0);
    CHECK(unknown.interval(1000, 1000) == Duration::zero());
}

TEST_CASE("a fleet that is too large for its reader's link is sent its load at a bounded interval")
{
    LoadPace pace(14);
    CHECK(pace.interval(400, 3000) == LoadPace::maxInterval);
    CHECK(pace.takeTurn(start, "host-1", 400, 3000));
    CHECK_FALSE(pace.takeTurn(start + LoadPace::maxInterval - 1ms, "host-1", 400, 3000));
    CHECK_MESSAGE(pace.takeTurn(start + 1ms, "host-2", 400, 3000), "each daemon has its own turn");
    CHECK(pace.takeTurn(start + LoadPace::maxInterval, "host-1", 400, 3000));
}
