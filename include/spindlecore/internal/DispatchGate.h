// Decides how much of the free capacity of a pool this daemon may take, while all daemons see the same late reports.

#pragma once

#include "spindlecore/internal/ChainPlanner.h"

namespace jacinthspindle::internal {

// The daemons see the same free slots at the same time. The gate estimates how many daemons of this one's size there
// are, from its part of the reported load. Slots that its own attempts left are its own to fill again; of the other
// free slots it takes only its share, and a fraction of a slot is taken with this probability.
class DispatchGate {
public:
    // peersAtStart: estimate before there is load to measure.
    explicit DispatchGate(double peersAtStart)
        : m_peersAtStart(peersAtStart)
        , m_peers(peersAtStart)
    {
    }

    // Own attempts that may start now. A fraction is the probability of one more.
    double allowance(Instant now, const EndpointBook&, const Pool&);
    bool mayDispatch(Instant now, const EndpointBook&, const Pool&);

    // An attempt was started, or long enough passed to draw again.
    void redraw(std::mt19937_64& random);
    void updatePeers(Instant now, const EndpointBook&, const Pool&);
    double peers() const { return m_peers; }

    // The least number of slots that the pool has for any layer.
    static double slots(const EndpointBook&, const Pool&);

private:
    // Sums over the endpoints that hold the layers between two boundaries.
    struct Segment {
        double free = 0;
        double freed = 0; // Slots that own attempts left since the last report; the peers do not see them yet.
        double grown = 0; // Own attempts that were added since then.
        double slots = 0;
        bool hasReports = false;
        void add(const Segment&);
    };

    std::vector<Segment> m_segments; // Reused between calls.
    double m_peersAtStart;
    double m_peers;
    double m_reported = 0; // Smoothed attempts of all daemons and of this one.
    double m_own = 0;
    double m_threshold = 0.5; // Uniform in [0, 1).
};

} // namespace jacinthspindle::internal
