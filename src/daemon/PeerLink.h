// Authenticated messages from and to other daemons.

#pragma once

#include "daemon/Metrics.h"
#include "daemon/TraceRecorder.h"
#include "spindleadapters/PeerCodec.h"
#include "spindlecore/PeerMessage.h"
#include "spindlecore/Ports.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace jacinthspindle::daemon {

class PeerLink {
public:
    using Receiver = std::function<void(PeerReceived)>;

    PeerLink(PeerTransport&, const TraceIdentity&, const std::string& key, TraceRecorder&, Metrics&);
    ~PeerLink();

    // Thread-safe; never blocks. Returns false when the message was dropped.
    bool send(const HostId& receiver, const std::string& address, PeerBody);

    // Calls the receiver on the thread of this object for each authentic message. It must not block.
    void start(Receiver);
    void stop();

private:
    void run();

    PeerTransport& m_transport;
    const TraceIdentity m_identity;
    TraceRecorder& m_trace;
    Metrics& m_metrics;
    std::mutex m_sendMutex;
    PeerCodec m_encoder; // Guarded by m_sendMutex.
    uint64_t m_sequence = 0; // Guarded by m_sendMutex.
    PeerCodec m_decoder; // Owned by the thread.
    Receiver m_receiver;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace jacinthspindle::daemon
