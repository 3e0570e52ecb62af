// Tests of what the router asks of a socket.

#include "router/Net.h"
#include "support/ScriptedServer.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::router;

namespace {

// Two connected sockets.
struct SocketPair {
    net::io_context io { 1 };
    tcp::socket own { io };
    tcp::socket peer { io };

    SocketPair()
    {
        tcp::acceptor acceptor(io, tcp::endpoint(net::ip::address_v4::loopback(), 0));
        own.connect(acceptor.local_endpoint());
        acceptor.accept(peer);
    }

    void resetByPeer()
    {
        peer.set_option(net::socket_base::linger(true, 0));
        peer.close();
        // Returns as soon as the reset has come, and leaves it to be read.
        pollfd entry { own.native_handle(), 0, 0 };
        ::poll(&entry, 1, 5000);
    }

    ErrorCode readError()
    {
        ErrorCode ec;
        char buf[16];
        while (!ec)
            own.read_some(net::buffer(buf), ec);
        return ec;
    }
};

void ask(tcp::socket& socket)
{
    CHECK_FALSE(isQuiet(socket));
    CHECK_FALSE(hasBytes(socket));
    CHECK_FALSE(isOpen(socket));
}

} // namespace

// MIXED: a reset that a question about the socket had taken was an end in order to the read that followed.
TEST_CASE("questions about a socket leave its reset to the read that follows")
{
    SocketPair sockets;
    SUBCASE("with nothing to read")
    {
        sockets.resetByPeer();
    }
    SUBCASE("behind bytes that were read")
    {
        sockets.peer.send(net::buffer("part", 4));
        char buf[4];
        net::read(sockets.own, net::buffer(buf));
        sockets.resetByPeer();
    }
    ask(sockets.own);
    CHECK(sockets.readError() == net::error::connection_reset);
}

TEST_CASE("a socket tells whether bytes wait, and whether its peer has ended")
{
    SocketPair sockets;
    CHECK(isQuiet(sockets.own));
    CHECK(isOpen(sockets.own));
    CHECK_FALSE(hasBytes(sockets.own));
    sockets.peer.send(net::buffer("part", 4));
    pollfd entry { sockets.own.native_handle(), POLLIN, 0 };
    ::poll(&entry, 1, 5000);
    CHECK(hasBytes(sockets.own));
    CHECK_FALSE(isQuiet(sockets.own));
    sockets.peer.close();
    CHECK_MESSAGE(isOpen(sockets.own), "bytes are still to be read");
    char buf[4];
    net::read(sockets.own, net::buffer(buf));
    ::poll(&entry, 1, 5000);
    ask(sockets.own);
    CHECK(sockets.readError() == net::error::eof);
}
