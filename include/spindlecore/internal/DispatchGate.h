// Limits the part of a pool's free capacity that this daemon uses, because all daemons act on the same delayed load
// reports.

#pragma once

#include "spindlecore/internal/ChainPlanner.h"

namespace jacinthspindle::internal {

// All daemons see the same free slots at the same time and would overfill them if each used them all. The gate
// therefore estimates, from this daemon's part of the reported load, how many daemons of equal load share the pool. The
// daemon may refill every slot that its own attempts freed. Of the other free slots it uses an equal share; a
// fractional share is the probability of using one more slot.
class DispatchGate {
public:
    // initialDaemonCount: the estimated number of daemons, including this one, until there is load to measure.
    explicit DispatchGate(double initialDaemonCount)
        : m_initialDaemonCount(initialDaemonCount)
        , m_daemonCount(initialDaemonCount)
    {
    }

    // Returns the number of attempts that this daemon may start now. A fractional part is the probability of one more.
    double allowance(Instant now, const EndpointRegistry&, const Pool&);
    // Whether the allowance exceeds the current random threshold, so that one more attempt may start.
    bool mayDispatch(Instant now, const EndpointRegistry&, const Pool&);

    // Draws a new random threshold for mayDispatch(); called after each started attempt and at regular intervals.
    void redrawThreshold(std::mt19937_64& random);
    // Updates the smoothed estimate of the number of daemons from the latest load reports.
    void updateDaemonCount(Instant now, const EndpointRegistry&, const Pool&);
    // The estimated number of daemons that share the pool, including this one.
    double daemonCount() const { return m_daemonCount; }

    // Returns the free part of the pool's slots, at the layer that has the smallest one.
    static double freeShare(Instant now, const EndpointRegistry&, const Pool&);
    // Returns the pool's capacity: the number of slots at the layer that has the fewest.
    static double slots(const EndpointRegistry&, const Pool&);

private:
    // Totals over the endpoints that hold the layers between two neighbouring boundaries.
    struct Segment {
        double free = 0;
        double ownFreed = 0; // Slots freed by own attempts since the last report; other daemons do not see them yet.
        double ownGrowth = 0; // Net increase of own attempts since the last report.
        double slots = 0;
        bool hasReports = false;
        void add(const Segment&);
    };

    std::vector<Segment> m_segments; // Reused between calls.
    double m_initialDaemonCount;
    double m_daemonCount;
    double m_smoothedReported = 0; // Smoothed number of running attempts of all daemons.
    double m_smoothedOwn = 0; // Smoothed number of running attempts of this daemon.
    double m_threshold = 0.5; // Random, uniform in [0, 1).
};

} // namespace jacinthspindle::internal
