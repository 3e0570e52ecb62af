// Addresses and socket options.

#include "router/Net.h"

#include <charconv>
#include <netinet/tcp.h>

namespace jacinthspindle::router {

std::optional<tcp::endpoint> parseAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    ErrorCode ec;
    auto ip = net::ip::make_address(std::string(text.substr(0, colon)), ec);
    auto digits = text.substr(colon + 1);
    uint16_t port = 0;
    auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return tcp::endpoint(ip, port);
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

void tuneSocket(tcp::socket& socket)
{
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    using UserTimeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(UserTimeout(static_cast<int>(sendTimeout.count())), ignored);
}

bool isQuiet(tcp::socket& socket)
{
    char byte = 0;
    auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace jacinthspindle::router
