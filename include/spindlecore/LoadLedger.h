// Sums the load that the daemons of a data centre tell one of them, so that each knows what all of them have sent.

#pragma once

#include "spindlecore/Types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jacinthspindle {

struct EndpointLoad {
    EndpointId endpoint;
    uint32_t running = 0; // Attempts in flight.
    bool operator==(const EndpointLoad&) const = default;
};

// Deterministic and without I/O. Not thread-safe. The cost of telling and summing does not grow with the number of
// daemons.
class LoadLedger {
public:
    // A daemon tells its load about twice per second. One that has not done so for this long has gone, or tells it to
    // another daemon.
    static constexpr Duration validity = std::chrono::milliseconds(2000);

    // Replaces what this start of a daemon told before.
    void tell(Instant now, const std::string& daemon, const std::vector<EndpointLoad>&);

    // Attempts of all daemons that told their load lately, by endpoint; without those that have none.
    std::vector<EndpointLoad> sum(Instant now);

    // Daemons that told their load lately.
    size_t daemons(Instant now);

private:
    struct Entry {
        Instant toldAt {};
        std::vector<EndpointLoad> load;
    };

    void expire(Instant now);
    void remove(const std::vector<EndpointLoad>&);

    std::map<std::string, Entry> m_entries; // By daemon.
    std::unordered_map<EndpointId, uint32_t> m_total; // Sum over m_entries; never 0.
    Instant m_expiredAt {};
};

} // namespace jacinthspindle
