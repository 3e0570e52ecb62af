// Tests of the table that the router makes of the configuration and the endpoints.

#include "router/RoutingView.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::router;

namespace {

uint32_t slotsOf(LayerRange layers, uint32_t typicalTokens)
{
    RoutingConfiguration configuration;
    ModelLayout model;
    model.layers = 80;
    model.layerMb = 1750;
    model.tokenKvBytes = 400000; // 5,000 per layer.
    model.typicalTokens = typicalTokens;
    model.kinds["l4"] = { 21600, 16, 8.2 };
    configuration.services = { { "assistant", model } };
    EndpointSighting engine;
    engine.endpoint = EndpointId("e1");
    engine.service = "assistant";
    engine.accelerator = "l4";
    engine.slots = 192;
    engine.layers = layers;
    auto table = buildTable(configuration, { engine }, 1);
    REQUIRE(table.endpoints.size() == 1);
    return table.endpoints.front().slots;
}

} // namespace

TEST_CASE("an engine runs as many requests as its memory holds, and as a head no more than its slots")
{
    // Ten layers leave 4,100 MB, and a request of 1,000 tokens takes 50 MB of it.
    CHECK(slotsOf({ 10, 20 }, 1000) == 82);
    CHECK(slotsOf({ 0, 10 }, 1000) == 82);
    // Four layers leave 14,600 MB, and a request takes 20 MB.
    CHECK(slotsOf({ 10, 14 }, 1000) == 730);
    CHECK(slotsOf({ 0, 4 }, 1000) == 192);
    CHECK_MESSAGE(slotsOf({ 10, 20 }, 0) == 192, "without a usual size the declared slots count");
    CHECK_MESSAGE(slotsOf({ 10, 22 }, 1000) == 10, "nearly all memory holds weights");
}
