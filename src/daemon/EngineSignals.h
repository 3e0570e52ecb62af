// Cancellations and changes of priority on their way to the engines. They are hints: a full queue drops the oldest.

#pragma once

#include "daemon/Metrics.h"
#include "spindlecore/Decisions.h"
#include "spindlecore/Ports.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace jacinthspindle::daemon {

// Thread-safe; posting never blocks.
class EngineSignals {
public:
    explicit EngineSignals(ModelEngine&);
    ~EngineSignals();

    void start();
    void stop();
    void cancel(const Chain&, const Table&, const RequestId&, uint32_t attempt);
    void setPriority(const Chain&, const Table&, const RequestId&, uint32_t attempt, uint8_t priority);

private:
    struct Signal {
        std::string address;
        RequestId request;
        uint32_t attempt = 0;
        std::optional<uint8_t> priority; // Nothing: cancel.
    };

    void post(const Chain&, const Table&, const Signal&);
    void run();

    ModelEngine& m_engine;
    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<Signal> m_signals;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace jacinthspindle::daemon
