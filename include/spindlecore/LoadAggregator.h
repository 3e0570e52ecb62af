// Aggregates the load reports of the daemons of a data centre. One daemon collects the reports and returns the sums, so
// that each daemon can take into account the requests that the others have sent.

#pragma once

#include "spindlecore/Types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jacinthspindle {

// Load that one or more daemons put on an endpoint.
struct EndpointLoad {
    EndpointId endpoint;
    uint32_t running = 0; // Number of attempts in flight.
    bool operator==(const EndpointLoad&) const = default;
};

// Keeps running totals, so that the cost of a report or a sum does not grow with the number of daemons. Deterministic
// and without I/O. Not thread-safe.
class LoadAggregator {
public:
    // A report expires after this time. Daemons report about twice per second; one whose report has expired has stopped
    // or reports to another daemon.
    static constexpr Duration validity = std::chrono::milliseconds(2000);

    // Replaces the previous report of this daemon. The name identifies one start of a daemon, so that a restarted
    // daemon counts as another one.
    void updateReport(Instant now, const std::string& daemon, const std::vector<EndpointLoad>&);

    // Returns the attempts in flight over all unexpired reports, sorted by endpoint. Omits endpoints without attempts.
    std::vector<EndpointLoad> sum(Instant now);

    // Returns the number of daemons with an unexpired report.
    size_t reportingDaemons(Instant now);

private:
    struct Report {
        Instant reportedAt {};
        std::vector<EndpointLoad> load;
    };

    void removeExpired(Instant now);
    void subtract(const std::vector<EndpointLoad>&);

    std::map<std::string, Report> m_reports; // By daemon name.
    std::unordered_map<EndpointId, uint32_t> m_totals; // Sums over m_reports; contains no zero.
    Instant m_lastExpiry {}; // Time of the last search for expired reports.
};

} // namespace jacinthspindle
