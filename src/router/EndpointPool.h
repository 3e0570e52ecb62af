// Connections to endpoints, kept for reuse.

#pragma once

#include "router/Net.h"

#include <spindlecore/spindlecore.h>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace jacinthspindle::router {

// One connection; in use by at most one request.
struct EndpointConnection {
    static constexpr size_t maxReadAhead = size_t { 64 } << 10;

    EndpointConnection(const net::any_io_executor& executor, std::string peer)
        : stream(executor)
        , address(std::move(peer))
    {
    }

    beast::tcp_stream stream;
    // Bytes that were read ahead. The bound ends an answer whose framing has no end, such as that of a chunk.
    beast::flat_buffer buffer { maxReadAhead };
    std::string address;
    // A request could not be written whole. The write has taken the error of the connection, which is reported once, so
    // that a read of what lies in the socket ends like that of a connection which ended in order.
    bool isWriteBroken = false;
    Instant idleSince {};
    std::chrono::milliseconds idleLimit {}; // For how long the endpoint keeps it, less a margin.
};

// Belongs to the traffic thread.
class EndpointPool {
public:
    EndpointPool(net::any_io_executor, const Clock&);

    // Returns an idle connection that is no longer idle than maxIdle and on which nothing has arrived, or null.
    std::unique_ptr<EndpointConnection> takeIdle(const std::string& address, Duration maxIdle);

    // Null when the endpoint did not accept within the timeout.
    net::awaitable<std::unique_ptr<EndpointConnection>> connect(std::string address, std::chrono::milliseconds timeout);

    // Keeps the connection for the next request. The last answer must have been read whole.
    void giveBack(std::unique_ptr<EndpointConnection>, std::chrono::milliseconds idleLimit);

    // Closes what was idle for too long.
    void sweep();

private:
    net::any_io_executor m_executor;
    const Clock& m_clock;
    std::unordered_map<std::string, std::deque<std::unique_ptr<EndpointConnection>>> m_idle; // By address; newest last.
};

} // namespace jacinthspindle::router
