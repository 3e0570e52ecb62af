// Shares of free capacity between daemons that do not speak about it.

#include "spindlecore/internal/DispatchGate.h"

#include <algorithm>
#include <limits>

namespace jacinthspindle::internal {

namespace {

    constexpr double greatestPeers = 1000;
    constexpr double peersRate = 0.1;

} // namespace

double DispatchGate::allowance(Instant now, const EndpointBook& book, const Pool& pool) const
{
    double least = std::numeric_limits<double>::max();
    size_t segments = pool.boundaries.size() > 1 ? pool.boundaries.size() - 1 : 1;
    for (uint32_t segment = 0; segment < segments; ++segment) {
        double free = 0;
        double ownChange = 0;
        bool hasReports = false;
        for (const auto& group : pool.groups) {
            if (pool.layers && (group.firstBoundary > segment || group.endBoundary <= segment))
                continue;
            for (auto index : group.members) {
                const auto& entry = book[index];
                free += std::max(0.0, book.room(now, entry));
                if (!book.hasFreshReport(now, entry))
                    continue;
                hasReports = true;
                ownChange += static_cast<double>(entry.own) - entry.ownAtReport;
            }
        }
        // Without reports the limit of each endpoint is the only bound.
        double share = hasReports ? (free - (m_peers - 1) * ownChange) / m_peers : free;
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
    // A few attempts say little about the share of this daemon.
    if (reported < 1)
        return;
    double measured = std::clamp(reported / std::max(own, 0.5), 1.0, greatestPeers);
    m_peers += peersRate * (measured - m_peers);
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
