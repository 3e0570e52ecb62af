// Route lookup, weighted choice of services, and KV cache capacity.

#include "spindlecore/RoutingConfiguration.h"

#include "spindlecore/internal/Digest.h"

#include <algorithm>

namespace jacinthspindle {

double ModelLayout::kvCapacityTokens(const AcceleratorKind& kind, uint32_t heldLayers) const
{
    constexpr double bytesPerMb = 1e6;
    double free = std::max(0.0, kind.memoryMb - heldLayers * layerMb);
    double perToken = layers ? tokenKvBytes / layers * heldLayers : 0;
    return perToken > 0 ? free * bytesPerMb / perToken : 0;
}

const ServiceSettings* RoutingConfiguration::findService(std::string_view name) const
{
    auto it = std::find_if(services.begin(), services.end(), [&](const auto& service) { return service.name == name; });
    return it == services.end() ? nullptr : &*it;
}

RequestRanks::RequestRanks(const RoutingConfiguration& configuration)
    : m_workspacePriorities(configuration.workspacePriorities)
{
    std::map<std::string, std::vector<const RouteSettings*>> routes; // By service.
    for (const auto& route : configuration.routes) {
        for (const auto& share : route.shares)
            routes[share.service].push_back(&route);
    }
    for (const auto& entry : routes) {
        const auto& ofService = entry.second;
        const auto* service = configuration.findService(entry.first);
        auto differs = [&](const RouteSettings* it) { return it->priority != ofService.front()->priority; };
        if (!service || !service->model || std::none_of(ofService.begin(), ofService.end(), differs))
            continue;
        std::map<Priorities, uint8_t> ranks;
        for (const auto* route : ofService) {
            for (const auto& workspace : configuration.workspaces)
                ranks.emplace(prioritiesOf(*route, workspace), 0);
        }
        uint8_t next = 0;
        for (auto& it : ranks) {
            it.second = next;
            next = std::min<uint8_t>(next + 1, maxRanks - 1);
        }
        m_ranks.emplace(entry.first, std::move(ranks));
    }
}

RequestRanks::Priorities RequestRanks::prioritiesOf(const RouteSettings& route, const WorkspaceId& workspace) const
{
    auto it = m_workspacePriorities.find(workspace);
    return { it == m_workspacePriorities.end() ? route.priority : it->second, route.priority };
}

std::optional<uint8_t> RequestRanks::find(
    const std::string& service, const RouteSettings& route, const WorkspaceId& workspace) const
{
    auto ranks = m_ranks.find(service);
    if (ranks == m_ranks.end())
        return std::nullopt;
    auto it = ranks->second.find(prioritiesOf(route, workspace));
    return it == ranks->second.end() ? static_cast<uint8_t>(maxRanks - 1) : it->second;
}

RouteIndex::RouteIndex(const RoutingConfiguration& configuration)
{
    for (const auto& route : configuration.routes)
        m_hosts[route.host].emplace(route.prefix, &route);
}

const RouteSettings* RouteIndex::find(std::string_view host, std::string_view path) const
{
    auto prefixes = m_hosts.find(host);
    if (prefixes == m_hosts.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    // Every prefix ends with a slash, so only the parts of the path up to a slash can match. The longest is tried
    // first.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        auto route = prefixes->second.find(path.substr(0, slash + 1));
        if (route != prefixes->second.end())
            return route->second;
        if (!slash)
            break;
    }
    return nullptr;
}

const std::string& chooseService(const RouteSettings& route, const RequestId& request)
{
    uint64_t total = 0;
    for (const auto& it : route.shares)
        total += it.weight;
    if (route.shares.size() == 1 || !total)
        return route.shares.front().service;
    uint64_t point = internal::sha256Prefix64(request.value()) % total;
    for (const auto& it : route.shares) {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return route.shares.back().service;
}

} // namespace jacinthspindle
