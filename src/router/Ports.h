// Ports of the router to the platform and to engines. The platform adapter implements them; tests bring fakes. Each
// implementation belongs to one event loop and is used only there.

#pragma once

#include "router/Net.h"

#include <spindlecore/spindlecore.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle::router {

// What the platform says about the configuration.
struct ConfigurationSighting {
    std::shared_ptr<const RoutingConfiguration> configuration; // Null when it has not changed.
    // The text that it was decoded from, in the platform's format, for other daemons; see decode().
    std::shared_ptr<const std::string> document;
    Instant confirmedAt {}; // No later than the moment at which the platform vouched for it.
};

class ConfigurationSource {
public:
    virtual ~ConfigurationSource() = default;
    // Waits for a change, or for the confirmation that there is none. Nothing when the platform did not answer;
    // lastReason() then tells why.
    virtual net::awaitable<std::optional<ConfigurationSighting>> next() = 0;
    // Decodes a document that another daemon received; null when it is unreadable.
    virtual std::shared_ptr<const RoutingConfiguration> decode(const std::string& document) const = 0;
    virtual Reason lastReason() const = 0;
};

// Layers that an endpoint may say it holds, as by the rules of the table: what looks at each of them must end.
inline constexpr uint32_t mostLayers = 4096;

// A sound endpoint may be silent for a second or so, and go on.
inline constexpr std::chrono::milliseconds longestSoundSilence { 2000 };

// One endpoint as the platform lists it.
struct EndpointSighting {
    EndpointId endpoint; // Names one start of the endpoint; a restart is another one.
    std::string instance; // What the endpoint calls itself.
    std::string service;
    DataCentreId dataCentre;
    std::string address; // "IP:port".
    std::string accelerator; // Empty for a plain service.
    uint32_t slots = 1;
    bool isLeaving = false;
    LayerRange layers; // Empty for a plain service and for an engine without layers.
    uint64_t heartbeats = 0; // Rises while the endpoint lives.
    // Time that it takes, of the usual time of its kind of accelerator, by its last report; 100 before the first one.
    uint32_t pacePercent = 100;

    bool operator==(const EndpointSighting&) const = default;
};

// What an endpoint said about itself beside an answer.
struct EndpointNotice {
    EndpointId endpoint;
    bool isLeaving = false; // It takes no new requests.
    std::optional<Duration> pause; // For how long it wants nothing from this daemon.
};

class EndpointSource {
public:
    virtual ~EndpointSource() = default;
    // Nothing when the platform did not answer; lastReason() then tells why.
    virtual net::awaitable<std::optional<std::vector<EndpointSighting>>> list() = 0;
    virtual Reason lastReason() const = 0;
};

// The platform's list of the daemons that answer each other.
class HostRegistry {
public:
    virtual ~HostRegistry() = default;
    // Nothing when the platform did not answer.
    virtual net::awaitable<std::optional<std::vector<PeerHost>>> list() = 0;
    // Adds this daemon, or replaces its entry. False when that is not certain.
    virtual net::awaitable<bool> enter(PeerHost) = 0;
};

struct LeaseRow {
    uint64_t version = 0; // 0: absent.
    std::string holder;
};

class LeaseStore {
public:
    virtual ~LeaseStore() = default;
    virtual net::awaitable<std::optional<LeaseRow>> read() = 0;
    // Of the store's contents, by its last answer to any call; see PlannerLease::updateEra().
    virtual uint64_t era() const = 0;
    // Returns the outcome, and the new version of the row when it was committed.
    virtual net::awaitable<std::pair<CommitOutcome, uint64_t>> write(uint64_t expectedVersion, std::string holder) = 0;
};

// A request whose work waits for an endpoint that does not answer the head of its chain.
struct StalledRequest {
    RequestId request;
    std::string address; // Of the endpoint that does not answer.
};

// What an engine says of itself. It is some hundred milliseconds old.
struct EngineReport {
    std::string born; // Names the start of the engine; see EndpointSighting::endpoint.
    uint64_t acceptedOrders = 0; // Since its start.
    bool isBusy = false; // An order is in progress.
    uint32_t running = 0; // Requests of all daemons.
    uint32_t waiting = 0;
    uint32_t pacePercent = 100; // See EndpointSighting.
    bool isLeaving = false;
    LayerRange layers;
    std::vector<StalledRequest> stalled;
};

// False when another endpoint has started at the address: addresses are used again, and the report is of that one.
bool isSameStart(const EndpointSighting&, const EngineReport&);

class EngineControl {
public:
    virtual ~EngineControl() = default;
    virtual net::awaitable<std::optional<EngineReport>> report(std::string address, std::chrono::milliseconds timeout)
        = 0;
    // Orders the engine to hold exactly these layers, if it has accepted expectedOrders orders so far. Any other
    // instance at its address refuses the order. mayOrder is asked right before the order is sent; Failed without an
    // order when it says no.
    virtual net::awaitable<OrderOutcome> place(const EndpointSighting&, LayerRange layers, uint64_t expectedOrders,
        std::chrono::milliseconds timeout, std::function<bool()> mayOrder)
        = 0;
};

} // namespace jacinthspindle::router
