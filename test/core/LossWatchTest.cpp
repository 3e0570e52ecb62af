// Tests of the watch over losses: crashes, releases, a data centre that is cut off, and one that comes back.

#include <doctest/doctest.h>
#include <spindlecore/LossWatch.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const DataCentreId north { "north" };

// Advances in cycles of the planner with a number of engines in sight.
class Watch {
public:
    void see(int engines, Duration time)
    {
        std::vector<PlacedEngine> seen;
        seen.reserve(total);
        for (int i = 0; i < total; ++i)
            seen.push_back({ EndpointId("e" + std::to_string(i)), north, "t4", { 0, 4 }, false, i >= engines });
        for (auto end = m_now + time; m_now < end; m_now += 250ms)
            m_scope = m_watch.update(m_now, seen);
    }
    bool isCutOff() const { return m_scope.cutOff.contains(north); }
    bool isSettled() const { return m_scope.settled.contains(north); }

    static constexpr int total = 13;

private:
    LossWatch m_watch;
    PlacementScope m_scope;
    Instant m_now { 1h };
};

} // namespace

TEST_CASE("the loss of single engines is no cut, also of several in turn")
{
    Watch watch;
    watch.see(13, 10s);
    for (int engines : { 12, 11, 10, 9 }) {
        watch.see(engines, 3s);
        CHECK_FALSE(watch.isCutOff());
    }
}

// Ten engines were ordered to move when the first ones of a data centre that had been cut off were seen again.
TEST_CASE("a data centre that is cut off is left alone until its engines are back")
{
    Watch watch;
    watch.see(13, 10s);
    watch.see(8, 250ms);
    CHECK(watch.isCutOff());
    watch.see(0, 6s);
    CHECK(watch.isCutOff());
    watch.see(1, 1s);
    watch.see(10, 1s);
    CHECK(watch.isCutOff());
    watch.see(13, 2s);
    CHECK(watch.isCutOff());
    watch.see(13, 1s);
    CHECK_FALSE(watch.isCutOff());
}

TEST_CASE("engines that stay away are lost after ten seconds")
{
    Watch watch;
    watch.see(13, 10s);
    watch.see(6, 9s);
    CHECK(watch.isCutOff());
    watch.see(6, 2s);
    CHECK_FALSE(watch.isCutOff());
    watch.see(5, 1s);
    CHECK_FALSE(watch.isCutOff());
}

TEST_CASE("a data centre is settled while no engine has come or gone for five seconds")
{
    Watch watch;
    watch.see(13, 4s);
    CHECK_FALSE(watch.isSettled());
    watch.see(13, 2s);
    CHECK(watch.isSettled());
    watch.see(12, 4s);
    CHECK_FALSE(watch.isSettled());
    watch.see(13, 6s);
    CHECK(watch.isSettled());
}
