// Connections of the HTTP server.

#include "daemon/TrafficServer.h"

#include "daemon/SocketStream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthspindle::daemon {

namespace {

    // The library's backlog of 5 makes callers of a burst wait for a repeated SYN, which takes 1 s.
    constexpr int acceptBacklog = 1024;
    // A connection that waits for its next request notices within this time that the server closes.
    constexpr std::chrono::milliseconds closePoll { 200 };
    // Headers of a request; the library bounds each line to 8 KiB.
    constexpr size_t headerBytes = 64 << 10;

} // namespace

TrafficServer::TrafficServer(const TrafficServerLimits& limits)
    : m_limits(limits)
{
    // The library's preset adds SO_REUSEPORT, with which two daemons would share one address unnoticed.
    set_socket_options([](socket_t socket) {
        int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    set_payload_max_length(limits.bodyBytes);
    set_keep_alive_max_count(limits.requestsPerConnection);
    set_keep_alive_timeout(std::chrono::ceil<std::chrono::seconds>(limits.keepAlive).count());
    new_task_queue = [limits] { return new BoundedTaskQueue(limits.threads, limits.connectionQueue); };
}

uint16_t TrafficServer::bind(const std::string& ip, uint16_t port)
{
    int bound = port;
    if (port == 0)
        bound = bind_to_any_port(ip);
    else if (!bind_to_port(ip, port))
        return 0;
    if (bound <= 0 || ::listen(svr_sock_, acceptBacklog) != 0)
        return 0;
    return static_cast<uint16_t>(bound);
}

// Returns whether the first byte of a request has arrived.
bool TrafficServer::waitForRequest(socket_t socket) const
{
    auto end = std::chrono::steady_clock::now() + m_limits.keepAlive;
    while (std::chrono::steady_clock::now() < end && !m_isClosing) {
        pollfd entry { socket, POLLIN, 0 };
        int ready = ::poll(&entry, 1, static_cast<int>(closePoll.count()));
        if (ready > 0)
            return (entry.revents & POLLIN) != 0;
        if (ready < 0 && errno != EINTR)
            return false;
    }
    return false;
}

bool TrafficServer::process_and_close_socket(socket_t socket)
{
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    SocketStream stream(socket, m_limits.writeTime);
    bool isOpen = true;
    for (size_t n = 1; isOpen; ++n) {
        if (!stream.hasBufferedBytes() && !waitForRequest(socket))
            break;
        stream.beginRequest(m_limits.bodyBytes + headerBytes, m_limits.requestTime);
        bool isLast = n >= m_limits.requestsPerConnection || m_isClosing || BoundedTaskQueue::isOverflow();
        bool isClosedByCaller = false;
        bool isServed = process_request(stream, isLast, isClosedByCaller, nullptr);
        isOpen = isServed && !isLast && !isClosedByCaller && !stream.isExhausted();
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return isOpen;
}

} // namespace jacinthspindle::daemon
