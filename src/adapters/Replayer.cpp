// Replay of the decision core and of the action machines.

#include "spindleadapters/Replayer.h"

#include "spindleadapters/ActionCodec.h"
#include "spindleadapters/Timeline.h"
#include "spindleadapters/TraceCodec.h"

#include <deque>
#include <map>
#include <memory>
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

    // Replays the records of one process, in the order of their sequence numbers.
    class ProcessReplay {
    public:
        explicit ProcessReplay(ReplayReport& report)
            : m_report(report)
        {
        }

        // Returns false when nothing more of the process can be replayed.
        bool apply(const TraceRecord& record)
        {
            if (m_last && record.sequence != m_last->sequence + 1)
                return stopAtGap();
            m_last = &record;
            switch (record.kind) {
            case TraceKind::CoreConfig:
                return startCore(record);
            case TraceKind::CoreInput:
                return applyCoreInput(record);
            case TraceKind::CoreDecision:
                return compareOutput(record, m_core);
            case TraceKind::ActionInput:
                return applyActionInput(record);
            case TraceKind::ActionOutput:
                return compareOutput(record, m_actions[record.request]);
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

        bool startCore(const TraceRecord& record)
        {
            Reason reason;
            auto config = decodeConfig(record.payload, reason);
            if (!config)
                return diverge(record, "settings", reason.text);
            m_core.machine = std::make_unique<DecisionCore>(*config);
            return true;
        }

        bool applyCoreInput(const TraceRecord& record)
        {
            if (!m_core.machine)
                return stopAtGap();
            if (!m_core.pending.empty())
                return diverge(record, "", describePayload(TraceKind::CoreDecision, m_core.pending.front()));
            Reason reason;
            auto input = decodeInput(record.payload, reason);
            if (!input)
                return diverge(record, "input", reason.text);
            std::vector<CoreDecision> decisions;
            m_core.machine->apply(record.at, *input, decisions);
            for (const auto& it : decisions)
                m_core.pending.push_back(encodeDecision(it));
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
            action.pending.push_back(encodeActionOutput(action.machine->apply(record.at, *input)));
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
        Instance<DecisionCore> m_core;
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
    for (const auto& [key, ordered] : processes) {
        ++report.processes;
        ProcessReplay replay(report);
        for (const auto& [sequence, record] : ordered) {
            if (!replay.apply(*record))
                break;
        }
        if (report.divergence)
            break;
    }
    return report;
}

} // namespace jacinthspindle
