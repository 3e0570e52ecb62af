// Reading and writing of one connection.

#include "daemon/SocketStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace jacinthspindle::daemon {

namespace {

    bool waitFor(socket_t socket, short events, std::chrono::steady_clock::time_point limit)
    {
        while (true) {
            auto left = std::chrono::ceil<std::chrono::milliseconds>(limit - std::chrono::steady_clock::now());
            if (left.count() <= 0)
                return false;
            pollfd entry { socket, events, 0 };
            int ready = ::poll(&entry, 1, static_cast<int>(left.count()));
            if (ready > 0)
                return true;
            if (ready < 0 && errno != EINTR)
                return false;
        }
    }

    void readAddress(const sockaddr_storage& address, std::string& ip, int& port)
    {
        char buf[INET6_ADDRSTRLEN] = {};
        if (address.ss_family == AF_INET) {
            sockaddr_in in {};
            std::memcpy(&in, &address, sizeof(in));
            inet_ntop(AF_INET, &in.sin_addr, buf, sizeof(buf));
            port = ntohs(in.sin_port);
        } else if (address.ss_family == AF_INET6) {
            sockaddr_in6 in {};
            std::memcpy(&in, &address, sizeof(in));
            inet_ntop(AF_INET6, &in.sin6_addr, buf, sizeof(buf));
            port = ntohs(in.sin6_port);
        }
        ip = buf;
    }

} // namespace

SocketStream::SocketStream(socket_t socket, std::chrono::milliseconds writeTime)
    : m_socket(socket)
    , m_writeTime(writeTime)
{
}

void SocketStream::beginRequest(size_t maxBytes, std::chrono::milliseconds maxTime)
{
    m_bytesLeft = maxBytes;
    m_readLimit = std::chrono::steady_clock::now() + maxTime;
}

bool SocketStream::is_readable() const
{
    return hasBufferedBytes() || waitFor(m_socket, POLLIN, m_readLimit);
}

bool SocketStream::is_writable() const
{
    return waitFor(m_socket, POLLOUT, std::chrono::steady_clock::now() + m_writeTime);
}

ssize_t SocketStream::refill()
{
    if (!waitFor(m_socket, POLLIN, m_readLimit))
        return -1;
    ssize_t n = 0;
    do {
        n = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    } while (n < 0 && errno == EINTR);
    if (n <= 0)
        return n;
    m_begin = 0;
    m_end = static_cast<size_t>(n);
    return n;
}

ssize_t SocketStream::read(char* buf, size_t size)
{
    if (size == 0)
        return 0;
    if (m_bytesLeft == 0) {
        m_isExhausted = true;
        return -1;
    }
    if (!hasBufferedBytes()) {
        ssize_t n = refill();
        if (n <= 0) {
            m_isExhausted = true;
            return n;
        }
    }
    size_t n = std::min({ size, m_end - m_begin, m_bytesLeft });
    std::copy_n(m_buffer.data() + m_begin, n, buf);
    m_begin += n;
    m_bytesLeft -= n;
    return static_cast<ssize_t>(n);
}

ssize_t SocketStream::write(const char* buf, size_t size)
{
    auto limit = std::chrono::steady_clock::now() + m_writeTime;
    size_t sent = 0;
    while (sent < size) {
        ssize_t n = ::send(m_socket, buf + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            sent += static_cast<size_t>(n);
            continue;
        }
        if (n < 0 && errno == EINTR)
            continue;
        bool mayRetry = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && waitFor(m_socket, POLLOUT, limit);
        if (!mayRetry) {
            m_isExhausted = true;
            return -1;
        }
    }
    return static_cast<ssize_t>(sent);
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address {};
    socklen_t length = sizeof(address);
    if (::getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
        readAddress(address, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address {};
    socklen_t length = sizeof(address);
    if (::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
        readAddress(address, ip, port);
}

} // namespace jacinthspindle::daemon
