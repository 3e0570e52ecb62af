// A server that answers each connection with scripted bytes, however wrong they are.

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace jacinthspindle::test {

inline int listenOnLoopback(sockaddr_in& name)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof name;
    if (bind(socket, reinterpret_cast<sockaddr*>(&name), n) == 0)
        getsockname(socket, reinterpret_cast<sockaddr*>(&name), &n);
    return socket;
}

inline std::string addressOf(const sockaddr_in& name)
{
    return "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
}

// An address at which no connection is accepted.
inline std::string closedAddress()
{
    static sockaddr_in name {};
    static int socket = listenOnLoopback(name); // Bound, never listening, and kept for the life of the process.
    (void)socket;
    return addressOf(name);
}

// Close: the connection ends after the answer. Reset: it is reset. Hold: it stays open and silent until the server is
// destroyed.
enum class AfterAnswer { Close, Reset, Hold };

class ScriptedServer {
public:
    // With a pause, the answer is sent in steps of so many bytes.
    explicit ScriptedServer(std::string answer, AfterAnswer after = AfterAnswer::Close,
        std::chrono::milliseconds pause = std::chrono::milliseconds::zero(), size_t step = 1)
        : m_answer(std::move(answer))
        , m_after(after)
        , m_pause(pause)
        , m_step(step)
        , m_socket(listenOnLoopback(m_name))
    {
        listen(m_socket, 16);
        m_thread = std::thread([this] { serve(); });
    }

    // The answer depends on the bytes of the request.
    explicit ScriptedServer(
        std::function<std::string(const std::string&)> answerTo, AfterAnswer after = AfterAnswer::Close)
        : ScriptedServer(std::string(), after)
    {
        std::lock_guard lock(m_mutex);
        m_answerTo = std::move(answerTo);
    }

    ~ScriptedServer()
    {
        m_isStopping = true;
        m_thread.join();
        close(m_socket);
    }

    std::string address() const { return addressOf(m_name); }
    uint32_t connections() const { return m_connections; }
    // Connections that have ended, by either side.
    uint32_t ended() const { return m_ended; }
    // Sends more bytes on the connection that is held, or on the next one.
    void goOn(const std::string& bytes)
    {
        std::lock_guard lock(m_mutex);
        m_more += bytes;
    }
    std::string lastRequest() const
    {
        std::lock_guard lock(m_mutex);
        return m_request;
    }

private:
    static constexpr int pollMilliseconds = 20;

    bool isReadable(int socket) const
    {
        pollfd entry { socket, POLLIN, 0 };
        return poll(&entry, 1, pollMilliseconds) > 0;
    }

    void serve()
    {
        while (!m_isStopping) {
            if (!isReadable(m_socket))
                continue;
            int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            ++m_connections;
            if (readRequest(socket))
                sendAnswer(socket);
            while (m_after == AfterAnswer::Hold && !m_isStopping && !isReadable(socket))
                sendMore(socket);
            if (m_after == AfterAnswer::Reset) {
                linger abort { 1, 0 };
                setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            }
            close(socket);
            ++m_ended;
        }
    }

    // Reads the head, and the body that its length announces.
    bool readRequest(int socket)
    {
        std::string request;
        while (!m_isStopping && !isWhole(request)) {
            char buf[4096];
            if (!isReadable(socket))
                continue;
            ssize_t n = recv(socket, buf, sizeof buf, 0);
            if (n <= 0)
                return false;
            request.append(buf, static_cast<size_t>(n));
        }
        std::lock_guard lock(m_mutex);
        m_request = request;
        if (m_answerTo)
            m_answer = m_answerTo(request);
        return true;
    }

    static bool isWhole(const std::string& request)
    {
        auto end = request.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        auto length = request.find("Content-Length: ");
        size_t n = length < end ? std::stoul(request.substr(length + 16)) : 0;
        return request.size() >= end + 4 + n;
    }

    void sendAnswer(int socket)
    {
        size_t step = m_pause.count() ? m_step : m_answer.size();
        for (size_t sent = 0; sent < m_answer.size() && !m_isStopping;) {
            ssize_t n = send(socket, m_answer.data() + sent, std::min(step, m_answer.size() - sent), MSG_NOSIGNAL);
            if (n <= 0)
                return;
            sent += static_cast<size_t>(n);
            std::this_thread::sleep_for(m_pause);
        }
    }

    void sendMore(int socket)
    {
        std::lock_guard lock(m_mutex);
        if (!m_more.empty())
            send(socket, m_more.data(), m_more.size(), MSG_NOSIGNAL);
        m_more.clear();
    }

    std::string m_answer; // Written by the serving thread only.
    std::function<std::string(const std::string&)> m_answerTo;
    const AfterAnswer m_after;
    const std::chrono::milliseconds m_pause;
    const size_t m_step;
    sockaddr_in m_name {};
    int m_socket;
    mutable std::mutex m_mutex;
    std::string m_request;
    std::string m_more;
    std::atomic<uint32_t> m_connections { 0 };
    std::atomic<uint32_t> m_ended { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

inline std::string httpAnswer(const std::string& status, const std::string& body, const std::string& head = {})
{
    return "HTTP/1.1 " + status + "\r\n" + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& bytes)
{
    char length[20];
    std::snprintf(length, sizeof length, "%zx\r\n", bytes.size());
    return length + bytes + "\r\n";
}

inline std::string chunkedHead()
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
}

} // namespace jacinthspindle::test
