// Calls of plain services.

#include "daemon/ServicePath.h"

#include "daemon/ActionRun.h"

#include <algorithm>

namespace jacinthspindle::daemon {

namespace {

    constexpr std::chrono::milliseconds defaultDeadline { 30000 };
    constexpr std::chrono::milliseconds shortestCall { 1 };

    ServiceCall callOf(const ServiceQuery& query, const Admission& admission)
    {
        ServiceCall call;
        call.request = admission.request();
        call.method = query.method;
        call.path = query.path;
        call.contentType = query.contentType;
        call.body = query.body;
        call.traceParent = query.traceParent;
        return call;
    }

    std::chrono::milliseconds timeLeft(const Admission& admission)
    {
        return std::max(std::chrono::floor<std::chrono::milliseconds>(admission.remaining()), shortestCall);
    }

    // Repeats the call at the endpoints that the decision core names until one answers.
    void runIdempotent(TrafficContext& context, const ServiceQuery& query, Admission& admission, ServiceResult& result)
    {
        while (true) {
            auto call = callOf(query, admission);
            call.endpoint = admission.dispatch().chain.front().endpoint;
            const auto* row = admission.table().findEndpoint(call.endpoint);
            if (row) {
                call.address = row->address;
                result.answer = context.service.call(call, timeLeft(admission));
            }
            if (result.answer.outcome == ServiceOutcome::Answered) {
                context.metrics.add(Counter::ServiceCalls);
                admission.finish(0);
                return;
            }
            auto kind = result.answer.outcome == ServiceOutcome::NotSent ? FailureKind::ConnectFailed
                                                                         : FailureKind::StreamBroken;
            if (auto end = admission.retry(call.endpoint, kind, 0, true)) {
                result.end = *end;
                return;
            }
        }
    }

} // namespace

ServiceResult runService(TrafficContext& context, ActionLedger& ledger, const ServiceQuery& query)
{
    auto table = context.control.table();
    const auto* route = table ? table->findRoute(query.route) : nullptr;
    ServiceResult result;
    result.request = context.identities.nextRequest();
    bool isAction = route && !route->idempotent;
    if (isAction && query.idempotencyKey.empty()) {
        result.end = { ResultCode::IdempotencyKeyMissing, Execution::NotRun, {},
            "this route runs actions; send an Idempotency-Key" };
        return result;
    }
    RequestArrived arrival;
    arrival.request = result.request;
    arrival.workspace = query.workspace;
    arrival.route = query.route;
    arrival.deadline = query.deadline.value_or(route ? route->deadline : defaultDeadline);
    Admission admission(context, std::move(arrival));
    if (auto end = admission.admit()) {
        result.end = *end;
        return result;
    }
    if (isAction)
        runAction(context, ledger, query, admission, result);
    else
        runIdempotent(context, query, admission, result);
    if (result.end.code == ResultCode::Ok)
        context.metrics.observe(Distribution::RequestTime, context.clock.now() - admission.arrivedAt());
    return result;
}

} // namespace jacinthspindle::daemon
