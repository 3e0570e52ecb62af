// Daemons as separate processes beside each other on one machine, with a stand-in of the platform's store, endpoints as
// processes that can be suspended, and callers; and what all of them must keep to.

#pragma once

#include "fleet/Callers.h"
#include "fleet/Endpoints.h"

#include <map>
#include <memory>
#include <optional>

namespace jacinthspindle::fleet {

using std::chrono::milliseconds;

// No process is suspended for longer.
constexpr milliseconds longestSuspension { 2200 };

struct FleetOptions {
    size_t daemons = 8;
    size_t engines = 4;
    size_t callersPerDaemon = 3;
    uint32_t seed = 1;
    // Repetitions that the platform permits in 10 s beside a fifth of the requests, for each daemon.
    double extraRetriesPerDaemon = 2.63;
};

// Reads the number from the environment, for runs that are started by hand.
size_t numberFromEnvironment(const char* name, size_t fallback);

class Fleet {
public:
    explicit Fleet(FleetOptions);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // Starts everything and waits until all daemons are ready and callers are served. Returns an empty text, or what
    // failed.
    std::string start();

    // Writes the next version of the configuration with so many routes beside those that callers use.
    void changeConfiguration(size_t idleRoutes);
    Endpoints& endpoints() { return *m_endpoints; }
    void suspendDaemon(size_t daemon, bool isSuspended);
    // Sends SIGTERM; the daemon is started again once it has ended, see poll().
    void stopDaemon(size_t daemon);
    // Sends SIGHUP.
    void reloadDaemon(size_t daemon) { m_daemons[daemon].process->signal(SIGHUP); }
    void killDaemon(size_t daemon);
    void setStoreAway(bool isAway) { m_store->setAway(isAway); }
    // Starts daemons again that have ended, and does the same for endpoints. Called every few milliseconds.
    void poll();

    // Ends the callers' requests and returns each promise that was broken, with the lines of its request.
    std::vector<std::string> finish();
    size_t daemons() const { return m_options.daemons; }
    // All valid after finish(): counts of how requests ended, for the log; all requests, and those with a whole answer.
    const std::string& summary() const { return m_summary; }
    size_t requests() const { return m_requests; }
    size_t wholeAnswers() const { return m_wholeAnswers; }
    // Begun answers that ended before their end though the daemon lived; valid after finish().
    size_t cutAnswers() const { return m_cutAnswers; }

private:
    struct Daemon {
        std::unique_ptr<e2e::Process> process;
        std::string address;
        std::string readyAddress;
        std::string settings; // Path.
        std::string log; // Path.
        bool isStopping = false;
        Steady::time_point startedAt {};
        std::vector<Steady::time_point> killedAt;
        std::vector<Steady::time_point> stoppedAt;
        std::vector<Steady::time_point> suspendedAt;
    };

    std::string ip(size_t group, size_t number) const;
    void writeSettings(size_t daemon);
    void startDaemon(size_t daemon);
    bool isReady(const Daemon&) const;
    // The promise that the outcome breaks; null when it breaks none.
    const char* brokenBy(const Outcome&, const RequestRuns&) const;
    std::string logOf(const Outcome&) const;

    const FleetOptions m_options;
    int m_block = 0; // Second number of all addresses of this fleet.
    int m_blockSocket = -1; // Held by this fleet for as long as it exists.
    std::string m_directory;
    std::unique_ptr<StoreStandIn> m_store;
    std::unique_ptr<Endpoints> m_endpoints;
    uint64_t m_version = 0; // Of the configuration.
    std::vector<Daemon> m_daemons;
    std::optional<Callers> m_callers;
    std::string m_summary;
    size_t m_requests = 0;
    size_t m_wholeAnswers = 0;
    std::vector<std::string> m_broken; // Promises of processes, beside those of requests.
    size_t m_cutAnswers = 0;
};

} // namespace jacinthspindle::fleet
