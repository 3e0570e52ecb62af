// Fetches from the table service and polls of the host list.

#include "daemon/PlatformPoller.h"

#include "daemon/Log.h"

namespace jacinthspindle::daemon {

namespace {

    constexpr std::chrono::milliseconds platformTimeout { 2000 };
    // 880 daemons with this interval read the host list 440 times per second.
    constexpr std::chrono::milliseconds hostListInterval { 2000 };
    constexpr size_t maxFetches = 16;

} // namespace

PlatformPoller::PlatformPoller(
    TableService& tables, ObjectStore& objects, HostList& hosts, ControlLoop& control, Metrics& metrics)
    : m_store(tables, objects, platformTimeout)
    , m_hostList(hosts)
    , m_control(control)
    , m_metrics(metrics)
{
}

PlatformPoller::~PlatformPoller()
{
    stop();
}

void PlatformPoller::start()
{
    m_fetchThread = std::thread([this] { runFetches(); });
    m_hostThread = std::thread([this] { runHostList(); });
}

void PlatformPoller::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_fetchThread.joinable())
        m_fetchThread.join();
    if (m_hostThread.joinable())
        m_hostThread.join();
}

void PlatformPoller::fetch(const PlatformFetch& fetch)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_fetches.size() >= maxFetches)
            return;
        m_fetches.push_back(fetch);
    }
    m_changed.notify_all();
}

void PlatformPoller::runFetches()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return !m_fetches.empty() || m_isStopping; });
        if (m_isStopping)
            return;
        auto fetch = m_fetches.front();
        m_fetches.pop_front();
        lock.unlock();
        auto input = std::visit([this](const auto& it) { return carryOut(it); }, fetch);
        setPlatformUp(!std::holds_alternative<FetchFailed>(input));
        m_control.postHint(std::move(input));
        lock.lock();
    }
}

void PlatformPoller::setPlatformUp(bool isUp)
{
    if (!isUp)
        m_metrics.add(Counter::PlatformFailures);
    if (m_isPlatformUp.exchange(isUp) == isUp)
        return;
    if (isUp)
        logState(LogLevel::Info, "the platform answers again");
    else
        logState(LogLevel::Warn, "the platform does not answer; the last table stays in force",
            { { "reason", m_store.lastReason().text } });
}

PeerInput PlatformPoller::carryOut(const FetchHead&)
{
    auto head = m_store.head();
    if (!head)
        return FetchFailed { FetchKind::Head };
    return HeadSeen { head->revision, head->digest };
}

PeerInput PlatformPoller::carryOut(const FetchChanges& fetch)
{
    auto changes = m_store.changes(fetch.after, fetch.limit);
    if (!changes)
        return FetchFailed { FetchKind::Changes };
    return ChangesFetched { std::move(*changes) };
}

PeerInput PlatformPoller::carryOut(const FetchSnapshot&)
{
    auto table = m_store.load();
    if (!table || table->revision == 0)
        return FetchFailed { FetchKind::Snapshot };
    return SnapshotFetched { std::make_shared<const Table>(std::move(*table)) };
}

void PlatformPoller::runHostList()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        if (auto hosts = m_hostList.hosts(platformTimeout))
            postHosts(std::move(*hosts));
        else
            m_metrics.add(Counter::PlatformFailures);
        lock.lock();
        m_changed.wait_for(lock, hostListInterval, [this] { return m_isStopping; });
    }
}

void PlatformPoller::postHosts(std::vector<HostEntry> hosts)
{
    std::map<EndpointId, bool> leaving;
    std::vector<HostEntry> daemons;
    for (auto& it : hosts) {
        if (it.kind == HostKind::Entry)
            daemons.push_back(std::move(it));
        else
            leaving[EndpointId(it.name)] = it.leaving;
    }
    m_control.postHint(PeerInput(HostListSeen { std::move(daemons) }));
    for (const auto& [endpoint, isLeaving] : leaving) {
        auto known = m_leaving.find(endpoint);
        bool wasLeaving = known != m_leaving.end() && known->second;
        if (isLeaving != wasLeaving) {
            m_control.post(EndpointStateReported { endpoint, EndpointStateSource::HostList,
                isLeaving ? EndpointAvailability::Leaving : EndpointAvailability::Serving });
        }
    }
    // An endpoint that has left the list is no longer called leaving by it.
    for (const auto& [endpoint, wasLeaving] : m_leaving) {
        if (wasLeaving && !leaving.contains(endpoint))
            m_control.post(
                EndpointStateReported { endpoint, EndpointStateSource::HostList, EndpointAvailability::Serving });
    }
    m_leaving = std::move(leaving);
}

} // namespace jacinthspindle::daemon
