// Validation of a table: names, value ranges and references between rows.

#include "spindlecore/Table.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    constexpr uint32_t maxWeight = 1'000'000;
    constexpr uint32_t maxSlots = 65'536;
    constexpr uint32_t maxLayers = 4'096;
    constexpr size_t maxNameLength = 128;

    // Adds the faults of one row to a list.
    class RowFaults {
    public:
        RowFaults(std::vector<TableFault>& faults, RowKind kind, const std::string& row)
            : m_faults(faults)
            , m_kind(kind)
            , m_row(row)
        {
        }

        void add(const char* column, std::string text)
        {
            m_faults.push_back({ m_kind, m_row, column, std::move(text) });
        }

    private:
        std::vector<TableFault>& m_faults;
        RowKind m_kind;
        const std::string& m_row;
    };

    bool isValidName(const std::string& text)
    {
        if (text.empty() || text.size() > maxNameLength)
            return false;
        return std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
                || c == '.';
        });
    }

    void checkName(RowFaults& faults, const char* column, const std::string& text)
    {
        if (!isValidName(text))
            faults.add(column, "must be 1 to 128 letters, digits, '-', '_' or '.'");
    }

    void checkRange(RowFaults& faults, const char* column, uint64_t value, uint64_t min, uint64_t max)
    {
        if (value >= min && value <= max)
            return;
        faults.add(
            column, std::to_string(value) + " is not between " + std::to_string(min) + " and " + std::to_string(max));
    }

    void checkWorkspace(RowFaults& faults, const WorkspaceRow& row)
    {
        checkName(faults, "workspace", row.workspace.value());
        checkRange(faults, "weight", row.weight, 1, maxWeight);
    }

    bool servesRoute(const EndpointRow& endpoint, const RouteRow& route)
    {
        if (endpoint.kind != EndpointKind::Engine || endpoint.target != route.target
            || endpoint.version != route.version)
            return false;
        const auto& adapters = endpoint.adapters;
        return route.adapter.empty() || std::find(adapters.begin(), adapters.end(), route.adapter) != adapters.end();
    }

    // Returns whether the endpoints of the route's model, version and adapter together serve all layers of the model.
    bool isCovered(const Table& table, const RouteRow& route)
    {
        std::vector<LayerRange> ranges;
        for (const auto& it : table.endpoints) {
            if (servesRoute(it, route))
                ranges.push_back(it.layers);
        }
        std::sort(ranges.begin(), ranges.end());
        uint32_t coveredEnd = 0;
        for (const auto& it : ranges) {
            if (it.first > coveredEnd)
                return false;
            coveredEnd = std::max(coveredEnd, it.end);
        }
        return coveredEnd >= route.layers;
    }

    void checkRoute(RowFaults& faults, const Table& table, const RouteRow& row)
    {
        const auto& name = row.route.value();
        checkName(faults, "route", name);
        checkName(faults, "target", row.target);
        if (row.deadline <= std::chrono::milliseconds::zero())
            faults.add("deadline_ms", "must be greater than 0");
        for (const auto& it : row.workspaces) {
            if (!table.findWorkspace(it))
                faults.add("workspaces", "workspace " + it.value() + " has no row");
        }
        if (row.kind == RouteKind::Service) {
            bool isServed = std::any_of(table.endpoints.begin(), table.endpoints.end(),
                [&](const EndpointRow& it) { return it.kind == EndpointKind::Service && it.target == row.target; });
            if (!isServed)
                faults.add("target", "no endpoint serves " + row.target);
            return;
        }
        checkRange(faults, "layers", row.layers, 1, maxLayers);
        checkRange(faults, "max_tokens", row.maxTokens, 1, UINT32_MAX);
        if (!row.idempotent)
            faults.add("idempotent", "a model route is always idempotent");
        if (row.layers >= 1 && row.layers <= maxLayers && !isCovered(table, row))
            faults.add("layers", "endpoints of " + row.target + " " + row.version + " do not cover all layers");
    }

    void checkEndpoint(RowFaults& faults, const EndpointRow& row)
    {
        const auto& name = row.endpoint.value();
        checkName(faults, "endpoint", name);
        checkName(faults, "data_centre", row.dataCentre.value());
        checkName(faults, "target", row.target);
        checkRange(faults, "slots", row.slots, 1, maxSlots);
        checkRange(faults, "weight", row.weight, 1, maxWeight);
        if (row.address.find(':') == std::string::npos)
            faults.add("address", "must be IP:port");
        if (row.kind == EndpointKind::Engine && (!row.layers.count() || row.layers.end > maxLayers))
            faults.add("layers", "must be first-end with first < end <= " + std::to_string(maxLayers));
        if (row.kind == EndpointKind::Engine)
            checkRange(faults, "link_mbps", row.linkMbps, 1, UINT32_MAX);
    }

} // namespace

std::vector<TableFault> checkTable(const Table& table)
{
    std::vector<TableFault> faults;
    for (const auto& it : table.workspaces) {
        RowFaults row(faults, RowKind::Workspace, it.workspace.value());
        checkWorkspace(row, it);
    }
    for (const auto& it : table.routes) {
        RowFaults row(faults, RowKind::Route, it.route.value());
        checkRoute(row, table, it);
    }
    for (const auto& it : table.endpoints) {
        RowFaults row(faults, RowKind::Endpoint, it.endpoint.value());
        checkEndpoint(row, it);
    }
    return faults;
}

} // namespace jacinthspindle
