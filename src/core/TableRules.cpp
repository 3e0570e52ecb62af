// Rules that span the cells and rows of a table.

#include "spindlecore/Table.h"

#include <algorithm>
#include <set>

namespace jacinthspindle {

namespace {

    constexpr uint32_t maxWeight = 1'000'000;
    constexpr uint32_t maxSlots = 65'536;
    constexpr uint32_t maxLayers = 4'096;
    constexpr size_t maxNameLength = 128;

    using Faults = std::vector<TableFault>;

    bool isName(const std::string& text)
    {
        if (text.empty() || text.size() > maxNameLength)
            return false;
        return std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
                || c == '.';
        });
    }

    void checkName(Faults& faults, const std::string& row, const char* column, const std::string& text)
    {
        if (!isName(text))
            faults.push_back({ row, column, "must be 1 to 128 letters, digits, '-', '_' or '.'" });
    }

    void checkRange(
        Faults& faults, const std::string& row, const char* column, uint64_t value, uint64_t min, uint64_t max)
    {
        if (value >= min && value <= max)
            return;
        faults.push_back({ row, column,
            std::to_string(value) + " is not between " + std::to_string(min) + " and " + std::to_string(max) });
    }

    void checkWorkspace(Faults& faults, const WorkspaceRow& row)
    {
        checkName(faults, row.workspace.value(), "workspace", row.workspace.value());
        checkRange(faults, row.workspace.value(), "weight", row.weight, 1, maxWeight);
    }

    // Whether the endpoints of the route's model and version hold, together, each layer.
    bool isCovered(const Table& table, const RouteRow& route)
    {
        uint32_t reached = 0;
        bool progressed = true;
        while (reached < route.layers && progressed) {
            progressed = false;
            for (const auto& it : table.endpoints) {
                bool serves
                    = it.kind == EndpointKind::Engine && it.target == route.target && it.version == route.version;
                if (serves && it.layers.contains(reached) && it.layers.end > reached) {
                    reached = it.layers.end;
                    progressed = true;
                }
            }
        }
        return reached >= route.layers;
    }

    void checkRoute(Faults& faults, const Table& table, const RouteRow& row)
    {
        const auto& name = row.route.value();
        checkName(faults, name, "route", name);
        checkName(faults, name, "target", row.target);
        if (row.deadline <= std::chrono::milliseconds::zero())
            faults.push_back({ name, "deadline_ms", "must be greater than 0" });
        for (const auto& it : row.workspaces) {
            if (!table.findWorkspace(it))
                faults.push_back({ name, "workspaces", "workspace " + it.value() + " has no row" });
        }
        if (row.kind == RouteKind::Service) {
            bool isServed = std::any_of(table.endpoints.begin(), table.endpoints.end(),
                [&](const EndpointRow& it) { return it.kind == EndpointKind::Service && it.target == row.target; });
            if (!isServed)
                faults.push_back({ name, "target", "no endpoint serves " + row.target });
            return;
        }
        checkRange(faults, name, "layers", row.layers, 1, maxLayers);
        checkRange(faults, name, "max_tokens", row.maxTokens, 1, UINT32_MAX);
        if (!row.idempotent)
            faults.push_back({ name, "idempotent", "a model route is always idempotent" });
        if (row.layers >= 1 && row.layers <= maxLayers && !isCovered(table, row))
            faults.push_back(
                { name, "layers", "endpoints of " + row.target + " " + row.version + " do not cover all layers" });
    }

    void checkEndpoint(Faults& faults, const EndpointRow& row)
    {
        const auto& name = row.endpoint.value();
        checkName(faults, name, "endpoint", name);
        checkName(faults, name, "data_centre", row.dataCentre.value());
        checkName(faults, name, "target", row.target);
        checkRange(faults, name, "slots", row.slots, 1, maxSlots);
        checkRange(faults, name, "weight", row.weight, 1, maxWeight);
        if (row.address.find(':') == std::string::npos)
            faults.push_back({ name, "address", "must be IP:port" });
        if (row.kind == EndpointKind::Engine && (!row.layers.count() || row.layers.end > maxLayers))
            faults.push_back({ name, "layers", "must be first-end with first < end <= " + std::to_string(maxLayers) });
        if (row.kind == EndpointKind::Engine)
            checkRange(faults, name, "link_mbps", row.linkMbps, 1, UINT32_MAX);
    }

} // namespace

std::vector<TableFault> checkTable(const Table& table)
{
    Faults faults;
    for (const auto& it : table.workspaces)
        checkWorkspace(faults, it);
    for (const auto& it : table.routes)
        checkRoute(faults, table, it);
    for (const auto& it : table.endpoints)
        checkEndpoint(faults, it);
    return faults;
}

} // namespace jacinthspindle
