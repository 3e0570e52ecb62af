// Phases of a daemon's life.

#include "daemon/Lifecycle.h"

namespace jacinthspindle::daemon {

const char* phaseName(Phase phase)
{
    switch (phase) {
    case Phase::Serving:
        return "serving";
    case Phase::Lagging:
        return "lagging";
    case Phase::Refusing:
        break;
    }
    return "refusing";
}

Lifecycle::Lifecycle(const Clock& clock, std::chrono::milliseconds drainLag)
    : m_clock(clock)
    , m_drainLag(drainLag)
    , m_inProgress(std::make_shared<std::atomic<uint32_t>>(0))
{
}

bool Lifecycle::beginDrain()
{
    std::lock_guard lock(m_mutex);
    if (m_phase != Phase::Serving)
        return false;
    m_drainedAt = m_clock.now();
    m_phase = Phase::Lagging;
    return true;
}

bool Lifecycle::advance()
{
    std::lock_guard lock(m_mutex);
    if (m_phase != Phase::Lagging || m_clock.now() - m_drainedAt < m_drainLag)
        return false;
    m_phase = Phase::Refusing;
    return true;
}

std::shared_ptr<void> Lifecycle::enter()
{
    auto count = m_inProgress;
    ++*count;
    return { static_cast<void*>(count.get()), [count](void*) { --*count; } };
}

} // namespace jacinthspindle::daemon
