// The endpoints of a fleet: each of them is a process that can be suspended, killed and replaced by itself, with a row
// in the stand-in of the platform's store.

#pragma once

#include "e2e/Process.h"
#include "fleet/StoreStandIn.h"

#include <map>
#include <memory>

namespace jacinthspindle::fleet {

using Steady = std::chrono::steady_clock;

// What the endpoints did with one request.
struct RequestRuns {
    size_t begun = 0; // How often it has begun, at any endpoint.
    std::vector<Steady::time_point> lostAt; // For each time that it has begun at an endpoint that ended: when it ended.
};

class Endpoints {
public:
    // addresses: of the engines, and then of the one service that takes actions. directory: for the output of the
    // processes.
    Endpoints(StoreStandIn& store, std::vector<std::string> addresses, std::string directory);

    // All endpoints, the service included.
    void suspendAll(bool isSuspended);
    // The functions below take the number of an engine, and do nothing while the engine is down.
    void suspend(size_t engine, bool isSuspended);
    // Sends SIGKILL. The engine is started again at its address, as another one, see poll().
    void kill(size_t engine);
    // The engine leaves by plan: it serves for some time, ends, and another one starts at its address. isAnnounced: its
    // row says so before; otherwise the row is gone at once.
    void replace(size_t engine, bool isAnnounced);
    // Renews rows, and starts and ends processes that are due. Called every few milliseconds.
    void poll();

    size_t engines() const { return m_endpoints.size() - 1; }
    // Processes that ended by themselves, and logs that cannot be read; valid after runs().
    const std::vector<std::string>& problems() const { return m_problems; }
    // By the request's identifier; valid after all requests have ended.
    std::map<std::string, RequestRuns> runs();

private:
    struct Start {
        std::string log; // Path.
        std::optional<Steady::time_point> endedAt;
    };
    struct Endpoint {
        std::string address;
        size_t number = 0; // Of all endpoints; the last one is the service.
        std::unique_ptr<e2e::Process> process; // Null while the endpoint is down.
        std::vector<Start> starts; // The last one is the running process, if there is one.
        bool isSuspended = false;
        bool isListed = true;
        bool isDraining = false;
        std::optional<Steady::time_point> leavesAt;
        std::optional<Steady::time_point> returnsAt; // Set while the endpoint is down.
    };

    void start(Endpoint&);
    void end(Endpoint&);
    void write(const Endpoint&);
    void writeAll();
    void withdraw(const Endpoint&);
    bool isEngine(const Endpoint& it) const { return it.number < engines(); }
    static std::string keyOf(const Endpoint&, size_t start);

    StoreStandIn& m_store;
    const std::string m_directory;
    std::vector<Endpoint> m_endpoints;
    std::map<std::string, Steady::time_point>
        m_expiries; // By row: when the platform drops it, since its engine is dead.
    std::vector<std::string> m_problems;
    uint64_t m_heartbeats = 0;
    Steady::time_point m_heartbeatAt {};
};

} // namespace jacinthspindle::fleet
