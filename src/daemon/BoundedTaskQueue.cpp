// The bounded thread pool.

#include "daemon/BoundedTaskQueue.h"

namespace jacinthspindle::daemon {

namespace {

    // Enough to answer health checks and refusals while all other threads hold streams.
    constexpr size_t overflowThreads = 4;
    constexpr size_t overflowQueue = 64;

    thread_local bool isOverflowThread = false;

} // namespace

BoundedTaskQueue::BoundedTaskQueue(size_t threads, size_t queueLimit)
{
    m_normal.limit = queueLimit;
    m_overflow.limit = overflowQueue;
    for (size_t i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { work(m_normal, false); });
    for (size_t i = 0; i < overflowThreads; ++i)
        m_threads.emplace_back([this] { work(m_overflow, true); });
}

bool BoundedTaskQueue::isOverflow()
{
    return isOverflowThread;
}

bool BoundedTaskQueue::push(Lane& lane, std::function<void()>& task)
{
    if (lane.tasks.size() >= lane.idle + lane.limit)
        return false;
    lane.tasks.push_back(std::move(task));
    lane.changed.notify_one();
    return true;
}

void BoundedTaskQueue::enqueue(std::function<void()> task)
{
    std::unique_lock lock(m_mutex);
    while (!push(m_normal, task) && !push(m_overflow, task))
        m_taken.wait(lock);
}

void BoundedTaskQueue::work(Lane& lane, bool isOverflow)
{
    isOverflowThread = isOverflow;
    std::unique_lock lock(m_mutex);
    while (true) {
        ++lane.idle;
        lane.changed.wait(lock, [&] { return !lane.tasks.empty() || m_isStopping; });
        --lane.idle;
        if (lane.tasks.empty())
            return;
        auto task = std::move(lane.tasks.front());
        lane.tasks.pop_front();
        m_taken.notify_one();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
    }
}

void BoundedTaskQueue::shutdown()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_normal.changed.notify_all();
    m_overflow.changed.notify_all();
    for (auto& it : m_threads)
        it.join();
}

} // namespace jacinthspindle::daemon
