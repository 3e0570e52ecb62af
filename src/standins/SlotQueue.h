// The slots of an engine, handed out by priority and then by arrival.

#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <tuple>

namespace jacinthspindle::standins {

// Thread-safe.
class SlotQueue {
public:
    explicit SlotQueue(uint32_t slots)
        : m_free(slots)
    {
    }

    // Waits for a slot under a name. Returns false when isWanted, which is asked now and then, does.
    bool acquire(const std::string& name, uint8_t priority, const std::function<bool()>& isWanted)
    {
        std::unique_lock lock(m_mutex);
        m_waiting.insert({ priority, ++m_arrivals, name });
        auto arrival = m_arrivals;
        while (!m_free || std::get<1>(*m_waiting.begin()) != arrival) {
            m_changed.wait_for(lock, pollInterval);
            lock.unlock();
            bool isStillWanted = isWanted();
            lock.lock();
            if (!isStillWanted) {
                eraseArrival(arrival);
                return false;
            }
        }
        m_waiting.erase(m_waiting.begin());
        --m_free;
        ++m_running;
        return true;
    }

    void release()
    {
        std::lock_guard lock(m_mutex);
        ++m_free;
        --m_running;
        m_changed.notify_all();
    }

    // Changes the place of a waiting request.
    void setPriority(const std::string& name, uint8_t priority)
    {
        std::lock_guard lock(m_mutex);
        for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
            if (std::get<2>(*it) != name)
                continue;
            m_waiting.insert({ priority, std::get<1>(*it), name });
            m_waiting.erase(it);
            m_changed.notify_all();
            return;
        }
    }

    uint32_t running() const
    {
        std::lock_guard lock(m_mutex);
        return m_running;
    }

    uint32_t waiting() const
    {
        std::lock_guard lock(m_mutex);
        return static_cast<uint32_t>(m_waiting.size());
    }

private:
    static constexpr std::chrono::milliseconds pollInterval { 20 };

    void eraseArrival(uint64_t arrival)
    {
        std::erase_if(m_waiting, [&](const auto& it) { return std::get<1>(it) == arrival; });
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<std::tuple<uint8_t, uint64_t, std::string>> m_waiting; // Priority, arrival, name.
    uint64_t m_arrivals = 0;
    uint32_t m_free;
    uint32_t m_running = 0;
};

} // namespace jacinthspindle::standins
