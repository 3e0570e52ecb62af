// Tests of the nng transport on the loopback interface: whole messages, bounded sockets, and sends that never block.
// They wait for events with generous limits; no verdict depends on how fast the machine is.

#include <doctest/doctest.h>
#include <set>
#include <spindleadapters/spindleadapters.h>
#include <thread>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const SystemClock systemClock;

std::unique_ptr<NngPeerTransport> openAny(uint32_t maxSockets = 64, int queue = 64)
{
    NngPeerSettings settings;
    settings.listenAddress = "127.0.0.1:0";
    settings.maxSockets = maxSockets;
    settings.sendQueue = queue;
    settings.minSocketAge = 0ms;
    Reason reason;
    auto result = NngPeerTransport::open(settings, systemClock, reason);
    REQUIRE_MESSAGE(result, reason.text);
    return result;
}

// Sends until the receiver has the message; a full queue or a connection being opened may delay it.
bool reaches(NngPeerTransport& from, NngPeerTransport& to, const std::string& text)
{
    for (int i = 0; i < 300; ++i) {
        from.send(to.boundAddress(), text);
        while (auto bytes = to.receive(100ms)) {
            if (*bytes == text)
                return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("messages of all sizes up to the bound arrive whole")
{
    auto a = openAny();
    auto b = openAny();
    for (size_t size : { size_t(1), size_t(70), size_t(5000), maxPeerMessageBytes - 1 }) {
        CAPTURE(size);
        CHECK(reaches(*a, *b, std::string(size, 'm')));
    }
    CHECK_FALSE(a->send(b->boundAddress(), std::string(maxPeerMessageBytes + 1, 'm')));
    CHECK(b->counters().received >= 4);
}

TEST_CASE("the number of open sockets stays bounded while every peer is reached")
{
    auto a = openAny(3);
    std::vector<std::unique_ptr<NngPeerTransport>> peers(8);
    for (auto& it : peers)
        it = openAny();
    for (int round = 0; round < 2; ++round) {
        for (auto& it : peers) {
            CHECK(reaches(*a, *it, "round " + std::to_string(round)));
            CHECK(a->counters().openSockets <= 3);
        }
    }
    CHECK(a->counters().opened >= 16);
}

TEST_CASE("a send to a host that does not answer fails once its queue is full and never blocks")
{
    auto a = openAny(4, 8);
    // Nothing listens on the port once its owner is gone.
    auto address = openAny()->boundAddress();
    size_t accepted = 0;
    for (int i = 0; i < 100; ++i)
        accepted += a->send(address, "x");
    CHECK(accepted <= 10);
    CHECK(a->counters().sendFailures >= 90);
}

TEST_CASE("a restarted peer is reached again under its old address")
{
    auto a = openAny();
    auto b = openAny();
    CHECK(reaches(*a, *b, "first"));
    NngPeerSettings settings;
    settings.listenAddress = b->boundAddress();
    b.reset();
    Reason reason;
    for (int i = 0; i < 100 && !b; ++i) {
        b = NngPeerTransport::open(settings, systemClock, reason);
        if (!b)
            std::this_thread::sleep_for(50ms);
    }
    REQUIRE_MESSAGE(b, reason.text);
    CHECK(reaches(*a, *b, "second"));
}

TEST_CASE("malformed addresses and occupied ports are refused with a reason")
{
    auto a = openAny();
    CHECK_FALSE(a->send("no address", "x"));
    CHECK_FALSE(a->send("", "x"));
    NngPeerSettings settings;
    settings.listenAddress = a->boundAddress();
    Reason reason;
    CHECK_FALSE(NngPeerTransport::open(settings, systemClock, reason));
    CHECK(reason.code == ResultCode::SettingsInvalid);
}

TEST_CASE("bytes that are no message reach the codec and are refused there")
{
    auto a = openAny();
    auto b = openAny();
    PeerCodec codec(HostId("b"), "key");
    CHECK(reaches(*a, *b, "not a message"));
    CHECK_FALSE(codec.decode("not a message"));
}

TEST_CASE("closing the transport ends a receive in progress")
{
    auto a = openAny();
    std::thread receiver([&] { CHECK_FALSE(a->receive(60s)); });
    a->stop();
    receiver.join();
}
