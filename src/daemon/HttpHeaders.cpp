// Caller headers and problem documents.

#include "daemon/HttpHeaders.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace jacinthspindle::daemon {

namespace {

    constexpr size_t maxNameLength = 64;
    constexpr int64_t maxDeadlineMs = 600000;

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxNameLength
            && std::all_of(text.begin(), text.end(), [](unsigned char it) { return std::isgraph(it) != 0; });
    }

} // namespace

std::optional<CallerHeaders> readCallerHeaders(const httplib::Request& request, Reason& reason)
{
    CallerHeaders headers;
    auto workspace = request.get_header_value("X-Workspace");
    if (!isName(workspace) || request.get_header_value_count("X-Workspace") != 1) {
        reason = { ResultCode::RequestMalformed, "X-Workspace must name the workspace in 1-64 visible characters" };
        return std::nullopt;
    }
    headers.workspace = WorkspaceId(workspace);
    auto deadline = request.get_header_value("X-Deadline-Ms");
    if (request.has_header("X-Deadline-Ms")) {
        int64_t number = 0;
        const char* last = deadline.data() + deadline.size();
        auto [end, ec] = std::from_chars(deadline.data(), last, number);
        if (ec != std::errc() || end != last || number < 1 || number > maxDeadlineMs) {
            reason = { ResultCode::RequestMalformed,
                "X-Deadline-Ms must be a whole number of 1-" + std::to_string(maxDeadlineMs) };
            return std::nullopt;
        }
        headers.deadline = std::chrono::milliseconds(number);
    }
    headers.traceParent = parseTraceParent(request.get_header_value("traceparent"));
    return headers;
}

void setProblem(httplib::Response& response, const Problem& problem)
{
    response.status = httpStatus(problem.code);
    // A repetition of a request that is wrong in itself changes nothing.
    bool isWorthRetrying = response.status >= 500 || response.status == 429 || response.status == 409;
    if (isWorthRetrying && problem.retryAfter > Duration::zero()) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retryAfter).count();
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.set_content(problemJson(problem), "application/problem+json");
}

} // namespace jacinthspindle::daemon
