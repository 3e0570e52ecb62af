// A small valid table for tests: a 12-layer model in three stages with two endpoints each, and one plain service.

#pragma once

#include <spindlecore/spindlecore.h>

namespace jacinthspindle::test {

inline EndpointRow engineRow(const std::string& name, LayerRange layers, const std::string& dataCentre = "north")
{
    EndpointRow row;
    row.endpoint = EndpointId(name);
    row.dataCentre = DataCentreId(dataCentre);
    row.target = "assistant-llm";
    row.version = "v1";
    row.layers = layers;
    row.address = "127.0.0.1:1";
    row.accelerator = "small";
    row.slots = 4;
    return row;
}

inline Table sampleTable()
{
    Table table;
    table.workspaces = { { WorkspaceId("school"), 1, 0, 0, 0 }, { WorkspaceId("mosque"), 2, 50, 0, 8 } };
    RouteRow chat;
    chat.route = RouteId("assistant");
    chat.target = "assistant-llm";
    chat.version = "v1";
    chat.layers = 12;
    RouteRow loans;
    loans.route = RouteId("loans");
    loans.kind = RouteKind::Service;
    loans.target = "catalogue";
    loans.idempotent = false;
    table.routes = { chat, loans };
    for (const char* copy : { "a", "b" }) {
        table.endpoints.push_back(engineRow(std::string("front-") + copy, { 0, 4 }));
        table.endpoints.push_back(engineRow(std::string("middle-") + copy, { 4, 8 }));
        table.endpoints.push_back(engineRow(std::string("back-") + copy, { 8, 12 }));
    }
    auto catalogue = engineRow("catalogue-1", {});
    catalogue.kind = EndpointKind::Service;
    catalogue.target = "catalogue";
    catalogue.version.clear();
    catalogue.capabilities = { true, true, false };
    table.endpoints.push_back(catalogue);
    table.normalize();
    return table;
}

} // namespace jacinthspindle::test
