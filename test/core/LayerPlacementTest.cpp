// Tests of layer placement: complete copies, memory limits, gaps after losses, and new engines.

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <spindlecore/LayerPlacement.h>

using namespace jacinthspindle;

namespace {

// A model of 80 layers of 1,750 MB each, on four kinds of accelerators.
ModelLayout exampleModel()
{
    ModelLayout model;
    model.layers = 80;
    model.layerMb = 1750;
    model.tokenKvBytes = 590000;
    model.loadTime = std::chrono::seconds(14);
    model.concurrentLoads = 6;
    model.kinds = { { "h100", { 72000, 1.4, 1 } }, { "a100s", { 36000, 3.1, 3.2 } }, { "l4", { 21600, 16, 8.2 } },
        { "t4", { 14400, 15, 15 } } };
    return model;
}

PlacementConstraints allSettled()
{
    PlacementConstraints constraints;
    for (const auto* it : { "gulberg", "mall", "johar", "north" })
        constraints.settled.insert(DataCentreId(it));
    return constraints;
}

void add(std::vector<PlacedEngine>& engines, const std::string& dataCentre, const std::string& kind, int n)
{
    const auto prefix = dataCentre + '-' + kind + '-';
    for (int i = 0; i < n; ++i) {
        engines.push_back({ EndpointId(prefix + std::to_string(i)), DataCentreId(dataCentre), kind, {}, false, false });
    }
}

std::vector<PlacedEngine> deployment()
{
    std::vector<PlacedEngine> engines;
    add(engines, "gulberg", "a100s", 1);
    add(engines, "gulberg", "l4", 8);
    add(engines, "gulberg", "t4", 3);
    add(engines, "mall", "a100s", 2);
    add(engines, "mall", "l4", 4);
    add(engines, "mall", "t4", 7);
    add(engines, "johar", "h100", 1);
    add(engines, "johar", "a100s", 1);
    add(engines, "johar", "l4", 5);
    add(engines, "johar", "t4", 7);
    return engines;
}

void applyOrders(std::vector<PlacedEngine>& engines, const std::vector<PlacementOrder>& orders)
{
    for (const auto& order : orders) {
        auto it = std::find_if(
            engines.begin(), engines.end(), [&](const auto& engine) { return engine.endpoint == order.endpoint; });
        REQUIRE(it != engines.end());
        it->layers = order.layers;
    }
}

std::vector<PlacedEngine> placedDeployment()
{
    auto engines = deployment();
    applyOrders(engines, planPlacement(exampleModel(), engines, allSettled()));
    return engines;
}

// Number of layers that no engine of the data centre holds.
uint32_t missingLayers(const std::vector<PlacedEngine>& engines, const std::string& dataCentre, uint32_t layers = 80)
{
    uint32_t missing = 0;
    for (uint32_t layer = 0; layer < layers; ++layer) {
        missing += std::none_of(engines.begin(), engines.end(), [&](const auto& it) {
            return it.dataCentre == DataCentreId(dataCentre) && it.layers.contains(layer) && !it.isLeaving;
        });
    }
    return missing;
}

void checkMemory(const std::vector<PlacedEngine>& engines, const ModelLayout& model = exampleModel())
{
    for (const auto& it : engines) {
        CAPTURE(it.endpoint.value());
        CHECK(it.layers.count() <= layerCapacity(model, it.accelerator));
    }
}

void remove(std::vector<PlacedEngine>& engines, const std::string& id)
{
    auto n = engines.size();
    std::erase_if(engines, [&](const auto& it) { return it.endpoint == EndpointId(id); });
    REQUIRE(engines.size() == n - 1);
}

// Three engines for a model of 20 layers. The first is short of KV memory, and the last holds a second copy of layers
// that the first could unload.
std::vector<PlacedEngine> crowdedEngineWithSpareCopy()
{
    std::vector<PlacedEngine> engines;
    add(engines, "mall", "a100s", 2);
    add(engines, "mall", "t4", 1);
    engines[0].layers = { 0, 14 };
    engines[1].layers = { 14, 20 };
    engines[2].layers = { 10, 14 };
    return engines;
}

std::vector<PlacedEngine> inDataCentre(std::vector<PlacedEngine> engines, const DataCentreId& dataCentre)
{
    std::erase_if(engines, [&](const auto& it) { return it.dataCentre != dataCentre; });
    return engines;
}

} // namespace

TEST_CASE("each data centre receives a complete copy of the model within the memory of its engines")
{
    auto engines = placedDeployment();
    for (const auto* dataCentre : { "gulberg", "mall", "johar" }) {
        CAPTURE(dataCentre);
        CHECK(missingLayers(engines, dataCentre) == 0);
    }
    checkMemory(engines);
    CHECK(planPlacement(exampleModel(), engines, allSettled()).empty());
}

// Guards against chains that are too long: a single copy over the 33 engines of this data centre has 33 stages, more
// than engines accept. For scale, 54 streams per second of about 3 s with 930 tokens each are 150,000 tokens in flight.
TEST_CASE("a data centre with memory for several copies holds them on disjoint engines")
{
    std::vector<PlacedEngine> engines;
    add(engines, "mall", "a100s", 4);
    add(engines, "mall", "l4", 11);
    add(engines, "mall", "t4", 18);
    auto model = exampleModel();
    applyOrders(engines, planPlacement(model, engines, allSettled()));
    checkMemory(engines);
    std::vector<size_t> copies(model.layers);
    for (const auto& it : engines) {
        for (auto layer = it.layers.first; layer < it.layers.end; ++layer)
            ++copies[layer];
    }
    // Two copies of 140 GB fit into 60 % of 641 GB.
    CHECK(*std::min_element(copies.begin(), copies.end()) == 2);
    CHECK(*std::max_element(copies.begin(), copies.end()) == 2);
    CHECK(placementTokenCapacity(model, engines) > 415.0 / 3 * 930);

    SUBCASE("the loss of one engine leaves no gap")
    {
        engines.erase(engines.begin());
        CHECK(missingLayers(engines, "mall") == 0);
        CHECK(!hasGap(model, engines));
    }
}

// Guards against too few copies: with two copies of 21 stages, 400 requests competed for the 384 slots of the two head
// engines while half of the KV memory was free.
TEST_CASE("the number of copies maximises the throughput for requests of the configured size")
{
    auto model = exampleModel();
    model.typicalTokens = 900;
    model.headSlots = 192;
    auto countHeads = [&](std::vector<PlacedEngine> engines) {
        applyOrders(engines, planPlacement(model, engines, allSettled()));
        checkMemory(engines, model);
        CHECK(missingLayers(engines, "north") == 0);
        return std::count_if(engines.begin(), engines.end(),
            [](const PlacedEngine& it) { return it.layers.count() && !it.layers.first; });
    };
    std::vector<PlacedEngine> engines;
    add(engines, "north", "a100s", 2);
    add(engines, "north", "l4", 13);
    add(engines, "north", "t4", 22);
    // 670 GB: memory for 734 requests with two copies, which have only 384 slots; for 470 with three, 207 with four.
    CHECK(countHeads(engines) == 3);
    // 526 GB: two copies leave memory for 462 requests, three for 199.
    std::vector<PlacedEngine> fewer;
    add(fewer, "north", "a100s", 2);
    add(fewer, "north", "l4", 13);
    add(fewer, "north", "t4", 12);
    CHECK(countHeads(fewer) == 2);
    // 252 GB: one copy fits.
    std::vector<PlacedEngine> small;
    add(small, "north", "a100s", 1);
    add(small, "north", "l4", 8);
    add(small, "north", "t4", 3);
    CHECK(countHeads(small) == 1);
}

// Guards against unloading from a new layout: engines that had just loaded their part of a third copy were short of KV
// memory and unloaded layers. The head of that copy then had no engine for the following layers, and its slots stayed
// unused.
TEST_CASE("planning again after a new layout yields no orders")
{
    auto model = exampleModel();
    model.headSlots = 192;
    struct EngineCounts {
        int h100;
        int a100s;
        int l4;
        int t4;
    };
    for (double tokenKvBytes : { 360000.0, 426000.0, 590000.0 }) {
        for (uint32_t typicalTokens : { 0U, 900U, 950U }) {
            for (auto site :
                { EngineCounts { 0, 4, 9, 14 }, EngineCounts { 0, 2, 13, 22 }, EngineCounts { 0, 1, 22, 12 },
                    EngineCounts { 1, 3, 26, 12 }, EngineCounts { 1, 5, 14, 25 }, EngineCounts { 0, 5, 14, 24 },
                    EngineCounts { 1, 2, 20, 9 }, EngineCounts { 0, 4, 11, 18 }, EngineCounts { 1, 2, 14, 7 },
                    EngineCounts { 0, 3, 7, 15 }, EngineCounts { 0, 3, 3, 5 }, EngineCounts { 1, 1, 5, 7 } }) {
                CAPTURE(tokenKvBytes);
                CAPTURE(typicalTokens);
                CAPTURE(site.a100s);
                CAPTURE(site.t4);
                model.tokenKvBytes = tokenKvBytes;
                model.typicalTokens = typicalTokens;
                std::vector<PlacedEngine> engines;
                add(engines, "north", "h100", site.h100);
                add(engines, "north", "a100s", site.a100s);
                add(engines, "north", "l4", site.l4);
                add(engines, "north", "t4", site.t4);
                applyOrders(engines, planPlacement(model, engines, allSettled()));
                CHECK(missingLayers(engines, "north") == 0);
                CHECK(planPlacement(model, engines, allSettled()).empty());
            }
        }
    }
}

TEST_CASE("a copy spans at most maxChainStages engines")
{
    std::vector<PlacedEngine> engines;
    auto model = exampleModel();
    // The engines have memory for more than two copies.
    model.kinds["small"] = { 9000, 15, 15 };
    add(engines, "mall", "small", 60);
    applyOrders(engines, planPlacement(model, engines, allSettled()));
    checkMemory(engines, model);
    CHECK(missingLayers(engines, "mall") == 0);
    uint32_t end = 0;
    for (size_t stages = 0; end < model.layers && stages <= maxChainStages; ++stages) {
        uint32_t next = end;
        for (const auto& it : engines)
            next = it.layers.contains(end) ? std::max(next, it.layers.end) : next;
        REQUIRE(next > end);
        end = next;
        CHECK(stages < maxChainStages);
    }
}

TEST_CASE("the layout leaves KV memory for the tokens in flight at peak load")
{
    CHECK(placementTokenCapacity(exampleModel(), placedDeployment()) >= 160 * 930);
}

TEST_CASE("the gap of any one lost engine is either closed completely or left unchanged")
{
    const auto whole = placedDeployment();
    uint32_t covered = 0;
    for (const auto& lost : whole) {
        CAPTURE(lost.endpoint.value());
        auto engines = whole;
        remove(engines, lost.endpoint.value());
        auto missing = missingLayers(engines, lost.dataCentre.value());
        auto orders = planPlacement(exampleModel(), engines, allSettled());
        applyOrders(engines, orders);
        checkMemory(engines);
        auto left = missingLayers(engines, lost.dataCentre.value());
        CHECK((left == 0 || left == missing));
        covered += left == 0;
    }
    CHECK(covered >= 30);
}

TEST_CASE("an empty engine receives exactly the missing layers of its data centre")
{
    auto engines = placedDeployment();
    auto lost = std::find_if(
        engines.begin(), engines.end(), [](const auto& it) { return it.endpoint == EndpointId("gulberg-l4-3"); });
    auto gap = lost->layers;
    lost->layers = {};
    auto orders = planPlacement(exampleModel(), engines, allSettled());
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].endpoint == EndpointId("gulberg-l4-3"));
    CHECK(orders[0].layers.first == gap.first);
    CHECK(orders[0].layers.end == gap.end);
}

// Otherwise each loss would permanently reduce the KV memory of two more engines.
TEST_CASE("an engine that returns relieves the neighbours that had closed its gap")
{
    const auto whole = placedDeployment();
    for (const auto& lost : whole) {
        CAPTURE(lost.endpoint.value());
        auto engines = whole;
        remove(engines, lost.endpoint.value());
        for (int i = 0; i < 3; ++i)
            applyOrders(engines, planPlacement(exampleModel(), engines, allSettled()));
        auto reduced = placementTokenCapacity(exampleModel(), engines);
        engines.push_back(lost);
        engines.back().layers = {};
        for (int i = 0; i < 3; ++i)
            applyOrders(engines, planPlacement(exampleModel(), engines, allSettled()));
        CHECK(missingLayers(engines, lost.dataCentre.value()) == 0);
        CHECK(placementTokenCapacity(exampleModel(), engines) >= reduced);
        for (const auto& it : engines) {
            if (it.dataCentre != lost.dataCentre)
                continue;
            CAPTURE(it.endpoint.value());
            // Weights take at most 70 % of the memory, as in the first layout, rounded up to a whole layer.
            CHECK(it.layers.count() * 1750 <= exampleModel().kinds.at(it.accelerator).memoryMb * 0.7 + 1750);
        }
    }
}

TEST_CASE("a new engine receives the layers of a leaving engine")
{
    auto engines = placedDeployment();
    auto leaving = std::find_if(
        engines.begin(), engines.end(), [](const auto& it) { return it.endpoint == EndpointId("mall-t4-2"); });
    leaving->isLeaving = true;
    auto layers = leaving->layers;
    engines.push_back({ EndpointId("mall-t4-new"), DataCentreId("mall"), "t4", {}, false, false });
    auto orders = planPlacement(exampleModel(), engines, allSettled());
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].endpoint == EndpointId("mall-t4-new"));
    CHECK(orders[0].layers.first == layers.first);
    CHECK(orders[0].layers.end == layers.end);
}

// A gap of one data centre may stay open while another data centre holds the layers. Here none does, so that no request
// could be served.
TEST_CASE("layers without a copy in any data centre are covered even if the rest of the gap stays open")
{
    auto engines = placedDeployment();
    auto isIn = [](const PlacedEngine& it, uint32_t first, uint32_t end) {
        return it.layers.first < end && it.layers.end > first;
    };
    std::erase_if(engines, [&](const auto& it) { return isIn(it, 30, 34); });
    std::erase_if(engines, [&](const auto& it) { return it.dataCentre == DataCentreId("mall") && isIn(it, 20, 44); });
    auto before = missingLayers(engines, "gulberg") + missingLayers(engines, "johar");
    applyOrders(engines, planPlacement(exampleModel(), engines, allSettled()));
    checkMemory(engines);
    for (uint32_t layer = 30; layer < 34; ++layer) {
        CAPTURE(layer);
        CHECK(std::any_of(engines.begin(), engines.end(), [&](const auto& it) { return it.layers.contains(layer); }));
    }
    CHECK(missingLayers(engines, "gulberg") + missingLayers(engines, "johar") < before);
}

TEST_CASE("an engine whose layers have other copies is moved into a gap that its neighbours cannot close")
{
    std::vector<PlacedEngine> engines;
    add(engines, "mall", "t4", 12);
    for (uint32_t i = 0; i < 12; ++i)
        engines[i].layers = { i * 7, std::min(80U, i * 7 + 7) };
    auto spare = engines[3];
    spare.endpoint = EndpointId("spare");
    engines.push_back(spare);
    remove(engines, "mall-t4-8");
    auto orders = planPlacement(exampleModel(), engines, allSettled());
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].layers.first == 56);
    CHECK(orders[0].layers.end == 63);
}

// Guards against incomplete data centres: after a quarter of the engines had left within seconds, no data centre held a
// complete copy, and one that was then cut off could not serve any request.
TEST_CASE("after the loss of a quarter of the engines each data centre with enough memory holds a complete copy again")
{
    std::mt19937 random(3);
    for (int round = 0; round < 50; ++round) {
        CAPTURE(round);
        auto engines = placedDeployment();
        for (int i = 0; i < 9; ++i)
            engines.erase(engines.begin() + static_cast<int>(random() % engines.size()));
        for (int i = 0; i < 4; ++i)
            applyOrders(engines, planPlacement(exampleModel(), engines, allSettled()));
        checkMemory(engines);
        for (const auto* dataCentre : { "gulberg", "mall", "johar" }) {
            CAPTURE(dataCentre);
            double memory = 0;
            for (const auto& it : engines) {
                if (it.dataCentre == DataCentreId(dataCentre))
                    memory += exampleModel().kinds.at(it.accelerator).memoryMb;
            }
            // Less memory would leave too little for requests.
            if (memory >= 1.3 * 80 * 1750)
                CHECK(missingLayers(engines, dataCentre) == 0);
        }
    }
}

// Guards against overfull neighbours: the neighbours of a lost engine loaded so many layers that KV memory for 50,000
// of 140,000 tokens was left. Requests waited or were preempted while other engines of the data centre had spare
// memory.
TEST_CASE("after the loss of any one engine its data centre keeps half of its KV memory")
{
    const auto whole = placedDeployment();
    for (const auto& lost : whole) {
        CAPTURE(lost.endpoint.value());
        auto engines = inDataCentre(whole, lost.dataCentre);
        auto before = placementTokenCapacity(exampleModel(), engines);
        remove(engines, lost.endpoint.value());
        applyOrders(engines, planPlacement(exampleModel(), engines, allSettled()));
        checkMemory(engines);
        CHECK(missingLayers(engines, lost.dataCentre.value()) == 0);
        CHECK(placementTokenCapacity(exampleModel(), engines) >= before / 2);
    }
}

// A rolling release starts a new engine and then stops an old one, one by one. Guards against loss of KV memory with
// each replacement, which left a tenth of it at the end.
TEST_CASE("a rolling release of engines keeps half of the KV memory at each step")
{
    auto model = exampleModel();
    auto engines = placedDeployment();
    const auto before = placementTokenCapacity(model, engines);
    const auto old = engines;
    std::mt19937 random(7);
    for (int i = 0; i < 12; ++i) {
        CAPTURE(i);
        const auto& leaving = old[(random() % 4) * 9 + static_cast<size_t>(i) % 9];
        auto isThere = [&](const auto& it) { return it.endpoint == leaving.endpoint; };
        if (std::none_of(engines.begin(), engines.end(), isThere))
            continue;
        engines.push_back({ EndpointId("new-" + std::to_string(i)), leaving.dataCentre, leaving.accelerator, {} });
        applyOrders(engines, planPlacement(model, engines, allSettled()));
        applyOrders(engines, planPlacement(model, engines, allSettled()));
        std::find_if(engines.begin(), engines.end(), isThere)->isLeaving = true;
        applyOrders(engines, planPlacement(model, engines, allSettled()));
        checkMemory(engines);
        CHECK(placementTokenCapacity(model, engines) >= before / 2);
        remove(engines, leaving.endpoint.value());
        applyOrders(engines, planPlacement(model, engines, allSettled()));
        CHECK(placementTokenCapacity(model, engines) >= before / 2);
    }
}

// Guards against a slow engine that is left with the only copy of layers because another engine unloaded them.
TEST_CASE("an engine does not unload layers whose only other copy is on a slow engine")
{
    auto model = exampleModel();
    model.layers = 20;
    auto engines = crowdedEngineWithSpareCopy();
    CHECK(planPlacement(model, engines, allSettled())
        == std::vector<PlacementOrder> { { engines[0].endpoint, { 0, 10 } } });
    engines[2].pace = 12;
    CHECK(planPlacement(model, engines, allSettled()).empty());
}

// Engines that unload layers accept no other order until their requests have ended. During a release, two such engines
// were unavailable when a third one left, and the data centre lacked its layers for five seconds.
TEST_CASE("engines unload layers only in settled data centres")
{
    auto model = exampleModel();
    model.layers = 20;
    auto engines = crowdedEngineWithSpareCopy();
    CHECK_FALSE(planPlacement(model, engines, allSettled()).empty());
    CHECK(planPlacement(model, engines, {}).empty());
}

TEST_CASE("a data centre that is cut off receives no orders, and the others still do")
{
    auto engines = placedDeployment();
    for (auto& it : engines)
        it.isLeaving = it.dataCentre == DataCentreId("mall") && it.accelerator == "t4";
    remove(engines, "johar-t4-0");
    auto constraints = allSettled();
    constraints.cutOff.insert(DataCentreId("mall"));
    auto orders = planPlacement(exampleModel(), engines, constraints);
    CHECK_FALSE(orders.empty());
    for (const auto& order : orders)
        CHECK(order.endpoint.value().starts_with("johar"));
}

TEST_CASE("only one data centre is repartitioned at a time")
{
    auto engines = placedDeployment();
    int lost = 0;
    std::erase_if(
        engines, [&](const auto& it) { return it.accelerator == "l4" && it.layers.first > 20 && ++lost % 2; });
    auto orders = planPlacement(exampleModel(), engines, allSettled());
    std::map<DataCentreId, int> shrunk;
    for (const auto& order : orders) {
        for (const auto& it : engines) {
            bool keeps = order.layers.first <= it.layers.first && order.layers.end >= it.layers.end;
            if (it.endpoint == order.endpoint && !keeps)
                ++shrunk[it.dataCentre];
        }
    }
    CHECK(shrunk.size() <= 1);
}

TEST_CASE("reported layers beyond the end of the model are ignored")
{
    auto model = exampleModel();
    model.layers = 20;
    std::vector<PlacedEngine> engines;
    add(engines, "mall", "a100s", 2);
    add(engines, "mall", "t4", 2);
    engines[0].layers = { 0, 14 };
    engines[1].layers = { 14, 4000000000U };
    engines[2].layers = { 18, 500 };
    engines[3].layers = { 30, 40 };
    CHECK_FALSE(hasGap(model, engines));
    for (const auto& order : planPlacement(model, engines, allSettled()))
        CHECK(order.layers.end <= model.layers);
    engines.erase(engines.begin());
    // The empty engine first fills a part of the gap; then the data centre is repartitioned.
    for (int i = 0; i < 2; ++i)
        applyOrders(engines, planPlacement(model, engines, allSettled()));
    CHECK(missingLayers(engines, "mall", model.layers) == 0);
}

TEST_CASE("busy engines, leaving engines and engines of unknown kinds receive no orders")
{
    auto engines = placedDeployment();
    for (auto& it : engines)
        it.isBusy = true;
    remove(engines, "johar-t4-0");
    engines.push_back({ EndpointId("unknown"), DataCentreId("johar"), "fpga", {}, false, false });
    engines.push_back({ EndpointId("leaving"), DataCentreId("johar"), "l4", {}, false, true });
    CHECK(planPlacement(exampleModel(), engines, allSettled()).empty());
}

TEST_CASE("random losses, restarts and new engines never exceed the memory of an engine or widen a gap")
{
    std::mt19937 random(5);
    for (int round = 0; round < 40; ++round) {
        CAPTURE(round);
        auto engines = deployment();
        for (int step = 0; step < 30; ++step) {
            auto& it = engines[random() % engines.size()];
            switch (random() % 4) {
            case 0:
                it.layers = {};
                break;
            case 1:
                it.isLeaving = !it.isLeaving;
                break;
            case 2:
                add(engines, "mall", "l4", 1);
                engines.back().endpoint = EndpointId("new-" + std::to_string(step));
                break;
            default:
                if (engines.size() > 5)
                    engines.erase(engines.begin() + static_cast<int>(random() % engines.size()));
            }
            auto before = engines;
            auto orders = planPlacement(exampleModel(), engines, allSettled());
            applyOrders(engines, orders);
            checkMemory(engines);
            for (const auto* dataCentre : { "gulberg", "mall", "johar" })
                CHECK(missingLayers(engines, dataCentre) <= missingLayers(before, dataCentre));
            // Successive planners do not undo each other's orders: after at most one repartition of each data centre,
            // the plan is stable.
            for (int i = 0; i < 3; ++i)
                applyOrders(engines, planPlacement(exampleModel(), engines, allSettled()));
            CHECK(planPlacement(exampleModel(), engines, allSettled()).empty());
            checkMemory(engines);
        }
    }
}
