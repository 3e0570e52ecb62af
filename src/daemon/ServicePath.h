// One call of a plain service: an idempotent call is repeated on failure, an action runs at most once.

#pragma once

#include "daemon/ActionLedger.h"
#include "daemon/TrafficPath.h"

#include <optional>
#include <string>

namespace jacinthspindle::daemon {

struct ServiceQuery {
    WorkspaceId workspace;
    RouteId route;
    std::string method;
    std::string path; // With the query, without "/r/<route>".
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    std::optional<std::chrono::milliseconds> deadline;
    std::string traceParent;
};

struct ServiceResult {
    RequestEnd end; // Ok: answer holds the service's answer.
    ServiceAnswer answer;
    RequestId request;
    bool isAnswerCut = false; // A recorded answer of which only the status was kept.
};

// Runs the call on the calling thread.
ServiceResult runService(TrafficContext&, ActionLedger&, const ServiceQuery&);

} // namespace jacinthspindle::daemon
