// Bounded subsets of endpoints by rendezvous hashing.

#include "spindlecore/internal/ChainPlanner.h"

#include <algorithm>
#include <map>

namespace jacinthspindle::internal {

namespace {

    // Mixes two numbers (the finalizer of splitmix64).
    uint64_t mix(uint64_t a, uint64_t b)
    {
        uint64_t value = a ^ (b * 0x9e3779b97f4a7c15ULL);
        value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ value >> 27) * 0x94d049bb133111ebULL;
        return value ^ value >> 31;
    }

    bool serves(const EndpointRow& row, const RouteRow& route)
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

    uint32_t boundaryIndex(const Pool& pool, uint32_t layer)
    {
        auto it = std::lower_bound(pool.boundaries.begin(), pool.boundaries.end(), std::min(layer, pool.layers));
        return static_cast<uint32_t>(it - pool.boundaries.begin());
    }

    // Keeps the members with the greatest ranks; the rank depends only on the daemon's seed and the endpoint.
    void keepBest(std::vector<EndpointIndex>& members, size_t count, const EndpointBook& book, uint64_t seed)
    {
        std::sort(members.begin(), members.end(), [&](EndpointIndex a, EndpointIndex b) {
            auto rankA = mix(seed, book[a].hash);
            auto rankB = mix(seed, book[b].hash);
            return rankA != rankB ? rankA > rankB : book[a].row.endpoint < book[b].row.endpoint;
        });
        if (members.size() > count)
            members.resize(count);
    }

    bool coversAll(const Pool& pool)
    {
        uint32_t reached = 0;
        // Groups are in ascending order of their first layer.
        for (const auto& it : pool.groups) {
            if (it.layers.first <= reached)
                reached = std::max(reached, it.layers.end);
        }
        return !pool.groups.empty() && reached >= pool.layers;
    }

} // namespace

Pool buildPool(const EndpointBook& book, const RouteRow& route, const SubsetSettings& settings)
{
    Pool pool;
    pool.kind = route.kind;
    pool.layers = route.kind == RouteKind::Model ? route.layers : 0;
    struct Members {
        std::vector<EndpointIndex> local;
        std::vector<EndpointIndex> remote;
    };
    std::map<LayerRange, Members> byRange;
    for (EndpointIndex i = 0; i < book.size(); ++i) {
        const auto& row = book[i].row;
        if (!book[i].mayServe() || !serves(row, route))
            continue;
        auto layers
            = pool.layers ? LayerRange { row.layers.first, std::min(row.layers.end, pool.layers) } : LayerRange {};
        auto& members = byRange[layers];
        (row.dataCentre == settings.dataCentre ? members.local : members.remote).push_back(i);
    }
    pool.boundaries = { 0 };
    for (const auto& it : byRange) {
        pool.boundaries.push_back(it.first.first);
        pool.boundaries.push_back(it.first.end);
    }
    if (pool.layers)
        pool.boundaries.push_back(pool.layers);
    std::sort(pool.boundaries.begin(), pool.boundaries.end());
    pool.boundaries.erase(std::unique(pool.boundaries.begin(), pool.boundaries.end()), pool.boundaries.end());
    for (auto& [layers, members] : byRange) {
        keepBest(members.local, settings.localPerGroup, book, settings.seed);
        size_t missing = settings.localPerGroup - members.local.size();
        keepBest(members.remote, settings.remotePerGroup + missing, book, settings.seed);
        StageGroup group { layers, boundaryIndex(pool, layers.first), boundaryIndex(pool, layers.end), members.local };
        group.members.insert(group.members.end(), members.remote.begin(), members.remote.end());
        pool.groups.push_back(std::move(group));
    }
    pool.isCovered = coversAll(pool);
    return pool;
}

} // namespace jacinthspindle::internal
