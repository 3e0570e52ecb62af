// Reading of caller headers and writing of problem documents. For sources that include httplib.h.

#pragma once

#include "daemon/CompletionJson.h"
#include "daemon/Identities.h"

#include <chrono>
#include <httplib.h>
#include <optional>
#include <string>

namespace jacinthspindle::daemon {

// What every request to a route says in its headers.
struct CallerHeaders {
    WorkspaceId workspace;
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<TraceParent> traceParent;
};

// Returns nothing and sets the reason (RequestMalformed) when a header is missing or has a wrong form.
std::optional<CallerHeaders> readCallerHeaders(const httplib::Request&, Reason&);

// Answers with a problem document, its HTTP status and Retry-After where there is a hint.
void setProblem(httplib::Response&, const Problem&);

} // namespace jacinthspindle::daemon
