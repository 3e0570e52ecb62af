// The daemon as a whole: its parts, their order of start and end, and the drain.

#pragma once

#include "daemon/Settings.h"
#include "spindlecore/ResultCode.h"

#include <chrono>
#include <memory>

namespace jacinthspindle::daemon {

class Daemon {
public:
    explicit Daemon(const Settings&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Starts all threads. Returns false and sets the reason when an address cannot be listened on.
    bool start(Reason&);

    // Ends readiness; requests that still arrive are served for the drain lag. Does nothing the second time.
    void beginDrain();
    // Moves the drain on; to be called every 100 ms or so. Returns true when the lag has passed and no request is in
    // progress any more.
    bool advanceDrain();
    // Writes to the log what still runs.
    void logRunning() const;
    // Ends all threads and flushes the trace. All requests in progress end whole before it returns.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jacinthspindle::daemon
