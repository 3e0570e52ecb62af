// Reads the table and the host list from the platform, on threads of its own, and posts what it read.

#pragma once

#include "daemon/ControlLoop.h"
#include "daemon/Metrics.h"
#include "daemon/PeerControl.h"
#include "spindleadapters/TableStore.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace jacinthspindle::daemon {

class PlatformPoller {
public:
    PlatformPoller(TableService&, ObjectStore&, HostList&, ControlLoop&, Metrics&);
    ~PlatformPoller();

    void start();
    void stop();
    // Never blocks. The replica has at most a few fetches on the way; more are dropped.
    void fetch(const PlatformFetch&);
    // Whether the last request to the platform was answered.
    bool isPlatformUp() const { return m_isPlatformUp; }

private:
    void runFetches();
    void runHostList();
    PeerInput carryOut(const FetchHead&);
    PeerInput carryOut(const FetchChanges&);
    PeerInput carryOut(const FetchSnapshot&);
    void setPlatformUp(bool);
    void postHosts(std::vector<HostEntry>);

    TableStore m_store; // Owned by the thread of fetches.
    HostList& m_hostList;
    ControlLoop& m_control;
    Metrics& m_metrics;
    std::atomic<bool> m_isPlatformUp { true };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<PlatformFetch> m_fetches;
    bool m_isStopping = false;
    std::thread m_fetchThread;
    std::thread m_hostThread;
    std::map<EndpointId, bool> m_leaving; // Endpoints of the last host list; owned by the host list's thread.
};

} // namespace jacinthspindle::daemon
