// The configuration of the router: routes by host and path, workspaces and their keys, services and caller limits.

#pragma once

#include "spindlecore/Types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jacinthspindle {

// What may be done again when an attempt fails after it was sent.
enum class Repeatability : uint8_t {
    Idempotent, // May run more than once.
    AtMostOnce, // May run at most once for each request.
    ResumableStream, // May be continued at another endpoint after the last event that was delivered.
    Stream, // A stream that must not be repeated.
};

// A service that a route sends to, and its share of the route's requests.
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
    std::chrono::milliseconds timeout { 30000 }; // From arrival to the end of the answer.
    std::chrono::milliseconds targetLatency { 500 };
    std::chrono::milliseconds targetPause { 0 }; // Between two events of a stream; 0: not stated.
    uint8_t priority = 1; // 0 is the highest.
    uint32_t maxAttempts = 1; // Endpoints to which one request may be sent.
    bool isPublic = false; // Needs no key.
};

// A kind of accelerator that a model's engines run on.
struct AcceleratorKind {
    double memoryMb = 0;
    double pace = 1; // Time of a token step relative to the reference accelerator.
    double readPace = 1; // Time of prompt processing relative to the reference accelerator.
};

// Times of the reference accelerator for all layers of a model, as the operators declare them. Zero: not declared.
struct EngineTimes {
    std::chrono::duration<double> step {}; // One token step, whatever runs.
    std::chrono::duration<double> perSequence {}; // Added to a step for each request that generates.
    std::chrono::duration<double> perPromptToken {}; // Reading of a prompt.
};

// What is needed to place the layers of a model on engines and to choose among them.
struct ModelLayout {
    uint32_t layers = 0;
    double layerMb = 0;
    double tokenKvBytes = 0; // KV cache of one token over all layers.
    std::chrono::milliseconds loadTime { 0 }; // Of the whole model on one engine.
    uint32_t loadsAtOnce = 1; // Loads that run at full speed at the same time.
    std::map<std::string, AcceleratorKind> kinds;
    EngineTimes times;
    uint32_t usualTokens = 0; // Prompt and answer of the usual request together; 0: not declared.
    uint32_t headSlots = 0; // Requests whose chains begin with one engine; 0: not declared.

    // KV memory that an accelerator has beside this many layers, in tokens of a request that passes through them.
    double tokensBeside(const AcceleratorKind&, uint32_t heldLayers) const;
};

struct ServiceSettings {
    std::string name;
    std::optional<ModelLayout> model; // Nothing for a plain service.
};

// Bounds on what callers may send.
struct CallerLimits {
    uint32_t maxHeaderBytes = 16384;
    uint32_t maxBodyBytes = 4U << 20;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

struct RoutingConfiguration {
    uint64_t version = 0; // Rises with each accepted change; 0: none has been read.
    std::vector<RouteSettings> routes;
    std::vector<ServiceSettings> services;
    std::vector<WorkspaceId> workspaces;
    std::unordered_map<std::string, WorkspaceId> workspaceByKey;
    CallerLimits limits;

    const ServiceSettings* findService(std::string_view name) const;
};

// Finds routes by host and longest prefix. Refers to the configuration it was built from, which must outlive it. The
// cost of a lookup grows with the number of slashes in the path and not with the number of routes.
class RouteIndex {
public:
    explicit RouteIndex(const RoutingConfiguration&);

    // Returns the route with the longest prefix of the path, or nothing. host is without a port.
    const RouteSettings* find(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string_view, std::unordered_map<std::string_view, const RouteSettings*>> m_hosts;
};

// Chooses one of the route's services by weight. The choice depends only on the request's identifier, so that a
// decision can be replayed.
const std::string& chooseService(const RouteSettings&, const RequestId&);

} // namespace jacinthspindle
