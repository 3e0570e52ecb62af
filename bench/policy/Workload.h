// Seeded arrival lists and the cases of the policy benchmark.

#pragma once

#include "policy/Fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace jacinthspindle::bench {

// One request of an arrival list. The list is fixed before the run (open loop).
struct Job {
    double at = 0; // Seconds; the intended time of sending.
    uint32_t daemon = 0;
    uint32_t workspace = 0;
    bool isLong = false;
    uint32_t promptTokens = 0;
    uint32_t tokens = 0; // True length of the answer, which the policies do not see.
    double deadline = 0; // Seconds from the intended time of sending.
    std::vector<uint64_t> prefixDigests;
};

struct Case {
    std::string name;
    std::string target; // What is expected, stated before the run.
    std::function<double(double)> load; // Offered work at a time, as a multiple of the capacity.
    double longShare = 0.03; // Of the requests.
    bool dropsLong = false; // Leaves the long requests out of the list; the short ones stay the same.
    double noisyShare = 0; // Of the requests, all by workspace 0; otherwise sizes of workspaces fall slowly.
    bool callersReturn = false; // A refused caller sends again after the hint, twice at most.
    double killAt = 0; // Time at which one worker fails for good; 0: never.
    double drainAt = 0; // Time at which one worker is reported as leaving; 0: never.
    double faultFrom = 0; // Between faultFrom and faultTo, one attempt in three breaks.
    double faultTo = 0;
    double seconds = 40;
    double warmUp = 8;
};

std::vector<Case> policyCases();
std::vector<Job> makeJobs(const Case&, User, double capacity, uint64_t seed);

} // namespace jacinthspindle::bench
