// Replay of the decision core.

#include "spindleadapters/Replayer.h"

#include "spindleadapters/Timeline.h"
#include "spindleadapters/TraceCodec.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <tuple>
#include <utility>

namespace jacinthspindle {

namespace {

    using ProcessKey = std::pair<HostId, uint64_t>;

    std::string describePayload(TraceKind kind, const std::string& payload)
    {
        TraceRecord record;
        record.kind = kind;
        record.payload = payload;
        return describeRecord(record);
    }

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
                return start(record);
            case TraceKind::CoreInput:
                return applyInput(record);
            case TraceKind::CoreDecision:
                return compareDecision(record);
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

        bool start(const TraceRecord& record)
        {
            Reason reason;
            auto config = decodeConfig(record.payload, reason);
            if (!config)
                return diverge(record, "settings", reason.text);
            m_core = std::make_unique<DecisionCore>(*config);
            return true;
        }

        bool applyInput(const TraceRecord& record)
        {
            if (!m_pending.empty())
                return diverge(record, "", describePayload(TraceKind::CoreDecision, m_pending.front()));
            if (!m_core)
                return stopAtGap();
            Reason reason;
            auto input = decodeInput(record.payload, reason);
            if (!input)
                return diverge(record, "input", reason.text);
            std::vector<CoreDecision> decisions;
            m_core->apply(record.at, *input, decisions);
            for (const auto& it : decisions)
                m_pending.push_back(encodeDecision(it));
            ++m_report.inputs;
            return true;
        }

        bool compareDecision(const TraceRecord& record)
        {
            if (!m_core)
                return stopAtGap();
            std::string actual;
            if (!m_pending.empty()) {
                actual = std::move(m_pending.front());
                m_pending.pop_front();
            }
            if (actual != record.payload) {
                return diverge(record, describeRecord(record),
                    actual.empty() ? std::string() : describePayload(TraceKind::CoreDecision, actual));
            }
            ++m_report.decisions;
            return true;
        }

        ReplayReport& m_report;
        std::unique_ptr<DecisionCore> m_core;
        // Encoded decisions of the last input that the trace has yet to confirm. What is left at the end of the records
        // is no divergence, because the end of a trace may lie between an input and its decisions.
        std::deque<std::string> m_pending;
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
