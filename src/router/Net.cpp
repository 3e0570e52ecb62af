// Addresses and socket options.

#include "router/Net.h"

#include <netinet/tcp.h>
#include <poll.h>

namespace jacinthspindle::router {

namespace {

    enum class Pending : uint8_t { Nothing, Bytes, End };

    // What lies in the socket; it is left there. Neither call takes the socket's error, as receiving would: it is
    // reported once, and a read after that takes a reset for an end in order.
    Pending pendingOn(tcp::socket& socket)
    {
        ErrorCode ec;
        if (socket.available(ec))
            return Pending::Bytes;
        pollfd entry { socket.native_handle(), POLLIN, 0 };
        bool hasEnded = ec || ::poll(&entry, 1, 0) > 0;
        if (!hasEnded)
            return Pending::Nothing;
        // Bytes may have come between the two calls.
        return socket.available(ec) ? Pending::Bytes : Pending::End;
    }

} // namespace

std::optional<tcp::endpoint> parseAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    ErrorCode ec;
    auto ip = net::ip::make_address(std::string(text.substr(0, colon)), ec);
    auto port = parseNumber<uint16_t>(text.substr(colon + 1));
    if (ec || !port || !*port)
        return std::nullopt;
    return tcp::endpoint(ip, *port);
}

std::string hostOfAddress(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

std::optional<Reason> listenOn(tcp::acceptor& acceptor, const std::string& address)
{
    auto endpoint = parseAddress(address);
    ErrorCode ec = endpoint ? ErrorCode() : ErrorCode(net::error::invalid_argument);
    if (!ec)
        acceptor.open(endpoint->protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(*endpoint, ec);
    if (!ec)
        acceptor.listen(net::socket_base::max_listen_connections, ec);
    if (ec)
        return Reason { ResultCode::SettingsInvalid, address + ": " + ec.message() };
    return std::nullopt;
}

net::awaitable<ErrorCode> connectTo(
    beast::tcp_stream& stream, const std::string& address, std::chrono::milliseconds timeout)
{
    auto endpoint = parseAddress(address);
    if (!endpoint)
        co_return net::error::invalid_argument;
    stream.expires_after(timeout);
    ErrorCode ec;
    co_await stream.async_connect(*endpoint, awaitInto(ec));
    if (!ec)
        tuneSocket(stream.socket());
    co_return ec;
}

void tuneSocket(tcp::socket& socket)
{
    constexpr int bufferBytes = 64 << 10;
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(net::socket_base::receive_buffer_size(bufferBytes), ignored);
    socket.set_option(net::socket_base::send_buffer_size(bufferBytes), ignored);
    using UserTimeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(static_cast<int>(sendTimeout.count())), ignored);
}

bool isQuiet(tcp::socket& socket)
{
    return pendingOn(socket) == Pending::Nothing;
}

bool hasBytes(tcp::socket& socket)
{
    return pendingOn(socket) == Pending::Bytes;
}

bool isOpen(tcp::socket& socket)
{
    return pendingOn(socket) != Pending::End;
}

} // namespace jacinthspindle::router
