// Listening, going down and closing connections without an answer.

#include "standins/StandinServer.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>

namespace jacinthspindle::standins {

namespace {

    // Shorter than the steps in which callers wait, longer than a token's time.
    constexpr milliseconds sleepStep { 20 };
    constexpr time_t keepAliveSeconds = 3;
    constexpr size_t keepAliveRequests = 1'000'000;

    // The library's own pool has a fixed number of threads, and idle connections would occupy them.
    class ThreadPerConnection final : public httplib::TaskQueue {
    public:
        void enqueue(std::function<void()> task) override
        {
            {
                std::lock_guard lock(m_state->mutex);
                ++m_state->running;
            }
            std::thread([state = m_state, task = std::move(task)] {
                task();
                std::lock_guard lock(state->mutex);
                --state->running;
                state->idle.notify_all();
            }).detach();
        }

        void shutdown() override
        {
            std::unique_lock lock(m_state->mutex);
            m_state->idle.wait(lock, [this] { return !m_state->running; });
        }

    private:
        struct State {
            std::mutex mutex;
            std::condition_variable idle;
            size_t running = 0;
        };
        std::shared_ptr<State> m_state = std::make_shared<State>();
    };

    int portOf(int socket, int (*getName)(int, sockaddr*, socklen_t*))
    {
        sockaddr_in name {};
        socklen_t n = sizeof name;
        if (getName(socket, reinterpret_cast<sockaddr*>(&name), &n) != 0 || name.sin_family != AF_INET)
            return -1;
        return ntohs(name.sin_port);
    }

    // Calls visit with each connected socket of this process whose own port is the given one. The library does not
    // tell which socket a request came on.
    template <typename Visit> void forEachConnection(int ownPort, Visit visit)
    {
        std::error_code ec;
        for (const auto& it : std::filesystem::directory_iterator("/proc/self/fd", ec)) {
            int socket = std::atoi(it.path().filename().c_str());
            int peer = portOf(socket, getpeername);
            if (peer >= 0 && portOf(socket, getsockname) == ownPort)
                visit(socket, peer);
        }
    }

} // namespace

StandinServer::StandinServer(std::string address, Install install)
    : m_address(std::move(address))
    , m_install(std::move(install))
{
    auto colon = m_address.rfind(':');
    m_host = m_address.substr(0, colon);
    m_port = colon == std::string::npos ? 0 : std::atoi(m_address.c_str() + colon + 1);
}

StandinServer::~StandinServer()
{
    stop();
    if (m_stopper.joinable())
        m_stopper.join();
}

bool StandinServer::start()
{
    std::lock_guard lock(m_mutex);
    if (!m_isDown)
        return true;
    if (m_listener.joinable())
        m_listener.join();
    m_server = std::make_unique<httplib::Server>();
    m_server->new_task_queue = [] { return new ThreadPerConnection; };
    m_server->set_tcp_nodelay(true);
    // The library would set SO_REUSEPORT, by which two programs at one port share its connections unnoticed.
    m_server->set_socket_options([](socket_t socket) {
        int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    });
    m_server->set_keep_alive_timeout(keepAliveSeconds);
    m_server->set_keep_alive_max_count(keepAliveRequests);
    m_install(*m_server);
    if (!m_server->bind_to_port(m_host, m_port))
        return false;
    m_isDown = false;
    m_listener = std::thread([server = m_server.get()] { server->listen_after_bind(); });
    while (!m_server->is_running())
        std::this_thread::yield();
    return true;
}

void StandinServer::stop()
{
    std::lock_guard lock(m_mutex);
    m_isDown = true;
    if (!m_listener.joinable())
        return;
    m_server->stop();
    closeConnections();
    m_listener.join();
}

void StandinServer::goDown()
{
    if (m_isDown.exchange(true))
        return;
    if (m_stopper.joinable())
        m_stopper.join();
    m_stopper = std::thread([this] { stop(); });
}

bool StandinServer::sleep(milliseconds time) const
{
    auto end = std::chrono::steady_clock::now() + time;
    while (!m_isDown) {
        auto left = std::chrono::ceil<milliseconds>(end - std::chrono::steady_clock::now());
        if (left <= milliseconds::zero())
            return true;
        std::this_thread::sleep_for(std::min(left, sleepStep));
    }
    return false;
}

void StandinServer::dropConnection(const httplib::Request& request)
{
    forEachConnection(request.local_port, [&](int socket, int peer) {
        if (peer == request.remote_port)
            shutdown(socket, SHUT_RDWR);
    });
}

void StandinServer::closeConnections() const
{
    forEachConnection(m_port, [](int socket, int) { shutdown(socket, SHUT_RDWR); });
}

void answerJson(httplib::Response& response, const std::string& body, int status)
{
    response.status = status;
    response.set_content(body, "application/json");
}

void answerError(httplib::Response& response, int status, const std::string& text)
{
    response.status = status;
    response.set_content(text + "\n", "text/plain");
}

} // namespace jacinthspindle::standins
