// The policies under comparison: the decision core and three baselines without admission control.

#pragma once

#include <spindlecore/spindlecore.h>

#include <memory>
#include <string>
#include <vector>

namespace jacinthspindle::bench {

class Policy {
public:
    virtual ~Policy() = default;
    virtual void apply(Instant now, const CoreInput&, std::vector<CoreDecision>&) = 0;
};

// Names: core, round-robin, least-outstanding, two-choices; core-* are variants of the core's settings.
std::vector<std::string> policyNames();
std::unique_ptr<Policy> makePolicy(
    const std::string& name, const DataCentreId& dataCentre, uint32_t daemon, uint64_t seed);

} // namespace jacinthspindle::bench
