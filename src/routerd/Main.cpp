// jacinthspindle-routerd: the daemon of an entry host on the users' platform.

#include "platform/Platform.h"
#include "platform/Settings.h"
#include "router/BootClock.h"
#include "router/Control.h"
#include "router/EventLoop.h"
#include "router/TextServer.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <tclap/CmdLine.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace jacinthspindle;
using router::LineKind;

struct Options {
    std::string settingsFile;
    std::string metricsPort; // Empty: no metrics are served.
    bool wantsHelp = false;
};

constexpr const char* usage = R"(Usage: jacinthspindle-routerd [--settings PATH] [--metrics-port PORT]

Routes requests on an entry host of the platform.

  --settings PATH       settings file; otherwise JACINTHSPINDLE_NODE_FILE, then /etc/jacinthspindle/settings.json
  --metrics-port PORT   port on which metrics are served; otherwise JACINTHSPINDLE_METRICS_PORT, then none
)";

std::string environmentOr(const char* name, const std::string& fallback)
{
    // Read before any thread starts.
    const char* value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value ? value : fallback;
}

// The arguments of TCLAP, which refer to the command line that holds them.
struct Flags {
    TCLAP::CmdLine line { "jacinthspindle-routerd", ' ', "0.2.0", false };
    TCLAP::ValueArg<std::string> settings { "", "settings", "", false,
        environmentOr("JACINTHSPINDLE_NODE_FILE", "/etc/jacinthspindle/settings.json"), "path", line };
    TCLAP::ValueArg<std::string> metricsPort { "", "metrics-port", "", false,
        environmentOr("JACINTHSPINDLE_METRICS_PORT", ""), "port", line };
    TCLAP::SwitchArg help { "h", "help", "", line };
};

std::optional<Options> parseOptions(int argc, char** argv)
{
    auto flags = std::make_unique<Flags>();
    try {
        flags->line.setExceptionHandling(false);
        flags->line.parse(argc, argv);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "jacinthspindle-routerd: " << error.error() << ' ' << error.argId() << '\n' << usage;
        return std::nullopt;
    }
    return Options { flags->settings.getValue(), flags->metricsPort.getValue(), flags->help.getValue() };
}

std::optional<platform::PlatformSettings> readSettings(const std::string& path, Reason& reason)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        reason = { ResultCode::SettingsInvalid, path + ": cannot be read" };
        return std::nullopt;
    }
    return platform::decodeSettings(text.str(), reason);
}

PlannerLeaseConfig leaseConfigOf(const router::RouterSettings& settings, const Clock& clock)
{
    PlannerLeaseConfig config;
    // The time tells the starts of one host apart.
    config.holder = settings.host.value() + '/' + std::to_string(clock.now().time_since_epoch().count());
    // At the first start of all hosts one of them claims the lease, and the others do not contend for it.
    if (!settings.isPreferredPlanner)
        config.firstClaimDelay = std::chrono::milliseconds(1500);
    return config;
}

int fail(router::Journal& journal, const Reason& reason)
{
    journal.write(
        LineKind::Warning, "start-failed", { { "code", static_cast<int>(reason.code) }, { "reason", reason.text } });
    return exitStatus(reason.code);
}

// Both event loops and all that runs on them.
class Process {
public:
    Process(const platform::PlatformSettings& settings, const Clock& clock, router::Journal& journal)
        : m_settings(settings)
        , m_journal(journal)
        , m_controlLoop(journal, m_metrics)
        , m_trafficLoop(journal, m_metrics)
        , m_configurations(m_controlLoop.io().get_executor(), clock, journal, m_era, settings.storeAddress,
              FactTiming(settings.router.changeBound))
        , m_endpoints(m_controlLoop.io().get_executor(), journal, m_era, settings.storeAddress)
        , m_hosts(m_controlLoop.io().get_executor(), m_era, settings.storeAddress)
        , m_lease(m_controlLoop.io().get_executor(), m_era, settings.storeAddress)
        , m_planningEngines(m_controlLoop.io().get_executor())
        , m_trafficEngines(m_trafficLoop.io().get_executor())
        , m_control(m_controlLoop, clock, journal, m_metrics, settings.router,
              { m_configurations, m_endpoints, m_hosts, m_lease, m_planningEngines },
              leaseConfigOf(settings.router, clock))
        , m_traffic(m_trafficLoop, clock, journal, m_metrics, settings.router,
              { [this](CoreInput input) { m_control.postInput(std::move(input)); },
                  [this](const EndpointId& id) { m_control.reportSilent(id); },
                  [this](router::EndpointNotice notice) { m_control.postNotice(std::move(notice)); },
                  [this] { m_control.postPartNews(); } },
              m_trafficEngines)
        , m_ready(m_trafficLoop, router::immediately([this] {
            return router::TextAnswer { m_traffic.isReady() ? 200U : 503U, {} };
        }))
        , m_metricsServer(m_controlLoop, router::immediately([this] {
            return router::TextAnswer { 200, m_metrics.prometheusText() };
        }))
        , m_peers(
              m_controlLoop, [this](router::TextRequest request) { return m_control.answerPeer(std::move(request)); })
        , m_signals(m_controlLoop.io(), SIGTERM, SIGINT, SIGHUP)
    {
        m_metrics.addGauge("log_lines_suppressed", "Log lines that were left out since the start",
            [this] { return static_cast<double>(m_journal.suppressed()); });
    }

    std::optional<Reason> open()
    {
        if (auto reason = m_traffic.open())
            return reason;
        if (auto reason = m_ready.open(m_settings.router.readyAddress))
            return reason;
        if (!m_settings.router.peerAddress.empty()) {
            if (auto reason = m_peers.open(m_settings.router.peerAddress))
                return reason;
        }
        if (!m_settings.router.metricsAddress.empty())
            return m_metricsServer.open(m_settings.router.metricsAddress);
        return std::nullopt;
    }

    // Returns when the process has drained.
    void run()
    {
        m_control.start(m_traffic);
        awaitSignal();
        std::thread traffic([this] { m_trafficLoop.run(); });
        m_controlLoop.run();
        m_trafficLoop.stop();
        traffic.join();
    }

private:
    void awaitSignal()
    {
        m_signals.async_wait([this](const router::ErrorCode& ec, int number) {
            if (ec)
                return;
            if (number == SIGHUP) {
                // The addresses of a running process cannot change, and everything else comes from the store.
                m_journal.write(LineKind::Info, "reload", { { "signal", number }, { "changed", false } });
                return awaitSignal();
            }
            m_journal.write(LineKind::Info, "stop-requested", { { "signal", number } });
            m_control.resign();
            m_traffic.drain([this] { m_controlLoop.stop(); });
            awaitSignal();
        });
    }

    const platform::PlatformSettings& m_settings;
    router::Journal& m_journal;
    daemon::Metrics m_metrics;
    router::EventLoop m_controlLoop;
    router::EventLoop m_trafficLoop;
    platform::StoreEra m_era;
    platform::StoreConfigurationSource m_configurations;
    platform::StoreEndpointSource m_endpoints;
    platform::StoreHosts m_hosts;
    platform::StoreLease m_lease;
    platform::WorkerControl m_planningEngines;
    platform::WorkerControl m_trafficEngines;
    router::Control m_control;
    router::Traffic m_traffic;
    router::TextServer m_ready;
    router::TextServer m_metricsServer;
    router::TextServer m_peers;
    router::net::signal_set m_signals;
};

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    // The threshold rises with each large block that is freed otherwise, and large bodies then leave holes in the heap.
    mallopt(M_MMAP_THRESHOLD, 128 << 10); // NOLINT(concurrency-mt-unsafe): no other thread runs yet.
    auto options = parseOptions(argc, argv);
    if (!options)
        return exitStatus(ResultCode::UsageInvalid);
    if (options->wantsHelp) {
        std::cout << usage;
        return 0;
    }
    router::BootClock clock;
    Reason reason;
    auto settings = readSettings(options->settingsFile, reason);
    router::Journal journal(clock, settings ? settings->router.host.value() : "unknown", STDOUT_FILENO);
    if (!settings)
        return fail(journal, reason);
    if (!options->metricsPort.empty())
        settings->router.metricsAddress
            = router::hostOfAddress(settings->router.readyAddress) + ':' + options->metricsPort;
    journal.write(LineKind::Info, "start",
        { { "data_centre", settings->router.dataCentre.value() }, { "front", settings->router.frontAddress },
            { "store", settings->storeAddress } });
    Process process(*settings, clock, journal);
    if (auto failure = process.open())
        return fail(journal, *failure);
    process.run();
    journal.write(LineKind::Info, "stop");
    return 0;
}
