// How loaded the models of a data centre are, by priority, and the sums over the daemons of the data centre.

#pragma once

#include "spindlecore/Decisions.h"

#include <map>
#include <string>
#include <vector>

namespace jacinthspindle {

// Adds up the pressure that daemons report. One daemon collects the reports and returns the sums, from which all
// daemons of the data centre derive the same share of requests to admit. Deterministic and without I/O. Not
// thread-safe.
class PressureAggregator {
public:
    // A report expires after this time; daemons report about twice per second.
    static constexpr Duration validity = std::chrono::milliseconds(2000);

    // Replaces the previous report of this daemon. The name identifies one start of a daemon.
    void updateReport(Instant now, const std::string& daemon, std::vector<ModelPressure>);

    // Returns the sums over all unexpired reports, sorted by model and priority. A figure far above the median of the
    // daemons counts only up to a bound, so that no single daemon decides for the others.
    std::vector<ModelPressure> sum(Instant now);

private:
    struct Report {
        Instant reportedAt {};
        std::vector<ModelPressure> models;
    };

    std::map<std::string, Report> m_reports; // By daemon name.
    std::vector<ModelPressure> m_sum; // As of m_summedAt.
    Instant m_summedAt {};
};

} // namespace jacinthspindle
