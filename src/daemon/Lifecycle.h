// The phases of a daemon's life and the count of requests in progress.

#pragma once

#include "spindlecore/Clock.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>

namespace jacinthspindle::daemon {

// Serving: ready. Lagging: not ready, but requests that the load balancer still sends are served. Refusing: requests
// that arrive are refused, and those in progress go on. The phase only moves forwards.
enum class Phase : uint8_t { Serving, Lagging, Refusing };

const char* phaseName(Phase);

// Thread-safe.
class Lifecycle {
public:
    Lifecycle(const Clock&, std::chrono::milliseconds drainLag);

    // Ends readiness. Returns false when that had happened before.
    bool beginDrain();
    // Moves on to Refusing once the lag has passed. Returns whether this call did so.
    bool advance();
    Phase phase() const { return m_phase; }

    // Counts a request as in progress for as long as the returned handle lives.
    std::shared_ptr<void> enter();
    uint32_t inProgress() const { return *m_inProgress; }

private:
    const Clock& m_clock;
    const std::chrono::milliseconds m_drainLag;
    std::mutex m_mutex;
    std::atomic<Phase> m_phase { Phase::Serving };
    Instant m_drainedAt {};
    std::shared_ptr<std::atomic<uint32_t>> m_inProgress;
};

} // namespace jacinthspindle::daemon
