// Cost of decisions by number of endpoints and of workspaces' requests in progress. Run with --benchmark_filter=...

#include <benchmark/benchmark.h>
#include <spindlecore/spindlecore.h>

using namespace jacinthspindle;

namespace {

constexpr uint32_t layerCount = 32;
constexpr uint32_t stageCount = 4;
constexpr uint32_t dataCentreCount = 4;
constexpr Duration step = std::chrono::milliseconds(5); // Between two inputs.
constexpr uint32_t inProgress = 550; // Streams of one daemon at the target size.

std::shared_ptr<const Table> makeTable(uint32_t endpoints)
{
    auto table = std::make_shared<Table>();
    table->revision = 1;
    for (int i = 0; i < 16; ++i)
        table->workspaces.push_back({ WorkspaceId("workspace-" + std::to_string(i)), 1, 0, 0, 0 });
    RouteRow route;
    route.route = RouteId("chat");
    route.target = "model";
    route.version = "v1";
    route.layers = layerCount;
    table->routes.push_back(route);
    for (uint32_t i = 0; i < endpoints; ++i) {
        EndpointRow row;
        row.endpoint = EndpointId("worker-" + std::to_string(i));
        row.dataCentre = DataCentreId("dc-" + std::to_string(i / stageCount % dataCentreCount));
        row.target = route.target;
        row.version = route.version;
        uint32_t width = layerCount / stageCount;
        row.layers = { i % stageCount * width, (i % stageCount + 1) * width };
        // One endpoint in eight overlaps with the next stage.
        if (i % 8 == 0)
            row.layers.end += width;
        row.address = "127.0.0.1:1";
        row.accelerator = "kind-" + std::to_string(i % 5);
        row.slots = 64;
        row.linkMbps = i % 16 ? 10000 : 100;
        table->endpoints.push_back(row);
    }
    table->normalize();
    return table;
}

// A core with requests in progress and a load report of each endpoint.
class Loaded {
public:
    explicit Loaded(uint32_t endpoints)
        : m_table(makeTable(endpoints))
        , m_core(config())
    {
        apply(TableAdopted { m_table });
        for (uint32_t i = 0; i < inProgress; ++i) {
            if (i % 25 == 0)
                report();
            arrive();
        }
        report();
    }

    void apply(const CoreInput& input, Duration elapsed = step)
    {
        m_decisions.clear();
        m_core.apply(m_now += elapsed, input, m_decisions);
        for (const auto& it : m_decisions) {
            if (const auto* dispatch = std::get_if<Dispatch>(&it))
                m_running.push_back(dispatch->request);
        }
    }

    void arrive()
    {
        RequestId id("request-" + std::to_string(m_next++));
        apply(RequestArrived { id, WorkspaceId("workspace-" + std::to_string(m_next % 16)), RouteId("chat"), 300, 400,
            0, { m_next % 64, m_next % 64 + 100, m_next }, std::chrono::seconds(60) });
    }

    void finish()
    {
        if (m_running.empty())
            return;
        auto& chosen = m_running[m_next % m_running.size()];
        auto id = chosen;
        chosen = m_running.back();
        m_running.pop_back();
        apply(RequestFinished { id, 1, 200 });
    }

    void report()
    {
        for (const auto& it : m_table->endpoints)
            apply(LoadReported { it.endpoint, 40, 0, std::chrono::milliseconds(300) }, Duration::zero());
    }

    const EndpointRow& endpoint(uint64_t i) const { return m_table->endpoints[i % m_table->endpoints.size()]; }
    size_t running() const { return m_running.size(); }
    RequestId someRequest(uint64_t i) const { return m_running[i % m_running.size()]; }

private:
    static CoreConfig config()
    {
        CoreConfig config;
        config.dataCentre = DataCentreId("dc-0");
        config.seed = 1;
        return config;
    }

    std::shared_ptr<const Table> m_table;
    DecisionCore m_core;
    Instant m_now {};
    std::vector<CoreDecision> m_decisions;
    std::vector<RequestId> m_running;
    uint64_t m_next = 0;
};

// One request: arrival with its dispatch, and the end of another one.
void arrivalAndEnd(benchmark::State& state)
{
    Loaded loaded(static_cast<uint32_t>(state.range(0)));
    int64_t n = 0;
    for (auto _ : state) {
        loaded.arrive();
        loaded.finish();
        if (++n % 25 == 0) {
            state.PauseTiming();
            loaded.report();
            state.ResumeTiming();
        }
    }
    state.counters["running"] = static_cast<double>(loaded.running());
}

void progress(benchmark::State& state)
{
    Loaded loaded(static_cast<uint32_t>(state.range(0)));
    uint32_t position = 16;
    uint64_t i = 0;
    for (auto _ : state) {
        loaded.apply(TokensProgressed { loaded.someRequest(i), 1, position });
        if (++i % loaded.running() == 0)
            position += 16;
    }
}

void loadReport(benchmark::State& state)
{
    Loaded loaded(static_cast<uint32_t>(state.range(0)));
    uint64_t i = 0;
    for (auto _ : state)
        loaded.apply(LoadReported { loaded.endpoint(i++).endpoint, 10, 0, std::chrono::milliseconds(300) });
}

void tick(benchmark::State& state)
{
    Loaded loaded(static_cast<uint32_t>(state.range(0)));
    uint32_t n = 0;
    for (auto _ : state)
        loaded.apply(Tick { ++n });
}

// Cost of a table with a new revision, on which all subsets are built again.
void adoptTable(benchmark::State& state)
{
    Loaded loaded(static_cast<uint32_t>(state.range(0)));
    auto table = makeTable(static_cast<uint32_t>(state.range(0)));
    for (auto _ : state) {
        loaded.apply(TableAdopted { table });
        loaded.apply(Tick { 1 });
    }
}

} // namespace

BENCHMARK(arrivalAndEnd)->Arg(64)->Arg(536)->Arg(5900);
BENCHMARK(progress)->Arg(536)->Arg(5900);
BENCHMARK(loadReport)->Arg(536)->Arg(5900);
BENCHMARK(tick)->Arg(64)->Arg(536)->Arg(5900);
BENCHMARK(adoptTable)->Arg(536)->Arg(5900);

BENCHMARK_MAIN();
