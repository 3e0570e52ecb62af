// Shares of free capacity between daemons that do not speak about it.

#include "spindlecore/internal/DispatchGate.h"

#include <algorithm>
#include <limits>

namespace jacinthspindle::internal {

namespace {

    // Subsets bound the number of daemons that share an endpoint; a daemon without work must not see an endless number.
    constexpr double greatestPeers = 64;
    constexpr double peersRate = 0.02;
    // The estimate starts with this many attempts of own load, so that a few attempts do not swing it.
    constexpr double priorAttempts = 4;
    // Own growth since the last report is a noisy sample of what the peers did; it counts by this part for each peer.
    constexpr double peerGrowth = 0.5;

    // Part of the shared slots that is taken: this slope times the free part of the pool, but at least a little.
    constexpr double cautionSlope = 4;
    constexpr double leastTaken = 0.25;

} // namespace

void DispatchGate::Segment::add(const Segment& other)
{
    free += other.free;
    freed += other.freed;
    grown += other.grown;
    slots += other.slots;
    hasReports = hasReports || other.hasReports;
}

double DispatchGate::allowance(Instant now, const EndpointBook& book, const Pool& pool)
{
    size_t segments = pool.boundaries.size() > 1 ? pool.boundaries.size() - 1 : 1;
    m_segments.assign(segments, {});
    for (const auto& group : pool.groups) {
        Segment sum;
        for (auto index : group.members) {
            const auto& entry = book[index];
            double room = std::max(0.0, book.room(now, entry));
            sum.free += room;
            sum.slots += entry.row.slots;
            if (!book.hasFreshReport(now, entry))
                continue;
            sum.hasReports = true;
            double change = static_cast<double>(entry.own) - entry.ownAtReport;
            sum.freed += std::min(room, std::max(0.0, -change));
            sum.grown += std::max(0.0, change);
        }
        size_t end = pool.layers ? group.endBoundary : 1;
        for (size_t segment = group.firstBoundary; segment < end; ++segment)
            m_segments[segment].add(sum);
    }
    double least = std::numeric_limits<double>::max();
    for (const auto& it : m_segments) {
        // Without reports the limit of each endpoint is the only bound.
        if (!it.hasReports) {
            least = std::min(least, it.free);
            continue;
        }
        double shared = it.free - it.freed - (m_peers - 1) * peerGrowth * it.grown;
        // Near saturation a free slot is likely to be taken by the daemon that left it before its report arrives.
        double caution = std::clamp(cautionSlope * it.free / it.slots, leastTaken, 1.0);
        least = std::min(least, it.freed + caution * shared / m_peers);
    }
    return least;
}

bool DispatchGate::mayDispatch(Instant now, const EndpointBook& book, const Pool& pool)
{
    return allowance(now, book, pool) > m_threshold;
}

void DispatchGate::redraw(std::mt19937_64& random)
{
    m_threshold = uniform(random);
}

void DispatchGate::updatePeers(Instant now, const EndpointBook& book, const Pool& pool)
{
    double reported = 0;
    double own = 0;
    for (const auto& group : pool.groups) {
        for (auto index : group.members) {
            const auto& entry = book[index];
            if (!book.hasFreshReport(now, entry))
                continue;
            reported += entry.reported;
            own += entry.ownAtReport;
        }
    }
    m_reported += peersRate * (reported - m_reported);
    m_own += peersRate * (own - m_own);
    double measured = (m_reported + priorAttempts * m_peersAtStart) / (m_own + priorAttempts);
    m_peers = std::clamp(measured, 1.0, greatestPeers);
}

double DispatchGate::slots(const EndpointBook& book, const Pool& pool)
{
    double least = std::numeric_limits<double>::max();
    size_t segments = pool.boundaries.size() > 1 ? pool.boundaries.size() - 1 : 1;
    for (uint32_t segment = 0; segment < segments; ++segment) {
        double sum = 0;
        for (const auto& group : pool.groups) {
            if (pool.layers && (group.firstBoundary > segment || group.endBoundary <= segment))
                continue;
            for (auto index : group.members)
                sum += book[index].row.slots;
        }
        least = std::min(least, sum);
    }
    return least;
}

} // namespace jacinthspindle::internal
