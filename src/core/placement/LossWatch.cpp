// Counts of engines over time.

#include "spindlecore/LossWatch.h"

namespace jacinthspindle {

namespace {

    using std::chrono::milliseconds;

    // With fewer of its usual engines than this a data centre is taken to be cut off: crashes and releases take fewer
    // at a time.
    constexpr double cutOffShare = 2.0 / 3;
    // The engines of a data centre that comes back are seen again within two heartbeats of 1.2 s.
    constexpr milliseconds returnTime { 2500 };
    // Engines that stay away for longer are lost.
    constexpr milliseconds longestCutOff { 10000 };
    // After a loss, the lower number becomes the usual one.
    constexpr milliseconds memoryOfLoss { 10000 };
    // An engine that crashed is mostly back within five seconds, and a release replaces one each second or two.
    constexpr milliseconds settleTime { 5000 };

} // namespace

void LossWatch::note(Instant now, DataCentre& it, size_t present)
{
    if (present != it.present)
        it.changedAt = now;
    it.present = present;
    bool isSteady = now - it.changedAt >= returnTime;
    if (it.cutOffAt) {
        bool isBack = static_cast<double>(present) >= cutOffShare * static_cast<double>(it.usual);
        if (!isSteady || (!isBack && now - *it.cutOffAt < longestCutOff))
            return;
        it.cutOffAt.reset();
        it.usual = present;
        it.usualAt = now;
        return;
    }
    if (present >= it.usual || now - it.usualAt >= memoryOfLoss) {
        it.usual = present;
        it.usualAt = now;
    } else if (static_cast<double>(present) < cutOffShare * static_cast<double>(it.usual)) {
        it.cutOffAt = now;
    }
}

PlacementScope LossWatch::update(Instant now, const std::vector<PlacedEngine>& engines)
{
    std::map<DataCentreId, size_t> present;
    for (const auto& it : m_dataCentres)
        present[it.first] = 0;
    for (const auto& it : engines)
        present[it.dataCentre] += it.isLeaving ? 0 : 1;
    PlacementScope scope;
    for (const auto& [name, n] : present) {
        auto& dataCentre = m_dataCentres[name];
        note(now, dataCentre, n);
        if (dataCentre.cutOffAt)
            scope.cutOff.insert(name);
        else if (now - dataCentre.changedAt >= settleTime)
            scope.settled.insert(name);
    }
    return scope;
}

} // namespace jacinthspindle
