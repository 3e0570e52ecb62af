// The queue and the senders of engine signals.

#include "daemon/EngineSignals.h"

namespace jacinthspindle::daemon {

namespace {

    constexpr std::chrono::milliseconds signalTimeout { 500 };
    constexpr size_t maxSignals = 4096;
    // One engine that does not answer must not delay the signals to all others.
    constexpr size_t senderThreads = 2;

} // namespace

EngineSignals::EngineSignals(ModelEngine& engine)
    : m_engine(engine)
{
}

EngineSignals::~EngineSignals()
{
    stop();
}

void EngineSignals::start()
{
    for (size_t i = 0; i < senderThreads; ++i)
        m_threads.emplace_back([this] { run(); });
}

void EngineSignals::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_posted.notify_all();
    for (auto& it : m_threads)
        it.join();
    m_threads.clear();
}

void EngineSignals::cancel(const Chain& chain, const Table& table, const RequestId& request, uint32_t attempt)
{
    post(chain, table, { {}, request, attempt, std::nullopt });
}

void EngineSignals::setPriority(
    const Chain& chain, const Table& table, const RequestId& request, uint32_t attempt, uint8_t priority)
{
    post(chain, table, { {}, request, attempt, priority });
}

void EngineSignals::post(const Chain& chain, const Table& table, const Signal& signal)
{
    {
        std::lock_guard lock(m_mutex);
        for (const auto& it : chain) {
            const auto* row = table.findEndpoint(it.endpoint);
            if (!row || row->kind != EndpointKind::Engine)
                continue;
            m_signals.push_back(signal);
            m_signals.back().address = row->address;
        }
        while (m_signals.size() > maxSignals)
            m_signals.pop_front();
    }
    m_posted.notify_all();
}

void EngineSignals::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_posted.wait(lock, [this] { return !m_signals.empty() || m_isStopping; });
        if (m_isStopping)
            return;
        auto signal = std::move(m_signals.front());
        m_signals.pop_front();
        lock.unlock();
        if (signal.priority)
            m_engine.setPriority(signal.address, signal.request, signal.attempt, *signal.priority, signalTimeout);
        else
            m_engine.cancel(signal.address, signal.request, signal.attempt, signalTimeout);
        lock.lock();
    }
}

} // namespace jacinthspindle::daemon
