// The control thread: follows the platform, owns the decision core and the layout planner, and publishes what the
// traffic thread needs.

#pragma once

#include "router/FactSharing.h"
#include "router/LayoutPlanner.h"
#include "router/PartSharing.h"
#include "router/Traffic.h"

namespace jacinthspindle::router {

// Ports of the control thread to the platform.
struct ControlPorts {
    ConfigurationSource& configurations;
    EndpointSource& endpoints;
    HostRegistry& hosts;
    LeaseStore& lease;
    EngineControl& engines;
};

// Except where stated otherwise, functions are called on the thread that runs the loop.
class Control {
public:
    Control(EventLoop&, const Clock&, Journal&, daemon::Metrics&, const RouterSettings&, ControlPorts,
        const PlannerLeaseConfig&);

    // traffic must outlive the event loop.
    void start(Traffic& traffic);

    // The process has begun to drain.
    void resign();

    // Answers another daemon; see FactSharing and PartSharing.
    net::awaitable<TextAnswer> answerPeer(TextRequest);

    // Thread-safe.
    void postInput(CoreInput);
    void reportSilent(const EndpointId&);
    void postNotice(EndpointNotice);
    void postPartNews();

private:
    net::awaitable<void> followConfiguration();
    net::awaitable<void> followEndpoints();
    net::awaitable<void> tick();
    // An exception ends the process: a core that was left halfway through an input may exceed limits.
    void apply(const CoreInput&) noexcept;
    void pauseAfter(const AttemptFailed&);
    void adopt(const std::shared_ptr<const RoutingConfiguration>&, const std::shared_ptr<const std::string>& document);
    void confirm(Instant at);
    void adoptEndpoints(bool hasChanged);
    Facts tell(const FactQuestion&) const;
    bool adoptFacts(const Facts&, Instant askedAt);
    void publish();
    // Logs an adoption of a configuration or a list of endpoints that held up the control thread.
    void noteAdoption(Instant began);
    void shareRetries();
    void countPeers();
    // Attempts of all daemons of the data centre at its engines, as they were at measuredAt.
    void adoptLoad(const std::vector<EndpointLoad>&, Instant measuredAt);
    void declareAccelerators();
    void noteAdmission();
    // While this daemon reads the platform, asks the heads of chains for the requests of all daemons.
    net::awaitable<void> followHeads();
    net::awaitable<void> askEngine(EndpointSighting);
    void noteLeaving(const EndpointId&);
    void pauseFor(const EndpointId&, Duration);
    // Pauses an endpoint after a failure, unless it is the last one that can do its work. False: no pause began.
    bool pauseFailed(const EndpointId&, const HostId& witness);
    // A head waits for the endpoint at this address.
    void noteSilent(const std::string& address, const EndpointSighting& head);
    // The load of the data centre's engines with what heads reported themselves.
    std::vector<EndpointLoad> withReports(std::vector<EndpointLoad>) const;
    void noteDependency(bool& isUp, bool isUpNow, const char* name, const Reason&);

    EventLoop& m_loop;
    const Clock& m_clock;
    Journal& m_journal;
    daemon::Metrics& m_metrics;
    const RouterSettings& m_settings;
    ControlPorts m_ports;
    Traffic* m_traffic = nullptr;
    DecisionCore m_core;
    EndpointDirectory m_directory;
    EndpointPauses m_pauses;
    LayoutPlanner m_planner;
    FactSharing m_sharing;
    PartSharing m_partSharing;
    std::shared_ptr<const RoutingConfiguration> m_configuration;
    std::shared_ptr<const std::string> m_document; // That m_configuration was decoded from.
    std::shared_ptr<const RouteIndex> m_routes; // Of m_configuration.
    std::shared_ptr<const RequestRanks> m_ranks; // Of m_configuration.
    uint64_t m_publishedVersion = 0; // Of the configuration that the traffic thread has.
    Instant m_confirmedAt {}; // When the platform last vouched for m_configuration, or for its absence.
    size_t m_retryHosts = 0; // Daemons among which the repetitions were last divided.
    size_t m_peers = 0; // As the core was last told.
    enum class Admission : uint8_t { Full, Partial, None };
    std::map<std::pair<RouteId, uint8_t>, Admission> m_loggedAdmission; // By model and priority.
    struct HeadLoad {
        uint32_t requests = 0; // Running and waiting ones.
        Instant reportedAt {};
    };
    std::map<EndpointId, uint32_t> m_paces; // As the core knows them.
    std::map<EndpointId, HeadLoad> m_headLoad; // Of all data centres; only while this daemon reads the platform.
    const FactTiming m_timing;
    uint64_t m_revision = 0; // Of the table in the core.
    bool m_areConfigurationsUp = true; // As last logged.
    bool m_areEndpointsUp = true;
};

} // namespace jacinthspindle::router
