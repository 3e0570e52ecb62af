// Builds pools: subsets of endpoints of bounded size, selected by rendezvous hashing.

#include "spindlecore/internal/ChainPlanner.h"

#include <algorithm>
#include <map>

namespace jacinthspindle::internal {

namespace {

    // Hashes two numbers into one with the finalizer of splitmix64.
    uint64_t mix(uint64_t a, uint64_t b)
    {
        uint64_t value = a ^ (b * 0x9e3779b97f4a7c15ULL);
        value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ value >> 27) * 0x94d049bb133111ebULL;
        return value ^ value >> 31;
    }

    bool matchesRoute(const EndpointRow& row, const RouteRow& route)
    {
        if (row.target != route.target)
            return false;
        if (route.kind == RouteKind::Service)
            return row.kind == EndpointKind::Service;
        bool hasAdapter = route.adapter.empty()
            || std::find(row.adapters.begin(), row.adapters.end(), route.adapter) != row.adapters.end();
        return row.kind == EndpointKind::Engine && row.version == route.version && hasAdapter
            && row.layers.first < route.layers && row.layers.count();
    }

    // Returns the index of the first boundary that is not below the layer.
    uint32_t boundaryIndex(const Pool& pool, uint32_t layer)
    {
        auto it = std::lower_bound(pool.boundaries.begin(), pool.boundaries.end(), std::min(layer, pool.layers));
        return static_cast<uint32_t>(it - pool.boundaries.begin());
    }

    // Keeps the members with the highest ranks (rendezvous hashing). A rank depends only on the daemon's seed and the
    // endpoint, so that a change of other endpoints does not affect it.
    void keepHighestRanked(
        std::vector<EndpointIndex>& members, size_t count, const EndpointRegistry& registry, uint64_t seed)
    {
        std::sort(members.begin(), members.end(), [&](EndpointIndex a, EndpointIndex b) {
            auto rankA = mix(seed, registry[a].hash);
            auto rankB = mix(seed, registry[b].hash);
            return rankA != rankB ? rankA > rankB : registry[a].row.endpoint < registry[b].row.endpoint;
        });
        if (members.size() > count)
            members.resize(count);
    }

    bool coversAllLayers(const Pool& pool)
    {
        uint32_t reached = 0;
        // Groups are sorted by first layer in ascending order.
        for (const auto& it : pool.groups) {
            if (it.layers.first <= reached)
                reached = std::max(reached, it.layers.end);
        }
        return !pool.groups.empty() && reached >= pool.layers;
    }

    using MembersByRange = std::map<LayerRange, std::vector<EndpointIndex>>;

    Pool makePool(RouteKind kind, uint32_t layers, const MembersByRange& byRange)
    {
        Pool pool;
        pool.kind = kind;
        pool.layers = layers;
        pool.boundaries = { 0 };
        for (const auto& it : byRange) {
            pool.boundaries.push_back(it.first.first);
            pool.boundaries.push_back(it.first.end);
        }
        if (layers)
            pool.boundaries.push_back(layers);
        std::sort(pool.boundaries.begin(), pool.boundaries.end());
        pool.boundaries.erase(std::unique(pool.boundaries.begin(), pool.boundaries.end()), pool.boundaries.end());
        for (const auto& [range, members] : byRange)
            pool.groups.push_back({ range, boundaryIndex(pool, range.first), boundaryIndex(pool, range.end), members });
        pool.isCovered = coversAllLayers(pool);
        return pool;
    }

    // Splits a pool by data centre; the daemon's own data centre comes first.
    std::vector<Pool> splitByDataCentre(
        const Pool& pool, const EndpointRegistry& registry, const DataCentreId& ownDataCentre)
    {
        std::map<DataCentreId, MembersByRange> byDataCentre;
        for (const auto& group : pool.groups) {
            for (auto index : group.members)
                byDataCentre[registry[index].row.dataCentre][group.layers].push_back(index);
        }
        std::vector<Pool> parts;
        auto local = byDataCentre.extract(ownDataCentre);
        // The first part is empty when the own data centre has no endpoints.
        parts.push_back(makePool(pool.kind, pool.layers, local ? local.mapped() : MembersByRange()));
        for (auto& it : byDataCentre)
            parts.push_back(makePool(pool.kind, pool.layers, it.second));
        return parts;
    }

} // namespace

Pool buildPool(const EndpointRegistry& registry, const RouteRow& route, const SubsetSettings& settings)
{
    struct Members {
        std::vector<EndpointIndex> local;
        std::vector<EndpointIndex> remote;
    };
    uint32_t layers = route.kind == RouteKind::Model ? route.layers : 0;
    std::map<LayerRange, Members> byRange;
    for (EndpointIndex i = 0; i < registry.size(); ++i) {
        const auto& row = registry[i].row;
        if (!registry[i].mayServe() || !matchesRoute(row, route))
            continue;
        auto range = layers ? LayerRange { row.layers.first, std::min(row.layers.end, layers) } : LayerRange {};
        auto& members = byRange[range];
        (row.dataCentre == settings.dataCentre ? members.local : members.remote).push_back(i);
    }
    MembersByRange kept;
    for (auto& [range, members] : byRange) {
        keepHighestRanked(members.local, settings.localPerGroup, registry, settings.seed);
        size_t missing = settings.localPerGroup - members.local.size();
        keepHighestRanked(members.remote, settings.remotePerGroup + missing, registry, settings.seed);
        auto& all = kept[range] = std::move(members.local);
        all.insert(all.end(), members.remote.begin(), members.remote.end());
    }
    auto pool = makePool(route.kind, layers, kept);
    if (layers)
        pool.dataCentres = splitByDataCentre(pool, registry, settings.dataCentre);
    return pool;
}

} // namespace jacinthspindle::internal
