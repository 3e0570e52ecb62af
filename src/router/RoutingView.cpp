// Lookups of endpoints, and the table of the decision core.

#include "router/RoutingView.h"

#include <algorithm>

namespace jacinthspindle::router {

namespace {

    // Engines of one data centre are joined by links so fast that the accelerators bound the time of a token.
    constexpr uint32_t engineLinkMbps = 100000;
    // Bounds the requests at a stage with much memory; the time of a step rises with each of them.
    constexpr double mostStreams = 1000;
    // Callers state their own bound; the core clamps it to this.
    constexpr uint32_t mostTokens = 2048;

    RouteRow routeRowOf(const ServiceSettings& service)
    {
        RouteRow row;
        row.route = RouteId(service.name);
        row.kind = service.model ? RouteKind::Model : RouteKind::Service;
        row.target = service.name;
        row.layers = service.model ? service.model->layers : 0;
        row.maxTokens = mostTokens;
        return row;
    }

    // Requests that an engine can run at once. Its own slots count only for chains that begin with it; what passes
    // through another stage takes memory alone.
    uint32_t slotsOf(const EndpointSighting& sighting, const ServiceSettings& service)
    {
        uint32_t declared = std::max(1U, sighting.slots);
        if (!service.model || !service.model->typicalTokens)
            return declared;
        auto kind = service.model->kinds.find(sighting.accelerator);
        if (kind == service.model->kinds.end())
            return declared;
        double tokens = service.model->kvCapacityTokens(kind->second, sighting.layers.count());
        auto inMemory = static_cast<uint32_t>(std::clamp(tokens / service.model->typicalTokens, 1.0, mostStreams));
        return sighting.layers.first ? inMemory : std::min(declared, inMemory);
    }

    EndpointRow endpointRowOf(const EndpointSighting& sighting, const ServiceSettings& service)
    {
        EndpointRow row;
        row.endpoint = sighting.endpoint;
        row.dataCentre = sighting.dataCentre;
        row.kind = service.model ? EndpointKind::Engine : EndpointKind::Service;
        row.target = sighting.service;
        row.layers = service.model ? sighting.layers : LayerRange {};
        row.address = sighting.address;
        row.accelerator = sighting.accelerator;
        row.slots = slotsOf(sighting, service);
        row.linkMbps = engineLinkMbps;
        row.state = sighting.isLeaving ? AdminState::Draining : AdminState::Active;
        return row;
    }

} // namespace

bool isSameStart(const EndpointSighting& endpoint, const EngineReport& report)
{
    return endpoint.endpoint.value().ends_with('@' + report.born);
}

const EndpointSighting* RoutingView::findEndpoint(const EndpointId& id) const
{
    auto it = endpoints.find(id);
    return it == endpoints.end() ? nullptr : &it->second;
}

const EndpointSighting* RoutingView::findAddress(const std::string& address) const
{
    auto it = std::find_if(
        endpoints.begin(), endpoints.end(), [&](const auto& entry) { return entry.second.address == address; });
    return it == endpoints.end() ? nullptr : &it->second;
}

Table buildTable(
    const RoutingConfiguration& configuration, const std::vector<EndpointSighting>& endpoints, uint64_t revision)
{
    Table table;
    table.revision = revision;
    for (const auto& it : configuration.workspaces)
        table.workspaces.push_back({ it, 1, 0, 0, 0 });
    for (const auto& it : configuration.services)
        table.routes.push_back(routeRowOf(it));
    for (const auto& it : endpoints) {
        const auto* service = configuration.findService(it.service);
        if (service && (!service->model || it.layers.count()))
            table.endpoints.push_back(endpointRowOf(it, *service));
    }
    table.normalize();
    return table;
}

} // namespace jacinthspindle::router
