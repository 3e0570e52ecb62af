// A connection as the HTTP library reads and writes it, with bounds on the bytes and the time of one request. For
// sources that include httplib.h.

#pragma once

#include <array>
#include <chrono>
#include <httplib.h>
#include <string>

namespace jacinthspindle::daemon {

// Used by one thread. It does not own the socket.
class SocketStream final : public httplib::Stream {
public:
    SocketStream(socket_t, std::chrono::milliseconds writeTime);

    // From now on reads fail after so many bytes and after so much time.
    void beginRequest(size_t maxBytes, std::chrono::milliseconds maxTime);
    bool hasBufferedBytes() const { return m_begin < m_end; }
    // A bound was reached or the connection failed; its state is unknown.
    bool isExhausted() const { return m_isExhausted; }

    bool is_readable() const override; // NOLINT(readability-identifier-naming)
    bool is_writable() const override; // NOLINT(readability-identifier-naming)
    ssize_t read(char* buf, size_t size) override;
    ssize_t write(const char* buf, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override; // NOLINT(readability-identifier-naming)
    void get_local_ip_and_port(std::string& ip, int& port) const override; // NOLINT(readability-identifier-naming)
    socket_t socket() const override { return m_socket; }

private:
    ssize_t refill();

    const socket_t m_socket;
    const std::chrono::milliseconds m_writeTime;
    std::chrono::steady_clock::time_point m_readLimit {};
    size_t m_bytesLeft = 0;
    bool m_isExhausted = false;
    std::array<char, 4096> m_buffer {}; // Holds unread bytes [m_begin, m_end).
    size_t m_begin = 0;
    size_t m_end = 0;
};

} // namespace jacinthspindle::daemon
