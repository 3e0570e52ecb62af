// Per-endpoint state of the daemon: table row, availability, load and measured speed.

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

// Index of an endpoint's entry; stable while the endpoint is in the table or has attempts of this daemon in flight.
using EndpointIndex = uint32_t;

struct EndpointEntry {
    EndpointRow row;
    uint64_t hash = 0; // Of the endpoint's identifier; ranks endpoints in rendezvous hashing.
    uint32_t kind = 0; // Index of the kind of accelerator.
    bool isInTable = false;
    // Indexed by EndpointStateSource; a source changes only its own state.
    std::array<EndpointAvailability, 3> stateBySource {};
    CircuitBreaker breaker;

    uint32_t ownAttempts = 0; // Attempts of this daemon in flight.
    uint32_t ownAttemptsAtReport = 0; // The same when the last load report was measured.
    uint32_t reportedAttempts = 0; // Running and waiting attempts of all daemons in the last load report.
    Instant measuredAt {}; // Time at which the last load report was measured.
    bool hasReport = false;
    std::deque<std::pair<Instant, int32_t>> ownChanges; // Recent starts (+1) and ends (-1) of own attempts.

    // Pace and latency factor are relative to the endpoint's kind of accelerator; 2 means that work takes twice as
    // long.
    double pace = 1; // As the endpoint reports it.
    double latencyFactor = 1; // As this daemon measures it.
    double ownAttemptLimit = 0; // Own attempts allowed without a fresh load report; adapts to the measured latency.

    bool mayServe() const
    {
        return isInTable && row.state == AdminState::Active && stateBySource[0] == EndpointAvailability::Serving
            && stateBySource[1] == EndpointAvailability::Serving && stateBySource[2] == EndpointAvailability::Serving;
    }
};

class EndpointRegistry {
public:
    // Replaces the rows by those of the table. Endpoints that remain keep their load and measurements.
    void adopt(const Table&);
    // Sets the state of an endpoint as one source reports it.
    void updateState(const EndpointStateReported&);
    // Applies a load report, unless a report that was measured later has been applied already.
    void applyLoadReport(Instant now, const LoadReported&);

    // An attempt of this daemon started (+1) or ended (-1) at the endpoint.
    void adjustOwnAttempts(Instant now, EndpointIndex, int32_t change);

    // Called when the endpoint has refused an attempt. The endpoint counts as full until its next load report.
    void markFull(Instant now, EndpointIndex);

    // Returns null for an unknown endpoint.
    const EndpointIndex* find(const EndpointId&) const;
    EndpointEntry& operator[](EndpointIndex index) { return m_entries[index]; }
    const EndpointEntry& operator[](EndpointIndex index) const { return m_entries[index]; }
    size_t size() const { return m_entries.size(); }
    const std::vector<std::string>& kinds() const { return m_kinds; }

    // Older load reports are ignored.
    static constexpr Duration maxReportAge = std::chrono::seconds(3);
    bool hasFreshReport(Instant now, const EndpointEntry&) const;

    // Sets the number of daemons in the data centre. Without a fresh report, each of them is assumed to have as many
    // attempts at an engine as this daemon; otherwise a daemon without reports would treat crowded engines as idle.
    void setDaemonCount(uint32_t daemons) { m_daemonCount = std::max(1U, daemons); }
    uint32_t daemonCount() const { return m_daemonCount; }
    // Sets the pace that the endpoint reports; see EndpointEntry::pace. Ignored for an unknown endpoint.
    void setPace(const EndpointId&, double pace);
    // Returns the index of a kind of accelerator, which is added if it is new.
    uint32_t findOrAddKind(const std::string& accelerator);

    // Estimated number of attempts of all daemons at the endpoint.
    double outstanding(Instant now, const EndpointEntry&) const;
    // Estimated number of free slots at the endpoint; negative if it has more attempts than slots.
    double freeSlots(Instant now, const EndpointEntry&) const;

    // Increases whenever the set of endpoints for which mayServe() holds may have changed.
    uint64_t generation() const { return m_generation; }

private:
    EndpointIndex allocateEntry();

    std::vector<EndpointEntry> m_entries;
    std::vector<EndpointIndex> m_freeEntries;
    std::unordered_map<EndpointId, EndpointIndex> m_index; // Only looked up, never iterated over.
    std::vector<std::string> m_kinds;
    // States of endpoints that are not in the table, or not yet. Endpoints that all sources report as serving are left
    // out, since that is the default.
    std::map<EndpointId, std::array<EndpointAvailability, 3>> m_statesOutsideTable;
    uint64_t m_generation = 0;
    uint32_t m_daemonCount = 1; // At least 1.
};

} // namespace jacinthspindle::internal
