// An engine that serves streams side by side and pauses in the middle of each, though it lives and goes on later. Under
// one part of a prompt its process ends.

#pragma once

#include "support/RouterFixture.h"

#include <list>

namespace jacinthspindle::test {

// Streams of events 1 to lastEvent. A request with a last event continues after it, without a pause.
class PausingEngine {
public:
    struct Script {
        int pauseAfter = 1; // Event before the pause.
        std::chrono::milliseconds pause {};
        int lastEvent = 5;
        std::string refusal; // Answer to a request that continues a stream; empty: it is continued.
        std::chrono::milliseconds continuationDelay {}; // Between the head and the events of a continued stream.
        std::string fatalPart; // Empty: none ends the process.
        std::chrono::milliseconds firstDelay {}; // Between a request and the head of its answer.
        std::chrono::milliseconds downTime { 1500 }; // Before the process starts again.
        std::function<void(const PausingEngine&)> onEnd;
        std::function<void(const PausingEngine&)> onRestart;
    };

    explicit PausingEngine(Script script)
        : m_script(std::move(script))
        , m_socket(listenOnLoopback(m_name))
    {
        allowReuse();
        listen(m_socket, 128);
        m_thread = std::thread([this] { accept(); });
    }

    ~PausingEngine()
    {
        m_isStopping = true;
        m_thread.join();
        for (auto& it : m_streams)
            it.join();
        close(m_socket);
    }

    std::string address() const { return addressOf(m_name); }
    // Requests that continue a stream.
    int continued() const { return m_continued; }
    // Connections that the router closed before the last event.
    int cut() const { return m_cut; }
    // How often the process ended.
    int ends() const { return m_ends; }

    static std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n"; }

private:
    static constexpr int pollMilliseconds = 10;

    static bool isReadable(int socket)
    {
        pollfd entry { socket, POLLIN, 0 };
        return poll(&entry, 1, pollMilliseconds) > 0;
    }

    void allowReuse() const
    {
        int yes = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    }

    // Connections are refused until the process has started again at the same address.
    void restart()
    {
        close(m_socket);
        auto end = std::chrono::steady_clock::now() + m_script.downTime;
        while (!m_isStopping && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(pollMilliseconds));
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        allowReuse();
        if (bind(m_socket, reinterpret_cast<sockaddr*>(&m_name), sizeof m_name) == 0)
            listen(m_socket, 128);
        if (m_script.onRestart)
            m_script.onRestart(*this);
    }

    void accept()
    {
        int ends = 0;
        while (!m_isStopping) {
            if (m_ends != ends) {
                ends = m_ends;
                restart();
            }
            if (!isReadable(m_socket))
                continue;
            int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            m_streams.emplace_back([this, socket] {
                serve(socket);
                close(socket);
            });
        }
    }

    std::string readRequest(int socket) const
    {
        std::string request;
        while (!m_isStopping && request.find("\r\n\r\n") == std::string::npos) {
            char buf[4096];
            if (!isReadable(socket))
                continue;
            ssize_t n = recv(socket, buf, sizeof buf, 0);
            if (n <= 0)
                return {};
            request.append(buf, static_cast<size_t>(n));
        }
        return request;
    }

    // Waits as long as nothing arrives; false when the router closes the connection.
    bool wait(int socket, std::chrono::milliseconds duration) const
    {
        auto end = std::chrono::steady_clock::now() + duration;
        int ends = m_ends;
        while (!m_isStopping && m_ends == ends && std::chrono::steady_clock::now() < end) {
            char byte = 0;
            // The body of the request may follow its head.
            if (isReadable(socket) && recv(socket, &byte, 1, 0) <= 0)
                return false;
        }
        return !m_isStopping && m_ends == ends;
    }

    void endProcess(int socket)
    {
        if (m_script.onEnd)
            m_script.onEnd(*this);
        ++m_ends;
        abort(socket);
    }

    static void abort(int socket)
    {
        linger reset { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    void serve(int socket)
    {
        auto request = readRequest(socket);
        if (request.empty())
            return;
        auto last = headerOf(request, "Last-Event-ID");
        int next = last.empty() ? 1 : std::stoi(last) + 1;
        m_continued += !last.empty();
        if (!last.empty() && !m_script.refusal.empty()) {
            write(socket, ownAnswer(request));
            return;
        }
        int ends = m_ends;
        bool isOpen = wait(socket, m_script.firstDelay) && write(socket, head(request));
        bool isFatal = !m_script.fatalPart.empty() && request.find(m_script.fatalPart + ':') != std::string::npos;
        if (isOpen && isFatal)
            return endProcess(socket);
        if (isOpen && !last.empty())
            isOpen = wait(socket, m_script.continuationDelay);
        for (; isOpen && next <= m_script.lastEvent; ++next) {
            isOpen = write(socket, chunk(event(next)));
            if (isOpen && last.empty() && next == m_script.pauseAfter)
                isOpen = wait(socket, m_script.pause);
        }
        isOpen = isOpen && write(socket, "0\r\n\r\n");
        if (m_ends != ends)
            return abort(socket);
        m_cut += !isOpen;
    }

    static std::string identity(const std::string& request)
    {
        return "X-Request-Id: " + headerOf(request, "X-Request-Id") + "\r\nX-Signature: s\r\n";
    }
    static std::string head(const std::string& request)
    {
        return "HTTP/1.1 200 OK\r\n" + identity(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
    std::string ownAnswer(const std::string& request) const
    {
        return httpAnswer(m_script.refusal, "", identity(request) + "X-Not-Executed: 1\r\n");
    }
    static bool write(int socket, const std::string& bytes)
    {
        return send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    const Script m_script;
    sockaddr_in m_name {};
    int m_socket;
    std::list<std::thread> m_streams; // Grows in m_thread only.
    std::atomic<int> m_continued { 0 };
    std::atomic<int> m_cut { 0 };
    std::atomic<int> m_ends { 0 };
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace jacinthspindle::test
