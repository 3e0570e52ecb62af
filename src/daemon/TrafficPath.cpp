// Waiting for the decisions of the control thread.

#include "daemon/TrafficPath.h"

#include <algorithm>

namespace jacinthspindle::daemon {

namespace {

    // Time for the control thread to refuse a request whose deadline has passed, before its thread gives up waiting.
    constexpr std::chrono::milliseconds decisionReserve { 500 };
    constexpr std::chrono::milliseconds queueFullRetry { 1000 };

} // namespace

void recordTraceParent(TraceSink& trace, const RequestId& request, const std::string& traceParent)
{
    TraceRecord record;
    record.request = request;
    record.subject = "traceparent";
    record.kind = TraceKind::StateChanged;
    record.payload = traceParent;
    trace.record(std::move(record));
}

Admission::Admission(TrafficContext& context, RequestArrived arrival)
    : m_context(context)
    , m_arrival(std::move(arrival))
    , m_arrivedAt(context.clock.now())
    , m_mailbox(std::make_shared<Mailbox>())
{
}

Admission::~Admission()
{
    giveUp();
}

Duration Admission::remaining() const
{
    return m_arrivedAt + m_arrival.deadline - m_context.clock.now();
}

std::optional<RequestEnd> Admission::admit()
{
    if (!m_context.control.arrive(m_arrival, m_mailbox))
        return RequestEnd { ResultCode::QueueFull, Execution::NotRun, queueFullRetry, "the daemon's queue is full" };
    m_isOpen = true;
    return waitForDecision(remaining() + decisionReserve);
}

std::optional<RequestEnd> Admission::retry(
    const EndpointId& atFault, FailureKind kind, uint32_t position, bool mayRepeat)
{
    m_context.metrics.add(Counter::AttemptsFailed);
    m_context.control.post(AttemptFailed { m_arrival.request, m_dispatch.attempt, atFault, kind, position, mayRepeat });
    auto limit = std::max<Duration>(remaining(), Duration::zero()) + decisionReserve;
    return waitForDecision(limit);
}

void Admission::reportSilence(uint32_t position)
{
    // Which stage of a longer chain is silent is unknown.
    const auto& chain = m_dispatch.chain;
    auto silent = chain.size() == 1 ? chain.front().endpoint : EndpointId();
    m_hasAsked = true;
    m_context.control.post(AttemptStalled { m_arrival.request, m_dispatch.attempt, silent, position });
}

std::optional<RequestEnd> Admission::move()
{
    m_context.metrics.add(Counter::AttemptsFailed);
    return waitForDecision(decisionReserve);
}

std::optional<RequestEnd> Admission::waitForDecision(Duration limit)
{
    auto delivery = m_mailbox->wait(limit);
    if (!delivery) {
        giveUp();
        return RequestEnd { m_wasDispatched ? ResultCode::DeadlineExceeded : ResultCode::DeadlineUnreachable,
            m_wasDispatched ? Execution::Ran : Execution::NotRun, {}, "no decision was made within the deadline" };
    }
    if (auto* dispatch = std::get_if<Dispatch>(&delivery->decision)) {
        m_dispatch = std::move(*dispatch);
        m_table = std::move(delivery->table);
        m_wasDispatched = true;
        m_hasAsked = false;
        m_context.metrics.add(Counter::AttemptsStarted);
        return std::nullopt;
    }
    m_isOpen = false;
    if (const auto* refuse = std::get_if<Refuse>(&delivery->decision))
        return RequestEnd { refuse->code, Execution::NotRun, refuse->retryAfter, {} };
    const auto& abandon = std::get<Abandon>(delivery->decision);
    return RequestEnd { abandon.code, Execution::Ran, abandon.retryAfter, {} };
}

void Admission::finish(uint32_t tokens)
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_context.control.post(RequestFinished { m_arrival.request, m_dispatch.attempt, tokens });
    // The decision core may have dispatched another attempt meanwhile; it then ignores the end of this one.
    if (m_hasAsked)
        m_context.control.post(CallerGone { m_arrival.request });
    m_context.metrics.add(Counter::RequestsFinished);
}

void Admission::giveUp()
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_context.control.post(CallerGone { m_arrival.request });
    m_context.metrics.add(Counter::CallersGone);
}

} // namespace jacinthspindle::daemon
