// Counters and distributions, and their Prometheus text form.

#pragma once

#include "spindlecore/ResultCode.h"
#include "spindlecore/Types.h"

#include <array>
#include <atomic>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jacinthspindle::daemon {

enum class Counter : uint8_t {
    RequestsArrived,
    RequestsFinished,
    CallersGone,
    AttemptsStarted,
    AttemptsFailed,
    TokensSent,
    TokensDropped,
    StreamsResumed,
    ServiceCalls,
    ActionsRun,
    ConnectionsRefused,
    ControlInputs,
    ControlInputsDropped,
    ControlInputsRefused,
    PeerMessagesReceived,
    PeerMessagesRejected,
    PeerMessagesDropped,
    TablesAdopted,
    TraceRecords,
    TraceRecordsLost,
    TraceBatches,
    TraceBatchesFailed,
    PlatformFailures,
    AnswersCut, // Begun answers that this daemon ended while their endpoint had neither ended nor broken them off.
    RequestsWithheld, // Requests kept from the engines for a part of their prompts.
    TasksFailed, // Tasks of an event loop that an exception ended.
};
constexpr size_t counterCount = static_cast<size_t>(Counter::TasksFailed) + 1;

// How a request ended, as its caller sees it.
enum class ServiceLevel : uint8_t {
    InTime, // Whole, and within the objectives of its route.
    Late, // Whole.
    Refused, // Not run.
    Failed,
};
constexpr size_t serviceLevelCount = static_cast<size_t>(ServiceLevel::Failed) + 1;
// Priorities that are told apart; lower ones count with the last.
constexpr size_t priorityCount = 10;

enum class Distribution : uint8_t {
    DecisionTime, // Of one input in the decision core.
    ControlWait, // From the moment an input is posted until it is applied.
    FirstToken, // From arrival to the first token.
    TokenGap, // Between two tokens of a stream.
    TokenOverhead, // From the engine's token to the end of the write to the caller.
    RequestTime, // From arrival to the end.
    LoopDelay, // By which a periodic timer of the traffic thread fired late.
};
constexpr size_t distributionCount = static_cast<size_t>(Distribution::LoopDelay) + 1;

// Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();

    void add(Counter, uint64_t amount = 1);
    uint64_t value(Counter) const;
    void addResult(ResultCode); // Counts how a request ended.
    void addServed(uint8_t priority, ServiceLevel); // Counts how a request of this priority ended.
    void observe(Distribution, Duration);

    // Adds a figure that is read each time the text is made. Call it before the first reader starts.
    void addGauge(const std::string& name, const std::string& help, std::function<double()> read);

    // Returns all figures in the Prometheus text format 0.0.4.
    std::string prometheusText() const;

private:
    struct Gauge {
        std::string name;
        std::string help;
        std::function<double()> read;
    };
    class Summary;

    void writeServed(std::ostream&) const;

    std::array<std::atomic<uint64_t>, counterCount> m_counters {};
    std::array<std::array<std::atomic<uint64_t>, serviceLevelCount>, priorityCount> m_served {};
    std::array<std::unique_ptr<Summary>, distributionCount> m_summaries;
    mutable std::mutex m_resultMutex;
    std::map<ResultCode, uint64_t> m_results;
    std::vector<Gauge> m_gauges;
};

} // namespace jacinthspindle::daemon
