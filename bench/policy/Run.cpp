// The event loop of one run.

#include "policy/Run.h"

#include "policy/Engines.h"
#include "policy/Policies.h"
#include "policy/Statistics.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <random>

namespace jacinthspindle::bench {

namespace {

    constexpr double reportEvery = 0.5; // Seconds between two load reports of a worker.
    constexpr double reportLag = 0.3; // Seconds from the measurement of a report to its arrival.
    constexpr double tickEvery = 0.1;
    constexpr double failureLag = 0.05; // Seconds until a daemon notices a broken stream.
    constexpr uint32_t maxReturns = 2;

    Instant instantOf(double seconds)
    {
        return Instant(Duration(static_cast<int64_t>(seconds * 1e9)));
    }
    double secondsOf(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1e9;
    }

    enum class EventKind : uint8_t { Arrival, Step, Failure, Report, ReportArrives, TickAll, Kill, DrainSeen };

    struct Event {
        double at = 0;
        uint64_t sequence = 0; // Keeps the order of events at the same time.
        EventKind kind = EventKind::Arrival;
        uint32_t subject = 0; // Job or worker.
        std::shared_ptr<Attempt> attempt;
        EndpointId atFault;
        LoadReported report;
        bool operator>(const Event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    class Runner {
    public:
        Runner(const Case& item, User user, const std::string& policy, uint64_t seed)
            : m_case(item)
            , m_table(std::make_shared<const Table>(fleetTable(user)))
            , m_engines(*m_table)
            , m_jobs(makeJobs(item, user, referenceCapacity(*m_table), seed))
            , m_random(seed + 77)
        {
            std::vector<DataCentreId> dataCentres;
            for (const auto& it : m_table->endpoints) {
                if (std::find(dataCentres.begin(), dataCentres.end(), it.dataCentre) == dataCentres.end())
                    dataCentres.push_back(it.dataCentre);
            }
            for (uint32_t i = 0; i < daemonCount; ++i)
                m_policies.push_back(makePolicy(policy, dataCentres[i % dataCentres.size()], i, seed));
            m_records.resize(m_jobs.size());
            m_attempts.resize(m_jobs.size());
        }

        Result run()
        {
            for (uint32_t i = 0; i < daemonCount; ++i)
                tell(i, TableAdopted { m_table });
            for (uint32_t i = 0; i < m_jobs.size(); ++i)
                schedule(m_jobs[i].at, EventKind::Arrival, i);
            for (uint32_t i = 0; i < m_engines.size(); ++i)
                schedule(reportEvery * i / static_cast<double>(m_engines.size()), EventKind::Report, i);
            schedule(tickEvery, EventKind::TickAll, 0);
            // The worker that fails or leaves is the first one of the second stage.
            m_victim = 1;
            while (m_table->endpoints[m_victim].layers.first != 4)
                ++m_victim;
            if (m_case.killAt > 0)
                schedule(m_case.killAt, EventKind::Kill, m_victim);
            if (m_case.drainAt > 0)
                schedule(m_case.drainAt, EventKind::DrainSeen, m_victim);
            // Work that is still unfinished long after the last arrival counts as late.
            double end = m_case.seconds + 150;
            while (!m_events.empty() && m_events.top().at <= end) {
                auto event = m_events.top();
                m_events.pop();
                m_clock.set(instantOf(event.at));
                m_at = event.at;
                handle(event);
            }
            return summarize(m_case, *m_table, m_jobs, m_records, m_totals);
        }

    private:
        void schedule(double at, EventKind kind, uint32_t subject, std::shared_ptr<Attempt> attempt = nullptr)
        {
            Event event;
            event.at = at;
            event.sequence = m_sequence++;
            event.kind = kind;
            event.subject = subject;
            event.attempt = std::move(attempt);
            m_events.push(std::move(event));
        }

        void scheduleAll(const std::vector<Timer>& started)
        {
            for (const auto& it : started)
                schedule(m_at + it.delay, EventKind::Step, it.attempt->job, it.attempt);
        }

        void handle(const Event& event)
        {
            switch (event.kind) {
            case EventKind::Arrival:
                return arrive(event.subject);
            case EventKind::Step:
                return step(event.attempt);
            case EventKind::Failure:
                return tell(m_jobs[event.subject].daemon,
                    AttemptFailed { idOf(event.subject), event.attempt->number, event.atFault,
                        event.attempt->held ? FailureKind::StreamBroken : FailureKind::ConnectFailed,
                        event.attempt->position, true });
            case EventKind::Report:
                return report(event.subject);
            case EventKind::ReportArrives:
                return tellAll(event.report);
            case EventKind::TickAll:
                tellAll(Tick { ++m_tick });
                if (m_at < m_case.seconds + 140)
                    schedule(m_at + tickEvery, EventKind::TickAll, 0);
                return;
            case EventKind::Kill:
                return kill(event.subject);
            case EventKind::DrainSeen:
                m_drained = event.subject;
                tellAll(EndpointStateReported {
                    m_engines.idOf(event.subject), EndpointStateSource::HostList, EndpointAvailability::Leaving });
                return;
            }
        }

        RequestId idOf(uint32_t job) const
        {
            return RequestId("r" + std::to_string(job) + "-" + std::to_string(m_records[job].returns));
        }

        void tellAll(const CoreInput& input)
        {
            for (uint32_t i = 0; i < daemonCount; ++i)
                tell(i, input);
        }

        void tell(uint32_t daemon, const CoreInput& input)
        {
            std::vector<CoreDecision> decisions;
            m_policies[daemon]->apply(m_clock.now(), input, decisions);
            for (const auto& it : decisions)
                std::visit([&](const auto& decision) { follow(decision); }, it);
        }

        void arrive(uint32_t job)
        {
            const auto& it = m_jobs[job];
            double left = it.deadline - (m_at - it.at);
            if (left <= 0)
                return;
            m_records[job].wasRefused = false;
            tell(it.daemon,
                RequestArrived { idOf(job), WorkspaceId("workspace-" + std::to_string(it.workspace)),
                    RouteId(it.isLong ? "summary" : "chat"), it.promptTokens, 2048, 0, it.prefixDigests,
                    Duration(static_cast<int64_t>(left * 1e9)) });
        }

        static uint32_t jobOf(const RequestId& id) { return static_cast<uint32_t>(std::stoul(id.value().substr(1))); }

        void follow(const Dispatch& decision)
        {
            uint32_t job = jobOf(decision.request);
            const auto& it = m_jobs[job];
            auto attempt = std::make_shared<Attempt>();
            attempt->job = job;
            attempt->number = decision.attempt;
            attempt->priority = decision.priority;
            attempt->prompt = it.promptTokens;
            attempt->tokens = it.tokens;
            attempt->position = decision.firstPosition;
            attempt->startPosition = decision.firstPosition;
            std::optional<uint32_t> dead;
            for (const auto& hop : decision.chain) {
                uint32_t worker = m_engines.indexOf(hop.endpoint);
                attempt->workers.push_back(worker);
                attempt->layers.push_back(hop.layers.count());
                m_totals.workOfWorker[worker] += referenceHold(it.promptTokens, it.tokens);
                if (m_engines.isDead(worker))
                    dead = worker;
                if (m_drained && worker == *m_drained)
                    ++m_totals.dispatchesAfterDrain;
            }
            ++m_totals.attempts;
            if (decision.attempt == 1)
                ++m_totals.admitted;
            m_records[job].wasDispatched = true;
            m_attempts[job] = attempt;
            if (dead) {
                attempt->isOver = true;
                return fail(attempt, m_engines.idOf(*dead));
            }
            bool faulty = m_at >= m_case.faultFrom && m_at < m_case.faultTo;
            attempt->breaks = faulty && m_random() % 3 == 0;
            std::vector<Timer> started;
            m_engines.submit(attempt, started);
            scheduleAll(started);
        }

        void follow(const Refuse& decision)
        {
            uint32_t job = jobOf(decision.request);
            auto& record = m_records[job];
            record.wasRefused = true;
            if (!m_case.callersReturn || record.returns >= maxReturns)
                return;
            ++record.returns;
            schedule(m_at + secondsOf(decision.retryAfter), EventKind::Arrival, job);
        }

        void follow(const Abandon& decision) { m_records[jobOf(decision.request)].wasAbandoned = true; }

        void follow(const Reprioritize& decision)
        {
            const auto& attempt = m_attempts[jobOf(decision.request)];
            if (attempt && attempt->number == decision.attempt)
                m_engines.setPriority(attempt, decision.priority);
        }

        void fail(const std::shared_ptr<Attempt>& attempt, const EndpointId& atFault)
        {
            Event event;
            event.at = m_at + failureLag;
            event.sequence = m_sequence++;
            event.kind = EventKind::Failure;
            event.subject = attempt->job;
            event.attempt = attempt;
            event.atFault = atFault;
            m_events.push(std::move(event));
        }

        // The first token or a segment of tokens of an attempt is done.
        void step(const std::shared_ptr<Attempt>& attempt)
        {
            if (attempt->isOver)
                return;
            auto& record = m_records[attempt->job];
            uint32_t daemon = m_jobs[attempt->job].daemon;
            uint32_t left = attempt->tokens - attempt->position;
            bool isFirst = attempt->position == attempt->startPosition;
            uint32_t n = isFirst ? 1 : std::min(left, progressTokens);
            attempt->position += n;
            m_totals.tokens += n;
            if (record.firstAt < 0)
                record.firstAt = m_at;
            if (attempt->position >= attempt->tokens) {
                record.doneAt = m_at;
                std::vector<Timer> started;
                m_engines.release(attempt, started);
                scheduleAll(started);
                return tell(daemon, RequestFinished { idOf(attempt->job), attempt->number, attempt->position });
            }
            if (attempt->breaks && !isFirst)
                return breakAttempt(attempt, EndpointId());
            uint32_t next = std::min(attempt->tokens - attempt->position, progressTokens);
            schedule(m_at + m_engines.decodeTime(*attempt, next), EventKind::Step, attempt->job, attempt);
            if (isFirst)
                return tell(daemon, FirstToken { idOf(attempt->job), attempt->number });
            tell(daemon, TokensProgressed { idOf(attempt->job), attempt->number, attempt->position });
        }

        void breakAttempt(const std::shared_ptr<Attempt>& attempt, const EndpointId& atFault)
        {
            std::vector<Timer> started;
            m_engines.release(attempt, started);
            scheduleAll(started);
            fail(attempt, atFault);
        }

        void report(uint32_t worker)
        {
            if (m_engines.isDead(worker) || m_at > m_case.seconds + 140)
                return;
            Event event;
            event.at = m_at + reportLag;
            event.sequence = m_sequence++;
            event.kind = EventKind::ReportArrives;
            event.report = { m_engines.idOf(worker), m_engines.running(worker), m_engines.waiting(worker),
                Duration(static_cast<int64_t>(reportLag * 1e9)) };
            m_events.push(std::move(event));
            schedule(m_at + reportEvery, EventKind::Report, worker);
        }

        void kill(uint32_t worker)
        {
            m_engines.kill(worker);
            for (const auto& it : m_attempts) {
                if (it && !it->isOver && std::find(it->workers.begin(), it->workers.end(), worker) != it->workers.end())
                    breakAttempt(it, m_engines.idOf(worker));
            }
        }

        const Case& m_case;
        std::shared_ptr<const Table> m_table;
        Engines m_engines;
        std::vector<Job> m_jobs;
        std::mt19937_64 m_random;
        std::vector<std::unique_ptr<Policy>> m_policies;
        std::vector<JobRecord> m_records;
        std::vector<std::shared_ptr<Attempt>> m_attempts;
        Totals m_totals;
        ManualClock m_clock;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        uint64_t m_sequence = 0;
        double m_at = 0;
        uint32_t m_tick = 0;
        uint32_t m_victim = 0;
        std::optional<uint32_t> m_drained;
    };

} // namespace

Result runCase(const Case& item, User user, const std::string& policy, uint64_t seed)
{
    return Runner(item, user, policy, seed).run();
}

} // namespace jacinthspindle::bench
