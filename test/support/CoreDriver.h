// Test driver for a DecisionCore: advances a manual clock and returns the decisions for each input.

#pragma once

#include "support/SampleTable.h"

#include <algorithm>
#include <string>
#include <vector>

namespace jacinthspindle::test {

using namespace std::chrono_literals;

inline CoreConfig coreConfig(uint64_t seed = 1)
{
    CoreConfig config;
    config.dataCentre = DataCentreId("north");
    config.seed = seed;
    return config;
}

class CoreDriver {
public:
    explicit CoreDriver(const CoreConfig& config = coreConfig())
        : m_core(config)
    {
    }

    std::vector<CoreDecision> send(const CoreInput& input)
    {
        std::vector<CoreDecision> decisions;
        m_core.apply(m_now, input, decisions);
        return decisions;
    }

    std::vector<CoreDecision> adopt(const Table& table)
    {
        return send(TableAdopted { std::make_shared<const Table>(table) });
    }

    std::vector<CoreDecision> arrive(const std::string& id, const std::string& workspace = "school",
        const std::string& route = "assistant", Duration deadline = 30s)
    {
        return send(
            RequestArrived { RequestId(id), WorkspaceId(workspace), RouteId(route), 100, 200, 0, {}, deadline });
    }

    std::vector<CoreDecision> finish(const std::string& id, uint32_t attempt = 1, uint32_t tokens = 50)
    {
        return send(RequestFinished { RequestId(id), attempt, tokens });
    }

    std::vector<CoreDecision> fail(const std::string& id, uint32_t attempt, const EndpointId& endpoint,
        uint32_t position = 0, FailureKind kind = FailureKind::StreamBroken)
    {
        return send(AttemptFailed { RequestId(id), attempt, endpoint, kind, position, true });
    }

    std::vector<CoreDecision> tick(Duration step = 100ms)
    {
        m_now += step;
        return send(Tick { ++m_tick });
    }

    void advance(Duration step) { m_now += step; }
    CoreStatus status() const { return m_core.status(); }
    std::vector<EndpointLoad> ownLoad() const { return m_core.ownLoad(); }
    std::vector<ModelAdmission> admission() const { return m_core.admission(); }

private:
    DecisionCore m_core;
    Instant m_now { 1h };
    uint32_t m_tick = 0;
};

template <typename Decision> const Decision* firstOf(const std::vector<CoreDecision>& decisions)
{
    for (const auto& it : decisions) {
        if (const auto* found = std::get_if<Decision>(&it))
            return found;
    }
    return nullptr;
}

inline bool uses(const Dispatch& dispatch, const EndpointId& endpoint)
{
    return std::any_of(
        dispatch.chain.begin(), dispatch.chain.end(), [&](const StageHop& hop) { return hop.endpoint == endpoint; });
}

// Returns whether the chain covers [0, layers) exactly once and in order, and each stage lies within the layers that
// its endpoint holds in the table.
inline bool coversOnce(const Chain& chain, uint32_t layers, const Table& table)
{
    uint32_t reached = 0;
    for (const auto& hop : chain) {
        const auto* row = table.findEndpoint(hop.endpoint);
        bool isInside = row && row->layers.first <= hop.layers.first && hop.layers.end <= row->layers.end;
        if (!isInside || hop.layers.first != reached || hop.layers.end <= hop.layers.first)
            return false;
        reached = hop.layers.end;
    }
    return reached == layers;
}

} // namespace jacinthspindle::test
