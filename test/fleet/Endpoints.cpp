// Processes of endpoints, and their rows.

#include "fleet/Endpoints.h"

#include "fleet/Wire.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace jacinthspindle::fleet {

namespace {

    using Json = nlohmann::json;
    using std::chrono::milliseconds;

    constexpr milliseconds heartbeatInterval { 1200 };
    constexpr milliseconds expiryTime = 3 * heartbeatInterval; // Of a row after its last heartbeat.
    constexpr milliseconds drainTime { 6000 }; // From the announcement of an engine's end, or the loss of its row.
    constexpr milliseconds downTime { 1000 }; // Before a killed engine is replaced.
    const std::string program = std::string(JACINTHSPINDLE_BINARY_DIR) + "/test/jacinthspindle-fleet-endpoints";

} // namespace

Endpoints::Endpoints(StoreStandIn& store, std::vector<std::string> addresses, std::string directory)
    : m_store(store)
    , m_directory(std::move(directory))
    , m_endpoints(addresses.size())
{
    for (size_t i = 0; i < addresses.size(); ++i) {
        m_endpoints[i].address = std::move(addresses[i]);
        m_endpoints[i].number = i;
        start(m_endpoints[i]);
    }
    writeAll();
}

std::string Endpoints::keyOf(const Endpoint& endpoint, size_t start)
{
    return "i-" + std::to_string(endpoint.number) + '-' + std::to_string(start);
}

void Endpoints::start(Endpoint& endpoint)
{
    auto born = endpoint.starts.size() + 1;
    auto log = m_directory + "/endpoint-" + std::to_string(endpoint.number) + '-' + std::to_string(born) + ".log";
    endpoint.starts.push_back({ log, std::nullopt });
    endpoint.process
        = std::make_unique<e2e::Process>(std::vector { program, endpoint.address, std::to_string(born) }, log);
    endpoint.isSuspended = endpoint.isDraining = false;
    endpoint.isListed = true;
    endpoint.leavesAt.reset();
    endpoint.returnsAt.reset();
}

void Endpoints::end(Endpoint& endpoint)
{
    // Before callers see it.
    endpoint.starts.back().endedAt = Steady::now();
    endpoint.process.reset();
    endpoint.returnsAt = Steady::now() + downTime;
}

void Endpoints::write(const Endpoint& endpoint)
{
    Json row { { "service", isEngine(endpoint) ? "assistant" : "catalogue" }, { "address", endpoint.address },
        { "zone", zoneOf(endpoint.number) }, { "version", "v1" }, { "slots", 192 },
        { "state", endpoint.isDraining ? "draining" : "ready" }, { "coldRemainingMs", 0 }, { "sequence", m_heartbeats },
        { "born", endpoint.starts.size() } };
    if (isEngine(endpoint)) {
        row["routeKind"] = "l4";
        row["layers"] = { { "from", 0 }, { "to", 8 }, { "version", 1 } };
    }
    m_store.put("servers", keyOf(endpoint, endpoint.starts.size()), row.dump());
}

void Endpoints::writeAll()
{
    ++m_heartbeats;
    m_heartbeatAt = Steady::now();
    for (const auto& it : m_endpoints) {
        if (it.process && it.isListed && !it.isSuspended)
            write(it);
    }
}

void Endpoints::withdraw(const Endpoint& endpoint)
{
    m_store.remove("servers", keyOf(endpoint, endpoint.starts.size()));
}

void Endpoints::suspendAll(bool isSuspended)
{
    for (size_t i = 0; i < m_endpoints.size(); ++i)
        suspend(i, isSuspended);
}

void Endpoints::suspend(size_t engine, bool isSuspended)
{
    auto& endpoint = m_endpoints[engine];
    if (!endpoint.process)
        return;
    endpoint.isSuspended = isSuspended;
    endpoint.process->signal(isSuspended ? SIGSTOP : SIGCONT);
}

void Endpoints::kill(size_t engine)
{
    auto& endpoint = m_endpoints[engine];
    if (!endpoint.process)
        return;
    m_expiries[keyOf(endpoint, endpoint.starts.size())] = m_heartbeatAt + expiryTime;
    end(endpoint);
}

void Endpoints::replace(size_t engine, bool isAnnounced)
{
    auto& endpoint = m_endpoints[engine];
    if (!endpoint.process || endpoint.leavesAt || endpoint.isSuspended)
        return;
    endpoint.leavesAt = Steady::now() + drainTime;
    endpoint.isDraining = isAnnounced;
    endpoint.isListed = isAnnounced;
    if (isAnnounced)
        write(endpoint);
    else
        withdraw(endpoint);
}

void Endpoints::poll()
{
    auto now = Steady::now();
    if (now - m_heartbeatAt >= heartbeatInterval)
        writeAll();
    for (auto& it : m_endpoints) {
        if (it.process && it.leavesAt && now >= *it.leavesAt) {
            withdraw(it);
            end(it);
        }
        if (it.returnsAt && now >= *it.returnsAt) {
            start(it);
            write(it);
        }
    }
    std::erase_if(m_expiries, [&](const auto& it) {
        if (now >= it.second)
            m_store.remove("servers", it.first);
        return now >= it.second;
    });
}

std::map<std::string, RequestRuns> Endpoints::runs()
{
    std::map<std::string, RequestRuns> runs;
    for (const auto& endpoint : m_endpoints) {
        if (endpoint.process && !endpoint.process->isRunning())
            m_problems.push_back("an endpoint ended by itself: " + endpoint.starts.back().log);
        for (const auto& start : endpoint.starts) {
            std::ifstream log(start.log);
            if (!log)
                m_problems.push_back("cannot read which requests began: " + start.log);
            for (std::string id; std::getline(log, id);) {
                ++runs[id].begun;
                if (start.endedAt)
                    runs[id].lostAt.push_back(*start.endedAt);
            }
        }
    }
    return runs;
}

} // namespace jacinthspindle::fleet
