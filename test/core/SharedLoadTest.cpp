// Simulations of many daemons that send load to the same engines, with and without load sharing: a steady load that
// would fill the first engine of one chain (its head), and a surge to three times this load.

#include "support/CoreDriver.h"

#include <doctest/doctest.h>
#include <map>
#include <queue>
#include <random>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

constexpr int daemons = 20;
constexpr uint32_t headSlots = 192;
constexpr Duration requestTime = 3s; // From dispatch to the end of a request.
// Attempts above which an engine is likely to preempt requests soon: 70 % of its slots.
constexpr int preemptionThreshold = headSlots * 7 / 10;
// Requests queued at a head engine that get a slot within 250 ms, half of the latency objective for the first token.
constexpr int maxQueuedRequests = static_cast<int>(headSlots * 250ms / requestTime);

// Returns a table with three copies of a model in one data centre. The first copy is faster than the others.
Table tableWithThreeCopies()
{
    Table table;
    RouteRow route;
    route.route = RouteId("assistant");
    route.target = "assistant-llm";
    route.version = "v1";
    route.layers = 12;
    table.routes = { route };
    table.workspaces = { { WorkspaceId("school"), 1, 0, 0, 0 } };
    for (const char* copy : { "a", "b", "c" }) {
        for (auto layers : { LayerRange { 0, 6 }, LayerRange { 6, 12 } }) {
            auto row = test::engineRow((layers.first ? "tail-" : "head-") + std::string(copy), layers);
            row.accelerator = *copy == 'a' ? "large" : "small";
            row.slots = headSlots;
            table.endpoints.push_back(row);
        }
    }
    table.normalize();
    return table;
}

enum class LoadSharing : uint8_t { Enabled, Disabled };

// Results of a simulation.
struct Observations {
    std::map<EndpointId, int> peakAttempts; // Maximum of concurrent attempts, by head engine.
    int refused = 0;
    int arrived = 0;
};

// Sends requests of equal duration to randomly chosen daemons. Each call of run() has its own request rate.
class LoadSimulation {
public:
    explicit LoadSimulation(LoadSharing sharing)
        : m_sharing(sharing)
    {
        for (int i = 0; i < daemons; ++i) {
            m_drivers.push_back(std::make_unique<test::CoreDriver>(test::coreConfig(static_cast<uint64_t>(i) + 1)));
            auto& driver = *m_drivers.back();
            driver.adopt(tableWithThreeCopies());
            driver.send(AcceleratorsDeclared {
                { { "large", 0.0000003, 0.00013, 0.0000004 }, { "small", 0.0000004, 0.00017, 0.0000005 } } });
            driver.send(PeersCounted { daemons });
        }
    }

    void run(double requestsPerSecond, Duration time)
    {
        auto end = m_now + time;
        Duration interval(static_cast<int64_t>(1e9 / requestsPerSecond));
        auto arrivesAt = m_now + interval;
        while (m_now < end) {
            step(10ms);
            for (; arrivesAt <= m_now; arrivesAt += interval)
                arrive();
        }
    }

    const Observations& observations() const { return m_observations; }

private:
    struct RunningRequest {
        Instant endsAt {};
        int daemon = 0;
        std::string id;
        uint32_t attempt = 0;
        EndpointId head;
        bool operator>(const RunningRequest& other) const { return endsAt > other.endsAt; }
    };

    void step(Duration time)
    {
        m_now += time;
        for (auto& it : m_drivers)
            it->advance(time);
        while (!m_runningRequests.empty() && m_runningRequests.top().endsAt <= m_now) {
            auto ended = m_runningRequests.top();
            m_runningRequests.pop();
            --m_attemptsByHead[ended.head];
            auto& driver = *m_drivers[static_cast<size_t>(ended.daemon)];
            handleDecisions(ended.daemon, driver.finish(ended.id, ended.attempt, 100));
        }
        ++m_steps;
        // The daemons exchange their loads in turn, so that what each receives is up to half a second old.
        for (int i = 0; i < daemons; ++i) {
            auto& driver = *m_drivers[static_cast<size_t>(i)];
            if ((m_steps + i) % 10 == 0)
                handleDecisions(i, driver.tick(0ms));
            if (m_sharing == LoadSharing::Enabled && (m_steps + i * 7) % 50 == 0)
                shareLoad(i, driver);
        }
    }

    void shareLoad(int daemon, test::CoreDriver& driver)
    {
        m_loads.updateReport(m_now, std::to_string(daemon), driver.ownLoad());
        std::map<EndpointId, uint32_t> all;
        for (const auto& it : tableWithThreeCopies().endpoints)
            all[it.endpoint] = 0;
        for (const auto& it : m_loads.sum(m_now))
            all[it.endpoint] = it.running;
        for (const auto& [endpoint, running] : all)
            handleDecisions(daemon, driver.send(LoadReported { endpoint, running, 0, 0ms }));
    }

    void arrive()
    {
        auto daemon = static_cast<int>(m_random() % daemons);
        auto id = "r" + std::to_string(++m_observations.arrived);
        handleDecisions(daemon, m_drivers[static_cast<size_t>(daemon)]->arrive(id));
    }

    void handleDecisions(int daemon, const std::vector<CoreDecision>& decisions)
    {
        for (const auto& decision : decisions) {
            m_observations.refused += std::holds_alternative<Refuse>(decision);
            const auto* dispatch = std::get_if<Dispatch>(&decision);
            if (!dispatch)
                continue;
            const auto& head = dispatch->chain.front().endpoint;
            m_runningRequests.push({ m_now + requestTime, daemon, dispatch->request.value(), dispatch->attempt, head });
            auto& peakAttempts = m_observations.peakAttempts[head];
            peakAttempts = std::max(peakAttempts, ++m_attemptsByHead[head]);
        }
    }

    LoadSharing m_sharing;
    std::vector<std::unique_ptr<test::CoreDriver>> m_drivers;
    LoadAggregator m_loads;
    std::priority_queue<RunningRequest, std::vector<RunningRequest>, std::greater<>> m_runningRequests;
    std::map<EndpointId, int> m_attemptsByHead; // Attempts in flight.
    Instant m_now { 1h };
    int m_steps = 0;
    std::mt19937_64 m_random { 5 };
    Observations m_observations;
};

} // namespace

// Guards against overload of one head engine at low load: all daemons chose the same one, since each counted only its
// own attempts. Its slots were full after 12 s, and requests waited in its queue until their callers disconnected.
TEST_CASE("a load that would fill one head engine is spread over all copies of the model")
{
    for (auto sharing : { LoadSharing::Enabled, LoadSharing::Disabled }) {
        CAPTURE(static_cast<int>(sharing));
        LoadSimulation simulation(sharing);
        simulation.run(62, 20s);
        CHECK(simulation.observations().refused == 0);
        for (const auto& it : simulation.observations().peakAttempts) {
            CAPTURE(it.first.value());
            CHECK(it.second <= preemptionThreshold);
        }
    }
}

TEST_CASE("a surge to three times the load queues few requests, and refusals end soon after it")
{
    LoadSimulation simulation(LoadSharing::Enabled);
    simulation.run(62, 8s);
    simulation.run(186, 8s);
    const auto surge = simulation.observations();
    for (const auto& it : surge.peakAttempts) {
        CAPTURE(it.first.value());
        CHECK(it.second <= static_cast<int>(headSlots) + maxQueuedRequests);
    }
    CHECK(surge.refused < surge.arrived / 20);
    simulation.run(62, 3s);
    auto refusedBefore = simulation.observations().refused;
    simulation.run(62, 5s);
    CHECK(simulation.observations().refused == refusedBefore);
}

TEST_CASE("the load that a daemon reports consists of its own attempts")
{
    test::CoreDriver driver;
    driver.adopt(tableWithThreeCopies());
    CHECK(driver.ownLoad().empty());
    auto decisions = driver.arrive("r1");
    const auto* dispatch = test::firstOf<Dispatch>(decisions);
    REQUIRE(dispatch);
    auto load = driver.ownLoad();
    REQUIRE(load.size() == dispatch->chain.size());
    for (const auto& it : load)
        CHECK(it.running == 1);
    driver.finish("r1");
    CHECK(driver.ownLoad().empty());
}

TEST_CASE("a load report replaces the previous one of its daemon and expires")
{
    LoadAggregator aggregator;
    Instant now { 1h };
    EndpointId head("head");
    aggregator.updateReport(now, "daemon-1", { { head, 3 }, { EndpointId("tail"), 2 } });
    aggregator.updateReport(now, "daemon-2", { { head, 4 } });
    CHECK(aggregator.sum(now) == std::vector<EndpointLoad> { { head, 7 }, { EndpointId("tail"), 2 } });
    aggregator.updateReport(now + 1500ms, "daemon-1", { { head, 1 } });
    CHECK(aggregator.sum(now + 1500ms) == std::vector<EndpointLoad> { { head, 5 } });
    CHECK(aggregator.reportingDaemons(now + 1500ms) == 2);
    auto later = now + LoadAggregator::validity + 1s;
    CHECK(aggregator.sum(later) == std::vector<EndpointLoad> { { head, 1 } });
    CHECK(aggregator.reportingDaemons(later) == 1);
    aggregator.updateReport(later, "daemon-1", {});
    CHECK(aggregator.sum(later).empty());
}
