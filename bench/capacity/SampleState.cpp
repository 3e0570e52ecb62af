// Tables of any size for the measurements.

#include "capacity/SampleState.h"

namespace jacinthspindle::bench {

namespace {

    constexpr size_t models = 5;
    constexpr uint32_t layers = 32;
    constexpr uint32_t layersPerStage = 8;

} // namespace

HostId hostOf(size_t index)
{
    return HostId("entry-" + std::to_string(1000 + index));
}

DataCentreId dataCentreOf(size_t index)
{
    return DataCentreId(
        "region-" + std::to_string(index % dataCentres % 4) + "-dc-" + std::to_string(index % dataCentres));
}

Table sampleTable(size_t workers, size_t workspaces)
{
    Table table;
    for (size_t i = 0; i < workspaces; ++i)
        table.workspaces.push_back({ WorkspaceId("workspace-" + std::to_string(10000 + i)), 1, 100, 20000, 600 });
    for (size_t i = 0; i < models; ++i) {
        RouteRow row;
        row.route = RouteId("route-" + std::to_string(i));
        row.target = "model-" + std::to_string(i);
        row.version = "2026-11-01";
        row.layers = layers;
        table.routes.push_back(row);
    }
    constexpr size_t stages = layers / layersPerStage;
    for (size_t i = 0; i < workers; ++i) {
        EndpointRow row;
        row.endpoint = EndpointId("worker-" + std::to_string(10000 + i));
        row.dataCentre = dataCentreOf(i);
        row.target = "model-" + std::to_string(i % models);
        row.version = "2026-11-01";
        auto first = static_cast<uint32_t>(i / models % stages * layersPerStage);
        row.layers = { first, first + layersPerStage };
        row.address = "10.20." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8080";
        row.accelerator = "kind-" + std::to_string(i % 5);
        table.endpoints.push_back(row);
    }
    table.normalize();
    return table;
}

TableDelta sampleChange(const Table& table, uint32_t weight)
{
    auto next = table;
    next.workspaces.front().weight = weight;
    auto delta = diffTables(table, next);
    delta.changeId = "change-0123456789abcdef-" + std::to_string(table.revision);
    delta.author = "operator@example";
    delta.digest = deltaDigest(delta);
    return delta;
}

} // namespace jacinthspindle::bench
