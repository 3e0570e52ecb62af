// What the daemon knows about each endpoint: its row, its life, its load and its measured speed.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/internal/CircuitBreaker.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace jacinthspindle::internal {

// Position of an endpoint in the book; stable while the endpoint is in the table or has work in flight.
using EndpointIndex = uint32_t;

struct EndpointEntry {
    EndpointRow row;
    uint64_t hash = 0; // Of the identifier, for the choice of subsets.
    uint32_t kind = 0; // Index of the kind of accelerator in the ServiceModel.
    bool isInTable = false;
    std::array<EndpointLife, 3> seen {}; // By source; each source speaks for itself.
    CircuitBreaker breaker;

    uint32_t own = 0; // Attempts of this daemon in flight.
    uint32_t ownAtReport = 0; // The same at the time of the last load report.
    uint32_t reported = 0; // Running and waiting attempts of all daemons, by the last report.
    Instant measuredAt {}; // Time of the last report's measurement.
    bool hasReport = false;
    std::deque<std::pair<Instant, int32_t>> changes; // Recent changes of own, to find ownAtReport.

    double pace = 1; // Time relative to the endpoint's kind of accelerator, as the endpoint reports it.
    double factor = 1; // Measured time relative to the endpoint's kind of accelerator.
    double limit = 0; // Own attempts allowed while there is no fresh report; adapts to the measured latency.

    bool mayServe() const
    {
        return isInTable && row.state == AdminState::Active && seen[0] == EndpointLife::Serving
            && seen[1] == EndpointLife::Serving && seen[2] == EndpointLife::Serving;
    }
};

class EndpointBook {
public:
    // Takes over the rows; endpoints that remain keep what was learned about them.
    void adopt(const Table&);
    void see(const EndpointStateSeen&);
    void report(Instant now, const LoadReported&);

    // An attempt of this daemon started (+1) or ended (-1) at the endpoint.
    void changeOwn(Instant now, EndpointIndex, int32_t change);

    // The endpoint refused an attempt; it counts as full until its next report.
    void markFull(Instant now, EndpointIndex);

    const EndpointIndex* find(const EndpointId&) const;
    EndpointEntry& operator[](EndpointIndex index) { return m_entries[index]; }
    const EndpointEntry& operator[](EndpointIndex index) const { return m_entries[index]; }
    size_t size() const { return m_entries.size(); }
    const std::vector<std::string>& kinds() const { return m_kinds; }

    // A report older than this says nothing about the present.
    static constexpr Duration maxReportAge = std::chrono::seconds(3);
    bool hasFreshReport(Instant now, const EndpointEntry&) const;

    // Daemons of the data centre. Without a report, each of them is taken to have as many attempts at an engine as this
    // one: a daemon that hears nothing must not take crowded engines for idle ones.
    void setPeers(uint32_t daemons) { m_peers = std::max(1U, daemons); }
    uint32_t peers() const { return m_peers; }
    void setPace(const EndpointId&, double pace);
    // Index of a kind of accelerator.
    uint32_t kindOf(const std::string& accelerator);

    // Attempts of all daemons that are believed to be at the endpoint.
    double outstanding(Instant now, const EndpointEntry&) const;
    // Further attempts that the endpoint can run at once; may be negative.
    double room(Instant now, const EndpointEntry&) const;

    // Rises when the set of endpoints that may serve has changed.
    uint64_t generation() const { return m_generation; }

private:
    EndpointIndex freeEntry();

    std::vector<EndpointEntry> m_entries;
    std::vector<EndpointIndex> m_free;
    std::unordered_map<EndpointId, EndpointIndex> m_index; // Only looked up, never iterated over.
    std::vector<std::string> m_kinds;
    // States of endpoints that are not in the table (yet).
    std::map<EndpointId, std::array<EndpointLife, 3>> m_unknown;
    uint64_t m_generation = 0;
    uint32_t m_peers = 1;
};

} // namespace jacinthspindle::internal
