// Row lookup, and computing, hashing and applying changes between tables.

#include "spindlecore/Table.h"

#include "spindlecore/internal/Digest.h"

#include <algorithm>
#include <unordered_set>

namespace jacinthspindle {

namespace {

    const WorkspaceId& idOf(const WorkspaceRow& row)
    {
        return row.workspace;
    }
    const RouteId& idOf(const RouteRow& row)
    {
        return row.route;
    }
    const EndpointId& idOf(const EndpointRow& row)
    {
        return row.endpoint;
    }

    template <typename Row> bool hasLowerId(const Row& a, const Row& b)
    {
        return idOf(a) < idOf(b);
    }

    template <typename Row, typename Id> const Row* findRow(const std::vector<Row>& rows, const Id& id)
    {
        auto it = std::lower_bound(
            rows.begin(), rows.end(), id, [](const Row& row, const Id& wanted) { return idOf(row) < wanted; });
        return it != rows.end() && idOf(*it) == id ? &*it : nullptr;
    }

    template <typename Row> void normalizeRows(std::vector<Row>& rows)
    {
        std::stable_sort(rows.begin(), rows.end(), hasLowerId<Row>);
        auto last
            = std::unique(rows.begin(), rows.end(), [](const Row& a, const Row& b) { return idOf(a) == idOf(b); });
        rows.erase(last, rows.end());
    }

    template <typename Row, typename Id>
    void diffRows(
        const std::vector<Row>& from, const std::vector<Row>& to, std::vector<Row>& changed, std::vector<Id>& removed)
    {
        for (const auto& row : to) {
            const auto* old = findRow(from, idOf(row));
            if (!old || *old != row)
                changed.push_back(row);
        }
        for (const auto& row : from) {
            if (!findRow(to, idOf(row)))
                removed.push_back(idOf(row));
        }
    }

    template <typename Row, typename Id>
    void applyRows(std::vector<Row>& rows, const std::vector<Row>& changed, const std::vector<Id>& removed)
    {
        // A hash set keeps the import of a whole table linear; searching the vectors for each row would be quadratic.
        std::unordered_set<Id> replaced(removed.begin(), removed.end());
        for (const auto& it : changed)
            replaced.insert(idOf(it));
        std::erase_if(rows, [&](const Row& row) { return replaced.contains(idOf(row)); });
        rows.insert(rows.end(), changed.begin(), changed.end());
        normalizeRows(rows);
    }

} // namespace

const WorkspaceRow* Table::findWorkspace(const WorkspaceId& id) const
{
    return findRow(workspaces, id);
}

const RouteRow* Table::findRoute(const RouteId& id) const
{
    return findRow(routes, id);
}

const EndpointRow* Table::findEndpoint(const EndpointId& id) const
{
    return findRow(endpoints, id);
}

void Table::normalize()
{
    normalizeRows(workspaces);
    normalizeRows(routes);
    normalizeRows(endpoints);
}

TableDelta diffTables(const Table& from, const Table& to)
{
    TableDelta delta;
    delta.base = from.revision;
    delta.baseDigest = from.digest;
    diffRows(from.workspaces, to.workspaces, delta.workspaces, delta.removedWorkspaces);
    diffRows(from.routes, to.routes, delta.routes, delta.removedRoutes);
    diffRows(from.endpoints, to.endpoints, delta.endpoints, delta.removedEndpoints);
    return delta;
}

std::string deltaDigest(const TableDelta& delta)
{
    internal::DigestVisitor visitor;
    visitor(delta.base, delta.baseDigest, delta.changeId, delta.author, delta.workspaces, delta.routes, delta.endpoints,
        delta.removedWorkspaces, delta.removedRoutes, delta.removedEndpoints);
    return visitor.hexDigest();
}

std::optional<Table> applyDelta(const Table& table, const TableDelta& delta, Reason& reason)
{
    if (delta.base != table.revision || delta.baseDigest != table.digest) {
        reason = { ResultCode::TableConflict,
            "change is based on revision " + std::to_string(delta.base) + ", table is at revision "
                + std::to_string(table.revision) };
        return std::nullopt;
    }
    if (delta.digest != deltaDigest(delta)) {
        reason = { ResultCode::TableDigestMismatch,
            "digest of revision " + std::to_string(delta.revision()) + " is wrong" };
        return std::nullopt;
    }
    Table result = table;
    applyRows(result.workspaces, delta.workspaces, delta.removedWorkspaces);
    applyRows(result.routes, delta.routes, delta.removedRoutes);
    applyRows(result.endpoints, delta.endpoints, delta.removedEndpoints);
    result.revision = delta.revision();
    result.digest = delta.digest;
    auto faults = checkTable(result);
    if (!faults.empty()) {
        const auto& first = faults.front();
        reason = { ResultCode::TableInvalid, first.row + "." + first.column + ": " + first.text };
        return std::nullopt;
    }
    return result;
}

} // namespace jacinthspindle
