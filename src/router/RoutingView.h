// What the traffic thread knows: the configuration in force and the endpoints, as one immutable value that the control
// thread replaces.

#pragma once

#include "router/Ports.h"

#include <memory>
#include <unordered_map>

namespace jacinthspindle::router {

struct RoutingView {
    std::shared_ptr<const RoutingConfiguration> configuration; // Never null in a published view.
    std::shared_ptr<const RouteIndex> routes; // Of configuration.
    std::shared_ptr<const RequestRanks> ranks; // Of configuration.
    std::unordered_map<EndpointId, EndpointSighting> endpoints;

    const EndpointSighting* findEndpoint(const EndpointId&) const;
    const EndpointSighting* findAddress(const std::string& address) const;
};

// Translates configuration and endpoints for the decision core. Each service is one route of the table, named after the
// service; engines without layers are left out. revision must rise from call to call.
Table buildTable(const RoutingConfiguration&, const std::vector<EndpointSighting>&, uint64_t revision);

} // namespace jacinthspindle::router
