// Turns the records of one run into its result.

#pragma once

#include "policy/Run.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jacinthspindle::bench {

struct JobRecord {
    double firstAt = -1; // Seconds; negative while there is no first token.
    double doneAt = -1;
    bool wasRefused = false;
    bool wasAbandoned = false;
    bool wasDispatched = false;
    uint32_t returns = 0;
};

struct Totals {
    uint64_t attempts = 0;
    uint64_t admitted = 0;
    uint64_t tokens = 0; // Generated, in all attempts.
    uint64_t dispatchesAfterDrain = 0;
    std::map<uint32_t, double> workOfWorker; // Reference seconds sent to each worker.
};

Result summarize(const Case&, const Table&, const std::vector<Job>&, const std::vector<JobRecord>&, const Totals&);

// Returns the value below which the given share of the values lies; 0 without values.
double quantile(std::vector<double> values, double share);

} // namespace jacinthspindle::bench
