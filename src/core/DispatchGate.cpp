// Divides free capacity between daemons that do not coordinate with each other.

#include "spindlecore/internal/DispatchGate.h"

#include <algorithm>
#include <limits>

namespace jacinthspindle::internal {

namespace {

    // Upper bound of the estimate. Subsets bound the number of daemons that share an endpoint, and without own load the
    // estimate would grow without limit.
    constexpr double maxDaemonCount = 64;
    // Smoothing factor of the exponential moving averages of load, per update.
    constexpr double loadSmoothing = 0.02;
    // Weight of the initial estimate, in own attempts, so that a few attempts barely change the estimate.
    constexpr double priorAttempts = 4;
    // The increase of own attempts since the last report is a noisy sample of what each other daemon started meanwhile;
    // this factor weights it.
    constexpr double ownGrowthWeight = 0.5;

    // The part of the shared free slots that may be used is this slope times the free fraction of all slots, limited to
    // the range from the minimum below to 1.
    constexpr double availabilitySlope = 4;
    constexpr double minAvailability = 0.25;

} // namespace

void DispatchGate::Segment::add(const Segment& other)
{
    free += other.free;
    ownFreed += other.ownFreed;
    ownGrowth += other.ownGrowth;
    slots += other.slots;
    hasReports = hasReports || other.hasReports;
}

double DispatchGate::allowance(Instant now, const EndpointRegistry& registry, const Pool& pool)
{
    size_t segments = pool.boundaries.size() > 1 ? pool.boundaries.size() - 1 : 1;
    m_segments.assign(segments, {});
    for (const auto& group : pool.groups) {
        Segment sum;
        for (auto index : group.members) {
            const auto& entry = registry[index];
            double freeSlots = std::max(0.0, registry.freeSlots(now, entry));
            sum.free += freeSlots;
            sum.slots += entry.row.slots;
            if (!registry.hasFreshReport(now, entry))
                continue;
            sum.hasReports = true;
            double change = static_cast<double>(entry.ownAttempts) - entry.ownAttemptsAtReport;
            sum.ownFreed += std::min(freeSlots, std::max(0.0, -change));
            sum.ownGrowth += std::max(0.0, change);
        }
        size_t end = pool.layers ? group.endBoundary : 1;
        for (size_t segment = group.firstBoundary; segment < end; ++segment)
            m_segments[segment].add(sum);
    }
    double least = std::numeric_limits<double>::max();
    for (const auto& it : m_segments) {
        // Without fresh reports, only the slot limit of each endpoint applies.
        if (!it.hasReports) {
            least = std::min(least, it.free);
            continue;
        }
        double shared = it.free - it.ownFreed - (m_daemonCount - 1) * ownGrowthWeight * it.ownGrowth;
        // Near saturation, a free slot is likely to be refilled by the daemon that freed it before this daemon receives
        // the next report.
        double availability = std::clamp(availabilitySlope * it.free / it.slots, minAvailability, 1.0);
        least = std::min(least, it.ownFreed + availability * shared / m_daemonCount);
    }
    return least;
}

bool DispatchGate::mayDispatch(Instant now, const EndpointRegistry& registry, const Pool& pool)
{
    return allowance(now, registry, pool) > m_threshold;
}

void DispatchGate::redrawThreshold(std::mt19937_64& random)
{
    m_threshold = uniform(random);
}

void DispatchGate::updateDaemonCount(Instant now, const EndpointRegistry& registry, const Pool& pool)
{
    double reportedAttempts = 0;
    double ownAttempts = 0;
    for (const auto& group : pool.groups) {
        for (auto index : group.members) {
            const auto& entry = registry[index];
            if (!registry.hasFreshReport(now, entry))
                continue;
            reportedAttempts += entry.reportedAttempts;
            ownAttempts += entry.ownAttemptsAtReport;
        }
    }
    m_smoothedReported += loadSmoothing * (reportedAttempts - m_smoothedReported);
    m_smoothedOwn += loadSmoothing * (ownAttempts - m_smoothedOwn);
    double measured = (m_smoothedReported + priorAttempts * m_initialDaemonCount) / (m_smoothedOwn + priorAttempts);
    m_daemonCount = std::clamp(measured, 1.0, maxDaemonCount);
}

double DispatchGate::freeShare(Instant now, const EndpointRegistry& registry, const Pool& pool)
{
    double least = 1;
    size_t segments = pool.boundaries.size() > 1 ? pool.boundaries.size() - 1 : 1;
    std::vector<std::pair<double, double>> slots(segments); // Free ones, and all.
    for (const auto& group : pool.groups) {
        double free = 0;
        double all = 0;
        for (auto index : group.members) {
            free += std::max(0.0, registry.freeSlots(now, registry[index]));
            all += registry[index].row.slots;
        }
        size_t end = pool.layers ? group.endBoundary : 1;
        for (size_t segment = group.firstBoundary; segment < end; ++segment) {
            slots[segment].first += free;
            slots[segment].second += all;
        }
    }
    for (const auto& [free, all] : slots)
        least = all > 0 ? std::min(least, free / all) : least;
    return least;
}

double DispatchGate::slots(const EndpointRegistry& registry, const Pool& pool)
{
    double least = std::numeric_limits<double>::max();
    size_t segments = pool.boundaries.size() > 1 ? pool.boundaries.size() - 1 : 1;
    for (uint32_t segment = 0; segment < segments; ++segment) {
        double sum = 0;
        for (const auto& group : pool.groups) {
            if (pool.layers && (group.firstBoundary > segment || group.endBoundary <= segment))
                continue;
            for (auto index : group.members)
                sum += registry[index].row.slots;
        }
        least = std::min(least, sum);
    }
    return least;
}

} // namespace jacinthspindle::internal
