// Tests of outage detection: crashes, releases, and data centres that are cut off and reconnect.

#include <doctest/doctest.h>
#include <spindlecore/OutageDetector.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const DataCentreId north { "north" };

// Runs planning cycles with a given number of engines present.
class DetectorDriver {
public:
    void observe(int engines, Duration time)
    {
        std::vector<PlacedEngine> seen;
        seen.reserve(total);
        for (int i = 0; i < total; ++i)
            seen.push_back({ EndpointId("e" + std::to_string(i)), north, "t4", { 0, 4 }, false, i >= engines });
        for (auto end = m_now + time; m_now < end; m_now += 250ms)
            m_constraints = m_detector.update(m_now, seen);
    }
    bool isCutOff() const { return m_constraints.cutOff.contains(north); }
    bool isSettled() const { return m_constraints.settled.contains(north); }

    static constexpr int total = 13;

private:
    OutageDetector m_detector;
    PlacementConstraints m_constraints;
    Instant m_now { 1h };
};

} // namespace

TEST_CASE("a data centre that loses engines one after another is not cut off")
{
    DetectorDriver detector;
    detector.observe(13, 10s);
    for (int engines : { 12, 11, 10, 9 }) {
        detector.observe(engines, 3s);
        CHECK_FALSE(detector.isCutOff());
    }
}

// Guards against a rebuild while a data centre reconnects: ten engines received orders to move when only the first
// engines had been reported again.
TEST_CASE("a data centre stays cut off until the number of its engines is stable again")
{
    DetectorDriver detector;
    detector.observe(13, 10s);
    detector.observe(8, 250ms);
    CHECK(detector.isCutOff());
    detector.observe(0, 6s);
    CHECK(detector.isCutOff());
    detector.observe(1, 1s);
    detector.observe(10, 1s);
    CHECK(detector.isCutOff());
    detector.observe(13, 2s);
    CHECK(detector.isCutOff());
    detector.observe(13, 1s);
    CHECK_FALSE(detector.isCutOff());
}

TEST_CASE("engines that are missing for ten seconds count as lost")
{
    DetectorDriver detector;
    detector.observe(13, 10s);
    detector.observe(6, 9s);
    CHECK(detector.isCutOff());
    detector.observe(6, 2s);
    CHECK_FALSE(detector.isCutOff());
    detector.observe(5, 1s);
    CHECK_FALSE(detector.isCutOff());
}

TEST_CASE("a data centre is settled when its number of engines has not changed for five seconds")
{
    DetectorDriver detector;
    detector.observe(13, 4s);
    CHECK_FALSE(detector.isSettled());
    detector.observe(13, 2s);
    CHECK(detector.isSettled());
    detector.observe(12, 4s);
    CHECK_FALSE(detector.isSettled());
    detector.observe(13, 6s);
    CHECK(detector.isSettled());
}
