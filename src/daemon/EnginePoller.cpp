// Polls of engine status.

#include "daemon/EnginePoller.h"

#include <algorithm>

namespace jacinthspindle::daemon {

namespace {

    constexpr size_t pollThreads = 4;
    constexpr std::chrono::milliseconds statusTimeout { 400 };
    // A leaving endpoint receives no new work after 3 s, so it is asked at least every second while there are few.
    constexpr std::chrono::milliseconds shortestInterval { 1000 };
    constexpr double pollsPerSecond = 50;
    constexpr std::chrono::milliseconds idlePause { 50 };
    constexpr uint32_t failuresUntilDown = 2; // A single lost status is no reason to avoid an engine.

} // namespace

EnginePoller::EnginePoller(
    ModelEngine& engine, ControlLoop& control, const Clock& clock, const DataCentreId& dataCentre)
    : m_engine(engine)
    , m_control(control)
    , m_clock(clock)
    , m_dataCentre(dataCentre)
{
}

EnginePoller::~EnginePoller()
{
    stop();
}

void EnginePoller::start()
{
    for (size_t i = 0; i < pollThreads; ++i)
        m_threads.emplace_back([this] { run(); });
}

void EnginePoller::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    for (auto& it : m_threads)
        it.join();
    m_threads.clear();
}

void EnginePoller::adoptTable()
{
    auto table = m_control.table();
    if (!table || table->revision == m_revision)
        return;
    m_revision = table->revision;
    bool hasLocal = std::any_of(table->endpoints.begin(), table->endpoints.end(),
        [this](const EndpointRow& it) { return it.kind == EndpointKind::Engine && it.dataCentre == m_dataCentre; });
    std::map<EndpointId, Engine> engines;
    for (const auto& row : table->endpoints) {
        if (row.kind != EndpointKind::Engine || (hasLocal && row.dataCentre != m_dataCentre))
            continue;
        auto known = m_engines.find(row.endpoint);
        if (known != m_engines.end() && known->second.address == row.address)
            engines[row.endpoint] = std::move(known->second);
        else
            engines[row.endpoint].address = row.address;
    }
    m_engines = std::move(engines);
}

void EnginePoller::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        adoptTable();
        auto now = m_clock.now();
        auto next = std::min_element(m_engines.begin(), m_engines.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.isPolled, a.second.due) < std::pair(b.second.isPolled, b.second.due);
        });
        if (next == m_engines.end() || next->second.isPolled || next->second.due > now) {
            m_stopped.wait_for(lock, idlePause);
            continue;
        }
        auto spread = std::chrono::duration<double>(static_cast<double>(m_engines.size()) / pollsPerSecond);
        next->second.due = now + std::max<Duration>(shortestInterval, std::chrono::ceil<Duration>(spread));
        next->second.isPolled = true;
        auto endpoint = next->first;
        auto address = next->second.address;
        lock.unlock();
        auto status = m_engine.status(address, statusTimeout);
        lock.lock();
        auto engine = m_engines.find(endpoint);
        if (engine == m_engines.end() || engine->second.address != address)
            continue;
        engine->second.isPolled = false;
        report(endpoint, engine->second, status);
    }
}

void EnginePoller::report(const EndpointId& endpoint, Engine& engine, const std::optional<EngineStatus>& status)
{
    engine.failures = status ? 0 : engine.failures + 1;
    auto health = engine.failures < failuresUntilDown ? EndpointAvailability::Serving : EndpointAvailability::Down;
    if (health != engine.health) {
        engine.health = health;
        m_control.post(EndpointStateReported { endpoint, EndpointStateSource::Health, health });
    }
    if (!status)
        return;
    auto availability = status->leaving ? EndpointAvailability::Leaving : EndpointAvailability::Serving;
    if (availability != engine.engineAvailability) {
        engine.engineAvailability = availability;
        m_control.post(EndpointStateReported { endpoint, EndpointStateSource::Engine, availability });
    }
    m_control.postHint(CoreInput(LoadReported { endpoint, status->running, status->waiting, status->age }));
    reportCache(endpoint, engine, *status);
}

void EnginePoller::reportCache(const EndpointId& endpoint, Engine& engine, const EngineStatus& status)
{
    if (status.cacheSequence == engine.cacheSequence)
        return;
    std::set<uint64_t> prefixes(status.cachedPrefixes.begin(), status.cachedPrefixes.end());
    CacheChanged change { endpoint, 0, {}, {} };
    std::set_difference(prefixes.begin(), prefixes.end(), engine.prefixes.begin(), engine.prefixes.end(),
        std::back_inserter(change.added));
    std::set_difference(engine.prefixes.begin(), engine.prefixes.end(), prefixes.begin(), prefixes.end(),
        std::back_inserter(change.removed));
    engine.cacheSequence = status.cacheSequence;
    engine.prefixes = std::move(prefixes);
    // The status holds the whole set, so no change is lost between two polls and the numbers of changes have no gap.
    change.sequence = ++engine.changes;
    m_control.postHint(CoreInput(std::move(change)));
}

} // namespace jacinthspindle::daemon
