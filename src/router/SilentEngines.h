// How long engines have been silent, by the inquiries that they did not answer.

#pragma once

#include "router/Ports.h"

#include <map>
#include <vector>

namespace jacinthspindle::router {

// Deterministic and without I/O. Belongs to the traffic thread.
class SilentEngines {
public:
    // An engine is asked at least this often while it is silent. After a longer time in which it was not asked, since
    // this process was held up for example, nobody knows whether it was silent all the while.
    static constexpr Duration longestInterval = std::chrono::milliseconds(1000);
    // Longer than streams usually last.
    static constexpr Duration memory = std::chrono::seconds(10);

    // The engine did not answer an inquiry that lasted from askedAt to endedAt.
    void noteSilence(const EndpointSighting&, Instant askedAt, Instant endedAt);
    void noteAnswer(const EndpointId& id) { m_engines.erase(id); }
    // Time from the first to the last unanswered inquiry of an unbroken series that lasts; zero for an engine that
    // answered, or was not asked for a while.
    Duration silenceOf(const EndpointId&, Instant now) const;
    // The engines that are to be asked again. Forgets those whose silence began longer ago than memory.
    std::vector<EndpointSighting> update(Instant now);

private:
    struct Silence {
        EndpointSighting engine;
        Instant since {}; // When the first inquiry of the series began.
        Instant askedAt {}; // When the last one began.
        Instant endedAt {}; // When the last one was given up.
    };

    std::map<EndpointId, Silence> m_engines;
};

} // namespace jacinthspindle::router
