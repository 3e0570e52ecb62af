// The table that operators edit: rows of workspaces, routes and endpoints under one revision.

#pragma once

#include "spindlecore/ResultCode.h"
#include "spindlecore/Types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthspindle {

enum class RouteKind : uint8_t { Model, Service };
enum class EndpointKind : uint8_t { Engine, Service };
enum class AdminState : uint8_t { Active, Draining };

// What an endpoint is known to check. Safety of an action or order rests only on these.
struct Capabilities {
    bool fencing = false; // Refuses work that carries an older fencing number than one it has seen.
    bool lookup = false; // Can say whether an action with a given key ran, and with what answer.
    bool dedup = false; // Runs an action with the same idempotency key at most once.

    auto operator<=>(const Capabilities&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.fencing, self.lookup, self.dedup);
    }
};

// Limits of 0 mean "no limit".
struct WorkspaceRow {
    WorkspaceId workspace;
    uint32_t weight = 1; // Share under contention; at least 1.
    uint32_t requestsPerSecond = 0;
    uint32_t tokensPerSecond = 0;
    uint32_t concurrency = 0;

    auto operator<=>(const WorkspaceRow&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.workspace, self.weight, self.requestsPerSecond, self.tokensPerSecond, self.concurrency);
    }
};

struct RouteRow {
    RouteId route;
    RouteKind kind = RouteKind::Model;
    std::vector<WorkspaceId> workspaces; // Empty: every workspace may use the route.
    std::string target; // The model or the service that the endpoints serve.
    std::string version; // Of the model; empty for a service.
    std::string adapter; // Empty: the base model.
    uint32_t layers = 0; // Layers of the model; 0 for a service.
    std::chrono::milliseconds deadline { 30000 }; // For the whole answer, unless the caller names one.
    uint32_t maxTokens = 512;
    bool idempotent = true; // False: each request is an action that runs at most once.

    auto operator<=>(const RouteRow&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.route, self.kind, self.workspaces, self.target, self.version, self.adapter, self.layers,
            self.deadline, self.maxTokens, self.idempotent);
    }
};

struct EndpointRow {
    EndpointId endpoint;
    DataCentreId dataCentre;
    EndpointKind kind = EndpointKind::Engine;
    std::string target; // The model or the service that it serves.
    std::string version;
    std::vector<std::string> adapters;
    LayerRange layers; // Empty for a service.
    std::string address; // "IP:port".
    std::string accelerator; // Kind of accelerator; endpoints of one kind share initial estimates.
    uint32_t slots = 8; // Requests that it runs at once.
    uint32_t weight = 1;
    uint32_t linkMbps = 1000; // Of the link that joins it to other stages.
    AdminState state = AdminState::Active;
    Capabilities capabilities;

    auto operator<=>(const EndpointRow&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.endpoint, self.dataCentre, self.kind, self.target, self.version, self.adapters, self.layers,
            self.address, self.accelerator, self.slots, self.weight, self.linkMbps, self.state, self.capabilities);
    }
};

// Rows are sorted by identifier and identifiers are unique; normalize() establishes both.
struct Table {
    uint64_t revision = 0; // 0: no table has been accepted yet.
    std::string digest; // Digest after the last change, chained over all changes; see TableDelta.
    std::vector<WorkspaceRow> workspaces;
    std::vector<RouteRow> routes;
    std::vector<EndpointRow> endpoints;

    bool operator==(const Table&) const = default;
    const WorkspaceRow* findWorkspace(const WorkspaceId&) const;
    const RouteRow* findRoute(const RouteId&) const;
    const EndpointRow* findEndpoint(const EndpointId&) const;
    void normalize();

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.revision, self.digest, self.workspaces, self.routes, self.endpoints);
    }
};

// One accepted change: it leads from revision base to base + 1 and from baseDigest to digest.
struct TableDelta {
    uint64_t base = 0;
    std::string baseDigest;
    std::string changeId; // Unique per change; settles a commit whose answer was lost.
    std::string author;
    std::vector<WorkspaceRow> workspaces; // Rows added or replaced.
    std::vector<RouteRow> routes;
    std::vector<EndpointRow> endpoints;
    std::vector<WorkspaceId> removedWorkspaces;
    std::vector<RouteId> removedRoutes;
    std::vector<EndpointId> removedEndpoints;
    std::string digest; // deltaDigest() of this change.

    bool operator==(const TableDelta&) const = default;
    uint64_t revision() const { return base + 1; }

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.base, self.baseDigest, self.changeId, self.author, self.workspaces, self.routes, self.endpoints,
            self.removedWorkspaces, self.removedRoutes, self.removedEndpoints, self.digest);
    }
};

// The row `table/head` of the table service: the last accepted change.
struct TableHead {
    uint64_t revision = 0;
    std::string digest;
    std::string changeId;

    bool operator==(const TableHead&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.revision, self.digest, self.changeId);
    }
};

// Returns the change that leads from one table to another's rows; digest, changeId and author are left empty.
TableDelta diffTables(const Table& from, const Table& to);

// Returns the SHA-256 digest, as hexadecimal text, of baseDigest and all other members except digest itself.
std::string deltaDigest(const TableDelta&);

// Applies a change. Returns nothing, and sets the reason, when the change has another base, its digest is wrong or
// the resulting table breaks a rule of checkTable().
std::optional<Table> applyDelta(const Table&, const TableDelta&, Reason&);

enum class RowKind : uint8_t { Workspace, Route, Endpoint };

// One fault of a table, named so that an operator finds the cell.
struct TableFault {
    RowKind kind = RowKind::Workspace;
    std::string row; // The identifier of the row.
    std::string column;
    std::string text;
};

// Checks the rules that span cells and rows: weights, ranges, references, and that each active model route can be
// covered by endpoints of one version.
std::vector<TableFault> checkTable(const Table&);

} // namespace jacinthspindle
