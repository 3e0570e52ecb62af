// Estimates service times and corrects the estimates by measurements of whole chains.

#include "spindlecore/internal/ServiceModel.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // Estimates before the first measurement, in seconds.
    constexpr LayerTime initialLayerTime { 0.00003, 0.0015 };
    constexpr double initialCallTime = 0.05;
    // Share of a measured error by which the estimate of a kind and the factor of an endpoint are corrected.
    constexpr double kindLearningRate = 0.05;
    constexpr double factorLearningRate = 0.05;
    // Rate at which factors return to 1 with each measurement, so that an endpoint avoided as slow is tried again.
    constexpr double factorRecoveryRate = 0.002;
    constexpr double minLatencyFactor = 0.2;
    constexpr double maxLatencyFactor = 50;
    // Bounds on the ratio of a measured to an estimated time, which limit the effect of a single outlier.
    constexpr double minErrorRatio = 0.5;
    constexpr double maxErrorRatio = 4;
    // Size of the activations of one token that a stage sends to the next one.
    constexpr double activationBits = 8192 * 8;
    // Cost per token of a link between two data centres. All chains between two data centres share one network link,
    // which about 60 prompts per second fill. With this cost a chain crosses only where its data centre lacks a layer
    // or free slots for it.
    constexpr double crossDataCentreSeconds = 0.005;

} // namespace

LayerTime& ServiceModel::kindTime(uint32_t kind)
{
    if (kind >= m_timePerKind.size())
        m_timePerKind.resize(kind + 1, initialLayerTime);
    return m_timePerKind[kind];
}

LayerTime ServiceModel::kindTime(uint32_t kind) const
{
    return kind < m_timePerKind.size() ? m_timePerKind[kind] : initialLayerTime;
}

LayerTime ServiceModel::layerTime(const EndpointEntry& entry) const
{
    auto time = kindTime(entry.kind);
    double slowdown = entry.latencyFactor * entry.pace;
    return { time.prefill * slowdown, time.decode * slowdown, time.perSequence * slowdown };
}

double ServiceModel::linkTime(const EndpointEntry& from, const EndpointEntry& to) const
{
    double bitsPerSecond = 1e6 * std::max(1U, std::min(from.row.linkMbps, to.row.linkMbps));
    bool crossesDataCentres = from.row.dataCentre != to.row.dataCentre;
    return activationBits / bitsPerSecond + (crossesDataCentres ? crossDataCentreSeconds : 0);
}

double ServiceModel::decodeTime(
    const EndpointRegistry& registry, const std::vector<EndpointIndex>& hops, const Chain& chain) const
{
    double seconds = 0;
    for (size_t i = 0; i < hops.size(); ++i) {
        seconds += chain[i].layers.count() * layerTime(registry[hops[i]]).decode;
        if (i)
            seconds += linkTime(registry[hops[i - 1]], registry[hops[i]]);
    }
    return seconds;
}

double ServiceModel::prefillTime(
    const EndpointRegistry& registry, const std::vector<EndpointIndex>& hops, const Chain& chain, double tokens) const
{
    double seconds = 0;
    for (size_t i = 0; i < hops.size(); ++i) {
        seconds += tokens * chain[i].layers.count() * layerTime(registry[hops[i]]).prefill;
        if (i)
            seconds += tokens * activationBits
                / (1e6 * std::max(1U, std::min(registry[hops[i - 1]].row.linkMbps, registry[hops[i]].row.linkMbps)));
    }
    return seconds;
}

void ServiceModel::learnDecode(
    EndpointRegistry& registry, const std::vector<EndpointIndex>& hops, const Chain& chain, double seconds)
{
    double estimate = decodeTime(registry, hops, chain);
    if (estimate <= 0 || seconds <= 0)
        return;
    // Only whole chains are measured. The error is split among the endpoints in proportion to their share of the
    // estimate. Over many different chains the errors of the other endpoints cancel out and that of a slow endpoint
    // remains.
    double error = std::clamp(seconds / estimate, minErrorRatio, maxErrorRatio) - 1;
    for (size_t i = 0; i < hops.size(); ++i) {
        auto& entry = registry[hops[i]];
        double share = chain[i].layers.count() * layerTime(entry).decode / estimate;
        kindTime(entry.kind).decode *= 1 + kindLearningRate * error * share;
        entry.latencyFactor *= 1 + factorLearningRate * error * share;
        entry.latencyFactor += factorRecoveryRate * (1 - entry.latencyFactor);
        entry.latencyFactor = std::clamp(entry.latencyFactor, minLatencyFactor, maxLatencyFactor);
    }
}

void ServiceModel::learnPrefill(EndpointRegistry& registry, const std::vector<EndpointIndex>& hops, const Chain& chain,
    double tokens, double seconds)
{
    double estimate = prefillTime(registry, hops, chain, tokens);
    if (estimate <= 0 || seconds <= 0)
        return;
    double error = std::clamp(seconds / estimate, minErrorRatio, maxErrorRatio) - 1;
    for (size_t i = 0; i < hops.size(); ++i) {
        auto& entry = registry[hops[i]];
        double share = tokens * chain[i].layers.count() * layerTime(entry).prefill / estimate;
        kindTime(entry.kind).prefill *= 1 + kindLearningRate * error * share;
    }
}

double ServiceModel::callTime(const EndpointEntry& entry) const
{
    return initialCallTime * entry.latencyFactor;
}

void ServiceModel::learnCall(EndpointEntry& entry, double seconds)
{
    entry.latencyFactor += 0.1 * (std::clamp(seconds / initialCallTime, 0.01, 1000.0) - entry.latencyFactor);
}

} // namespace jacinthspindle::internal
