// Detects data centres that are cut off from changes in their number of engines.

#include "spindlecore/OutageDetector.h"

namespace jacinthspindle {

namespace {

    using std::chrono::milliseconds;

    // Below this share of its baseline a data centre counts as cut off. Crashes and rolling releases remove fewer
    // engines at a time.
    constexpr double minPresentShare = 2.0 / 3;
    // All engines of a data centre that reconnects are reported within two heartbeats of 1.2 s. The count must be
    // stable for this long before the data centre counts as reconnected.
    constexpr milliseconds stableTime { 2500 };
    // Engines that are missing for longer count as lost.
    constexpr milliseconds maxCutOffTime { 10000 };
    // If the count stays below the baseline for this long, the lower count becomes the baseline.
    constexpr milliseconds baselineHoldTime { 10000 };
    // A data centre is settled when its count did not change for this long. A crashed engine usually restarts within
    // five seconds, and a rolling release replaces one engine every one to two seconds.
    constexpr milliseconds settleTime { 5000 };

} // namespace

void OutageDetector::recordEngineCount(Instant now, DataCentre& it, size_t present)
{
    if (present != it.present)
        it.changedAt = now;
    it.present = present;
    bool isSteady = now - it.changedAt >= stableTime;
    if (it.cutOffAt) {
        bool isBack = static_cast<double>(present) >= minPresentShare * static_cast<double>(it.baseline);
        if (!isSteady || (!isBack && now - *it.cutOffAt < maxCutOffTime))
            return;
        it.cutOffAt.reset();
        it.baseline = present;
        it.baselineAt = now;
        return;
    }
    if (present >= it.baseline || now - it.baselineAt >= baselineHoldTime) {
        it.baseline = present;
        it.baselineAt = now;
    } else if (static_cast<double>(present) < minPresentShare * static_cast<double>(it.baseline)) {
        it.cutOffAt = now;
    }
}

PlacementConstraints OutageDetector::update(Instant now, const std::vector<PlacedEngine>& engines)
{
    std::map<DataCentreId, size_t> present;
    for (const auto& it : m_dataCentres)
        present[it.first] = 0;
    for (const auto& it : engines)
        present[it.dataCentre] += it.isLeaving ? 0 : 1;
    PlacementConstraints constraints;
    for (const auto& [name, n] : present) {
        auto& dataCentre = m_dataCentres[name];
        recordEngineCount(now, dataCentre, n);
        if (dataCentre.cutOffAt)
            constraints.cutOff.insert(name);
        else if (now - dataCentre.changedAt >= settleTime)
            constraints.settled.insert(name);
    }
    return constraints;
}

} // namespace jacinthspindle
