// A server in trouble: it answers each connection with a beginning and then with the same bytes again and again, until
// the other side closes the connection.

#pragma once

#include "support/ScriptedServer.h"

namespace jacinthspindle::test {

class EndlessServer {
public:
    // beginning: made from the bytes of the request. A pause between two repetitions makes the server slow.
    EndlessServer(std::function<std::string(const std::string&)> beginning, std::string repeated,
        std::chrono::milliseconds pause = std::chrono::milliseconds::zero())
        : m_beginning(std::move(beginning))
        , m_repeated(std::move(repeated))
        , m_pause(pause)
        , m_socket(listenOnLoopback(m_name))
    {
        listen(m_socket, 16);
        m_thread = std::thread([this] { serve(); });
    }

    ~EndlessServer()
    {
        m_isStopping = true;
        m_thread.join();
        close(m_socket);
    }

    std::string address() const { return addressOf(m_name); }
    // Connections that the other side has closed.
    uint32_t ended() const { return m_ended; }
    uint64_t sentBytes() const { return m_sentBytes; }

private:
    static bool isReady(int socket, short events)
    {
        constexpr int pollMilliseconds = 20;
        pollfd entry { socket, events, 0 };
        return poll(&entry, 1, pollMilliseconds) > 0;
    }

    void serve()
    {
        while (!m_isStopping) {
            if (!isReady(m_socket, POLLIN))
                continue;
            int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            std::string request;
            while (!m_isStopping && request.find("\r\n\r\n") == std::string::npos) {
                char buf[4096];
                if (!isReady(socket, POLLIN))
                    continue;
                ssize_t n = recv(socket, buf, sizeof buf, 0);
                if (n <= 0)
                    break;
                request.append(buf, static_cast<size_t>(n));
            }
            bool isOpen = sendAll(socket, m_beginning(request));
            while (isOpen && !m_isStopping) {
                isOpen = sendAll(socket, m_repeated);
                std::this_thread::sleep_for(m_pause);
            }
            close(socket);
            m_ended += !isOpen;
        }
    }

    // False when the other side has closed the connection.
    bool sendAll(int socket, const std::string& bytes)
    {
        for (size_t sent = 0; sent < bytes.size() && !m_isStopping;) {
            if (!isReady(socket, POLLOUT))
                continue;
            ssize_t n = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<size_t>(n);
            m_sentBytes += static_cast<uint64_t>(n);
        }
        return true;
    }

    const std::function<std::string(const std::string&)> m_beginning;
    const std::string m_repeated;
    const std::chrono::milliseconds m_pause;
    sockaddr_in m_name {};
    int m_socket;
    std::atomic<uint32_t> m_ended { 0 };
    std::atomic<uint64_t> m_sentBytes { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace jacinthspindle::test
