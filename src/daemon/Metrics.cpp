// Counters and Boost.Accumulators behind the Prometheus text form.

#include "daemon/Metrics.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstddef>
#include <sstream>

namespace jacinthspindle::daemon {

namespace {

    namespace stats = boost::accumulators;

    struct NameText {
        const char* name;
        const char* help;
    };

    constexpr std::array<NameText, counterCount> counterTexts { {
        { "requests_arrived_total", "Requests handed to the decision core" },
        { "requests_finished_total", "Requests answered whole" },
        { "callers_gone_total", "Requests whose caller closed the connection" },
        { "attempts_started_total", "Attempts dispatched to endpoints" },
        { "attempts_failed_total", "Attempts that ended without the whole answer" },
        { "tokens_sent_total", "Tokens written to callers" },
        { "tokens_dropped_total", "Tokens that failed validation" },
        { "streams_resumed_total", "Streams continued from a cursor" },
        { "service_calls_total", "Calls of idempotent services" },
        { "actions_total", "Actions answered from a dispatch or a record" },
        { "connections_refused_total", "Connections answered by the overflow worker" },
        { "control_inputs_total", "Inputs applied by the control thread" },
        { "control_inputs_dropped_total", "Progress and load inputs dropped on a full queue" },
        { "control_inputs_refused_total", "Requests refused on a full queue" },
        { "peer_messages_received_total", "Messages from other daemons" },
        { "peer_messages_rejected_total", "Malformed or unauthentic messages" },
        { "peer_messages_dropped_total", "Messages that found a full queue" },
        { "tables_adopted_total", "Tables put in force" },
        { "trace_records_total", "Trace records made" },
        { "trace_records_lost_total", "Trace records overwritten before they were flushed" },
        { "trace_batches_total", "Trace batches stored" },
        { "trace_batches_failed_total", "Trace batches that the object store did not take" },
        { "platform_failures_total", "Failed requests to the platform" },
        { "answers_cut_total", "Begun answers that the daemon ended before their endpoint did" },
        { "requests_withheld_total", "Requests kept from the engines for a part of their prompts" },
        { "tasks_failed_total", "Tasks of an event loop that an exception ended" },
    } };

    constexpr std::array<NameText, distributionCount> distributionTexts { {
        { "decision_seconds", "Time of one input in the decision core" },
        { "control_wait_seconds", "Time of an input in the queue of the control thread" },
        { "first_token_seconds", "Time from arrival to the first token" },
        { "token_gap_seconds", "Time between two tokens of a stream" },
        { "token_overhead_seconds", "Time from the engine's token to the end of the write to the caller" },
        { "request_seconds", "Time from arrival to the end of the answer" },
        { "loop_delay_seconds", "Time by which the traffic thread ran late" },
    } };

    constexpr std::array<const char*, serviceLevelCount> levelNames { "in-time", "late", "refused", "failed" };
    constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };
    // Upper bounds of the histograms' buckets in seconds: from a decision's time to a stream's.
    constexpr std::array<double, 13> bucketBounds { 0.0001, 0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
        20 };
    const std::string prefix = "jacinthspindle_";

    void writeHead(std::ostream& out, const std::string& name, const std::string& help, const char* type)
    {
        out << "# HELP " << prefix << name << ' ' << help << '\n';
        out << "# TYPE " << prefix << name << ' ' << type << '\n';
    }

} // namespace

class Metrics::Summary {
public:
    Summary()
        : m_values(stats::extended_p_square_probabilities = quantiles)
    {
    }

    void add(double value)
    {
        std::lock_guard lock(m_mutex);
        m_values(value);
        auto bucket = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), value) - bucketBounds.begin();
        if (bucket < static_cast<std::ptrdiff_t>(m_buckets.size()))
            ++m_buckets[static_cast<size_t>(bucket)];
    }

    void write(std::ostream& out, const NameText& text) const
    {
        std::lock_guard lock(m_mutex);
        writeHead(out, text.name, text.help, "summary");
        size_t n = stats::count(m_values);
        // The P-square estimate needs a few values before its markers are placed.
        for (size_t i = 0; i < quantiles.size() && n > 2 * quantiles.size() + 3; ++i) {
            out << prefix << text.name << "{quantile=\"" << quantiles[i] << "\"} "
                << stats::extended_p_square(m_values)[static_cast<std::ptrdiff_t>(i)] << '\n';
        }
        out << prefix << text.name << "_sum " << (n ? stats::sum(m_values) : 0) << '\n';
        out << prefix << text.name << "_count " << n << '\n';
        writeHistogram(out, text, n);
        writeHead(out, std::string(text.name) + "_max", std::string(text.help) + ", largest", "gauge");
        out << prefix << text.name << "_max " << (n ? stats::max(m_values) : 0) << '\n';
    }

private:
    using Values = stats::accumulator_set<double,
        stats::stats<stats::tag::count, stats::tag::sum, stats::tag::max, stats::tag::extended_p_square>>;
    // A quantile of one process cannot be combined with those of others; buckets can.
    void writeHistogram(std::ostream& out, const NameText& text, size_t n) const
    {
        auto name = std::string(text.name) + "_histogram";
        writeHead(out, name, text.help, "histogram");
        uint64_t sum = 0;
        for (size_t i = 0; i < bucketBounds.size(); ++i) {
            sum += m_buckets[i];
            out << prefix << name << "_bucket{le=\"" << bucketBounds[i] << "\"} " << sum << '\n';
        }
        out << prefix << name << "_bucket{le=\"+Inf\"} " << n << '\n';
        out << prefix << name << "_sum " << (n ? stats::sum(m_values) : 0) << '\n';
        out << prefix << name << "_count " << n << '\n';
    }

    mutable std::mutex m_mutex;
    Values m_values;
    std::array<uint64_t, bucketBounds.size()> m_buckets {}; // Values above the last bound are in none.
};

Metrics::Metrics()
{
    for (auto& it : m_summaries)
        it = std::make_unique<Summary>();
}

Metrics::~Metrics() = default;

void Metrics::add(Counter counter, uint64_t amount)
{
    m_counters[static_cast<size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

uint64_t Metrics::value(Counter counter) const
{
    return m_counters[static_cast<size_t>(counter)].load(std::memory_order_relaxed);
}

void Metrics::addResult(ResultCode code)
{
    std::lock_guard lock(m_resultMutex);
    ++m_results[code];
}

void Metrics::addServed(uint8_t priority, ServiceLevel level)
{
    auto row = std::min<size_t>(priority, priorityCount - 1);
    m_served[row][static_cast<size_t>(level)].fetch_add(1, std::memory_order_relaxed);
}

void Metrics::writeServed(std::ostream& out) const
{
    writeHead(out, "served_total", "Requests by priority and by how they were served", "counter");
    for (size_t priority = 0; priority < priorityCount; ++priority) {
        for (size_t level = 0; level < serviceLevelCount; ++level) {
            auto n = m_served[priority][level].load(std::memory_order_relaxed);
            if (n)
                out << prefix << "served_total{priority=\"" << priority << "\",level=\"" << levelNames[level] << "\"} "
                    << n << '\n';
        }
    }
}

void Metrics::observe(Distribution distribution, Duration value)
{
    m_summaries[static_cast<size_t>(distribution)]->add(std::chrono::duration<double>(value).count());
}

void Metrics::addGauge(const std::string& name, const std::string& help, std::function<double()> read)
{
    m_gauges.push_back({ name, help, std::move(read) });
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    for (size_t i = 0; i < counterTexts.size(); ++i) {
        writeHead(out, counterTexts[i].name, counterTexts[i].help, "counter");
        out << prefix << counterTexts[i].name << ' ' << m_counters[i].load(std::memory_order_relaxed) << '\n';
    }
    writeHead(out, "results_total", "Requests by the code with which they ended", "counter");
    {
        std::lock_guard lock(m_resultMutex);
        for (const auto& [code, n] : m_results)
            out << prefix << "results_total{code=\"" << static_cast<unsigned>(code) << "\",name=\"" << resultName(code)
                << "\"} " << n << '\n';
    }
    writeServed(out);
    for (const auto& it : m_gauges) {
        writeHead(out, it.name, it.help, "gauge");
        out << prefix << it.name << ' ' << it.read() << '\n';
    }
    for (size_t i = 0; i < distributionTexts.size(); ++i)
        m_summaries[i]->write(out, distributionTexts[i]);
    return out.str();
}

} // namespace jacinthspindle::daemon
