// The routing configuration that operators edit: workspaces, routes and endpoints, versioned by one revision number.

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

// Guarantees that an endpoint gives. The at-most-once execution of actions and orders relies on no others.
struct Capabilities {
    bool fencing = false; // Refuses work whose fencing number is lower than one received before.
    bool lookup = false; // Reports whether an action with a given idempotency key ran, and its result.
    bool dedup = false; // Runs an action at most once per idempotency key.

    auto operator<=>(const Capabilities&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.fencing, self.lookup, self.dedup);
    }
};

// Limits of one workspace and its share of capacity. A limit of 0 means unlimited.
struct WorkspaceRow {
    WorkspaceId workspace;
    uint32_t weight = 1; // Relative share of capacity under contention; at least 1.
    uint32_t requestsPerSecond = 0;
    uint32_t tokensPerSecond = 0;
    uint32_t concurrency = 0;

    auto operator<=>(const WorkspaceRow&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.workspace, self.weight, self.requestsPerSecond, self.tokensPerSecond, self.concurrency);
    }
};

// A route that callers request by name: the model or service behind it, and the defaults for its requests.
struct RouteRow {
    RouteId route;
    RouteKind kind = RouteKind::Model;
    std::vector<WorkspaceId> workspaces; // Workspaces that may use the route; empty for all.
    std::string target; // Name of the model or service.
    std::string version; // Model version; empty for a service.
    std::string adapter; // Adapter on top of the model; empty for the base model.
    uint32_t layers = 0; // Number of layers of the model; 0 for a service.
    std::chrono::milliseconds deadline {
        30000
    }; // Default time limit for the complete response; a request can set its own.
    uint32_t maxTokens = 512;
    bool idempotent = true; // If false, each request is an action that runs at most once.

    auto operator<=>(const RouteRow&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.route, self.kind, self.workspaces, self.target, self.version, self.adapter, self.layers,
            self.deadline, self.maxTokens, self.idempotent);
    }
};

// One endpoint: an engine that serves a range of a model's layers, or an instance of a service.
struct EndpointRow {
    EndpointId endpoint;
    DataCentreId dataCentre;
    EndpointKind kind = EndpointKind::Engine;
    std::string target; // Name of the model or service that the endpoint serves.
    std::string version;
    std::vector<std::string> adapters;
    LayerRange layers; // Empty for a service.
    std::string address; // "IP:port".
    std::string accelerator; // Accelerator type; endpoints of the same type share initial performance estimates.
    uint32_t slots = 8; // Maximum number of concurrent requests.
    uint32_t weight = 1;
    uint32_t linkMbps = 1000; // Bandwidth of the link to other stages, in Mbit/s.
    AdminState state = AdminState::Active;
    Capabilities capabilities;

    auto operator<=>(const EndpointRow&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.endpoint, self.dataCentre, self.kind, self.target, self.version, self.adapters, self.layers,
            self.address, self.accelerator, self.slots, self.weight, self.linkMbps, self.state, self.capabilities);
    }
};

// A complete table. The rows of each kind are sorted by identifier, and identifiers are unique; normalize() sorts the
// rows and removes duplicates.
struct Table {
    uint64_t revision = 0; // 0 if no table has been accepted yet.
    std::string digest; // TableDelta::digest of the last change; covers the history of all changes.
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

// A change that turns revision `base` into revision `base + 1`. Digests form a chain: `digest` covers `baseDigest`, the
// digest of the previous change.
struct TableDelta {
    uint64_t base = 0;
    std::string baseDigest;
    std::string changeId; // Unique per change; shows whether a commit succeeded if its response was lost.
    std::string author;
    std::vector<WorkspaceRow> workspaces; // Added or replaced rows, as in the next two members.
    std::vector<RouteRow> routes;
    std::vector<EndpointRow> endpoints;
    std::vector<WorkspaceId> removedWorkspaces;
    std::vector<RouteId> removedRoutes;
    std::vector<EndpointId> removedEndpoints;
    std::string digest; // Result of deltaDigest() for this change.

    bool operator==(const TableDelta&) const = default;
    uint64_t revision() const { return base + 1; }

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.base, self.baseDigest, self.changeId, self.author, self.workspaces, self.routes, self.endpoints,
            self.removedWorkspaces, self.removedRoutes, self.removedEndpoints, self.digest);
    }
};

// Contents of the row `table/head` of the table service: identifies the last accepted change.
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

// Returns the change that turns the rows of `from` into those of `to`. The caller sets digest, changeId and author.
TableDelta diffTables(const Table& from, const Table& to);

// Returns the SHA-256 digest of all members except `digest`, as hexadecimal text.
std::string deltaDigest(const TableDelta&);

// Returns the table after a change. Returns std::nullopt and sets the reason if the change has a different base
// (TableConflict), its digest is wrong (TableDigestMismatch) or checkTable() finds faults in the result (TableInvalid).
std::optional<Table> applyDelta(const Table&, const TableDelta&, Reason&);

enum class RowKind : uint8_t { Workspace, Route, Endpoint };

// A validation error, with the row and column of the invalid cell.
struct TableFault {
    RowKind kind = RowKind::Workspace;
    std::string row; // Identifier of the row.
    std::string column;
    std::string text;
};

// Validates names, value ranges, references between rows, and that each model route has endpoints of its model version
// and adapter for all of its layers. Returns all faults; an empty result means that the table is valid.
std::vector<TableFault> checkTable(const Table&);

} // namespace jacinthspindle
