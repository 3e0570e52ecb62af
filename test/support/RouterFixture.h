// A router in this process: both event loops over a platform in memory, with endpoints on loopback.

#pragma once

#include "router/BootClock.h"
#include "router/Control.h"
#include "support/LogFile.h"
#include "support/ScriptedServer.h"

#include <condition_variable>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <future>
#include <mutex>
#include <thread>

namespace jacinthspindle::test {

using namespace std::chrono_literals;

// What the platform in memory says; guarded by its mutex.
struct PlatformState {
    std::mutex mutex;
    std::shared_ptr<const RoutingConfiguration> configuration;
    std::shared_ptr<const std::string> document; // Of the configuration, for other daemons.
    std::vector<PeerHost> hosts; // Daemons that entered themselves.
    uint32_t configurationReads = 0;
    bool isUp = true; // False: nothing is answered.
    bool isThrowing = false; // Calls of the platform and of engines throw.
    std::vector<router::EndpointSighting> endpoints;
    std::map<std::string, router::EngineReport> reports; // By address.

    void throwIfWanted() const
    {
        if (isThrowing)
            throw std::length_error("platform");
    }
};

inline RouteSettings routeOf(const std::string& service, const std::string& prefix, Repeatability repeatability)
{
    RouteSettings route;
    route.route = RouteId("route-" + service);
    route.host = "desk.example";
    route.prefix = prefix;
    route.shares = { { service, 1 } };
    route.repeatability = repeatability;
    route.timeout = 5s;
    route.maxAttempts = repeatability == Repeatability::AtMostOnce ? 1 : 2;
    return route;
}

inline RoutingConfiguration sampleConfiguration()
{
    RoutingConfiguration configuration;
    configuration.version = 3;
    configuration.routes = { routeOf("catalogue", "/loans/", Repeatability::AtMostOnce),
        routeOf("catalogue", "/cards/", Repeatability::Idempotent),
        routeOf("assistant", "/ask/", Repeatability::ResumableStream) };
    ModelLayout model;
    model.layers = 8;
    configuration.services = { { "catalogue", std::nullopt }, { "assistant", model } };
    configuration.workspaces = { noWorkspace, WorkspaceId("school") };
    configuration.workspaceByKey = { { "key-1", WorkspaceId("school") } };
    configuration.limits.maxHeaderBytes = 4096;
    configuration.limits.maxBodyBytes = 10000;
    configuration.limits.headerTimeout = 500ms;
    return configuration;
}

class MemoryConfigurations final : public router::ConfigurationSource {
public:
    MemoryConfigurations(PlatformState& state, const Clock& clock, router::net::io_context& io)
        : m_state(state)
        , m_clock(clock)
        , m_timer(io)
    {
    }

    router::net::awaitable<std::optional<router::ConfigurationSighting>> next() override
    {
        m_timer.expires_after(20ms);
        router::ErrorCode ec;
        co_await m_timer.async_wait(router::awaitInto(ec));
        std::lock_guard lock(m_state.mutex);
        ++m_state.configurationReads;
        m_state.throwIfWanted();
        if (!m_state.isUp)
            co_return std::nullopt;
        co_return router::ConfigurationSighting { m_state.configuration, m_state.document, m_clock.now() };
    }
    // A document of this platform is the configuration's version alone.
    std::shared_ptr<const RoutingConfiguration> decode(const std::string& document) const override
    {
        auto configuration = sampleConfiguration();
        configuration.version = std::stoull(document);
        return std::make_shared<const RoutingConfiguration>(configuration);
    }
    Reason lastReason() const override { return { ResultCode::PlatformUnavailable, "down" }; }

private:
    PlatformState& m_state;
    const Clock& m_clock;
    router::net::steady_timer m_timer;
};

class MemoryEndpoints final : public router::EndpointSource {
public:
    explicit MemoryEndpoints(PlatformState& state)
        : m_state(state)
    {
    }

    router::net::awaitable<std::optional<std::vector<router::EndpointSighting>>> list() override
    {
        std::lock_guard lock(m_state.mutex);
        m_state.throwIfWanted();
        if (!m_state.isUp)
            co_return std::nullopt;
        co_return m_state.endpoints;
    }
    Reason lastReason() const override { return { ResultCode::PlatformUnavailable, "down" }; }

private:
    PlatformState& m_state;
};

class MemoryHosts final : public router::HostRegistry {
public:
    explicit MemoryHosts(PlatformState& state)
        : m_state(state)
    {
    }

    router::net::awaitable<std::optional<std::vector<PeerHost>>> list() override
    {
        std::lock_guard lock(m_state.mutex);
        if (!m_state.isUp)
            co_return std::nullopt;
        co_return m_state.hosts;
    }
    router::net::awaitable<bool> enter(PeerHost host) override
    {
        std::lock_guard lock(m_state.mutex);
        if (m_state.isUp)
            m_state.hosts.push_back(std::move(host));
        co_return m_state.isUp;
    }

private:
    PlatformState& m_state;
};

// The lease is never gained, so that the router under test gives no orders.
class UnavailableLease final : public router::LeaseStore {
public:
    router::net::awaitable<std::optional<router::LeaseRow>> read() override { co_return std::nullopt; }
    router::net::awaitable<std::pair<CommitOutcome, uint64_t>> write(uint64_t, std::string) override
    {
        co_return std::pair { CommitOutcome::Unavailable, uint64_t {} };
    }
    uint64_t era() const override { return 0; }
};

class MemoryEngines final : public router::EngineControl {
public:
    explicit MemoryEngines(PlatformState& state)
        : m_state(state)
    {
    }

    router::net::awaitable<std::optional<router::EngineReport>> report(
        std::string address, std::chrono::milliseconds) override
    {
        std::lock_guard lock(m_state.mutex);
        m_state.throwIfWanted();
        auto it = m_state.reports.find(address);
        if (it == m_state.reports.end())
            co_return std::nullopt;
        co_return it->second;
    }
    router::net::awaitable<OrderOutcome> place(const router::EndpointSighting&, LayerRange, uint64_t,
        std::chrono::milliseconds, std::function<bool()>) override
    {
        co_return OrderOutcome::Failed;
    }

private:
    PlatformState& m_state;
};

inline router::EndpointSighting endpointAt(const std::string& name, const std::string& service, std::string address)
{
    router::EndpointSighting endpoint;
    endpoint.endpoint = EndpointId(name + "@1");
    endpoint.instance = name;
    endpoint.service = service;
    endpoint.dataCentre = DataCentreId("north");
    endpoint.address = std::move(address);
    endpoint.slots = 4;
    if (service == "assistant")
        endpoint.layers = { 0, 8 };
    return endpoint;
}

// Sends bytes and returns what comes back until the router closes the connection; ends after some seconds at most.
inline std::string talk(const std::string& address, const std::string& bytes)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<uint16_t>(std::stoul(address.substr(address.rfind(':') + 1))));
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string received;
    if (connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0) {
        send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        pollfd entry { socket, POLLIN, 0 };
        char buf[4096];
        ssize_t n = 1;
        while (n > 0 && poll(&entry, 1, 8000) > 0) {
            n = recv(socket, buf, sizeof buf, 0);
            if (n > 0)
                received.append(buf, static_cast<size_t>(n));
        }
    }
    close(socket);
    return received;
}

// Text of a request on a connection that ends with its answer.
inline std::string requestText(const std::string& method, const std::string& path, const std::string& id,
    const std::string& body = {}, const std::string& head = {}, const std::string& key = "key-1")
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 4000\r\nX-Tokens: 20,10\r\nAuthorization: Bearer " + key + "\r\nConnection: close\r\n"
        + head + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size())) + (body.empty() ? "" : "\r\n")
        + "\r\n" + body;
}

// Status of an answer; 0 when there is none.
inline int statusOf(const std::string& answer)
{
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

// Value of a header of a request or an answer; empty when it is absent.
inline std::string headerOf(const std::string& message, const std::string& name)
{
    auto at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos || at > message.find("\r\n\r\n"))
        return {};
    at += name.size() + 4;
    return message.substr(at, message.find("\r\n", at) - at);
}

// An endpoint's answer to the request, as its own.
inline std::string ownAnswer(const std::string& request, const std::string& status, const std::string& body,
    const std::string& head = "X-Signature: s\r\n")
{
    return httpAnswer(status, body, "X-Request-Id: " + headerOf(request, "X-Request-Id") + "\r\n" + head);
}

class RouterFixture {
public:
    // linkMbps: of its host, for other daemons; 0: it neither asks nor answers others.
    explicit RouterFixture(
        const char* host = "host-1", uint32_t linkMbps = 0, size_t mostHeldBytes = size_t { 32 } << 20)
        : m_journal(m_clock, host, m_log.descriptor())
        , m_controlLoop(m_journal, m_metrics)
        , m_trafficLoop(m_journal, m_metrics)
        , m_configurations(m_state, m_clock, m_controlLoop.io())
        , m_endpoints(m_state)
        , m_hosts(m_state)
        , m_engines(m_state)
        , m_settings(settings(host, linkMbps, mostHeldBytes))
        , m_control(m_controlLoop, m_clock, m_journal, m_metrics, m_settings,
              { m_configurations, m_endpoints, m_hosts, m_lease, m_engines }, leaseOf(host))
        , m_traffic(m_trafficLoop, m_clock, m_journal, m_metrics, m_settings,
              { [this](CoreInput input) {
                   if (inputHook)
                       inputHook(input);
                   m_control.postInput(std::move(input));
               },
                  [this](const EndpointId& id) { m_control.reportSilent(id); },
                  [this](router::EndpointNotice notice) { m_control.postNotice(std::move(notice)); },
                  [this] { m_control.postPartNews(); } },
              m_engines)
        , m_peers(
              m_controlLoop, [this](router::TextRequest request) { return m_control.answerPeer(std::move(request)); })
    {
        m_state.configuration = std::make_shared<const RoutingConfiguration>(sampleConfiguration());
    }

    ~RouterFixture() { stop(); }

    void stop()
    {
        m_controlLoop.stop();
        m_trafficLoop.stop();
        for (auto& it : m_threads)
            it.join();
        m_threads.clear();
    }

    // Lists the endpoints and returns once the router takes requests.
    void start(std::vector<router::EndpointSighting> endpoints)
    {
        m_state.endpoints = std::move(endpoints);
        auto failure = m_traffic.open();
        REQUIRE_MESSAGE(!failure, (failure ? failure->text : ""));
        if (!m_settings.peerAddress.empty())
            failure = m_peers.open(m_settings.peerAddress);
        REQUIRE_MESSAGE(!failure, (failure ? failure->text : ""));
        m_control.start(m_traffic);
        m_threads.emplace_back([this] { m_controlLoop.run(); });
        m_threads.emplace_back([this] { m_trafficLoop.run(); });
        REQUIRE(eventually([this] { return isReady(); }));
    }

    bool isReady()
    {
        std::promise<bool> answer;
        auto future = answer.get_future();
        router::net::post(m_trafficLoop.io(), [&] { answer.set_value(m_traffic.isReady()); });
        return future.get();
    }

    // Polls until the condition holds; a bound of many seconds, so that a loaded machine does not decide.
    template <typename Condition> static bool eventually(Condition condition)
    {
        for (int i = 0; i < 1000; ++i) {
            if (condition())
                return true;
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }

    // Log lines with this text.
    std::vector<std::string> logged(const std::string& text) const { return m_log.lines(text); }

    // Runs on the traffic thread, behind what it has been given so far.
    void runOnTraffic(std::function<void()> task) { router::net::post(m_trafficLoop.io(), std::move(task)); }

    // Holds the traffic thread up, as a machine does that gives the process no processor time.
    void holdUpTraffic(std::chrono::milliseconds duration)
    {
        router::net::post(m_trafficLoop.io(), [duration] { std::this_thread::sleep_for(duration); });
    }

    std::string send(const std::string& bytes) { return talk(m_settings.frontAddress, bytes); }
    PlatformState& platform() { return m_state; }
    // Called on the traffic thread before each input for the core; set it before start().
    std::function<void(const CoreInput&)> inputHook;
    const daemon::Metrics& metrics() const { return m_metrics; }
    router::Traffic& traffic() { return m_traffic; }
    const router::RouterSettings& routerSettings() const { return m_settings; }
    PeerHost peer() const
    {
        return { m_settings.host, m_settings.dataCentre, m_settings.peerAddress, m_settings.linkMbps };
    }

private:
    static std::string freeAddress()
    {
        sockaddr_in name {};
        int socket = listenOnLoopback(name);
        close(socket);
        return addressOf(name);
    }
    static router::RouterSettings settings(const char* host, uint32_t linkMbps, size_t mostHeldBytes)
    {
        router::RouterSettings settings;
        settings.host = HostId(host);
        settings.dataCentre = DataCentreId("north");
        settings.frontAddress = freeAddress();
        settings.linkMbps = linkMbps;
        settings.mostHeldBytes = mostHeldBytes;
        if (linkMbps)
            settings.peerAddress = freeAddress();
        return settings;
    }
    static PlannerLeaseConfig leaseOf(const char* host)
    {
        PlannerLeaseConfig config;
        config.holder = host;
        return config;
    }

    router::BootClock m_clock;
    LogFile m_log;
    router::Journal m_journal;
    daemon::Metrics m_metrics;
    PlatformState m_state;
    router::EventLoop m_controlLoop;
    router::EventLoop m_trafficLoop;
    MemoryConfigurations m_configurations;
    MemoryEndpoints m_endpoints;
    MemoryHosts m_hosts;
    UnavailableLease m_lease;
    MemoryEngines m_engines;
    router::RouterSettings m_settings;
    router::Control m_control;
    router::Traffic m_traffic;
    router::TextServer m_peers;
    std::vector<std::thread> m_threads;
};

} // namespace jacinthspindle::test
