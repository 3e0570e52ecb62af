// Carries out the placement of layers: holds the planner's lease, asks engines what they hold, and orders.

#pragma once

#include "router/EndpointDirectory.h"
#include "router/EventLoop.h"
#include "router/Journal.h"

namespace jacinthspindle::router {

// Belongs to the control thread.
class LayoutPlanner {
public:
    LayoutPlanner(
        EventLoop&, const Clock&, Journal&, LeaseStore&, EngineControl&, const EndpointDirectory&, PlannerLeaseConfig);

    // Runs until the event loop ends.
    net::awaitable<void> run();

    void adopt(std::shared_ptr<const RoutingConfiguration> configuration)
    {
        m_configuration = std::move(configuration);
    }
    // Whether this daemon may gain the lease. One that holds it keeps it.
    void setCandidate(bool isCandidate) { m_isCandidate = isCandidate; }
    // The process ends soon: another daemon is to plan.
    void resign() { m_lease.resign(); }

private:
    // What is known of an engine beside its entry in the list, after an attempt to order it.
    struct Ordered {
        LayerRange layers; // That it holds or will hold.
        Instant until {}; // The engine's own entry decides again from then on.
        // It refused, because it carries out another order. Otherwise the entry decides as soon as it shows the layers.
        bool isOccupied = false;
    };

    net::awaitable<void> advanceLease();
    // True when the store has come back from an older copy since the last action of the lease was begun.
    bool isOfFormerEra(Instant now);
    net::awaitable<void> plan(const std::string& service, ModelLayout);
    net::awaitable<void> carryOut(EndpointSighting, LayerRange, ModelLayout);
    // False when the engine's entry or its model has changed since the order was planned, so that the engine may not
    // hold these layers.
    bool isStillDue(const EndpointSighting& planned, LayerRange) const;
    std::vector<PlacedEngine> enginesOf(const std::string& service, Instant now);
    bool isListSettled(Instant now);

    EventLoop& m_loop;
    const Clock& m_clock;
    Journal& m_journal;
    LeaseStore& m_store;
    EngineControl& m_control;
    const EndpointDirectory& m_directory;
    PlannerLeaseConfig m_leaseConfig;
    PlannerLease m_lease;
    bool m_isCandidate = true;
    uint64_t m_term = 0; // As last logged; 0 while the lease is not held.
    std::shared_ptr<const RoutingConfiguration> m_configuration;
    std::map<EndpointId, Ordered> m_ordered;
    std::map<std::string, OutageDetector> m_outageDetectors; // By service.
    // Whether the list of endpoints is complete after the start of this process.
    bool m_isSettled = false;
    size_t m_listed = 0; // Endpoints at the last look.
    Instant m_firstListedAt {};
    Instant m_grownAt {}; // When the number of endpoints last changed.
};

} // namespace jacinthspindle::router
