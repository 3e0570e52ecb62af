// An event loop of one thread that outlives the failure of a task. Bytes of one peer can make a parser or an allocation
// throw; what throws ends the task concerned, and the others of the process go on.

#pragma once

#include "daemon/Metrics.h"
#include "router/Journal.h"
#include "router/Net.h"

#include <functional>

namespace jacinthspindle::router {

// Except where stated otherwise, functions are called on the thread that runs the loop, or while no thread does.
class EventLoop {
public:
    using Task = net::awaitable<void>;

    // Pause before a task of keepRunning() that failed begins anew.
    static constexpr std::chrono::milliseconds restartPause { 100 };

    EventLoop(Journal&, daemon::Metrics&);

    net::io_context& io() { return m_io; }

    // Returns after stop(), or when nothing is left to do.
    void run();
    // Thread-safe.
    void stop() { m_io.stop(); }

    // Runs a task once. When it fails, its objects are destroyed and onFailure then puts the state right that others
    // share with it; onFailure must not throw. name: a string literal, for the log.
    void spawn(const char* name, Task, std::function<void()> onFailure = {});
    // Runs a task that lasts as long as the loop, and begins it anew when it fails.
    void keepRunning(const char* name, std::function<Task()> begin);

private:
    class FailureGuard;

    Task supervise(const char* name, Task, std::function<void()> onFailure);
    Task restart(const char* name, std::function<Task()> begin);
    void noteFailure(const char* name, const std::string& reason, const std::function<void()>& onFailure);

    Journal& m_journal;
    daemon::Metrics& m_metrics;
    bool m_isRunning = false;
    // Destroyed first, and with it the tasks that have not ended; the objects that these refer to may be gone by then.
    net::io_context m_io { 1 };
};

} // namespace jacinthspindle::router
