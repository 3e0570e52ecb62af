// Processes of a fleet, and the judgement of what callers and endpoints saw.

#include "fleet/Fleet.h"

#include "support/ScriptedServer.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace jacinthspindle::fleet {

namespace {

    namespace http = router::http;
    namespace beast = router::beast;
    using Json = nlohmann::json;

    constexpr int firstBlock = 32;
    constexpr int blocks = 64;
    constexpr int blockPort = 7999;
    constexpr int frontPort = 8227;
    constexpr int readyPort = 8220;
    constexpr int peerPort = 7340;
    constexpr int storePort = 8223;
    constexpr int endpointPort = 8080;
    constexpr milliseconds callTimeout { 1000 };
    constexpr milliseconds graceTime { 8000 }; // From SIGTERM to SIGKILL.
    constexpr size_t shownLines = 12;
    constexpr uint32_t maxAttempts = 2; // Of a stream.
    constexpr int permittedExcesses = 3; // Requests of a run, by the platform's rules.
    const std::string binaries = JACINTHSPINDLE_BINARY_DIR;

    const char* environment(const char* name)
    {
        return std::getenv(name); // NOLINT(concurrency-mt-unsafe): nothing sets the environment.
    }

    // Another build can be named, to compare two of them.
    std::string daemonProgram()
    {
        const char* other = environment("JACINTHSPINDLE_FLEET_ROUTERD");
        return other ? other : binaries + "/jacinthspindle-routerd";
    }

    std::string withPort(const std::string& ip, int port)
    {
        return ip + ':' + std::to_string(port);
    }

    // Returns a socket that listens at the address, or -1 when it is taken.
    int holdAddress(const std::string& ip, int port)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
        if (bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0 && listen(socket, 1) == 0)
            return socket;
        close(socket);
        return -1;
    }

    // The answer's body; nothing unless it is a whole 200.
    std::optional<std::string> fetch(const std::string& address, const std::string& target)
    {
        router::net::io_context io(1);
        beast::tcp_stream stream(io);
        std::optional<std::string> body;
        auto call = [&]() -> router::net::awaitable<void> {
            auto ec = co_await router::connectTo(stream, address, callTimeout);
            if (ec)
                co_return;
            stream.expires_after(callTimeout);
            http::request<http::empty_body> request { http::verb::get, target, 11 };
            request.set(http::field::host, "fleet");
            request.set(http::field::connection, "close");
            co_await http::async_write(stream, request, router::awaitInto(ec));
            beast::flat_buffer buf;
            http::response_parser<http::string_body> parser;
            parser.body_limit(std::numeric_limits<uint64_t>::max());
            if (!ec)
                co_await http::async_read(stream, buf, parser, router::awaitInto(ec));
            if (!ec && parser.get().result_int() == 200)
                body = parser.get().body();
        };
        router::net::co_spawn(io, call(), router::net::detached);
        io.run();
        return body;
    }

    Json routeOf(
        const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service)
    {
        return { { "name", name }, { "host", "desk.example" }, { "prefix", prefix }, { "routeKind", kind },
            { "timeoutMs", 20000 }, { "targetLatencyMs", 600 }, { "gapAimMs", 300 }, { "priority", 1 },
            { "service", service }, { "maxAttempts", kind == "stream" ? maxAttempts : 1 }, { "public", false },
            { "resumable", kind == "stream" } };
    }

    Json configurationOf(uint64_t version, size_t idleRoutes)
    {
        auto routes = Json::array({ routeOf("ask", streamPrefix, "stream", "assistant"),
            routeOf("loans", actionPrefix, "non_idempotent", "catalogue") });
        for (size_t i = 0; i < idleRoutes; ++i) {
            auto name = "idle-" + std::to_string(i);
            routes.push_back(routeOf(name, '/' + name + '/', "stream", "assistant"));
        }
        Json engine { { "slots", 192 }, { "tokenKvBytes", 426000 },
            { "models", Json::array({ { { "loadS", 14.0 } } }) }, { "loads_at_once", 6 }, { "step_ms", 0.85 },
            { "per_seq_ms", 0.002 }, { "context_per_k", 0.004 }, { "read_per_s", 272000.0 },
            { "usual", { { "prompt", 20 }, { "answer", 80 } } }, { "layers", 8 }, { "layerMb", 100.0 },
            { "kinds", Json::array({ { { "name", "l4" }, { "mb", 21600.0 }, { "pace", 1.0 }, { "readX", 1.0 } } }) } };
        return { { "version", version }, { "routes", routes },
            { "services",
                Json::array({ { { "name", "assistant" }, { "engine", engine } }, { { "name", "catalogue" } } }) },
            { "limits",
                { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 },
                    { "idleTimeoutMs", 15000 } } },
            { "tenants", Json::array({ { { "name", "school" }, { "apiKeys", Json::array({ "key-1" }) } } }) } };
    }

    // One of the moments lies between the opening of the request's connection and the end of the request.
    bool isDuring(const std::vector<Steady::time_point>& moments, const Outcome& outcome)
    {
        return std::any_of(moments.begin(), moments.end(),
            [&](auto it) { return it >= outcome.connectedAt && it <= outcome.endedAt; });
    }

    // Permitted by the platform's rules: the endpoint was still at work in the last sixth of the time from SIGTERM to
    // SIGKILL on a request that was sent no later than 3 s after SIGTERM.
    bool isLeftAtStop(const std::vector<Steady::time_point>& stoppedAt, const Outcome& outcome)
    {
        constexpr milliseconds lateRequest { 3000 };
        return std::any_of(stoppedAt.begin(), stoppedAt.end(), [&](auto it) {
            return it <= outcome.endedAt && outcome.sentAt <= it + lateRequest
                && outcome.endedAt >= it + graceTime - graceTime / 6;
        });
    }

} // namespace

size_t numberFromEnvironment(const char* name, size_t fallback)
{
    const char* text = environment(name);
    return text ? std::stoul(text) : fallback;
}

Fleet::Fleet(FleetOptions options)
    : m_options(options)
{
    // Runs at the same time must not share addresses.
    for (int i = 0; i < blocks && m_blockSocket < 0; ++i) {
        m_block = firstBlock + (getpid() + i) % blocks;
        m_blockSocket = holdAddress(ip(0, 0), blockPort);
    }
    auto pattern = (std::filesystem::temp_directory_path() / "jacinthspindle-fleet-XXXXXX").string();
    m_directory = mkdtemp(pattern.data()) ? pattern : std::string();
}

Fleet::~Fleet()
{
    m_callers.reset();
    m_daemons.clear();
    m_endpoints.reset();
    if (m_blockSocket >= 0)
        close(m_blockSocket);
    std::error_code ec;
    if (!environment("JACINTHSPINDLE_FLEET_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory, ec);
}

std::string Fleet::ip(size_t group, size_t number) const
{
    constexpr size_t perGroup = 250;
    return "127." + std::to_string(m_block) + '.' + std::to_string(group * 4 + number / perGroup) + '.'
        + std::to_string(number % perGroup + 1);
}

std::string Fleet::start()
{
    if (m_blockSocket < 0 || m_directory.empty())
        return "no free addresses or no directory";
    m_store = std::make_unique<StoreStandIn>(withPort(ip(0, 1), storePort));
    if (!m_store->problem().empty())
        return "store: " + m_store->problem();
    std::vector<std::string> addresses;
    for (size_t i = 0; i <= m_options.engines; ++i)
        addresses.push_back(withPort(ip(1, i), endpointPort));
    m_endpoints = std::make_unique<Endpoints>(*m_store, std::move(addresses), m_directory);
    changeConfiguration(0);
    m_daemons.resize(m_options.daemons);
    for (size_t i = 0; i < m_options.daemons; ++i) {
        writeSettings(i);
        startDaemon(i);
    }
    CallerOptions callers { {}, m_options.callersPerDaemon, m_options.seed };
    for (const auto& it : m_daemons) {
        bool isUp = e2e::waitFor([&] {
            poll();
            return isReady(it);
        });
        if (!isUp)
            return "not ready: " + it.address;
        callers.daemons.push_back(it.address);
    }
    m_callers.emplace(std::move(callers));
    bool isServed = e2e::waitFor([&] {
        poll();
        return m_callers->ended() >= m_options.daemons * m_options.callersPerDaemon;
    });
    return isServed ? std::string() : "callers are not served";
}

void Fleet::writeSettings(size_t daemon)
{
    auto own = ip(2, daemon);
    auto& entry = m_daemons[daemon];
    entry.address = withPort(own, frontPort);
    entry.readyAddress = withPort(own, readyPort);
    entry.settings = m_directory + "/daemon-" + std::to_string(daemon) + ".json";
    entry.log = m_directory + "/daemon-" + std::to_string(daemon) + ".log";
    Json bounds { { "graceS", graceTime.count() / 1000.0 }, { "revokeMs", 5000 }, { "configApplyMs", 4000 },
        { "drainMs", 4000 }, { "budgetRatio", 0.2 }, { "budgetWindowS", 10 },
        { "extraRetries", m_options.extraRetriesPerDaemon * static_cast<double>(m_options.daemons) } };
    Json settings { { "nodeName", "host-" + std::to_string(daemon) }, { "zone", zoneOf(daemon) }, { "ip", own },
        { "listen", { { "front", entry.address }, { "ready", entry.readyAddress } } },
        { "internalPorts", Json::array({ peerPort, peerPort + 1 }) },
        { "seeds", Json::array({ withPort(ip(2, 0), 8229) }) }, { "limits", { { "linkMbps", 200.0 } } },
        { "bounds", bounds }, { "platform", { { "address", withPort(ip(0, 1), storePort) } } } };
    std::ofstream(entry.settings) << settings.dump();
}

void Fleet::startDaemon(size_t daemon)
{
    auto& entry = m_daemons[daemon];
    entry.process = std::make_unique<e2e::Process>(
        std::vector<std::string> { daemonProgram(), "--settings", entry.settings }, entry.log);
    entry.isStopping = false;
    entry.startedAt = Steady::now();
}

bool Fleet::isReady(const Daemon& daemon) const
{
    return fetch(daemon.readyAddress, "/jacinthspindle/readyz").has_value();
}

void Fleet::changeConfiguration(size_t idleRoutes)
{
    m_store->put("op", "config", configurationOf(++m_version, idleRoutes).dump());
}

void Fleet::suspendDaemon(size_t daemon, bool isSuspended)
{
    auto& entry = m_daemons[daemon];
    if (isSuspended)
        entry.suspendedAt.push_back(Steady::now());
    entry.process->signal(isSuspended ? SIGSTOP : SIGCONT);
}

void Fleet::stopDaemon(size_t daemon)
{
    auto& entry = m_daemons[daemon];
    if (entry.isStopping)
        return;
    entry.isStopping = true;
    entry.stoppedAt.push_back(Steady::now());
    entry.process->signal(SIGTERM);
}

void Fleet::killDaemon(size_t daemon)
{
    m_daemons[daemon].killedAt.push_back(Steady::now());
    m_daemons[daemon].process->signal(SIGKILL);
}

void Fleet::poll()
{
    m_endpoints->poll();
    for (size_t i = 0; i < m_daemons.size(); ++i) {
        auto& entry = m_daemons[i];
        auto isSince = [](const std::vector<Steady::time_point>& moments, Steady::time_point since) {
            return !moments.empty() && moments.back() >= since;
        };
        if (!entry.process->isRunning()) {
            if (!entry.isStopping && !isSince(entry.killedAt, entry.startedAt))
                m_broken.push_back("a daemon ended by itself: " + entry.log);
            startDaemon(i);
            continue;
        }
        if (!entry.isStopping || Steady::now() - entry.stoppedAt.back() <= graceTime
            || isSince(entry.killedAt, entry.stoppedAt.back()))
            continue;
        // A suspended process cannot end.
        bool wasSuspended = isSince(entry.suspendedAt, entry.stoppedAt.back() - longestSuspension);
        if (!wasSuspended)
            m_broken.push_back("a daemon did not end within the time from SIGTERM to SIGKILL: " + entry.log);
        killDaemon(i);
    }
}

const char* Fleet::brokenBy(const Outcome& outcome, const RequestRuns& runs) const
{
    const auto& daemon = m_daemons[outcome.daemon];
    if (!outcome.isOwn)
        return "MIXED or ORDER: an answer that is not the request's own, or whole without its last event";
    if (outcome.isAction && runs.begun > 1)
        return "TWICE: an action ran more than once";
    bool isRefused = outcome.status == 429 || outcome.status == 503 || outcome.status == 408 || outcome.status == 421;
    if (outcome.isAction && isRefused && runs.begun)
        return "REFUSED: an action ran that was answered with not run";
    bool isLate = outcome.endedAt - outcome.sentAt >= callerDeadline;
    if (outcome.isWhole || isLate || isDuring(daemon.killedAt, outcome))
        return nullptr;
    // An endpoint that ends breaks off its streams.
    bool isBrokenOff = isDuring(runs.lostAt, outcome);
    if (outcome.status)
        return isBrokenOff || isLeftAtStop(daemon.stoppedAt, outcome) ? nullptr : "LOST: an answer was cut";
    // A request may cross the close of its connection; then it is not passed on, and its caller knows at once.
    constexpr milliseconds lossSlack { 200 };
    if (!runs.begun && outcome.endedAt - outcome.sentAt <= lossSlack)
        return nullptr;
    return "LOST: a request got no answer";
}

// Lines of the daemon's log that name the request.
std::string Fleet::logOf(const Outcome& outcome) const
{
    std::ifstream log(m_daemons[outcome.daemon].log);
    std::string text;
    size_t n = 0;
    for (std::string line; std::getline(log, line) && n < shownLines;) {
        if (line.find('"' + outcome.id + '"') == std::string::npos)
            continue;
        text += "\n  " + line;
        ++n;
    }
    return text;
}

std::vector<std::string> Fleet::finish()
{
    m_endpoints->suspendAll(false);
    auto outcomes = m_callers->finish();
    auto runs = m_endpoints->runs();
    std::map<std::string, size_t> counts;
    auto broken = m_broken;
    broken.insert(broken.end(), m_endpoints->problems().begin(), m_endpoints->problems().end());
    m_requests = outcomes.size();
    size_t excesses = 0;
    for (const auto& it : outcomes) {
        const auto& ran = runs[it.id];
        // Those that have ended in the meantime do not count.
        auto lost = std::count_if(ran.lostAt.begin(), ran.lostAt.end(), [&](auto at) { return at <= it.endedAt; });
        bool isExcess = ran.begun - static_cast<size_t>(lost) > maxAttempts;
        if (isExcess && ++excesses > permittedExcesses)
            broken.push_back("BUDGET: a request ran at more endpoints than its route allows: " + it.id + logOf(it));
        m_wholeAnswers += it.isWhole && it.status == 200;
        ++counts[it.isWhole ? std::to_string(it.status) : "not whole"];
        const char* promise = brokenBy(it, ran);
        if (!promise)
            continue;
        m_cutAnswers += it.status && !it.isWhole;
        std::ostringstream text;
        text << promise << ": " << it.id << " status " << it.status << " events " << it.events << " after "
             << std::chrono::duration_cast<milliseconds>(it.endedAt - it.sentAt).count() << " ms" << logOf(it);
        broken.push_back(text.str());
    }
    std::ostringstream text;
    text << outcomes.size() << " requests";
    for (const auto& [name, n] : counts)
        text << ", " << name << ": " << n;
    m_summary = text.str();
    return broken;
}

} // namespace jacinthspindle::fleet
