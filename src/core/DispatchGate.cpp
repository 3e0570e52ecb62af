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

double DispatchGate::allowance(Instant now, const EndpointBook& book, const Pool& pool) const
{
    double least = std::numeric_limits<double>::max();
    size_t segments = pool.boundaries.size() > 1 ? pool.boundaries.size() - 1 : 1;
    for (uint32_t segment = 0; segment < segments; ++segment) {
        double free = 0;
        double freed = 0; // Slots that own attempts left since the last report; the peers do not see them yet.
        double grown = 0;
        double slots = 0;
        bool hasReports = false;
        for (const auto& group : pool.groups) {
            if (pool.layers && (group.firstBoundary > segment || group.endBoundary <= segment))
                continue;
            for (auto index : group.members) {
                const auto& entry = book[index];
                double room = std::max(0.0, book.room(now, entry));
                free += room;
                slots += entry.row.slots;
                if (!book.hasFreshReport(now, entry))
                    continue;
                hasReports = true;
                double change = static_cast<double>(entry.own) - entry.ownAtReport;
                freed += std::min(room, std::max(0.0, -change));
                grown += std::max(0.0, change);
            }
        }
        // Without reports the limit of each endpoint is the only bound.
        double shared = free - freed - (m_peers - 1) * peerGrowth * grown;
        // Near saturation a free slot is likely to be taken by the daemon that left it before its report arrives.
        double caution = std::clamp(cautionSlope * free / slots, leastTaken, 1.0);
        double share = hasReports ? freed + caution * shared / m_peers : free;
        least = std::min(least, share);
    }
    return least;
}

bool DispatchGate::mayDispatch(Instant now, const EndpointBook& book, const Pool& pool) const
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
