// The networking types of the router: Boost.Asio and Boost.Beast, one thread per event loop.

#pragma once

#include <utility> // Boost.Asio 1.74 needs it in C++20 and does not include it.

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <spindlecore/ResultCode.h>

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle::router {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using ErrorCode = boost::system::error_code;

// Completion token of a coroutine that wants the error as a value.
//
// GCC 12 miscompiles an await inside a conditional expression, and one whose operands are temporaries inside a
// condition. Coroutines of the router therefore name the result of an await before they test it.
inline auto awaitInto(ErrorCode& ec)
{
    return net::redirect_error(net::use_awaitable, ec);
}

// Nothing when the text is anything but one decimal number in range. Text: std::string_view, or Boost's.
template <typename Number, typename Text> std::optional<Number> parseNumber(Text text)
{
    Number value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Parses "IP:port". Names are not resolved.
std::optional<tcp::endpoint> parseAddress(std::string_view text);

// The part of "IP:port" before the port.
std::string hostOfAddress(const std::string& address);

// Opens the acceptor on "IP:port"; returns why it cannot be opened.
std::optional<Reason> listenOn(tcp::acceptor&, const std::string& address);

// A connection without acknowledgement of sent bytes for this long counts as broken. A cut link is otherwise noticed
// only by the system's own retransmission limit of many minutes.
constexpr std::chrono::milliseconds sendTimeout { 4000 };

// Connects to "IP:port" and tunes the socket. The stream's timer is left as it was set for the connection.
net::awaitable<ErrorCode> connectTo(beast::tcp_stream&, const std::string& address, std::chrono::milliseconds timeout);

// Sets TCP_NODELAY, TCP_USER_TIMEOUT and the sizes of the system's buffers, which otherwise grow to megabytes when one
// side reads slowly; a failure is of no consequence and is ignored.
void tuneSocket(tcp::socket&);

// True when the peer has neither closed the connection nor sent bytes that nobody asked for.
bool isQuiet(tcp::socket&);

// True when bytes of the peer are still to be read.
bool hasBytes(tcp::socket&);

// True while the peer has not closed the connection, or bytes that it sent before are still to be read.
bool isOpen(tcp::socket&);

} // namespace jacinthspindle::router
