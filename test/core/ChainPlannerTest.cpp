// Tests of the chain planner and its models: coverage of layers, version and adapter, cost, subsets and cached
// prefixes.

#include "support/CoreDriver.h"

#include <doctest/doctest.h>
#include <map>
#include <set>
#include <spindlecore/internal/ChainPlanner.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using internal::ChainPlanner;
using internal::EndpointIndex;
using internal::EndpointRegistry;
using internal::Pool;

namespace {

const Instant start { 1h };

// A planner with its models and the pool of the table's first route.
struct Fixture {
    explicit Fixture(const Table& source, uint32_t choices = 0)
        : table(source)
        , planner(registry, model, prefixes, choices)
    {
        registry.adopt(table);
        pool = buildPool(registry, table.routes.front(), { DataCentreId("north"), 1, 16, 4 });
    }

    internal::Plan plan(const internal::PlanRequest& request) { return planner.plan(start, pool, request, random); }
    internal::Plan plan(double promptTokens = 100, double tokens = 100)
    {
        internal::PlanRequest request;
        request.promptTokens = promptTokens;
        request.tokens = tokens;
        return plan(request);
    }

    Table table;
    EndpointRegistry registry;
    internal::ServiceModel model;
    internal::PrefixIndex prefixes;
    ChainPlanner planner;
    Pool pool;
    std::mt19937_64 random { 7 };
};

Table tableOf(const std::vector<EndpointRow>& endpoints, uint32_t layers = 12)
{
    Table table;
    RouteRow route;
    route.route = RouteId("assistant");
    route.target = "assistant-llm";
    route.version = "v1";
    route.layers = layers;
    table.routes = { route };
    table.workspaces = { { WorkspaceId("school"), 1, 0, 0, 0 } };
    table.endpoints = endpoints;
    table.normalize();
    return table;
}

bool chainUses(const Chain& chain, const std::string& endpoint)
{
    return std::any_of(
        chain.begin(), chain.end(), [&](const StageHop& hop) { return hop.endpoint == EndpointId(endpoint); });
}

} // namespace

TEST_CASE("the planner covers every layer exactly once whenever the endpoints' ranges allow it")
{
    std::mt19937_64 random(3);
    int covered = 0;
    for (int round = 0; round < 300; ++round) {
        CAPTURE(round);
        std::vector<EndpointRow> rows;
        for (uint32_t i = 0; i < 3 + random() % 8; ++i) {
            auto first = static_cast<uint32_t>(random() % 12);
            auto end = first + 1 + static_cast<uint32_t>(random() % (12 - first));
            rows.push_back(test::engineRow("e" + std::to_string(i), { first, end }));
        }
        auto table = tableOf(rows);
        // Computed layer by layer, independently of the planner.
        bool canCover = true;
        for (uint32_t layer = 0; layer < 12; ++layer) {
            canCover = canCover
                && std::any_of(rows.begin(), rows.end(), [&](const auto& row) { return row.layers.contains(layer); });
        }
        Fixture fixture(table, round % 2 ? 3 : 0);
        auto plan = fixture.plan();
        CHECK(fixture.pool.isCovered == canCover);
        CHECK(plan.chain.empty() == !canCover);
        if (canCover)
            CHECK(test::coversOnce(plan.chain, 12, table));
        covered += canCover;
    }
    CHECK(covered > 50);
}

// Engines refuse a chain of more than 32 stages as malformed. If the planner chose such a chain, no request would be
// served.
TEST_CASE("a chain has no more stages than engines accept, even if each fast engine holds a single layer")
{
    std::vector<EndpointRow> endpoints;
    for (uint32_t layer = 0; layer < 80; ++layer) {
        auto name = "small-" + std::to_string(layer);
        endpoints.push_back(test::engineRow(name, { layer, layer + 1 }));
    }
    SUBCASE("a slower engine holds enough layers")
    {
        endpoints.push_back(test::engineRow("large", { 0, 60 }));
        Fixture fixture(tableOf(endpoints, 80));
        auto plan = fixture.plan();
        CHECK(plan.chain.size() <= maxChainStages);
        REQUIRE(!plan.chain.empty());
        CHECK(plan.chain.back().layers.end == 80);
    }
    SUBCASE("every chain that covers all layers is too long")
    {
        Fixture fixture(tableOf(endpoints, 80));
        CHECK(fixture.plan().chain.empty());
    }
}

TEST_CASE("a chain has only endpoints of the route's version that have its adapter")
{
    auto other = test::engineRow("other-version", { 0, 6 });
    other.version = "v2";
    auto plain = test::engineRow("no-adapter", { 6, 12 });
    auto front = test::engineRow("front", { 0, 6 });
    auto back = test::engineRow("back", { 6, 12 });
    front.adapters = back.adapters = { "urdu" };
    auto table = tableOf({ other, plain, front, back });
    table.routes.front().adapter = "urdu";
    Fixture fixture(table);
    for (int i = 0; i < 50; ++i) {
        auto plan = fixture.plan();
        REQUIRE(plan.chain.size() == 2);
        CHECK(chainUses(plan.chain, "front"));
        CHECK(chainUses(plan.chain, "back"));
    }
}

TEST_CASE("an endpoint whose link is a hundred times slower is avoided")
{
    auto slow = test::engineRow("slow-link", { 4, 8 });
    slow.linkMbps = 10;
    Fixture fixture(tableOf({ test::engineRow("front", { 0, 4 }), slow, test::engineRow("middle", { 4, 8 }),
        test::engineRow("back", { 8, 12 }) }));
    for (int i = 0; i < 50; ++i)
        CHECK_FALSE(chainUses(fixture.plan().chain, "slow-link"));
}

TEST_CASE("a chain inside one data centre is preferred to a chain across data centres")
{
    Fixture fixture(tableOf({ test::engineRow("front-n", { 0, 6 }), test::engineRow("front-s", { 0, 6 }, "south"),
        test::engineRow("back-n", { 6, 12 }), test::engineRow("back-s", { 6, 12 }, "south") }));
    for (int i = 0; i < 50; ++i) {
        auto chain = fixture.plan().chain;
        CHECK(chainUses(chain, "front-n") == chainUses(chain, "back-n"));
    }
}

// Guards against chains that cross data centres without need: 34 GB of activations crossed on a day of low load while
// all data centres shared one group per layer range and the planner considered one member of it.
TEST_CASE("a chain stays in the daemon's data centre if possible, and otherwise in a single other one")
{
    std::vector<EndpointRow> rows;
    constexpr uint32_t stages = 20;
    for (uint32_t i = 0; i < stages; ++i) {
        for (const char* dataCentre : { "north", "south", "west" })
            rows.push_back(test::engineRow(dataCentre + std::to_string(i), { i * 2, i * 2 + 2 }, dataCentre));
    }
    auto dataCentresOf = [](const Table& table, const Chain& chain) {
        std::set<DataCentreId> used;
        for (const auto& hop : chain)
            used.insert(table.findEndpoint(hop.endpoint)->dataCentre);
        return used;
    };
    SUBCASE("the daemon's data centre holds all layers")
    {
        Fixture fixture(tableOf(rows, stages * 2), 3);
        for (int i = 0; i < 50; ++i)
            CHECK(dataCentresOf(fixture.table, fixture.plan().chain) == std::set { DataCentreId("north") });
    }
    SUBCASE("the daemon's data centre lacks a stage")
    {
        std::erase_if(rows, [](const auto& row) { return row.endpoint == EndpointId("north7"); });
        Fixture fixture(tableOf(rows, stages * 2), 3);
        std::set<DataCentreId> used;
        for (int i = 0; i < 50; ++i) {
            auto chain = fixture.plan().chain;
            auto once = dataCentresOf(fixture.table, chain);
            CHECK(once.size() == 1);
            used.merge(once);
        }
        CHECK(used == std::set { DataCentreId("south"), DataCentreId("west") });
    }
    SUBCASE("no data centre holds all layers")
    {
        for (const char* lost : { "north7", "south3", "west5" })
            std::erase_if(rows, [&](const auto& row) { return row.endpoint == EndpointId(lost); });
        Fixture fixture(tableOf(rows, stages * 2), 3);
        CHECK(test::coversOnce(fixture.plan().chain, stages * 2, fixture.table));
    }
    SUBCASE("an engine of the daemon's data centre is full")
    {
        Fixture fixture(tableOf(rows, stages * 2), 3);
        fixture.registry.applyLoadReport(start, LoadReported { EndpointId("north0"), 4, 0, 0ms });
        CHECK(dataCentresOf(fixture.table, fixture.plan().chain).size() == 1);
        CHECK_FALSE(chainUses(fixture.plan().chain, "north0"));
    }
}

TEST_CASE("a slow endpoint is identified from measurements of whole chains and avoided")
{
    Fixture fixture(tableOf({ test::engineRow("front-a", { 0, 6 }), test::engineRow("front-b", { 0, 6 }),
        test::engineRow("back-a", { 6, 12 }), test::engineRow("back-b", { 6, 12 }) }));
    for (int i = 0; i < 400; ++i) {
        Chain chain { { EndpointId(i % 2 ? "front-a" : "front-b"), { 0, 6 } },
            { EndpointId(i / 2 % 2 ? "back-a" : "back-b"), { 6, 12 } } };
        std::vector<EndpointIndex> hops { *fixture.registry.find(chain[0].endpoint),
            *fixture.registry.find(chain[1].endpoint) };
        fixture.model.learnDecode(fixture.registry, hops, chain, chainUses(chain, "back-b") ? 0.050 : 0.020);
    }
    for (int i = 0; i < 50; ++i)
        CHECK(chainUses(fixture.plan().chain, "back-a"));
}

// Guards against choosing an engine that reports a slow pace. An engine that had restarted twelve times slower than its
// kind shared a layer range with a normal one; every chain through it waited for it, and callers cancelled four of five
// requests of the data centre.
TEST_CASE("an engine that reports a slow pace is avoided if another engine holds its layers")
{
    Fixture fixture(tableOf({ test::engineRow("front", { 0, 6 }), test::engineRow("back-a", { 6, 12 }),
        test::engineRow("back-b", { 6, 12 }) }));
    fixture.registry.setPace(EndpointId("back-b"), 12);
    for (int i = 0; i < 50; ++i)
        CHECK(chainUses(fixture.plan().chain, "back-a"));
    // The latest reported pace replaces the earlier one at once.
    fixture.registry.setPace(EndpointId("back-b"), 1);
    int used = 0;
    for (int i = 0; i < 50; ++i)
        used += chainUses(fixture.plan().chain, "back-b");
    CHECK(used > 0);
}

TEST_CASE("a chain moves to another data centre with free slots while an engine of its own is slow")
{
    std::vector<EndpointRow> rows;
    for (const char* dataCentre : { "north", "south" }) {
        rows.push_back(test::engineRow(std::string("front-") + dataCentre, { 0, 6 }, dataCentre));
        rows.push_back(test::engineRow(std::string("back-") + dataCentre, { 6, 12 }, dataCentre));
    }
    Fixture fixture(tableOf(rows));
    CHECK(chainUses(fixture.plan().chain, "front-north"));
    fixture.registry.setPace(EndpointId("back-north"), 12);
    CHECK(chainUses(fixture.plan().chain, "front-south"));
    CHECK(chainUses(fixture.plan().chain, "back-south"));
    SUBCASE("the other data centre is full")
    {
        fixture.registry.applyLoadReport(start, LoadReported { EndpointId("front-south"), 4, 0, 0ms });
        CHECK(chainUses(fixture.plan().chain, "back-north"));
    }
    SUBCASE("the other data centre is slower")
    {
        fixture.registry.setPace(EndpointId("front-south"), 40);
        CHECK(chainUses(fixture.plan().chain, "back-north"));
    }
}

TEST_CASE("an endpoint without a free slot is excluded unless the attempt may wait there")
{
    Fixture fixture(tableOf({ test::engineRow("front", { 0, 6 }), test::engineRow("back", { 6, 12 }) }));
    fixture.registry.applyLoadReport(start, LoadReported { EndpointId("back"), 4, 3, 0ms });
    CHECK(fixture.plan().chain.empty());
    internal::PlanRequest replacement;
    replacement.needsFreeSlot = false;
    CHECK(fixture.plan(replacement).chain.size() == 2);
}

TEST_CASE("a load report older than maxReportAge is ignored")
{
    Fixture fixture(tableOf({ test::engineRow("front", { 0, 6 }), test::engineRow("back", { 6, 12 }) }));
    fixture.registry.applyLoadReport(
        start, LoadReported { EndpointId("back"), 4, 3, EndpointRegistry::maxReportAge + 1ms });
    CHECK(fixture.plan().chain.size() == 2);
}

TEST_CASE("outstanding() adds the daemon's attempts that started after the load report was measured")
{
    Fixture fixture(tableOf({ test::engineRow("front", { 0, 6 }), test::engineRow("back", { 6, 12 }) }));
    auto back = *fixture.registry.find(EndpointId("back"));
    fixture.registry.adjustOwnAttempts(start, back, 1);
    fixture.registry.adjustOwnAttempts(start, back, 1);
    fixture.registry.applyLoadReport(start + 100ms, LoadReported { EndpointId("back"), 1, 0, 200ms });
    CHECK(fixture.registry.outstanding(start + 100ms, fixture.registry[back]) == doctest::Approx(3));
    fixture.registry.applyLoadReport(start + 500ms, LoadReported { EndpointId("back"), 3, 0, 200ms });
    CHECK(fixture.registry.outstanding(start + 500ms, fixture.registry[back]) == doctest::Approx(3));
}

TEST_CASE("an endpoint with a cached prefix is preferred unless it has no free slot")
{
    std::vector<EndpointRow> rows;
    for (const char* name : { "a", "b", "c", "d" }) {
        rows.push_back(test::engineRow(std::string("front-") + name, { 0, 6 }));
        rows.push_back(test::engineRow(std::string("back-") + name, { 6, 12 }));
    }
    Fixture fixture(tableOf(rows), 1);
    std::vector<uint64_t> digests { 11, 12, 13 };
    for (const char* name : { "front-c", "back-c" })
        fixture.prefixes.apply(*fixture.registry.find(EndpointId(name)), 1, digests, {});
    internal::PlanRequest request;
    request.promptTokens = 4000;
    request.tokens = 20;
    request.prefixDigests = &digests;
    int hits = 0;
    for (int i = 0; i < 20; ++i)
        hits += chainUses(fixture.plan(request).chain, "front-c");
    CHECK(hits == 20);
    fixture.registry.applyLoadReport(start, LoadReported { EndpointId("front-c"), 4, 0, 0ms });
    for (int i = 0; i < 20; ++i)
        CHECK_FALSE(chainUses(fixture.plan(request).chain, "front-c"));
}

TEST_CASE("gaps in cache events and cache misses lower the expected share of a prefix")
{
    internal::PrefixIndex index;
    std::vector<uint64_t> digests { 1, 2 };
    index.apply(0, 1, digests, {});
    CHECK(index.expectedShare(0, digests) == doctest::Approx(1));
    CHECK(index.expectedShare(0, { 1, 9 }) == doctest::Approx(0.5));
    index.apply(0, 5, {}, {});
    CHECK(index.expectedShare(0, digests) == doctest::Approx(0.5));
    for (int i = 0; i < 20; ++i)
        index.learn(0, false);
    CHECK(index.expectedShare(0, digests) < 0.1);
    index.apply(0, 6, {}, { 1, 2 });
    CHECK(index.expectedShare(0, digests) == 0);
    CHECK(index.holders(digests).empty());
}

TEST_CASE("subsets are bounded and balanced, cover every stage, and lose at most the endpoint that is removed")
{
    std::vector<EndpointRow> rows;
    for (uint32_t i = 0; i < 180; ++i) {
        auto stage = i % 3 * 4;
        rows.push_back(test::engineRow("e" + std::to_string(i), { stage, stage + 4 }, i % 2 ? "north" : "south"));
    }
    auto table = tableOf(rows);
    auto fewer = table;
    std::erase_if(fewer.endpoints, [](const auto& row) { return row.endpoint == EndpointId("e7"); });
    EndpointRegistry registry;
    registry.adopt(table);
    EndpointRegistry registryWithoutE7;
    registryWithoutE7.adopt(fewer);
    constexpr uint32_t daemons = 80;
    std::map<EndpointId, int> subsetsWith;
    size_t replaced = 0;
    for (uint64_t daemon = 0; daemon < daemons; ++daemon) {
        auto members = [&](const EndpointRegistry& from) {
            std::set<EndpointId> ids;
            auto pool = buildPool(from, table.routes.front(), { DataCentreId("north"), daemon * 7919 + 1, 8, 2 });
            CHECK(pool.isCovered);
            for (const auto& group : pool.groups) {
                CHECK(group.members.size() == 10);
                for (auto index : group.members)
                    ids.insert(from[index].row.endpoint);
            }
            return ids;
        };
        auto before = members(registry);
        auto after = members(registryWithoutE7);
        for (const auto& it : before) {
            ++subsetsWith[it];
            replaced += !after.contains(it);
        }
        // Only the removed endpoint is replaced by another one.
        CHECK(replaced <= subsetsWith[EndpointId("e7")]);
    }
    // Each of 80 daemons selects 8 of the 30 local endpoints per stage, so an endpoint is in 21 subsets on average.
    int least = daemons;
    int most = 0;
    for (uint32_t i = 1; i < 180; i += 2) {
        auto n = subsetsWith[EndpointId("e" + std::to_string(i))];
        least = std::min(least, n);
        most = std::max(most, n);
    }
    CHECK(least >= 8);
    CHECK(most <= 40);
}

TEST_CASE("twenty daemons with the same outdated load reports do not all choose the same endpoint")
{
    std::vector<EndpointRow> rows;
    for (uint32_t i = 0; i < 20; ++i)
        rows.push_back(test::engineRow("e" + std::to_string(i), { 0, 12 }));
    auto table = tableOf(rows);
    auto mostChoicesOfOneEndpoint = [&](uint32_t choices) {
        std::map<EndpointId, int> chosen;
        for (uint64_t daemon = 0; daemon < 20; ++daemon) {
            auto config = test::coreConfig(daemon + 1);
            config.choices = choices;
            test::CoreDriver driver(config);
            driver.adopt(table);
            // All daemons receive reports of one idle endpoint; each of the others runs two requests.
            for (const auto& row : table.endpoints) {
                uint32_t running = row.endpoint == EndpointId("e5") ? 0 : 2;
                driver.send(LoadReported { row.endpoint, running, 0, 300ms });
            }
            auto decisions = driver.arrive("r");
            if (const auto* dispatch = test::firstOf<Dispatch>(decisions))
                ++chosen[dispatch->chain.front().endpoint];
        }
        int most = 0;
        for (const auto& it : chosen)
            most = std::max(most, it.second);
        return most;
    };
    // With all endpoints as candidates, nearly all daemons choose the idle one; three candidates per daemon spread
    // them.
    CHECK(mostChoicesOfOneEndpoint(0) >= 15);
    CHECK(mostChoicesOfOneEndpoint(3) <= 8);
}
