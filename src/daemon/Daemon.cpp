// Composition of the daemon.

#include "daemon/Daemon.h"

#include "daemon/ActionLedger.h"
#include "daemon/ControlLoop.h"
#include "daemon/EnginePoller.h"
#include "daemon/EngineSignals.h"
#include "daemon/HttpFront.h"
#include "daemon/Lifecycle.h"
#include "daemon/Log.h"
#include "daemon/PeerControl.h"
#include "daemon/PeerLink.h"
#include "daemon/PlatformPoller.h"
#include "daemon/StatusText.h"
#include "daemon/TraceRecorder.h"
#include "daemon/TrafficPath.h"
#include "spindleadapters/HttpEndpoints.h"
#include "spindleadapters/HttpPlatform.h"
#include "spindleadapters/NngPeerTransport.h"

#include <random>

namespace jacinthspindle::daemon {

namespace {

    constexpr std::chrono::seconds healthLimit { 2 };
    constexpr std::chrono::seconds finalFlushLimit { 5 };

    uint64_t seedOf(const Settings& settings)
    {
        if (settings.seed)
            return settings.seed;
        std::random_device device;
        return static_cast<uint64_t>(device()) << 32 | device();
    }

    // A later life of the process has a greater number, unless the wall clock was set back between the two.
    uint64_t incarnationOf(const Clock& clock)
    {
        return static_cast<uint64_t>(clock.wallNow().time_since_epoch().count());
    }

    CoreConfig coreConfig(const Settings& settings, uint64_t seed)
    {
        CoreConfig config;
        config.dataCentre = settings.dataCentre;
        config.seed = seed;
        config.host = settings.host;
        return config;
    }

} // namespace

class Daemon::Impl {
public:
    explicit Impl(const Settings& settings)
        : m_settings(settings)
        , m_seed(seedOf(settings))
        , m_identity { settings.host, incarnationOf(m_clock) }
        , m_trace(m_identity, m_clock, m_metrics, settings.traceRecords)
        , m_tables(settings.tableService)
        , m_objects(settings.objectStore)
        , m_hosts(settings.hostList)
        , m_flusher(m_trace, m_objects, m_metrics, settings.traceRecords)
        , m_lifecycle(m_clock, settings.drainLag)
        , m_control(coreConfig(settings, m_seed), m_clock, m_trace, m_metrics, settings.queueLimit)
        , m_poller(m_tables, m_objects, m_hosts, m_control, m_metrics)
        , m_peers(
              settings, m_identity.incarnation, m_seed, m_trace, [this](const SendToPeer& it) { sendToPeer(it); },
              [this](const PlatformFetch& it) { m_poller.fetch(it); })
        , m_signals(m_engine)
        , m_enginePoller(m_engine, m_control, m_clock, settings.dataCentre)
        , m_identities(settings.host, m_identity.incarnation, m_seed)
        , m_ledger(m_tables, m_clock, settings.host, m_identity.incarnation)
        , m_cursors(settings.peerKey)
        , m_traffic { m_clock, m_control, m_engine, m_service, m_signals, m_identities, m_metrics, m_trace, m_cursors }
        , m_front({ m_traffic, m_ledger, m_lifecycle, m_trace, [this] { return isReady(); },
                      [this] { return m_control.isAlive(healthLimit); }, [this] { return status(); },
                      [this] { beginDrain(); } },
              settings.trafficThreads)
    {
        m_control.setCompanion(m_peers);
        m_control.setReprioritizeHandler([this](const Reprioritize& change, const Chain& chain, const Table& table) {
            m_signals.setPriority(chain, table, change.request, change.attempt, change.priority);
        });
        addGauges();
    }

    bool start(Reason& reason)
    {
        NngPeerSettings peerSettings;
        peerSettings.listenAddress = m_settings.peerAddress;
        m_transport = NngPeerTransport::open(peerSettings, m_clock, reason);
        if (!m_transport || !m_front.bind(*parseAddress(m_settings.httpAddress), reason))
            return false;
        recordStart();
        m_link = std::make_unique<PeerLink>(*m_transport, m_identity, m_settings.peerKey, m_trace, m_metrics);
        m_control.start();
        m_link->start([this](PeerReceived message) { receive(std::move(message)); });
        m_ledger.start([this](const HostId& host, const ActionQuery& query) { return sendToHost(host, query); },
            [this](const HostId& host, const ActionVerdict& verdict) { sendToHost(host, verdict); });
        m_poller.start();
        m_signals.start();
        m_enginePoller.start();
        m_flusher.start();
        m_front.start();
        logState(LogLevel::Info, "started",
            { { "host", m_settings.host.value() }, { "incarnation", std::to_string(m_identity.incarnation) },
                { "http", m_settings.httpAddress }, { "peer", m_settings.peerAddress } });
        return true;
    }

    void beginDrain()
    {
        if (!m_lifecycle.beginDrain())
            return;
        m_control.post(DrainStarted { false });
        m_control.postHint(PeerInput(LeaveStarted {}));
        logPhase();
    }

    bool advanceDrain()
    {
        if (m_lifecycle.advance()) {
            m_control.post(DrainStarted { true });
            logPhase();
        }
        return m_lifecycle.phase() == Phase::Refusing && m_lifecycle.inProgress() == 0;
    }

    void logRunning() const
    {
        logState(LogLevel::Info, "drain goes on",
            { { "phase", phaseName(m_lifecycle.phase()) }, { "requests", std::to_string(m_lifecycle.inProgress()) } });
    }

    void stop()
    {
        m_front.stop();
        m_enginePoller.stop();
        m_poller.stop();
        m_ledger.stop();
        if (m_link)
            m_link->stop();
        m_control.stop();
        m_signals.stop();
        m_flusher.stop(finalFlushLimit);
        logState(LogLevel::Info, "ended", { { "traceRecords", std::to_string(m_trace.nextSequence()) } });
    }

private:
    bool isReady() const
    {
        return m_lifecycle.phase() == Phase::Serving && m_control.table() && m_control.isAlive(healthLimit)
            && m_peers.hasJoined() && !m_peers.isSuperseded();
    }

    void recordStart()
    {
        TraceRecord record;
        record.kind = TraceKind::ProcessStarted;
        record.payload = "jacinthspindled 0.1.0 dataCentre=" + m_settings.dataCentre.value()
            + " seed=" + std::to_string(m_seed) + " queueLimit=" + std::to_string(m_settings.queueLimit);
        m_trace.record(std::move(record));
    }

    void logPhase()
    {
        TraceRecord record;
        record.kind = TraceKind::StateChanged;
        record.subject = "phase";
        record.payload = phaseName(m_lifecycle.phase());
        m_trace.record(std::move(record));
        logState(LogLevel::Info, "phase changed",
            { { "phase", phaseName(m_lifecycle.phase()) }, { "requests", std::to_string(m_lifecycle.inProgress()) } });
    }

    void receive(PeerReceived message)
    {
        if (const auto* query = std::get_if<ActionQuery>(&message.body))
            m_ledger.onQuery(message.sender, *query);
        else if (const auto* verdict = std::get_if<ActionVerdict>(&message.body))
            m_ledger.onVerdict(*verdict);
        else
            m_control.postHint(PeerInput(std::move(message)));
    }

    void sendToPeer(const SendToPeer& message)
    {
        if (m_link)
            m_link->send(message.receiver, message.address, message.body);
    }

    bool sendToHost(const HostId& host, PeerBody body)
    {
        auto members = m_peers.members();
        for (const auto& it : *members) {
            if (it.host == host && it.state != MemberState::Dead)
                return m_link->send(host, it.address, std::move(body));
        }
        return false;
    }

    std::string status() const
    {
        StatusFigures figures;
        figures.identity = m_identity;
        figures.dataCentre = m_settings.dataCentre;
        figures.phase = m_lifecycle.phase();
        figures.isReady = isReady();
        figures.requestsInProgress = m_lifecycle.inProgress();
        figures.queueLength = m_control.queueLength();
        figures.table = m_control.table();
        figures.tableAgeMs = m_peers.tableAge();
        figures.isTablePoller = m_peers.isPoller();
        figures.isPlatformUp = m_poller.isPlatformUp();
        figures.isSuperseded = m_peers.isSuperseded();
        figures.members = m_peers.members();
        figures.nextTraceSequence = m_trace.nextSequence();
        return statusJson(figures);
    }

    void addGauges()
    {
        m_metrics.addGauge("requests_in_progress", "Requests in progress", [this] { return m_lifecycle.inProgress(); });
        m_metrics.addGauge("control_queue_length", "Inputs that wait for the control thread",
            [this] { return static_cast<double>(m_control.queueLength()); });
        m_metrics.addGauge("table_revision", "Revision of the table in force", [this] {
            auto table = m_control.table();
            return table ? static_cast<double>(table->revision) : 0;
        });
        m_metrics.addGauge("table_age_seconds", "Age of the table's last confirmation by the platform",
            [this] { return static_cast<double>(m_peers.tableAge()) / 1000; });
        m_metrics.addGauge("tables_rejected", "Old or damaged tables and changes from peers",
            [this] { return static_cast<double>(m_peers.rejectedTables()); });
        m_metrics.addGauge(
            "platform_up", "1 when the platform answered last", [this] { return m_poller.isPlatformUp(); });
        m_metrics.addGauge("ready", "1 when the daemon is ready", [this] { return isReady(); });
        m_metrics.addGauge("members", "Other daemons that are known as alive", [this] {
            auto members = m_peers.members();
            return static_cast<double>(std::count_if(members->begin(), members->end(),
                [](const MemberUpdate& it) { return it.state == MemberState::Alive; }));
        });
    }

    const Settings m_settings;
    const SystemClock m_clock;
    const uint64_t m_seed;
    const TraceIdentity m_identity;
    Metrics m_metrics;
    TraceRecorder m_trace;
    HttpTableService m_tables;
    HttpObjectStore m_objects;
    HttpHostList m_hosts;
    HttpModelEngine m_engine;
    HttpPlainService m_service;
    TraceFlusher m_flusher;
    Lifecycle m_lifecycle;
    std::unique_ptr<NngPeerTransport> m_transport;
    std::unique_ptr<PeerLink> m_link; // Set before the first thread starts.
    ControlLoop m_control;
    PlatformPoller m_poller;
    PeerControl m_peers;
    EngineSignals m_signals;
    EnginePoller m_enginePoller;
    Identities m_identities;
    ActionLedger m_ledger;
    CursorCodec m_cursors;
    TrafficContext m_traffic;
    HttpFront m_front;
};

Daemon::Daemon(const Settings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Daemon::~Daemon() = default;

bool Daemon::start(Reason& reason)
{
    return m_impl->start(reason);
}

void Daemon::beginDrain()
{
    m_impl->beginDrain();
}

bool Daemon::advanceDrain()
{
    return m_impl->advanceDrain();
}

void Daemon::logRunning() const
{
    m_impl->logRunning();
}

void Daemon::stop()
{
    m_impl->stop();
}

} // namespace jacinthspindle::daemon
