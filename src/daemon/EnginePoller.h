// Asks engines for their load, cached prefixes and whether they leave.

#pragma once

#include "daemon/ControlLoop.h"
#include "spindlecore/Ports.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace jacinthspindle::daemon {

// Polls the engines of this data centre, or all when it has none. The rate of polls is bounded, so that 880 daemons
// load 5,900 engines with a few polls per second each.
class EnginePoller {
public:
    EnginePoller(ModelEngine&, ControlLoop&, const Clock&, const DataCentreId&);
    ~EnginePoller();

    void start();
    void stop();

private:
    struct Engine {
        std::string address;
        Instant due {};
        bool isPolled = false; // A thread asks it now.
        uint32_t failures = 0; // In a row.
        EndpointAvailability engineAvailability = EndpointAvailability::Serving;
        EndpointAvailability health = EndpointAvailability::Serving;
        uint64_t cacheSequence = 0; // As the engine numbers its cache events.
        uint64_t changes = 0; // Changes posted; the numbers that the core sees.
        std::set<uint64_t> prefixes;
    };

    void run();
    void adoptTable();
    void report(const EndpointId&, Engine&, const std::optional<EngineStatus>&);
    void reportCache(const EndpointId&, Engine&, const EngineStatus&);

    ModelEngine& m_engine;
    ControlLoop& m_control;
    const Clock& m_clock;
    const DataCentreId m_dataCentre;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    std::map<EndpointId, Engine> m_engines;
    uint64_t m_revision = 0; // Of the table from which m_engines was made.
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace jacinthspindle::daemon
