// Calls of plain services.

#include "daemon/ServiceHandler.h"

#include "daemon/HttpHeaders.h"

#include <algorithm>
#include <cctype>

namespace jacinthspindle::daemon {

namespace {

    constexpr size_t routeStart = 3; // Behind "/r/".

    // Sets route and path from the target as it was sent, so that escapes in the path reach the service unchanged.
    bool splitTarget(const std::string& target, ServiceQuery& query)
    {
        bool isVisible
            = std::all_of(target.begin(), target.end(), [](unsigned char it) { return std::isgraph(it) != 0; });
        if (target.compare(0, routeStart, "/r/") != 0 || !isVisible)
            return false;
        size_t end = std::min(target.find_first_of("/?", routeStart), target.size());
        query.route = RouteId(target.substr(routeStart, end - routeStart));
        query.path = target.substr(end);
        if (query.path.empty() || query.path.front() != '/')
            query.path.insert(0, "/");
        return !query.route.isEmpty();
    }

} // namespace

ServiceHandler::ServiceHandler(TrafficContext& context, ActionLedger& ledger)
    : m_context(context)
    , m_ledger(ledger)
{
}

void ServiceHandler::handle(const httplib::Request& request, httplib::Response& response)
{
    ServiceQuery query;
    Reason reason { ResultCode::RequestMalformed, "the path must be /r/<route>/..." };
    auto headers = readCallerHeaders(request, reason);
    bool isValid = headers && splitTarget(request.target, query);
    query.idempotencyKey = request.get_header_value("Idempotency-Key");
    if (isValid && query.idempotencyKey.size() > maxActionKeyBytes) {
        isValid = false;
        reason.text = "Idempotency-Key is longer than " + std::to_string(maxActionKeyBytes) + " bytes";
    }
    if (!isValid) {
        m_context.metrics.addResult(reason.code);
        return setProblem(response, { reason.code, Execution::NotRun, reason.text, {}, {} });
    }
    query.workspace = headers->workspace;
    query.deadline = headers->deadline;
    query.method = request.method;
    query.contentType = request.get_header_value("Content-Type");
    query.body = request.body;
    auto span = m_context.identities.childOf(headers->traceParent);
    query.traceParent = span.text();
    auto result = runService(m_context, m_ledger, query);
    recordTraceParent(m_context.trace, result.request, span.text());
    m_context.metrics.addResult(result.end.code);
    response.set_header("traceparent", span.text());
    response.set_header("X-Request-Id", result.request.value());
    if (result.end.code != ResultCode::Ok) {
        return setProblem(
            response, { result.end.code, result.end.ran, result.end.detail, result.end.retryAfter, result.request });
    }
    response.status = result.answer.status;
    if (result.isAnswerCut)
        response.set_header("X-Answer-Cut", "true");
    if (!result.answer.body.empty())
        response.set_content(result.answer.body,
            result.answer.contentType.empty() ? "application/octet-stream" : result.answer.contentType);
}

} // namespace jacinthspindle::daemon
