// Cost of a change of the configuration, or of the list of endpoints, for one daemon, by its routes and endpoints. Run
// with --benchmark_filter=...

#include "platform/Codec.h"
#include "router/RoutingView.h"

#include <benchmark/benchmark.h>

using namespace jacinthspindle;

namespace {

constexpr int layersPerEngine = 10;
constexpr int layerCount = 80;
constexpr int tenantCount = 40;

std::string routeText(int64_t number)
{
    auto name = std::to_string(number);
    return R"({"name":"r-)" + name + R"(","host":"desk)" + name + R"(.example","prefix":"/a)" + name
        + R"(/","routeKind":"stream","timeoutMs":20000,"targetLatencyMs":600,"priority":1,"service":"assistant",)"
          R"("maxAttempts":2,"public":false,"resumable":true,"gapAimMs":300})";
}

std::string configurationText(int64_t routes)
{
    std::string text = R"({"version":7,"routes":[)";
    for (int64_t i = 0; i < routes; ++i)
        text += (i ? "," : "") + routeText(i);
    text += R"(],"services":[{"name":"assistant","engine":{"slots":192,"tokenKvBytes":426000,"models":[{"loadS":14.0}],
"loads_at_once":6,"step_ms":0.85,"per_seq_ms":0.002,"context_per_k":0.004,"read_per_s":272000.0,
"usual":{"prompt":760,"answer":172},"layers":80,"layerMb":1750.0,"kinds":[{"name":"l4","mb":21600.0,"pace":16.0,
"readX":8.2}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[)";
    for (int i = 0; i < tenantCount; ++i)
        text += (i ? R"(,{"name":"t)" : R"({"name":"t)") + std::to_string(i) + R"(","apiKeys":["key-)"
            + std::to_string(i) + R"("]})";
    return text + "]}";
}

std::vector<router::EndpointSighting> engines(int64_t count)
{
    std::vector<router::EndpointSighting> endpoints;
    for (int64_t i = 0; i < count; ++i) {
        router::EndpointSighting it;
        it.instance = "i-" + std::to_string(i);
        it.endpoint = EndpointId(it.instance + "@1796407854832");
        it.service = "assistant";
        it.dataCentre = DataCentreId("dc-" + std::to_string(i % 5));
        it.address = "10.128.0." + std::to_string(i) + ":8080";
        it.accelerator = "l4";
        it.slots = 192;
        auto first = static_cast<uint32_t>(i % (layerCount / layersPerEngine) * layersPerEngine);
        it.layers = { first, first + layersPerEngine };
        endpoints.push_back(std::move(it));
    }
    return endpoints;
}

void decodeConfiguration(benchmark::State& state)
{
    auto text = configurationText(state.range(0));
    for ([[maybe_unused]] auto it : state)
        benchmark::DoNotOptimize(platform::decodeConfiguration(text));
    state.counters["bytes"] = static_cast<double>(text.size());
}

// What the control thread does beside decoding, and what the traffic thread waits for.
void adoptTable(benchmark::State& state)
{
    auto configuration = *platform::decodeConfiguration(configurationText(state.range(0)));
    auto endpoints = engines(state.range(1));
    CoreConfig config;
    config.dataCentre = DataCentreId("dc-0");
    DecisionCore core(config);
    uint64_t revision = 0;
    Instant now {};
    for ([[maybe_unused]] auto it : state) {
        now += std::chrono::milliseconds(900);
        RouteIndex routes(configuration);
        auto table = std::make_shared<const Table>(router::buildTable(configuration, endpoints, ++revision));
        std::vector<CoreDecision> decisions;
        core.apply(now, TableAdopted { table }, decisions);
        benchmark::DoNotOptimize(routes);
    }
}

} // namespace

// Routes: those of a usual configuration, and with 1,400 more.
BENCHMARK(decodeConfiguration)->Arg(125)->Arg(1525)->Unit(benchmark::kMicrosecond);
// Endpoints: of the largest deployment, and of the days at 300 and 1,000 hosts.
BENCHMARK(adoptTable)->Args({ 125, 222 })->Args({ 1525, 222 })->Args({ 125, 3004 })->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
