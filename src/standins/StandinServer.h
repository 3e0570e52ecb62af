// One listening address of a stand-in, which can go down and come back.

#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace jacinthspindle::standins {

using std::chrono::milliseconds;

// Thread-safe. Each connection has its own thread.
class StandinServer {
public:
    using Install = std::function<void(httplib::Server&)>;

    // install adds the handlers; it runs again each time the server comes back.
    StandinServer(std::string address, Install install);
    ~StandinServer();
    StandinServer(const StandinServer&) = delete;
    StandinServer& operator=(const StandinServer&) = delete;

    // Returns false when the address cannot be bound.
    bool start();

    // Closes the listening socket and all connections, so that later connection attempts are refused. Handlers that run
    // see isDown(). Must not be called by a handler; goDown() may.
    void stop();
    void goDown();

    bool isDown() const { return m_isDown; }
    const std::string& address() const { return m_address; }

    // Sleeps in short steps; returns false at once when the server goes down.
    bool sleep(milliseconds time) const;

    // Closes the connection of a request without an answer; what the handler then answers is not sent.
    static void dropConnection(const httplib::Request&);

private:
    void closeConnections() const;

    std::string m_address;
    std::string m_host;
    int m_port = 0;
    Install m_install;
    std::mutex m_mutex; // Guards start and stop.
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_listener;
    std::thread m_stopper;
    std::atomic<bool> m_isDown { true };
};

void answerJson(httplib::Response&, const std::string& body, int status = 200);
void answerError(httplib::Response&, int status, const std::string& text);

} // namespace jacinthspindle::standins
