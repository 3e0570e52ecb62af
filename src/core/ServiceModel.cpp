// Learning of service times from whole chains.

#include "spindlecore/internal/ServiceModel.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // Before the first measurement.
    constexpr LayerTime initialTime { 0.00003, 0.0015 };
    constexpr double initialCallTime = 0.05;
    constexpr double kindRate = 0.05;
    constexpr double factorRate = 0.05;
    // Factors return slowly to 1, so that an endpoint which is avoided for its slowness is tried again.
    constexpr double factorReturn = 0.002;
    constexpr double leastFactor = 0.2;
    constexpr double greatestFactor = 50;
    // One odd measurement changes an estimate by at most this ratio.
    constexpr double leastRatio = 0.5;
    constexpr double greatestRatio = 4;
    // Activations of one token between two stages.
    constexpr double activationBits = 8192 * 8;
    // All chains between two data centres share a pipe, which some 60 prompts a second fill. The price makes a chain
    // cross only where its data centre lacks a layer or the slots for it.
    constexpr double crossDataCentreSeconds = 0.005;

} // namespace

LayerTime& ServiceModel::timeOf(uint32_t kind)
{
    if (kind >= m_kinds.size())
        m_kinds.resize(kind + 1, initialTime);
    return m_kinds[kind];
}

LayerTime ServiceModel::timeOf(uint32_t kind) const
{
    return kind < m_kinds.size() ? m_kinds[kind] : initialTime;
}

LayerTime ServiceModel::layerTime(const EndpointEntry& entry) const
{
    auto time = timeOf(entry.kind);
    double slowness = entry.factor * entry.pace;
    return { time.prefill * slowness, time.decode * slowness, time.perSequence * slowness };
}

double ServiceModel::linkTime(const EndpointEntry& from, const EndpointEntry& to) const
{
    double bitsPerSecond = 1e6 * std::max(1U, std::min(from.row.linkMbps, to.row.linkMbps));
    bool isCrossing = from.row.dataCentre != to.row.dataCentre;
    return activationBits / bitsPerSecond + (isCrossing ? crossDataCentreSeconds : 0);
}

double ServiceModel::decodeTime(
    const EndpointBook& book, const std::vector<EndpointIndex>& hops, const Chain& chain) const
{
    double seconds = 0;
    for (size_t i = 0; i < hops.size(); ++i) {
        seconds += chain[i].layers.count() * layerTime(book[hops[i]]).decode;
        if (i)
            seconds += linkTime(book[hops[i - 1]], book[hops[i]]);
    }
    return seconds;
}

double ServiceModel::prefillTime(
    const EndpointBook& book, const std::vector<EndpointIndex>& hops, const Chain& chain, double tokens) const
{
    double seconds = 0;
    for (size_t i = 0; i < hops.size(); ++i) {
        seconds += tokens * chain[i].layers.count() * layerTime(book[hops[i]]).prefill;
        if (i)
            seconds += tokens * activationBits
                / (1e6 * std::max(1U, std::min(book[hops[i - 1]].row.linkMbps, book[hops[i]].row.linkMbps)));
    }
    return seconds;
}

void ServiceModel::learnDecode(
    EndpointBook& book, const std::vector<EndpointIndex>& hops, const Chain& chain, double seconds)
{
    double estimate = decodeTime(book, hops, chain);
    if (estimate <= 0 || seconds <= 0)
        return;
    // Only the whole chain is measured. Each hop takes the error in proportion to its part of the estimate; over many
    // different chains the errors of good hops cancel out and that of a slow one remains.
    double error = std::clamp(seconds / estimate, leastRatio, greatestRatio) - 1;
    for (size_t i = 0; i < hops.size(); ++i) {
        auto& entry = book[hops[i]];
        double part = chain[i].layers.count() * layerTime(entry).decode / estimate;
        timeOf(entry.kind).decode *= 1 + kindRate * error * part;
        entry.factor *= 1 + factorRate * error * part;
        entry.factor += factorReturn * (1 - entry.factor);
        entry.factor = std::clamp(entry.factor, leastFactor, greatestFactor);
    }
}

void ServiceModel::learnPrefill(
    EndpointBook& book, const std::vector<EndpointIndex>& hops, const Chain& chain, double tokens, double seconds)
{
    double estimate = prefillTime(book, hops, chain, tokens);
    if (estimate <= 0 || seconds <= 0)
        return;
    double error = std::clamp(seconds / estimate, leastRatio, greatestRatio) - 1;
    for (size_t i = 0; i < hops.size(); ++i) {
        auto& entry = book[hops[i]];
        double part = tokens * chain[i].layers.count() * layerTime(entry).prefill / estimate;
        timeOf(entry.kind).prefill *= 1 + kindRate * error * part;
    }
}

double ServiceModel::callTime(const EndpointEntry& entry) const
{
    return initialCallTime * entry.factor;
}

void ServiceModel::learnCall(EndpointEntry& entry, double seconds)
{
    entry.factor += 0.1 * (std::clamp(seconds / initialCallTime, 0.01, 1000.0) - entry.factor);
}

} // namespace jacinthspindle::internal
