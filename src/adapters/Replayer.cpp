// Replay of the decision core, the actions, the membership, the table replica and the limit shares.

#include "spindleadapters/Replayer.h"

#include "spindleadapters/ActionCodec.h"
#include "spindleadapters/PeerTraceCodec.h"
#include "spindleadapters/Timeline.h"
#include "spindleadapters/TraceCodec.h"

#include <deque>
#include <map>
#include <memory>
#include <sstream>
#include <utility>

namespace jacinthspindle {

namespace {

    using ProcessKey = std::pair<HostId, uint64_t>;

    std::string describePayload(TraceKind kind, const std::string& payload)
    {
        if (payload.empty())
            return {};
        TraceRecord record;
        record.kind = kind;
        record.payload = payload;
        return describeRecord(record);
    }

    // A machine together with the encoded outputs that the trace has yet to confirm. What is left at the end of the
    // records is no divergence, because the end of a trace may lie between an input and its outputs.
    template <typename Machine> struct Instance {
        std::unique_ptr<Machine> machine;
        std::deque<std::string> pending;

        std::string takePending()
        {
            if (pending.empty())
                return {};
            auto payload = std::move(pending.front());
            pending.pop_front();
            return payload;
        }
    };

    // Collects how each request ended. A request that several daemons served ends with the best of their outcomes: a
    // stream that was cut at one daemon is complete if another one completed it.
    class OutcomeCollector {
    public:
        void add(const CoreInput& input)
        {
            if (const auto* finished = std::get_if<RequestFinished>(&input))
                improve(finished->request, OutcomeKind::Complete, ResultCode::Ok, finished->tokens);
            else if (const auto* gone = std::get_if<CallerGone>(&input))
                improve(gone->request, OutcomeKind::CallerGone, ResultCode::CallerGone, 0);
            else if (const auto* arrived = std::get_if<RequestArrived>(&input))
                improve(arrived->request, OutcomeKind::Open, ResultCode::Ok, 0);
        }

        void add(const CoreDecision& decision)
        {
            if (const auto* dispatch = std::get_if<Dispatch>(&decision))
                ++m_outcomes[dispatch->request].dispatches;
            else if (const auto* refuse = std::get_if<Refuse>(&decision))
                improve(refuse->request, OutcomeKind::Refused, refuse->code, 0);
            else if (const auto* abandon = std::get_if<Abandon>(&decision))
                improve(abandon->request, OutcomeKind::Abandoned, abandon->code, 0);
        }

        void add(const RequestId& request, const ActionOutput& output)
        {
            const auto* answer = std::get_if<AnswerCaller>(&output);
            if (!answer)
                return;
            switch (answer->execution) {
            case Execution::NotRun:
                return improve(request, OutcomeKind::ActionNotRun, answer->code, 0);
            case Execution::Unknown:
                return improve(request, OutcomeKind::ActionUnknown, answer->code, 0);
            case Execution::Ran:
                return improve(request, OutcomeKind::ActionRan, answer->code, 0);
            }
        }

        std::vector<RequestOutcome> take()
        {
            std::vector<RequestOutcome> outcomes;
            for (auto& [request, outcome] : m_outcomes) {
                outcome.request = request;
                outcomes.push_back(std::move(outcome));
            }
            return outcomes;
        }

    private:
        void improve(const RequestId& request, OutcomeKind kind, ResultCode code, uint32_t tokens)
        {
            auto& outcome = m_outcomes[request];
            if (kind < outcome.kind)
                return;
            outcome.kind = kind;
            outcome.code = code;
            outcome.tokens = tokens;
        }

        std::map<RequestId, RequestOutcome> m_outcomes;
    };

    // Replays the records of one process, in the order of their sequence numbers.
    class ProcessReplay {
    public:
        ProcessReplay(ReplayReport& report, OutcomeCollector& outcomes)
            : m_report(report)
            , m_outcomes(outcomes)
        {
        }

        // Returns false when nothing more of the process can be replayed.
        bool apply(const TraceRecord& record)
        {
            if (m_last && record.sequence != m_last->sequence + 1)
                return stopAtGap();
            m_last = &record;
            switch (record.kind) {
            case TraceKind::CoreConfig: {
                Reason reason;
                return start(record, m_core, decodeConfig(record.payload, reason));
            }
            case TraceKind::CoreInput:
                return applyCoreInput(record);
            case TraceKind::CoreDecision:
                return compareOutput(record, m_core);
            case TraceKind::ActionInput:
                return applyActionInput(record);
            case TraceKind::ActionOutput:
                return compareOutput(record, m_actions[record.request]);
            case TraceKind::ReplicaInput:
                return applyReplicaInput(record);
            case TraceKind::ReplicaOutput:
                return compareOutput(record, m_replica);
            case TraceKind::LimitInput:
                return applyLimitInput(record);
            case TraceKind::LimitOutput:
                return compareOutput(record, m_limits);
            case TraceKind::MembershipInput:
                return applyMembershipInput(record);
            case TraceKind::MembershipOutput:
                return compareOutput(record, m_membership);
            case TraceKind::Gap:
                return stopAtGap();
            default:
                return true;
            }
        }

    private:
        bool stopAtGap()
        {
            ++m_report.gaps;
            return false;
        }

        bool diverge(const TraceRecord& record, std::string expected, std::string actual)
        {
            m_report.divergence = Divergence { record.host, record.incarnation, record.sequence, record.request,
                std::move(expected), std::move(actual) };
            return false;
        }

        // Creates a machine from its recorded settings.
        template <typename Machine, typename Config>
        bool start(const TraceRecord& record, Instance<Machine>& instance, const std::optional<Config>& config)
        {
            if (!config)
                return diverge(record, "settings", "malformed settings");
            instance = {};
            instance.machine = std::make_unique<Machine>(*config);
            return true;
        }

        // Whether an input can be applied: all outputs of the one before it are confirmed.
        template <typename Machine>
        bool isReady(const TraceRecord& record, const Instance<Machine>& instance, TraceKind outputKind)
        {
            if (!instance.machine)
                return stopAtGap();
            if (!instance.pending.empty())
                return diverge(record, "", describePayload(outputKind, instance.pending.front()));
            return true;
        }

        // Replaces a reference to a table by the table that the replayed TableReplica has adopted. Returns false when
        // the replica has another revision, which means that records are missing.
        bool resolveTable(std::shared_ptr<const Table>& table)
        {
            if (!table || !isTableReference(*table))
                return true;
            const auto* adopted = m_replica.machine ? m_replica.machine->table().get() : nullptr;
            if (!adopted || adopted->revision != table->revision || adopted->digest != table->digest)
                return stopAtGap();
            table = m_replica.machine->table();
            return true;
        }

        bool applyCoreInput(const TraceRecord& record)
        {
            Reason reason;
            auto input = decodeInput(record.payload, reason);
            if (!input)
                return diverge(record, "input", reason.text);
            if (!isReady(record, m_core, TraceKind::CoreDecision))
                return false;
            if (auto* adopted = std::get_if<TableAdopted>(&*input)) {
                if (!resolveTable(adopted->table))
                    return false;
            }
            std::vector<CoreDecision> decisions;
            m_core.machine->apply(record.at, *input, decisions);
            m_outcomes.add(*input);
            for (const auto& it : decisions) {
                m_core.pending.push_back(encodeDecision(it));
                m_outcomes.add(it);
            }
            ++m_report.inputs;
            return true;
        }

        bool applyMembershipInput(const TraceRecord& record)
        {
            Reason reason;
            if (record.subject == traceConfigSubject)
                return start(record, m_membership, decodeMembershipConfig(record.payload, reason));
            auto input = decodeMembershipInput(record.payload, reason);
            if (!input)
                return diverge(record, "membership input", reason.text);
            if (!isReady(record, m_membership, TraceKind::MembershipOutput))
                return false;
            std::vector<MembershipOutput> outputs;
            m_membership.machine->apply(record.at, *input, outputs);
            for (const auto& it : outputs)
                m_membership.pending.push_back(encodeMembershipOutput(it));
            ++m_report.inputs;
            return true;
        }

        bool applyReplicaInput(const TraceRecord& record)
        {
            Reason reason;
            if (record.subject == traceConfigSubject)
                return start(record, m_replica, decodeReplicaConfig(record.payload, reason));
            auto input = decodeReplicaInput(record.payload, reason);
            if (!input)
                return diverge(record, "replica input", reason.text);
            if (!isReady(record, m_replica, TraceKind::ReplicaOutput))
                return false;
            std::vector<ReplicaOutput> outputs;
            m_replica.machine->apply(record.at, *input, outputs);
            for (const auto& it : outputs)
                m_replica.pending.push_back(encodeReplicaOutput(withTableReference(it)));
            ++m_report.inputs;
            return true;
        }

        bool applyLimitInput(const TraceRecord& record)
        {
            Reason reason;
            if (record.subject == traceConfigSubject)
                return start(record, m_limits, decodeLimitConfig(record.payload, reason));
            auto input = decodeLimitInput(record.payload, reason);
            if (!input)
                return diverge(record, "limit input", reason.text);
            if (!isReady(record, m_limits, TraceKind::LimitOutput))
                return false;
            if (auto* table = std::get_if<LimitTable>(&*input)) {
                if (!resolveTable(table->table))
                    return false;
            }
            std::vector<LimitOutput> outputs;
            m_limits.machine->apply(record.at, *input, outputs);
            for (const auto& it : outputs)
                m_limits.pending.push_back(encodeLimitOutput(it));
            ++m_report.inputs;
            return true;
        }

        bool applyActionInput(const TraceRecord& record)
        {
            Reason reason;
            auto input = decodeActionInput(record.payload, reason);
            if (!input)
                return diverge(record, "action input", reason.text);
            auto& action = m_actions[record.request];
            if (!action.pending.empty())
                return diverge(record, "", describePayload(TraceKind::ActionOutput, action.pending.front()));
            if (std::holds_alternative<ActionStarted>(*input))
                action.machine = std::make_unique<ActionMachine>();
            if (!action.machine)
                return stopAtGap();
            auto output = action.machine->apply(record.at, *input);
            action.pending.push_back(encodeActionOutput(output));
            m_outcomes.add(record.request, output);
            ++m_report.inputs;
            return true;
        }

        template <typename Machine> bool compareOutput(const TraceRecord& record, Instance<Machine>& instance)
        {
            if (!instance.machine)
                return stopAtGap();
            auto actual = instance.takePending();
            if (actual != record.payload)
                return diverge(record, describeRecord(record), describePayload(record.kind, actual));
            ++m_report.decisions;
            return true;
        }

        ReplayReport& m_report;
        OutcomeCollector& m_outcomes;
        Instance<DecisionCore> m_core;
        Instance<Membership> m_membership;
        Instance<TableReplica> m_replica;
        Instance<LimitShares> m_limits;
        std::map<RequestId, Instance<ActionMachine>> m_actions;
        const TraceRecord* m_last = nullptr;
    };

} // namespace

ReplayReport replayRecords(const std::vector<TraceRecord>& records)
{
    std::map<ProcessKey, std::map<uint64_t, const TraceRecord*>> processes;
    for (const auto& it : records)
        processes[{ it.host, it.incarnation }].emplace(it.sequence, &it);
    ReplayReport report;
    OutcomeCollector outcomes;
    for (const auto& [key, ordered] : processes) {
        ++report.processes;
        ProcessReplay replay(report, outcomes);
        for (const auto& [sequence, record] : ordered) {
            if (!replay.apply(*record))
                break;
        }
        if (report.divergence)
            break;
    }
    report.outcomes = outcomes.take();
    return report;
}

const char* outcomeName(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Open:
        return "open";
    case OutcomeKind::CallerGone:
        return "caller-gone";
    case OutcomeKind::Refused:
        return "refused";
    case OutcomeKind::Abandoned:
        return "abandoned";
    case OutcomeKind::ActionNotRun:
        return "action-not-run";
    case OutcomeKind::ActionUnknown:
        return "action-unknown";
    case OutcomeKind::ActionRan:
        return "action-ran";
    case OutcomeKind::Complete:
        break;
    }
    return "complete";
}

std::string RequestOutcome::toString() const
{
    return request.value() + " " + outcomeName(kind) + " " + resultName(code) + " " + std::to_string(tokens);
}

std::vector<std::string> compareOutcomes(const ReplayReport& report, const std::string& stated)
{
    std::map<std::string, std::string> actual;
    for (const auto& it : report.outcomes)
        actual[it.request.value()] = it.toString();
    std::vector<std::string> differences;
    std::istringstream lines(stated);
    for (std::string line; std::getline(lines, line);) {
        if (line.empty() || line.front() == '#')
            continue;
        auto it = actual.find(line.substr(0, line.find(' ')));
        if (it == actual.end()) {
            differences.push_back("stated '" + line + "', the trace has no such request");
            continue;
        }
        if (it->second != line)
            differences.push_back("stated '" + line + "', replayed '" + it->second + "'");
        actual.erase(it);
    }
    for (const auto& [request, line] : actual)
        differences.push_back("not stated, replayed '" + line + "'");
    return differences;
}

} // namespace jacinthspindle
