// The HTTP interface of the daemon towards callers and operators.

#pragma once

#include "daemon/ActionLedger.h"
#include "daemon/Lifecycle.h"
#include "daemon/Settings.h"
#include "daemon/TraceRecorder.h"
#include "daemon/TrafficPath.h"

#include <functional>
#include <memory>
#include <string>

namespace jacinthspindle::daemon {

// References must outlive the front.
struct FrontContext {
    TrafficContext& traffic;
    ActionLedger& ledger;
    Lifecycle& lifecycle;
    TraceRecorder& trace;
    std::function<bool()> isReady;
    std::function<bool()> isHealthy;
    std::function<std::string()> statusJson;
    std::function<void()> startDrain;
};

class HttpFront {
public:
    HttpFront(const FrontContext&, uint32_t trafficThreads);
    ~HttpFront();
    HttpFront(const HttpFront&) = delete;
    HttpFront& operator=(const HttpFront&) = delete;

    // Returns false and sets the reason (SettingsInvalid) when the address cannot be listened on.
    bool bind(const SocketAddress&, Reason&);
    // Serves on threads of its own.
    void start();
    // Accepts no new connection and returns when all requests in progress have ended.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace jacinthspindle::daemon
