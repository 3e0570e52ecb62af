// Calls of plain services over HTTP. For sources that include httplib.h.

#pragma once

#include "daemon/ServicePath.h"

#include <httplib.h>

namespace jacinthspindle::daemon {

// Thread-safe.
class ServiceHandler {
public:
    ServiceHandler(TrafficContext&, ActionLedger&);

    // Handles any method on /r/<route>/<path>.
    void handle(const httplib::Request&, httplib::Response&);

private:
    TrafficContext& m_context;
    ActionLedger& m_ledger;
};

} // namespace jacinthspindle::daemon
