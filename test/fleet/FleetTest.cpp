// Tests of daemons as real processes beside each other: what callers must not lose while the configuration changes,
// endpoints fall silent, and processes are suspended, stopped and killed, in series and overlapping.

#include "fleet/Fleet.h"

#include <doctest/doctest.h>
#include <iostream>
#include <random>

using namespace jacinthspindle;
using namespace jacinthspindle::fleet;

namespace {

// One change of the state of the fleet at a moment of the run.
struct Step {
    milliseconds at;
    std::function<void(Fleet&)> act;
};

// Runs the steps in order of their moments, and the fleet's own work between them.
void play(Fleet& fleet, std::vector<Step> steps, milliseconds length)
{
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    auto begin = Steady::now();
    auto next = steps.begin();
    while (Steady::now() - begin < length || next != steps.end()) {
        while (next != steps.end() && Steady::now() - begin >= next->at)
            (next++)->act(fleet);
        fleet.poll();
        std::this_thread::sleep_for(milliseconds(5));
    }
}

void start(Fleet& fleet)
{
    auto problem = fleet.start();
    REQUIRE_MESSAGE(problem.empty(), problem);
}

// Prints the broken promises and fails if there are any.
void check(Fleet& fleet, const FleetOptions& options)
{
    auto broken = fleet.finish();
    std::cout << "seed " << options.seed << ", " << options.daemons << " daemons: " << fleet.summary() << '\n';
    for (size_t i = 0; i < std::min<size_t>(broken.size(), 5); ++i)
        FAIL_CHECK(broken[i]);
    CAPTURE(options.seed);
    CHECK(broken.size() == 0);
    // The platform's gate: at most 60 in 100 are refused or fail.
    CHECK(fleet.wholeAnswers() * 100 >= fleet.requests() * 40);
}

FleetOptions optionsFromEnvironment()
{
    FleetOptions options;
    options.daemons = numberFromEnvironment("JACINTHSPINDLE_FLEET_DAEMONS", options.daemons);
    options.engines = std::max(options.engines, options.daemons / 4);
    options.callersPerDaemon = numberFromEnvironment("JACINTHSPINDLE_FLEET_CALLERS", options.callersPerDaemon);
    return options;
}

// A series of overlapping faults, each with its end, by the seed.
std::vector<Step> drawSteps(uint32_t seed, size_t daemons, milliseconds length)
{
    std::mt19937 random(seed);
    auto between
        = [&](int least, int most) { return milliseconds(least + static_cast<int>(random() % (most - least))); };
    std::vector<Step> steps;
    auto last = length - milliseconds(4000);
    for (auto at = between(0, 800); at < last; at += between(200, 1500)) {
        auto end = at + between(300, static_cast<int>(longestSuspension.count()));
        size_t daemon = random() % daemons;
        switch (random() % 8) {
        case 0:
        case 1:
            steps.push_back({ at, [n = random() % 400](Fleet& fleet) { fleet.changeConfiguration(n); } });
            break;
        case 2:
        case 3:
            steps.push_back({ at, [](Fleet& fleet) { fleet.endpoints().suspendAll(true); } });
            steps.push_back({ end, [](Fleet& fleet) { fleet.endpoints().suspendAll(false); } });
            break;
        case 4:
            steps.push_back({ at, [daemon](Fleet& fleet) { fleet.suspendDaemon(daemon, true); } });
            steps.push_back({ end, [daemon](Fleet& fleet) { fleet.suspendDaemon(daemon, false); } });
            break;
        case 5:
            steps.push_back({ at, [daemon](Fleet& fleet) { fleet.stopDaemon(daemon); } });
            break;
        case 6:
            steps.push_back({ at, [daemon](Fleet& fleet) { fleet.killDaemon(daemon); } });
            break;
        default:
            steps.push_back({ at, [](Fleet& fleet) { fleet.setStoreAway(true); } });
            steps.push_back({ end, [](Fleet& fleet) { fleet.setStoreAway(false); } });
        }
    }
    return steps;
}

// A series of short pauses of single engines that overlap with each other, with ends and replacements of engines, and
// with planned work on the daemons.
std::vector<Step> drawPauses(uint32_t seed, const FleetOptions& options, milliseconds length)
{
    std::mt19937 random(seed);
    auto between
        = [&](int least, int most) { return milliseconds(least + static_cast<int>(random() % (most - least))); };
    std::vector<Step> steps;
    auto last = length - milliseconds(4000);
    for (auto at = between(0, 300); at < last; at += between(100, 700)) {
        size_t daemon = random() % options.daemons;
        size_t engine = random() % options.engines;
        switch (random() % 10) {
        case 0:
            steps.push_back({ at, [n = random() % 400](Fleet& it) { it.changeConfiguration(n); } });
            break;
        case 1:
            steps.push_back({ at, [daemon](Fleet& it) { it.stopDaemon(daemon); } });
            break;
        case 2:
            steps.push_back({ at, [daemon](Fleet& it) { it.reloadDaemon(daemon); } });
            break;
        case 3:
            steps.push_back({ at, [engine, isAnnounced = random() % 2 == 0](Fleet& it) {
                                 it.endpoints().replace(engine, isAnnounced);
                             } });
            break;
        case 4:
            if (random() % 4 == 0)
                steps.push_back({ at, [engine](Fleet& it) { it.endpoints().kill(engine); } });
            break;
        default:
            // Some of them at about the same time, so that the engines that follow pause as well.
            for (auto n = 1 + random() % options.engines; n > 0; --n, engine = (engine + 1) % options.engines) {
                auto begin = at + between(0, 900);
                auto end = begin + between(1000, 1700);
                steps.push_back({ begin, [engine](Fleet& it) { it.endpoints().suspend(engine, true); } });
                steps.push_back({ end, [engine](Fleet& it) { it.endpoints().suspend(engine, false); } });
            }
        }
    }
    return steps;
}

// A series of moments at which daemons are held up, some of them all together, while an engine leaves without a word.
std::vector<Step> drawHoldUps(uint32_t seed, const FleetOptions& options, milliseconds length)
{
    std::mt19937 random(seed);
    auto between
        = [&](int least, int most) { return milliseconds(least + static_cast<int>(random() % (most - least))); };
    std::vector<Step> steps;
    auto last = length - milliseconds(4000);
    for (auto at = between(500, 1500); at < last; at += between(1000, 2500)) {
        auto end = at + between(800, static_cast<int>(longestSuspension.count()));
        auto leavesAt = at + between(-400, 400);
        size_t engine = random() % options.engines;
        size_t first = random() % options.daemons;
        size_t n = 1 + random() % options.daemons;
        for (size_t i = 0; i < n; ++i) {
            size_t daemon = (first + i) % options.daemons;
            steps.push_back({ at, [daemon](Fleet& it) { it.suspendDaemon(daemon, true); } });
            steps.push_back({ end, [daemon](Fleet& it) { it.suspendDaemon(daemon, false); } });
        }
        if (random() % 2)
            steps.push_back({ leavesAt, [engine](Fleet& it) { it.endpoints().replace(engine, false); } });
    }
    return steps;
}

void soak(FleetOptions options, const std::function<std::vector<Step>(const FleetOptions&, milliseconds)>& draw)
{
    auto first = numberFromEnvironment("JACINTHSPINDLE_FLEET_SEED", 1);
    auto seeds = numberFromEnvironment("JACINTHSPINDLE_FLEET_SEEDS", 2);
    milliseconds length(1000 * numberFromEnvironment("JACINTHSPINDLE_FLEET_SECONDS", 15));
    for (size_t i = 0; i < seeds; ++i) {
        options.seed = static_cast<uint32_t>(first + i);
        Fleet fleet(options);
        start(fleet);
        play(fleet, draw(options, length), length);
        check(fleet, options);
    }
}

} // namespace

// LOST in incident 2026-12-04: hosts cut streams when all processes of a machine were held up beside a new version.
TEST_CASE("no host cuts a stream when all engines are silent at once around a change of the configuration")
{
    auto options = optionsFromEnvironment();
    Fleet fleet(options);
    start(fleet);
    milliseconds silence(numberFromEnvironment("JACINTHSPINDLE_FLEET_SILENCE_MS", 1700));
    auto routes = numberFromEnvironment("JACINTHSPINDLE_FLEET_ROUTES", 100);
    constexpr milliseconds interval { 4000 };
    constexpr int changes = 3;
    std::vector<Step> steps;
    for (int i = 0; i < changes; ++i) {
        auto at = interval * i + milliseconds(500);
        steps.push_back({ at, [n = routes + static_cast<size_t>(i)](Fleet& it) { it.changeConfiguration(n); } });
        if (silence.count()) {
            steps.push_back({ at + milliseconds(100), [](Fleet& it) { it.endpoints().suspendAll(true); } });
            steps.push_back({ at + milliseconds(100) + silence, [](Fleet& it) { it.endpoints().suspendAll(false); } });
        }
    }
    play(fleet, steps, interval * changes);
    check(fleet, options);
    CHECK(fleet.cutAnswers() == 0);
}

TEST_CASE("no promise to callers is broken by faults that come in series and overlap")
{
    soak(optionsFromEnvironment(), [](const FleetOptions& options, milliseconds length) {
        return drawSteps(options.seed, options.daemons, length);
    });
}

// LOST: requests were passed on to engines that fell silent for a second and went on, and got no answer.
TEST_CASE("no promise to callers is broken while engines pause and are replaced beside planned work")
{
    auto options = optionsFromEnvironment();
    // As much as a small deployment permits, so that streams are moved often.
    options.extraRetriesPerDaemon = 33;
    options.callersPerDaemon *= 2;
    soak(options, [](const FleetOptions& it, milliseconds length) { return drawPauses(it.seed, it, length); });
}

// BUDGET: a daemon that was held up took the time for silence of engines that it had not asked meanwhile.
TEST_CASE("no promise to callers is broken while engines pause and daemons are held up beside planned work")
{
    auto options = optionsFromEnvironment();
    options.extraRetriesPerDaemon = 33;
    options.callersPerDaemon *= 2;
    soak(options, [](const FleetOptions& it, milliseconds length) {
        auto steps = drawPauses(it.seed, it, length);
        auto holdUps = drawHoldUps(it.seed, it, length);
        steps.insert(steps.end(), holdUps.begin(), holdUps.end());
        return steps;
    });
}
