// Reuse of connections, newest first, so that the others expire.

#include "router/EndpointPool.h"

namespace jacinthspindle::router {

namespace {

    // Idle connections per address; a daemon has a few requests at an endpoint at a time.
    constexpr size_t maxIdlePerAddress = 8;

} // namespace

EndpointPool::EndpointPool(net::any_io_executor executor, const Clock& clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{
}

std::unique_ptr<EndpointConnection> EndpointPool::takeIdle(const std::string& address, Duration maxIdle)
{
    auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        auto age = m_clock.now() - connection->idleSince;
        bool isUsable = age <= std::min<Duration>(maxIdle, connection->idleLimit);
        if (isUsable && isQuiet(connection->stream.socket()))
            return connection;
        // The ones behind it are older.
        if (!isUsable && age > connection->idleLimit)
            idle.clear();
    }
    return nullptr;
}

net::awaitable<std::unique_ptr<EndpointConnection>> EndpointPool::connect(
    std::string address, std::chrono::milliseconds timeout)
{
    auto connection = std::make_unique<EndpointConnection>(m_executor, address);
    auto ec = co_await connectTo(connection->stream, connection->address, timeout);
    if (ec)
        co_return nullptr;
    co_return connection;
}

void EndpointPool::giveBack(std::unique_ptr<EndpointConnection> connection, std::chrono::milliseconds idleLimit)
{
    auto& idle = m_idle[connection->address];
    connection->stream.expires_never();
    connection->idleSince = m_clock.now();
    connection->idleLimit = idleLimit;
    // A buffer that grew for a long answer is not kept.
    connection->buffer = beast::flat_buffer(EndpointConnection::maxReadAhead);
    if (idle.size() >= maxIdlePerAddress)
        idle.pop_front();
    idle.push_back(std::move(connection));
}

void EndpointPool::sweep()
{
    auto now = m_clock.now();
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto& idle = it->second;
        while (!idle.empty() && now - idle.front()->idleSince > idle.front()->idleLimit)
            idle.pop_front();
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace jacinthspindle::router
