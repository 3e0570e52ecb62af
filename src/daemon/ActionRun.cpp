// The loop between an ActionMachine and the ports.

#include "daemon/ActionRun.h"

#include "spindleadapters/ActionCodec.h"
#include "spindlecore/internal/Digest.h"

#include <algorithm>

namespace jacinthspindle::daemon {

namespace {

    constexpr std::chrono::milliseconds storeTimeout { 2000 };
    constexpr std::chrono::milliseconds ownerTimeout { 500 };
    constexpr std::chrono::milliseconds shortestCall { 1 };

    class ActionRun {
    public:
        ActionRun(TrafficContext& context, ActionLedger& ledger, const ServiceQuery& query, Admission& admission)
            : m_context(context)
            , m_ledger(ledger)
            , m_query(query)
            , m_admission(admission)
            , m_entry(std::make_shared<ActionLedger::Entry>())
        {
        }

        AnswerCaller run()
        {
            auto started = start();
            m_entry->attempt = started.attempt;
            ActionLedger::Registration registration(m_ledger, m_entry);
            auto output = apply(started);
            while (!std::holds_alternative<AnswerCaller>(output)) {
                auto step = std::visit([](const auto& it) { return it.step; }, output);
                if (m_admission.remaining() <= Duration::zero()) {
                    output = apply(ActionTimedOut { step, false });
                    continue;
                }
                auto input = std::visit([this](const auto& it) { return carryOut(it); }, output);
                output = apply(input);
            }
            auto answer = std::get<AnswerCaller>(output);
            if (answer.repair)
                m_ledger.repair(*answer.repair);
            return answer;
        }

        // How the last call to the endpoint ended, if there was one.
        const std::optional<ServiceOutcome>& lastDispatch() const { return m_lastDispatch; }
        const EndpointId& lastEndpoint() const { return m_lastEndpoint; }

    private:
        ActionStarted start()
        {
            ActionStarted started;
            started.request = m_admission.request();
            started.workspace = m_query.workspace;
            started.key = m_query.idempotencyKey;
            internal::DigestVisitor digest;
            digest(m_query.route, m_query.method, m_query.path, m_query.contentType, m_query.body);
            started.bodyDigest = digest.hexDigest();
            started.attempt = m_context.identities.nextAttempt();
            addEndpoints(started.endpoints);
            auto floor = m_ledger.floor(m_query.workspace, timeLimit(storeTimeout));
            started.ledgerFloor = floor.row.value;
            started.floorVersion = floor.row.version;
            return started;
        }

        void addEndpoints(std::vector<ActionEndpoint>& endpoints)
        {
            const auto& table = m_admission.table();
            const auto& preferred = m_admission.dispatch().chain.front().endpoint;
            const auto* route = table.findRoute(m_query.route);
            for (const auto& row : table.endpoints) {
                bool isUsable = row.kind == EndpointKind::Service && route && row.target == route->target
                    && row.state == AdminState::Active;
                if (isUsable)
                    endpoints.push_back({ row.endpoint, row.capabilities });
            }
            std::stable_partition(
                endpoints.begin(), endpoints.end(), [&](const auto& it) { return it.endpoint == preferred; });
        }

        ActionOutput apply(const ActionInput& input)
        {
            auto now = m_context.clock.now();
            record(TraceKind::ActionInput, encodeActionInput(input), now);
            auto output = m_entry->apply(now, input);
            record(TraceKind::ActionOutput, encodeActionOutput(output), now);
            return output;
        }

        ActionInput carryOut(const WriteRow& output)
        {
            auto outcome = m_ledger.tables().commit(toTransaction(output), timeLimit(storeTimeout));
            if (outcome == CommitOutcome::Conflict)
                m_ledger.forgetFloor(m_query.workspace);
            return StoreAnswered { output.step, outcome };
        }

        ActionInput carryOut(const ReadRow& output)
        {
            Reason ignored; // A damaged row stays absent from the input, and the machine treats it as such.
            return toRowRead(output, m_ledger.tables().read(output.key, timeLimit(storeTimeout)), ignored);
        }

        ActionInput carryOut(const AskOwner& output)
        {
            return OwnerAnswered { output.step, m_ledger.ask(output, timeLimit(ownerTimeout)) };
        }

        ActionInput carryOut(const DispatchAction& output)
        {
            m_lastEndpoint = output.endpoint;
            auto call = callFor(output.endpoint, output.idempotencyKey, output.fence);
            auto answer = call.address.empty() ? ServiceAnswer {} : m_context.service.call(call, timeLimit());
            m_lastDispatch = answer.outcome;
            return DispatchAnswered { output.step, answer };
        }

        ActionInput carryOut(const LookupAction& output)
        {
            auto call = callFor(output.endpoint, output.idempotencyKey, output.fence);
            auto answer = call.address.empty() ? LookupAnswer {} : m_context.service.lookup(call, timeLimit());
            return LookupAnswered { output.step, answer };
        }

        // AnswerCaller ends the loop before this; InputIgnored cannot follow an input of this loop. A time-out makes
        // the machine end in both cases.
        ActionInput carryOut(const AnswerCaller& output) { return ActionTimedOut { output.step }; }
        ActionInput carryOut(const InputIgnored& output) { return ActionTimedOut { output.step }; }

        ServiceCall callFor(const EndpointId& endpoint, const std::string& idempotencyKey, uint64_t fence)
        {
            ServiceCall call;
            call.request = m_admission.request();
            call.endpoint = endpoint;
            const auto* row = m_admission.table().findEndpoint(endpoint);
            if (row)
                call.address = row->address;
            call.method = m_query.method;
            call.path = m_query.path;
            call.contentType = m_query.contentType;
            call.body = m_query.body;
            call.idempotencyKey = idempotencyKey;
            call.fence = fence;
            call.traceParent = m_query.traceParent;
            return call;
        }

        std::chrono::milliseconds timeLimit(std::chrono::milliseconds most = std::chrono::milliseconds::max()) const
        {
            auto left = std::chrono::floor<std::chrono::milliseconds>(m_admission.remaining());
            return std::clamp(left, shortestCall, most);
        }

        void record(TraceKind kind, std::string payload, Instant at)
        {
            TraceRecord record;
            record.request = m_admission.request();
            record.subject = m_query.idempotencyKey;
            record.tableRevision = m_admission.dispatch().tableRevision;
            record.kind = kind;
            record.payload = std::move(payload);
            m_context.trace.recordAt(std::move(record), at);
        }

        TrafficContext& m_context;
        ActionLedger& m_ledger;
        const ServiceQuery& m_query;
        Admission& m_admission;
        std::shared_ptr<ActionLedger::Entry> m_entry;
        std::optional<ServiceOutcome> m_lastDispatch;
        EndpointId m_lastEndpoint;
    };

    const char* settlementText(Settlement settlement)
    {
        switch (settlement) {
        case Settlement::RetrySameKey:
            return "a repetition with the same key is safe and may settle it";
        case Settlement::NewKey:
            return "the key is void; the action may be sent again under a new key";
        case Settlement::AskEndpoint:
            return "only the records of the service show whether it ran";
        case Settlement::Settled:
            break;
        }
        return "";
    }

    const char* coverageText(bool coversKey)
    {
        return coversKey ? "; no request with this key has run or ever will"
                         : "; this says nothing about other requests with the key";
    }

} // namespace

void runAction(TrafficContext& context, ActionLedger& ledger, const ServiceQuery& query, Admission& admission,
    ServiceResult& result)
{
    ActionRun run(context, ledger, query, admission);
    auto answer = run.run();
    result.answer = answer.answer;
    result.isAnswerCut = answer.isAnswerCut;
    bool isAnswered = answer.execution == Execution::Ran && answer.answer.outcome == ServiceOutcome::Answered;
    result.end.code = isAnswered ? ResultCode::Ok : answer.code;
    result.end.ran = answer.execution;
    result.end.detail = settlementText(answer.settlement);
    if (answer.execution == Execution::NotRun)
        result.end.detail += coverageText(answer.coversKey);
    bool hasFailed = run.lastDispatch() && *run.lastDispatch() != ServiceOutcome::Answered;
    if (hasFailed)
        admission.retry(run.lastEndpoint(), FailureKind::StreamBroken, 0, false);
    else
        admission.finish(0);
    if (isAnswered)
        context.metrics.add(Counter::ActionsRun);
}

} // namespace jacinthspindle::daemon
