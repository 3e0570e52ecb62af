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
