// HTTP/1.1 over blocking sockets: what the stand-ins of this review need of it, and no more.

#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char it) { return std::tolower(it); });
    return text;
}

inline sockaddr_in socketAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &name.sin_addr);
    return name;
}

// Returns a listening socket, or -1.
inline int listenAt(const std::string& address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto name = socketAddress(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0 && listen(fd, 512) == 0)
        return fd;
    close(fd);
    return -1;
}

// Returns a connected socket, or -1.
inline int connectTo(const std::string& address, milliseconds timeout)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval time { timeout.count() / 1000, (timeout.count() % 1000) * 1000 };
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto name = socketAddress(address);
    if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0)
        return fd;
    close(fd);
    return -1;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    for (size_t n = 0; n < bytes.size();) {
        auto sent = send(fd, bytes.data() + n, bytes.size() - n, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        n += static_cast<size_t>(sent);
    }
    return true;
}

// Makes the close of the socket a reset.
inline void resetOnClose(int fd)
{
    linger now { 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

struct Message {
    std::string start; // First line.
    std::map<std::string, std::string> fields; // Names in lower case.
    std::string body;
    bool isWhole = false; // The body came to its marked end.
    std::string operator[](const std::string& name) const
    {
        auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        auto at = start.find(' ');
        return at == std::string::npos ? std::string() : start.substr(at + 1, start.find(' ', at + 1) - at - 1);
    }
};

// Reads messages from one connection.
class Reader {
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    enum class End { Open, Closed, Reset, Late };
    End end() const { return m_end; }
    const std::string& buffer() const { return m_buffer; }

    // Waits for more bytes until the moment; false when none come.
    bool more(Clock::time_point until)
    {
        auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd it { m_fd, POLLIN, 0 };
        if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0) {
            m_end = End::Late;
            return false;
        }
        char bytes[16384];
        auto n = recv(m_fd, bytes, sizeof bytes, 0);
        if (n > 0) {
            m_buffer.append(bytes, static_cast<size_t>(n));
            return true;
        }
        m_end = n == 0 ? End::Closed : End::Reset;
        return false;
    }

    // Reads a head; nothing when the connection ends or the moment comes.
    std::optional<Message> head(Clock::time_point until)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until))
                return std::nullopt;
        }
        Message message;
        auto text = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        auto line = text.find("\r\n");
        message.start = text.substr(0, line);
        for (auto at = line + 2; at < text.size();) {
            auto next = text.find("\r\n", at);
            auto field = text.substr(at, next - at);
            auto colon = field.find(':');
            if (colon != std::string::npos) {
                auto value = field.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                message.fields[lower(field.substr(0, colon))] = value;
            }
            at = next + 2;
        }
        return message;
    }

    // Reads the body of the message. isAnswer: without a length it ends with the connection.
    void body(Message& message, Clock::time_point until, bool isAnswer)
    {
        if (lower(message["transfer-encoding"]) == "chunked")
            return chunks(message, until);
        auto length = message["content-length"];
        if (length.empty() && !isAnswer) {
            message.isWhole = true;
            return;
        }
        size_t want = length.empty() ? SIZE_MAX : std::stoull(length);
        while (m_buffer.size() < want && more(until))
            ;
        message.isWhole = length.empty() ? m_end == End::Closed : m_buffer.size() >= want;
        message.body = m_buffer.substr(0, want);
        m_buffer.erase(0, std::min(want, m_buffer.size()));
    }

private:
    void chunks(Message& message, Clock::time_point until)
    {
        while (true) {
            size_t line = 0;
            while ((line = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(until))
                    return;
            }
            size_t size = std::stoull(m_buffer.substr(0, line), nullptr, 16);
            while (m_buffer.size() < line + 2 + size + 2) {
                if (!more(until))
                    return;
            }
            message.body.append(m_buffer, line + 2, size);
            m_buffer.erase(0, line + 2 + size + 2);
            if (size)
                continue;
            message.isWhole = true;
            return;
        }
    }

    int m_fd;
    std::string m_buffer;
    End m_end = End::Open;
};

inline std::string chunk(const std::string& bytes)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

inline std::string answerText(const std::string& status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace review
