// Builds the users' tables.

#include "policy/Fleet.h"

#include <algorithm>

namespace jacinthspindle::bench {

namespace {

    constexpr uint32_t workersPerStage = 4;
    constexpr uint32_t workspaceCount = 10;
    constexpr uint32_t fastLinkMbps = 10000;
    constexpr uint32_t slowLinkMbps = 100;

    EndpointRow worker(const std::string& name, const std::string& dataCentre, const RouteRow& route, LayerRange layers)
    {
        EndpointRow row;
        row.endpoint = EndpointId(name);
        row.dataCentre = DataCentreId(dataCentre);
        row.target = route.target;
        row.version = route.version;
        row.layers = layers;
        row.address = "127.0.0.1:1";
        row.slots = slotsPerWorker;
        row.linkMbps = fastLinkMbps;
        return row;
    }

} // namespace

Speed speedOf(const std::string& accelerator)
{
    if (accelerator == "fast")
        return { 0.0010, 0.00002 };
    return { 0.0018, 0.00004 };
}

const char* userName(User user)
{
    return user == User::Authority ? "authority" : "tinig-kamay";
}

Table fleetTable(User user)
{
    bool isAuthority = user == User::Authority;
    Table table;
    table.revision = 1;
    for (uint32_t i = 0; i < workspaceCount; ++i)
        table.workspaces.push_back({ WorkspaceId("workspace-" + std::to_string(i)), 1, 0, 0, 0 });
    RouteRow route;
    route.target = isAuthority ? "assistant-llm" : "tutor-llm";
    route.version = "v1";
    route.layers = modelLayers;
    route.maxTokens = 2048;
    for (const char* name : { "chat", "summary" }) {
        route.route = RouteId(name);
        table.routes.push_back(route);
    }
    const char* lahore[] = { "lhr-gulberg", "lhr-mall", "lhr-johar" };
    const char* luzon[] = { "quezon", "pasig", "makati" };
    for (const char* dataCentre : isAuthority ? lahore : luzon) {
        for (uint32_t stage = 0; stage < 3; ++stage) {
            for (uint32_t i = 0; i < workersPerStage; ++i) {
                auto name = std::string(dataCentre) + "-" + std::to_string(stage) + "-" + std::to_string(i);
                auto row = worker(name, dataCentre, route, { stage * 4, stage * 4 + 4 });
                row.accelerator = i < workersPerStage / 2 ? "fast" : "slow";
                if (stage == 1 && i + 1 == workersPerStage)
                    row.linkMbps = slowLinkMbps;
                table.endpoints.push_back(row);
            }
        }
        auto wide = worker(std::string(dataCentre) + "-wide", dataCentre, route, { 0, 8 });
        wide.accelerator = "slow";
        table.endpoints.push_back(wide);
    }
    table.normalize();
    return table;
}

double referenceHold(double promptTokens, double tokens)
{
    auto speed = speedOf("fast");
    return (promptTokens * speed.prefillPerLayer + tokens * speed.decodePerLayer) * modelLayers * (1 + batchSlowdown);
}

double referenceCapacity(const Table& table)
{
    double least = 1e18;
    for (uint32_t layer = 0; layer < modelLayers; ++layer) {
        double slots = 0;
        for (const auto& it : table.endpoints) {
            if (it.layers.contains(layer))
                slots += it.slots * speedOf("fast").decodePerLayer / speedOf(it.accelerator).decodePerLayer;
        }
        least = std::min(least, slots);
    }
    return least;
}

} // namespace jacinthspindle::bench
