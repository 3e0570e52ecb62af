// Supervision of tasks.

#include "router/EventLoop.h"

namespace jacinthspindle::router {

// Notices that a task ends in another way than by its last statement. A throw inside a composed operation, such as the
// parsing of a message, does not reach the coroutine that awaits it: it leaves the loop, which destroys the coroutine.
class EventLoop::FailureGuard {
public:
    FailureGuard(EventLoop& loop, const char* name, std::function<void()> onFailure)
        : m_loop(loop)
        , m_name(name)
        , m_onFailure(std::move(onFailure))
    {
    }
    ~FailureGuard()
    {
        if (!m_isDismissed && m_loop.m_isRunning)
            m_loop.noteFailure(m_name, m_reason.empty() ? "destroyed by a failed operation" : m_reason, m_onFailure);
    }
    FailureGuard(const FailureGuard&) = delete;
    FailureGuard& operator=(const FailureGuard&) = delete;

    void dismiss() { m_isDismissed = true; }
    void setReason(std::string reason) { m_reason = std::move(reason); }

private:
    EventLoop& m_loop;
    const char* m_name;
    std::function<void()> m_onFailure;
    std::string m_reason; // Empty unless the coroutine itself was left by an exception.
    bool m_isDismissed = false;
};

EventLoop::EventLoop(Journal& journal, daemon::Metrics& metrics)
    : m_journal(journal)
    , m_metrics(metrics)
{
}

void EventLoop::run()
{
    m_isRunning = true;
    for (bool isOver = false; !isOver;) {
        try {
            m_io.run();
            isOver = true;
        } catch (const std::exception& error) {
            m_journal.write(LineKind::Decision, "operation-failed", { { "reason", error.what() } });
        }
    }
    m_isRunning = false;
}

void EventLoop::spawn(const char* name, Task task, std::function<void()> onFailure)
{
    net::co_spawn(m_io, supervise(name, std::move(task), std::move(onFailure)), net::detached);
}

void EventLoop::keepRunning(const char* name, std::function<Task()> begin)
{
    auto task = begin();
    spawn(name, std::move(task),
        [this, name, begin = std::move(begin)] { net::co_spawn(m_io, restart(name, begin), net::detached); });
}

EventLoop::Task EventLoop::supervise(const char* name, Task task, std::function<void()> onFailure)
{
    FailureGuard guard(*this, name, std::move(onFailure));
    try {
        co_await std::move(task);
        guard.dismiss();
    } catch (const std::exception& error) {
        guard.setReason(error.what());
    }
}

EventLoop::Task EventLoop::restart(const char* name, std::function<Task()> begin)
{
    net::steady_timer timer(m_io, restartPause);
    ErrorCode ec;
    co_await timer.async_wait(awaitInto(ec));
    keepRunning(name, std::move(begin));
}

void EventLoop::noteFailure(const char* name, const std::string& reason, const std::function<void()>& onFailure)
{
    m_metrics.add(daemon::Counter::TasksFailed);
    m_journal.write(LineKind::Decision, "task-failed", { { "task", name }, { "reason", reason } });
    if (onFailure)
        onFailure();
}

} // namespace jacinthspindle::router
