// Failures of endpoints that one daemon saw and others of its data centre take into account.

#pragma once

#include <spindlecore/spindlecore.h>

#include <chrono>
#include <map>
#include <vector>

namespace jacinthspindle::router {

// An endpoint could not be reached, refused its part of a chain, or fell silent.
struct EndpointObservation {
    EndpointId endpoint;
    HostId witness; // Host of the daemon that saw it.
    std::chrono::milliseconds age {}; // When the message was made.
    bool operator==(const EndpointObservation&) const = default;
};

// Collects the observations of a data centre for its daemons. A witness counts for few endpoints at a time: a daemon
// that is cut off, or faulty, sees all of them fail. Deterministic and without I/O. Not thread-safe.
class ObservationLog {
public:
    // Older observations say nothing about the present.
    static constexpr Duration validity = std::chrono::milliseconds(1000);
    // Endpoints that one witness can report within the validity.
    static constexpr size_t maxPerWitness = 4;

    // Returns false when the observation is too old, known already, or one too many of its witness.
    bool add(Instant now, const EndpointObservation&);

    // Number of the last observation; 0: none.
    uint64_t last() const { return m_last; }
    // Returns the valid observations after this number, with their age.
    std::vector<EndpointObservation> since(Instant now, uint64_t number) const;

private:
    struct Entry {
        uint64_t number = 0;
        Instant seenAt {};
    };

    uint64_t m_last = 0;
    std::map<HostId, std::map<EndpointId, Entry>> m_byWitness; // No more than maxPerWitness valid entries each.
};

} // namespace jacinthspindle::router
