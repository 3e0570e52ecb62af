// Cost of a message over real nng sockets on the loopback interface, with its encoding and authentication.

#include "capacity/Fleet.h"
#include "capacity/Measure.h"
#include "capacity/Slope.h"

#include <chrono>
#include <spindleadapters/spindleadapters.h>
#include <thread>

namespace jacinthspindle::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr uint64_t messagesPerRun = 20000;
    const SystemClock systemClock;

    std::unique_ptr<NngPeerTransport> open(uint32_t maxSockets)
    {
        NngPeerSettings settings;
        settings.listenAddress = "127.0.0.1:0";
        settings.maxSockets = maxSockets;
        Reason reason;
        return NngPeerTransport::open(settings, systemClock, reason);
    }

    // Processor microseconds per message with a number of connected peers, sending and receiving together.
    double costPerMessage(size_t peers, const PeerBody& body)
    {
        auto sender = open(static_cast<uint32_t>(peers));
        std::vector<std::unique_ptr<NngPeerTransport>> receivers(peers);
        for (auto& it : receivers)
            it = open(4);
        PeerCodec out(HostId("entry-1"), "capacity");
        PeerCodec in(HostId("entry-2"), "capacity");
        uint64_t sequence = 0;
        auto exchange = [&](NngPeerTransport& to) {
            PeerMessage message { peerFormatVersion, HostId("entry-1"), 1, ++sequence, sequence, HostId("entry-2"),
                body };
            while (!sender->send(to.boundAddress(), out.encode(message)))
                std::this_thread::sleep_for(1ms);
            auto bytes = to.receive(2000ms);
            return bytes && in.decode(*bytes);
        };
        for (auto& it : receivers)
            exchange(*it);
        double from = processorSeconds();
        for (uint64_t i = 0; i < messagesPerRun; ++i)
            exchange(*receivers[i % peers]);
        return (processorSeconds() - from) * 1e6 / static_cast<double>(messagesPerRun);
    }

    // Processor microseconds per message to ever new peers: the connection is opened, used once and closed.
    double costPerConnection(size_t peers)
    {
        auto sender = open(2);
        std::vector<std::unique_ptr<NngPeerTransport>> receivers(peers);
        for (auto& it : receivers)
            it = open(4);
        constexpr uint64_t rounds = 200;
        double from = processorSeconds();
        for (uint64_t i = 0; i < rounds; ++i) {
            auto fresh = open(1);
            auto& to = *receivers[i % peers];
            while (!fresh->send(to.boundAddress(), std::string(200, 'm')))
                std::this_thread::sleep_for(1ms);
            to.receive(2000ms);
        }
        return (processorSeconds() - from) * 1e6 / static_cast<double>(rounds);
    }

} // namespace

void measureTransport()
{
    MemberUpdate update { HostId("entry-1234"), 1764800000000, 0, MemberState::Alive, DataCentreId("region-1-dc-5"),
        "10.1.3.200:7400" };
    Slope byPeers { "nng message by connected peers", "peers", "us", 0, {}, {} };
    for (size_t n : { 4, 8, 16, 32, 64 })
        byPeers.add(static_cast<double>(n), costPerMessage(n, Ping { 1, {}, { update }, std::nullopt }));
    report(byPeers);
    Slope bySize { "nng message by bytes", "bytes", "us", 0, {}, {} };
    for (size_t n : { 1, 4, 16, 64, 256 }) {
        Ack ack { 1, {}, std::vector<MemberUpdate>(n, update), std::nullopt };
        bySize.add(60.0 * static_cast<double>(n), costPerMessage(4, ack));
    }
    report(bySize);
    Slope fresh { "nng connection, opened for one message", "peers", "us", 0, {}, {} };
    for (size_t n : { 2, 4, 8, 16, 32 })
        fresh.add(static_cast<double>(n), costPerConnection(n));
    report(fresh);
}

} // namespace jacinthspindle::bench
