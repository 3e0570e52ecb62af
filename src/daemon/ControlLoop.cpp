// The queue, the loop and the trace of the control thread.

#include "daemon/ControlLoop.h"

#include "daemon/Log.h"
#include "spindleadapters/PeerTraceCodec.h"
#include "spindleadapters/TraceCodec.h"

namespace jacinthspindle::daemon {

namespace {

    // Queued requests are reconsidered at this interval; it adds at most 5 % to a first token within 0.46 s.
    // Bounds the time until a request that can no longer be served is refused. Each tick is a trace record.
    constexpr std::chrono::milliseconds tickInterval { 100 };

    const RequestId& requestOf(const CoreInput& input)
    {
        static const RequestId none;
        return std::visit(
            [](const auto& it) -> const RequestId& {
                if constexpr (requires { it.request; })
                    return it.request;
                else
                    return none;
            },
            input);
    }

    const RequestId& requestOf(const CoreDecision& decision)
    {
        return std::visit([](const auto& it) -> const RequestId& { return it.request; }, decision);
    }

} // namespace

ControlLoop::ControlLoop(
    const CoreConfig& config, const Clock& clock, TraceRecorder& trace, Metrics& metrics, uint32_t queueLimit)
    : m_config(config)
    , m_clock(clock)
    , m_trace(trace)
    , m_metrics(metrics)
    , m_queueLimit(queueLimit)
    , m_core(config)
{
}

ControlLoop::~ControlLoop()
{
    stop();
}

void ControlLoop::setCompanion(ControlCompanion& companion)
{
    m_companion = &companion;
}

void ControlLoop::setReprioritizeHandler(ReprioritizeHandler handler)
{
    m_reprioritize = std::move(handler);
}

void ControlLoop::start()
{
    TraceRecord record;
    record.kind = TraceKind::CoreConfig;
    record.payload = encodeConfig(m_config);
    m_trace.record(std::move(record));
    m_thread = std::thread([this] { run(); });
}

void ControlLoop::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

bool ControlLoop::arrive(RequestArrived arrival, std::shared_ptr<Mailbox> mailbox)
{
    if (!pushBounded({ CoreInput(std::move(arrival)), std::move(mailbox), m_clock.now() }, m_queueLimit)) {
        m_metrics.add(Counter::ControlInputsRefused);
        return false;
    }
    m_metrics.add(Counter::RequestsArrived);
    return true;
}

void ControlLoop::post(CoreInput input)
{
    pushBounded({ std::move(input), nullptr, m_clock.now() }, SIZE_MAX);
}

bool ControlLoop::postHint(std::variant<CoreInput, PeerInput> input)
{
    bool isTaken = pushBounded({ std::move(input), nullptr, m_clock.now() }, m_queueLimit);
    if (!isTaken)
        m_metrics.add(Counter::ControlInputsDropped);
    return isTaken;
}

bool ControlLoop::pushBounded(Item item, size_t limit)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_queue.size() >= limit || m_isStopping)
            return false;
        m_queue.push_back(std::move(item));
    }
    m_wake.notify_one();
    return true;
}

std::shared_ptr<const Table> ControlLoop::table() const
{
    std::lock_guard lock(m_tableMutex);
    return m_table;
}

size_t ControlLoop::queueLength() const
{
    std::lock_guard lock(m_mutex);
    return m_queue.size();
}

bool ControlLoop::isAlive(Duration limit) const
{
    return m_clock.now().time_since_epoch().count() - m_lastStep.load() < limit.count();
}

void ControlLoop::run()
{
    if (m_companion)
        m_companion->start(m_clock.now());
    auto nextTick = m_clock.now();
    std::unique_lock lock(m_mutex);
    while (true) {
        auto now = m_clock.now();
        m_lastStep.store(now.time_since_epoch().count());
        if (now >= nextTick) {
            lock.unlock();
            tick(now);
            nextTick = now + tickInterval;
            lock.lock();
        }
        if (m_queue.empty()) {
            if (m_isStopping)
                return;
            m_wake.wait_for(lock, nextTick - now, [this] { return !m_queue.empty() || m_isStopping; });
            continue;
        }
        auto item = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        handle(item);
        lock.lock();
    }
}

void ControlLoop::handle(Item& item)
{
    auto now = m_clock.now();
    m_metrics.observe(Distribution::ControlWait, now - item.postedAt);
    if (const auto* input = std::get_if<CoreInput>(&item.input)) {
        if (item.mailbox)
            m_requests[requestOf(*input)].mailbox = std::move(item.mailbox);
        applyCore(now, *input);
        return;
    }
    if (!m_companion)
        return;
    std::vector<CoreInput> inputs;
    m_companion->apply(now, std::get<PeerInput>(item.input), inputs);
    for (const auto& it : inputs)
        applyCore(now, it);
}

void ControlLoop::tick(Instant now)
{
    if (m_companion) {
        std::vector<CoreInput> inputs;
        m_companion->tick(now, inputs);
        for (const auto& it : inputs)
            applyCore(now, it);
    }
    applyCore(now, Tick { ++m_ticks });
}

// Records the input, applies it, and records and delivers each decision, in this order: a replay depends on it.
void ControlLoop::applyCore(Instant now, const CoreInput& input)
{
    if (const auto* adopted = std::get_if<TableAdopted>(&input)) {
        std::lock_guard lock(m_tableMutex);
        m_table = adopted->table;
        m_metrics.add(Counter::TablesAdopted);
    }
    TraceRecord record;
    record.tableRevision = m_table ? m_table->revision : 0;
    record.request = requestOf(input);
    record.kind = TraceKind::CoreInput;
    record.payload = encodeInput(withTableReference(input));
    m_trace.recordAt(std::move(record), now);

    m_decisions.clear();
    auto before = m_clock.now();
    m_core.apply(now, input, m_decisions);
    m_metrics.observe(Distribution::DecisionTime, m_clock.now() - before);
    m_metrics.add(Counter::ControlInputs);
    if (m_companion)
        m_companion->observe(now, input, m_decisions);
    for (const auto& it : m_decisions) {
        TraceRecord decision;
        decision.tableRevision = m_table ? m_table->revision : 0;
        decision.request = requestOf(it);
        decision.kind = TraceKind::CoreDecision;
        decision.payload = encodeDecision(it);
        m_trace.recordAt(std::move(decision), now);
    }
    for (const auto& it : m_decisions)
        deliver(it);
    if (std::holds_alternative<RequestFinished>(input) || std::holds_alternative<CallerGone>(input))
        m_requests.erase(requestOf(input));
}

void ControlLoop::deliver(const CoreDecision& decision)
{
    auto it = m_requests.find(requestOf(decision));
    if (it == m_requests.end())
        return;
    if (const auto* change = std::get_if<Reprioritize>(&decision)) {
        if (m_reprioritize)
            m_reprioritize(*change, it->second.chain, *m_table);
        return;
    }
    if (const auto* dispatch = std::get_if<Dispatch>(&decision))
        it->second.chain = dispatch->chain;
    it->second.mailbox->deliver({ decision, m_table });
    bool isEnd = std::holds_alternative<Refuse>(decision) || std::holds_alternative<Abandon>(decision);
    if (isEnd)
        m_requests.erase(it);
}

} // namespace jacinthspindle::daemon
