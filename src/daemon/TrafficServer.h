// The HTTP server with bounds that the library does not have: bytes and time of one request, keep-alive without
// polling, the accept backlog, and closing of connections while the daemon drains. For sources that include httplib.h.

#pragma once

#include "daemon/BoundedTaskQueue.h"

#include <atomic>
#include <chrono>
#include <httplib.h>
#include <string>

namespace jacinthspindle::daemon {

struct TrafficServerLimits {
    size_t threads = 0;
    size_t connectionQueue = 0; // Connections that wait for a thread.
    size_t bodyBytes = 1 << 20;
    std::chrono::milliseconds requestTime { 10000 }; // For receiving a whole request.
    std::chrono::milliseconds writeTime { 5000 }; // For each write to a caller that does not read.
    std::chrono::milliseconds keepAlive { 5000 };
    size_t requestsPerConnection = 1000;
};

class TrafficServer final : public httplib::Server {
public:
    explicit TrafficServer(const TrafficServerLimits&);

    // Binds and listens. Returns false when the address cannot be used.
    bool bind(const std::string& ip, uint16_t port);
    // Connections are closed after the request that they carry.
    void closeAfterRequests() { m_isClosing = true; }

private:
    // Called by the library on a thread of the task queue.
    bool process_and_close_socket(socket_t) override; // NOLINT(readability-identifier-naming)
    bool waitForRequest(socket_t) const;

    const TrafficServerLimits m_limits;
    std::atomic<bool> m_isClosing { false };
};

} // namespace jacinthspindle::daemon
