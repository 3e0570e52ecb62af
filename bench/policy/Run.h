// One run: daemons with one policy each, the fake engines and an arrival list under a manual clock.

#pragma once

#include "policy/Workload.h"

#include <string>
#include <vector>

namespace jacinthspindle::bench {

struct Result {
    // On-time whole work relative to the bound: the capacity at saturation, and below it what a work-conserving queue
    // could serve.
    double goodputRatio = 0;
    double onTimeShare = 0; // Of all requests offered.
    double onTimePerSecond = 0;
    double admittedOnTime = 0; // Of the requests that were dispatched.
    double firstP50 = 0; // Seconds from the intended sending to the first token, of requests answered whole.
    double firstP95 = 0;
    double firstP99 = 0;
    double betweenP50 = 0; // Mean seconds between tokens of a request.
    double betweenP95 = 0;
    double betweenP99 = 0;
    double shortP99 = 0; // Seconds to the whole answer, per generated token, of short work.
    double shortFirstP99 = 0;
    double longOnTime = 0; // On-time share of long requests.
    double refusedShare = 0;
    double wastedTokens = 0; // Share of generated tokens that reached no caller whole and on time.
    double fairness = 0; // Jain's index over workspaces of on-time work relative to their fair share.
    double recoverySeconds = 0; // From the fault until the on-time rate is back at 90 % of that before it.
    double attemptsPerAdmitted = 0;
    double dispatchesAfterDrain = 0;
    double busiestShare = 0; // Work of the busiest worker relative to the mean of its layer range.
};

Result runCase(const Case&, User, const std::string& policy, uint64_t seed);

} // namespace jacinthspindle::bench
