// Descriptions of trace records in one line each.

#include "spindleadapters/Timeline.h"

#include "spindleadapters/ActionCodec.h"
#include "spindleadapters/TraceCodec.h"

#include <sstream>

namespace jacinthspindle {

namespace {

    std::string chainText(const Chain& chain)
    {
        std::string text;
        for (const auto& it : chain) {
            text += text.empty() ? "" : " > ";
            text += it.endpoint.value() + "[" + std::to_string(it.layers.first) + "-" + std::to_string(it.layers.end)
                + ")";
        }
        return text;
    }

    int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    const char* availabilityName(EndpointAvailability availability)
    {
        switch (availability) {
        case EndpointAvailability::Serving:
            return "serving";
        case EndpointAvailability::Leaving:
            return "leaving";
        case EndpointAvailability::Down:
            break;
        }
        return "down";
    }

    const char* failureName(FailureKind kind)
    {
        switch (kind) {
        case FailureKind::ConnectFailed:
            return "connect failed";
        case FailureKind::StreamBroken:
            return "stream broken";
        case FailureKind::Stalled:
            return "stalled";
        case FailureKind::Refused:
            return "refused";
        case FailureKind::BadToken:
            break;
        }
        return "bad token";
    }

    // Describes one alternative of CoreInput or CoreDecision.
    struct Describe {
        std::ostringstream& out;

        void operator()(const RequestArrived& it) const
        {
            out << "arrived workspace=" << it.workspace.value() << " route=" << it.route.value()
                << " prompt=" << it.promptTokens << " max=" << it.maxTokens << " from=" << it.firstPosition
                << " deadline_ms=" << milliseconds(it.deadline);
        }
        void operator()(const RankedArrival& it) const
        {
            (*this)(it.arrival);
            out << " priority=" << unsigned { it.priority } << " target_ms=" << milliseconds(it.target);
        }
        void operator()(const RoutedArrival& it) const
        {
            (*this)(it.arrival);
            out << " of_route=" << it.route.value() << " timeout_ms=" << milliseconds(it.timeout);
        }
        void operator()(const PressureReported& it) const
        {
            out << "pressure, age_ms " << milliseconds(it.age);
            for (const auto& model : it.models) {
                out << ": " << model.model.value();
                for (const auto& load : model.loads) {
                    out << " priority=" << unsigned { load.priority } << " unread=" << load.unreadTokens
                        << " demand=" << load.demand << " begun=" << load.begun;
                }
            }
        }
        void operator()(const FirstToken& it) const { out << "first token, attempt " << it.attempt; }
        void operator()(const TokensProgressed& it) const
        {
            out << "at position " << it.position << ", attempt " << it.attempt;
        }
        void operator()(const AttemptFailed& it) const
        {
            out << "attempt " << it.attempt << " failed at " << it.endpoint.value() << ": " << failureName(it.kind)
                << ", position " << it.position;
        }
        void operator()(const AttemptStalled& it) const
        {
            out << "attempt " << it.attempt << " waits for " << it.endpoint.value() << ", position " << it.position;
        }
        void operator()(const RequestFinished& it) const
        {
            out << "finished, attempt " << it.attempt << ", tokens " << it.tokens;
        }
        void operator()(const CallerGone&) const { out << "caller gone"; }
        void operator()(const LoadReported& it) const
        {
            out << "load of " << it.endpoint.value() << ": running " << it.running << ", waiting " << it.waiting
                << ", age_ms " << milliseconds(it.age);
        }
        void operator()(const CacheChanged& it) const
        {
            out << "cache of " << it.endpoint.value() << ": added " << it.added.size() << ", removed "
                << it.removed.size();
        }
        void operator()(const EndpointStateReported& it) const
        {
            out << "endpoint " << it.endpoint.value() << " is " << availabilityName(it.availability);
        }
        void operator()(const TableAdopted& it) const
        {
            out << "table revision " << (it.table ? it.table->revision : 0) << " in force";
        }
        void operator()(const ShareChanged& it) const
        {
            out << "share of " << it.workspace.value() << ": requests/s " << it.requestsPerSecond << ", tokens/s "
                << it.tokensPerSecond << ", concurrency " << it.concurrency;
        }
        void operator()(const DrainStarted& it) const { out << "drain, refuse new " << (it.refuseNew ? "yes" : "no"); }
        void operator()(const RetryReserveChanged& it) const { out << "retry reserve " << it.repetitions; }
        void operator()(const AcceleratorsDeclared& it) const
        {
            out << "times of " << it.accelerators.size() << " kinds of accelerators";
        }
        void operator()(const PaceReported& it) const
        {
            out << "endpoint " << it.endpoint.value() << " takes " << it.percent << " % of the usual time";
        }
        void operator()(const PeersCounted& it) const { out << "daemons of the data centre " << it.daemons; }
        void operator()(const Tick& it) const { out << "tick " << it.number; }
        void operator()(const Dispatch& it) const
        {
            out << "dispatch attempt " << it.attempt << " from position " << it.firstPosition << ", priority "
                << unsigned { it.priority } << ": " << chainText(it.chain);
        }
        void operator()(const Refuse& it) const
        {
            out << "refuse " << resultName(it.code) << " (not run), retry after " << milliseconds(it.retryAfter)
                << " ms";
        }
        void operator()(const Abandon& it) const
        {
            out << "abandon attempt " << it.attempt << ": " << resultName(it.code);
        }
        void operator()(const Reprioritize& it) const
        {
            out << "priority " << unsigned { it.priority } << " for attempt " << it.attempt;
        }
    };

    const char* serviceOutcomeName(ServiceOutcome outcome)
    {
        switch (outcome) {
        case ServiceOutcome::Answered:
            return "answered";
        case ServiceOutcome::NotSent:
            return "not sent";
        case ServiceOutcome::Unknown:
            return "unknown";
        case ServiceOutcome::RefusedFence:
            break;
        }
        return "fence refused";
    }

    const char* commitOutcomeName(CommitOutcome outcome)
    {
        switch (outcome) {
        case CommitOutcome::Committed:
            return "committed";
        case CommitOutcome::Conflict:
            return "conflict";
        case CommitOutcome::Unknown:
            return "unknown";
        case CommitOutcome::Unavailable:
            break;
        }
        return "unavailable";
    }

    const char* actionStateName(ActionState state)
    {
        switch (state) {
        case ActionState::Claimed:
            return "claimed";
        case ActionState::Done:
            return "done";
        case ActionState::Void:
            break;
        }
        return "void";
    }

    const char* readOutcomeName(ReadOutcome outcome)
    {
        switch (outcome) {
        case ReadOutcome::Found:
            return "found";
        case ReadOutcome::Absent:
            return "absent";
        case ReadOutcome::Unavailable:
            break;
        }
        return "unavailable";
    }

    const char* lookupOutcomeName(LookupOutcome outcome)
    {
        switch (outcome) {
        case LookupOutcome::Found:
            return "found";
        case LookupOutcome::NotFound:
            return "not found";
        case LookupOutcome::Unavailable:
            break;
        }
        return "unavailable";
    }

    const char* verdictName(OwnerVerdict verdict)
    {
        switch (verdict) {
        case OwnerVerdict::Abandoned:
            return "abandoned";
        case OwnerVerdict::InProgress:
            return "in progress";
        case OwnerVerdict::Unknown:
            break;
        }
        return "unknown";
    }

    std::string attemptText(const AttemptId& attempt)
    {
        return attempt.host.value() + "/" + std::to_string(attempt.incarnation) + "." + std::to_string(attempt.counter);
    }

    // Describes one alternative of ActionInput or ActionOutput.
    struct DescribeAction {
        std::ostringstream& out;

        void operator()(const ActionStarted& it) const
        {
            out << "started, workspace " << it.workspace.value() << ", key " << it.key << ", attempt "
                << attemptText(it.attempt);
        }
        void operator()(const StoreAnswered& it) const { out << "commit " << commitOutcomeName(it.outcome); }
        void operator()(const RowRead& it) const
        {
            out << "row " << readOutcomeName(it.outcome);
            if (it.row)
                out << ", " << actionStateName(it.row->state) << " by " << attemptText(it.row->attempt);
        }
        void operator()(const OwnerAnswered& it) const { out << "owner says " << verdictName(it.verdict); }
        void operator()(const DispatchAnswered& it) const
        {
            out << "endpoint " << serviceOutcomeName(it.answer.outcome) << ", status " << it.answer.status;
        }
        void operator()(const LookupAnswered& it) const { out << "lookup " << lookupOutcomeName(it.answer.outcome); }
        void operator()(const ActionTimedOut&) const { out << "deadline passed"; }
        void operator()(const WriteRow& it) const
        {
            out << "write " << actionStateName(it.row.state) << " row " << it.key << " at version "
                << it.expectedVersion << ", epoch " << it.row.epoch;
        }
        void operator()(const ReadRow& it) const { out << "read row " << it.key; }
        void operator()(const AskOwner& it) const { out << "ask owner " << attemptText(it.attempt); }
        void operator()(const DispatchAction& it) const
        {
            out << "dispatch to " << it.endpoint.value() << ", fence " << it.fence;
        }
        void operator()(const LookupAction& it) const
        {
            out << "look up at " << it.endpoint.value() << ", fence " << it.fence;
        }
        void operator()(const AnswerCaller& it) const
        {
            out << "answer " << executionName(it.execution) << ", " << resultName(it.code) << ", status "
                << it.answer.status;
        }
        void operator()(const InputIgnored&) const { out << "input ignored"; }
    };

    template <typename Describer, typename Variant>
    std::string describeVariant(const std::optional<Variant>& value, const Reason& reason)
    {
        if (!value)
            return "malformed payload: " + reason.text;
        std::ostringstream out;
        std::visit(Describer { out }, *value);
        return out.str();
    }

} // namespace

const char* traceKindName(TraceKind kind)
{
    switch (kind) {
    case TraceKind::ProcessStarted:
        return "started";
    case TraceKind::CoreConfig:
        return "config";
    case TraceKind::CoreInput:
        return "input";
    case TraceKind::CoreDecision:
        return "decision";
    case TraceKind::ActionInput:
        return "action input";
    case TraceKind::ActionOutput:
        return "action output";
    case TraceKind::OrderInput:
        return "order input";
    case TraceKind::OrderOutput:
        return "order output";
    case TraceKind::StreamInput:
        return "stream input";
    case TraceKind::StreamOutput:
        return "stream output";
    case TraceKind::ReplicaInput:
        return "replica input";
    case TraceKind::ReplicaOutput:
        return "replica output";
    case TraceKind::LimitInput:
        return "limit input";
    case TraceKind::LimitOutput:
        return "limit output";
    case TraceKind::MembershipInput:
        return "membership input";
    case TraceKind::MembershipOutput:
        return "membership output";
    case TraceKind::StateChanged:
        return "state";
    case TraceKind::Gap:
        return "gap";
    }
    return "unknown";
}

std::string describeRecord(const TraceRecord& record)
{
    Reason reason;
    switch (record.kind) {
    case TraceKind::CoreInput:
        return describeVariant<Describe>(decodeInput(record.payload, reason), reason);
    case TraceKind::CoreDecision:
        return describeVariant<Describe>(decodeDecision(record.payload, reason), reason);
    case TraceKind::ActionInput:
        return describeVariant<DescribeAction>(decodeActionInput(record.payload, reason), reason);
    case TraceKind::ActionOutput:
        return describeVariant<DescribeAction>(decodeActionOutput(record.payload, reason), reason);
    case TraceKind::ProcessStarted:
    case TraceKind::StateChanged:
    case TraceKind::Gap:
        return record.payload;
    default:
        return std::to_string(record.payload.size()) + " bytes";
    }
}

} // namespace jacinthspindle
