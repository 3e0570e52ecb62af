// Configuration of the router: routes by host and path prefix, workspaces and their API keys, services, and limits for
// callers.

#pragma once

#include "spindlecore/Types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jacinthspindle {

// Whether a request may be retried after an attempt that was sent has failed.
enum class Repeatability : uint8_t {
    Idempotent, // May be executed more than once.
    AtMostOnce, // May be executed at most once for each request.
    ResumableStream, // May be resumed at another endpoint after the last event forwarded to the caller.
    Stream, // A stream that can be neither retried nor resumed.
};

// A service that receives requests of a route. Its share is its weight divided by the sum of the route's weights.
struct ServiceShare {
    std::string service;
    uint32_t weight = 1;
};

struct RouteSettings {
    RouteId route;
    std::string host;
    std::string prefix; // Begins and ends with a slash.
    std::vector<ServiceShare> shares; // At least one.
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::chrono::milliseconds timeout { 30000 }; // From the arrival of the request to the end of the response.
    std::chrono::milliseconds targetLatency { 500 };
    std::chrono::milliseconds targetEventGap { 0 }; // Objective for the time between two stream events; 0: not set.
    uint8_t priority = 1; // 0 is the highest.
    uint32_t maxAttempts = 1; // Maximum number of endpoints to which a request is sent.
    bool isPublic = false; // Requires no API key.
};

// A kind of accelerator that a model's engines run on.
struct AcceleratorKind {
    double memoryMb = 0;
    double stepTimeRatio = 1; // Time of a decoding step relative to the reference accelerator; 2 is half as fast.
    double promptTimeRatio = 1; // Time of prompt processing (prefill) relative to the reference accelerator.
};

// Processing times of the reference accelerator for all layers of a model, as configured. Zero: not configured.
struct EngineTimes {
    std::chrono::duration<double> step {}; // Fixed part of a decoding step.
    std::chrono::duration<double> perSequence {}; // Added to a decoding step for each request that generates tokens.
    std::chrono::duration<double> perPromptToken {}; // Prompt processing (prefill), per token.
};

// Parameters of a model that determine how its layers are placed on engines and which engines are chosen.
struct ModelLayout {
    uint32_t layers = 0;
    double layerMb = 0;
    double tokenKvBytes = 0; // KV cache size of one token over all layers, in bytes.
    std::chrono::milliseconds loadTime { 0 }; // For all layers on one engine.
    uint32_t concurrentLoads = 1; // Number of concurrent loads that run at full speed.
    std::map<std::string, AcceleratorKind> kinds; // By accelerator name.
    EngineTimes times;
    uint32_t typicalTokens = 0; // Tokens of a typical request, prompt and completion together; 0: not configured.
    uint32_t headSlots = 0; // Concurrent requests per engine at the head of a chain; 0: not configured.

    // Returns the KV cache capacity in tokens that is left on an accelerator beside the weights of heldLayers layers.
    // Each token needs KV memory for these layers only. Returns 0 when heldLayers or the KV cache size of a token is 0.
    double kvCapacityTokens(const AcceleratorKind&, uint32_t heldLayers) const;
};

struct ServiceSettings {
    std::string name;
    std::optional<ModelLayout> model; // Empty for a service that runs no model.
};

// Limits on the size and timing of caller requests.
struct CallerLimits {
    uint32_t maxHeaderBytes = 16384;
    uint32_t maxBodyBytes = 4U << 20;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

// Of requests without a key. It is counted like any other workspace, and no endpoint is told of it.
inline const WorkspaceId noWorkspace;

struct RoutingConfiguration {
    uint64_t version = 0; // Increases with each accepted change; 0: no configuration has been read.
    std::vector<RouteSettings> routes;
    std::vector<ServiceSettings> services;
    std::vector<WorkspaceId> workspaces; // Starts with noWorkspace.
    std::unordered_map<std::string, WorkspaceId> workspaceByKey; // By API key.
    std::unordered_map<WorkspaceId, uint8_t> workspacePriorities; // Only of workspaces that have one.
    CallerLimits limits;

    bool hasKeys() const { return workspaces.size() > 1; }
    // Returns null when there is no service of this name.
    const ServiceSettings* findService(std::string_view name) const;
};

// Ranks of the requests to models whose routes differ in priority. A request ranks by the priority of its workspace, if
// that has one, and then by that of its route.
class RequestRanks {
public:
    RequestRanks() = default;
    explicit RequestRanks(const RoutingConfiguration&);

    // Ranks that are told apart; further ones share the last.
    static constexpr uint8_t maxRanks = 10;
    // Returns the rank among the requests to the service, 0 for the most urgent; nothing if the routes to the service
    // have all the same priority or it runs no model.
    std::optional<uint8_t> find(const std::string& service, const RouteSettings&, const WorkspaceId&) const;
    size_t models() const { return m_ranks.size(); }

private:
    using Priorities = std::pair<uint8_t, uint8_t>; // Of the workspace, or else of the route; of the route.
    Priorities prioritiesOf(const RouteSettings&, const WorkspaceId&) const;

    std::unordered_map<WorkspaceId, uint8_t> m_workspacePriorities;
    std::unordered_map<std::string, std::map<Priorities, uint8_t>> m_ranks; // By service.
};

// Finds routes by host and longest path prefix. Holds pointers into the configuration, which must outlive the index.
// The cost of a lookup grows with the number of slashes in the path, not with the number of routes.
class RouteIndex {
public:
    explicit RouteIndex(const RoutingConfiguration&);

    // Returns the route of the host whose prefix is the longest match, or null. host has no port; a query in the path
    // is ignored.
    const RouteSettings* find(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string_view, std::unordered_map<std::string_view, const RouteSettings*>> m_hosts;
};

// Chooses one of the route's services by weight. The choice depends only on the shares and the request identifier, so
// that it can be replayed. Without any weight, the first service is chosen.
const std::string& chooseService(const RouteSettings&, const RequestId&);

} // namespace jacinthspindle
