// The thread pool of the HTTP server with a bounded queue. For sources that include httplib.h.

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace jacinthspindle::daemon {

// Runs each connection on one of its threads. A connection that finds the queue full runs on an overflow thread, where
// isOverflow() is true: handlers there answer operators and refuse all other work, so that a caller learns at once that
// its request was not run. When the overflow threads are busy too, the accepting thread waits.
class BoundedTaskQueue final : public httplib::TaskQueue {
public:
    BoundedTaskQueue(size_t threads, size_t queueLimit);
    ~BoundedTaskQueue() override = default;

    void enqueue(std::function<void()> task) override;
    // Ends the threads after all queued connections.
    void shutdown() override;

    // Whether the calling thread is an overflow thread.
    static bool isOverflow();

private:
    struct Lane {
        std::deque<std::function<void()>> tasks;
        std::condition_variable changed;
        size_t idle = 0;
        size_t limit = 0; // Tasks that wait beyond those for which a thread is idle.
    };

    void work(Lane&, bool isOverflow);
    bool push(Lane&, std::function<void()>&);

    std::mutex m_mutex;
    Lane m_normal;
    Lane m_overflow;
    std::condition_variable m_taken;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace jacinthspindle::daemon
