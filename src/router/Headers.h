// Which headers are passed on, and which the router sets.

#pragma once

#include "router/RouterSettings.h"
#include "router/RoutingView.h"

#include <spindlecore/spindlecore.h>

namespace jacinthspindle::router {

// What a request to an endpoint carries besides the caller's own headers.
struct ForwardedRequest {
    const http::request<http::string_body>* caller = nullptr;
    WorkspaceId workspace;
    std::chrono::milliseconds timeLeft {};
    std::string instance; // Of the endpoint that is meant.
    std::string chain; // Empty for a plain service.
    std::optional<uint64_t> lastEvent; // The stream continues after this event.
    std::optional<uint8_t> priority; // At the endpoint; 0 is the highest.
};

// Copies method, target, body and headers, except those that concern one connection or are the router's to set.
http::request<http::string_body> forwardRequest(const HeaderNames&, const ForwardedRequest&);

// Time after which an endpoint takes requests again: seconds, which may have a fraction. Nothing for zero, for anything
// that is not such a number, and without the header.
std::optional<Duration> retryAfterOf(const http::response_header<>&);

inline bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

// Copies status and headers of an endpoint's answer, except those that concern one connection.
http::response_header<> forwardResponseHeader(const http::response_header<>&);

// An answer of the router's own, whose text is the name of the result. wireId: the caller's identifier of the request;
// empty when it is not known.
http::response<http::string_body> errorAnswer(
    const HeaderNames&, ResultCode, unsigned status, const std::string& wireId, std::optional<Duration> retryAfter);

// Text of a chain: IP:port=first-end, with commas between the hops; nothing when an endpoint is not in the view.
std::optional<std::string> chainText(const RoutingView&, const Chain&);

// How long an endpoint keeps an idle connection, by its Keep-Alive header, less a margin for the way.
std::chrono::milliseconds idleLimitOf(const http::response_header<>&);

} // namespace jacinthspindle::router
