// The peer transport over nng push/pull sockets.

#pragma once

#include "spindlecore/spindlecore.h"

#include <memory>
#include <optional>
#include <string>

namespace jacinthspindle {

struct NngPeerSettings {
    std::string listenAddress; // "IP:port"; port 0 picks a free port.
    // Open outgoing sockets. The least recently used one is closed for a new address, so that connections do not grow
    // with the number of daemons.
    uint32_t maxSockets = 64;
    int sendQueue = 64; // Messages per outgoing socket; send() fails when it is full.
    int receiveQueue = 4096;
    // A socket is kept for this long after its last message, so that the message is not lost.
    std::chrono::milliseconds minSocketAge { 500 };
};

struct NngPeerCounters {
    uint64_t sent = 0;
    uint64_t sendFailures = 0;
    uint64_t received = 0;
    uint64_t opened = 0;
    uint32_t openSockets = 0;
};

// send() and receive() may be called from different threads. stop() ends a receive() in progress; no call may be in
// progress when the transport is destroyed.
class NngPeerTransport final : public PeerTransport {
public:
    // Returns nothing and sets the reason (SettingsInvalid) when the address cannot be listened on.
    static std::unique_ptr<NngPeerTransport> open(const NngPeerSettings&, const Clock&, Reason&);
    ~NngPeerTransport() override;
    NngPeerTransport(const NngPeerTransport&) = delete;
    NngPeerTransport& operator=(const NngPeerTransport&) = delete;

    bool send(const std::string& address, const std::string& bytes) override;
    std::optional<std::string> receive(std::chrono::milliseconds timeout) override;
    // Makes this and each later receive() return nothing at once.
    void stop();
    // "IP:port" with the port in use.
    std::string boundAddress() const;
    NngPeerCounters counters() const;

private:
    struct State;
    explicit NngPeerTransport(std::unique_ptr<State>);
    std::unique_ptr<State> m_state;
};

} // namespace jacinthspindle
