// Tests of the peer codec: unauthentic, replayed, malformed, oversized and hostile messages are refused with a numbered
// reason, and no two bodies share an encoding.

#include "support/SampleTable.h"

#include <doctest/doctest.h>
#include <random>
#include <spindleadapters/spindleadapters.h>
#include <spindlecore/internal/Digest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const std::string key = "peer-key";

std::vector<PeerBody> sampleBodies()
{
    MemberUpdate update { HostId("entry-2"), 7, 1, MemberState::Suspect, DataCentreId("north"), "127.0.0.1:2" };
    TableStatus status { { 3, 4, 5 }, 250ms };
    auto table = test::sampleTable();
    auto delta = std::make_shared<TableDelta>(diffTables(Table {}, table));
    delta->digest = deltaDigest(*delta);
    return { Ping { 1, status, { update }, HostId("entry-1") }, Ack { 1, status, { update }, std::nullopt },
        PingRequest { 2, HostId("entry-3"), "127.0.0.1:3", { update } }, TablePush { delta }, TableRequest { 3, 4, 5 },
        TableSnapshot { 3, "digest", 4, 0, 1, table.workspaces, table.routes, table.endpoints },
        LimitReport { LimitLevel::DataCentre, 1, 2, true, false, { { WorkspaceId("school"), 5, 6, 1 } } },
        LimitGrant { LimitLevel::Daemon, 1, 2, 2000ms, { { WorkspaceId("school"), 7 } } },
        ActionQuery { "action/school/k", "attempt-1", 2, 3 },
        ActionVerdict { "action/school/k", "attempt-1", 2, PeerActionState::Abandoned } };
}

PeerMessage message(uint64_t sequence, PeerBody body = TableRequest { 1, 0, 0 }, uint64_t incarnation = 5)
{
    return { peerFormatVersion, HostId("entry-1"), incarnation, sequence, 9, HostId("entry-2"), std::move(body) };
}

std::string encoded(const PeerMessage& value)
{
    return PeerCodec(HostId("entry-1"), key).encode(value);
}

// Bytes with a valid authentication code, as a faulty daemon that holds the key could send them.
std::string authentic(const std::string& content)
{
    return internal::messageAuthenticationCode(key, content) + content;
}

} // namespace

TEST_CASE("each body is read back as the same bytes")
{
    PeerCodec receiver(HostId("entry-2"), key);
    uint64_t sequence = 0;
    for (const auto& body : sampleBodies()) {
        auto bytes = encoded(message(++sequence, body));
        auto result = receiver.decode(bytes);
        REQUIRE_MESSAGE(result, receiver.lastReason().text);
        CHECK(result->body.index() == body.index());
        CHECK(encoded(*result) == bytes);
    }
}

TEST_CASE("every truncation and every changed byte is refused")
{
    auto bytes = encoded(message(1, sampleBodies().front()));
    PeerCodec receiver(HostId("entry-2"), key);
    for (size_t n = 0; n < bytes.size(); ++n) {
        CAPTURE(n);
        CHECK_FALSE(receiver.decode(std::string_view(bytes).substr(0, n)));
        auto changed = bytes;
        changed[n] = static_cast<char>(changed[n] ^ 1);
        CHECK_FALSE(receiver.decode(changed));
        CHECK(receiver.lastReason().code == ResultCode::PeerMessageUnauthentic);
    }
    CHECK(receiver.decode(bytes));
}

TEST_CASE("a wrong or empty key, another receiver and the own name as sender are refused")
{
    auto bytes = encoded(message(1));
    CHECK_FALSE(PeerCodec(HostId("entry-2"), "other").decode(bytes));
    PeerCodec empty(HostId("entry-2"), "");
    CHECK_FALSE(empty.decode(PeerCodec(HostId("entry-1"), "").encode(message(1))));
    CHECK(empty.lastReason().code == ResultCode::PeerMessageUnauthentic);
    CHECK_FALSE(PeerCodec(HostId("entry-3"), key).decode(bytes));
    CHECK_FALSE(PeerCodec(HostId("entry-1"), key).decode(bytes));
    auto toAnyone = message(2);
    toAnyone.receiver = HostId();
    CHECK_FALSE(PeerCodec(HostId("entry-2"), key).decode(encoded(toAnyone)));
    toAnyone.body = Ping {};
    CHECK(PeerCodec(HostId("entry-2"), key).decode(encoded(toAnyone)));
}

TEST_CASE("a replayed message is refused, a late one within the window is taken once")
{
    PeerCodec receiver(HostId("entry-2"), key);
    CHECK(receiver.decode(encoded(message(100))));
    CHECK_FALSE(receiver.decode(encoded(message(100))));
    CHECK(receiver.lastReason().code == ResultCode::PeerMessageUnauthentic);
    CHECK(receiver.decode(encoded(message(37))));
    CHECK_FALSE(receiver.decode(encoded(message(37))));
    CHECK_FALSE(receiver.decode(encoded(message(36))));
    CHECK(receiver.decode(encoded(message(1000))));
    CHECK_FALSE(receiver.decode(encoded(message(100))));
}

TEST_CASE("messages of an older incarnation are refused once a newer one was heard")
{
    PeerCodec receiver(HostId("entry-2"), key);
    CHECK(receiver.decode(encoded(message(50, Ping {}, 5))));
    CHECK(receiver.decode(encoded(message(1, Ping {}, 6))));
    CHECK_FALSE(receiver.decode(encoded(message(51, Ping {}, 5))));
    CHECK(receiver.decode(encoded(message(2, Ping {}, 6))));
}

TEST_CASE("oversized, hostile and unknown content is refused although its code is right")
{
    PeerCodec receiver(HostId("entry-2"), key);
    auto other = message(1);
    other.format = peerFormatVersion + 1;
    const std::string contents[] = { std::string(maxPeerMessageBytes, 'x'), std::string("\xdd\xff\xff\xff\xff", 5),
        std::string("\xc6\xff\xff\xff\xff", 5), std::string(10000, '\x91'), std::string("\x97\x01", 2), "\xc0",
        encoded(message(1)).substr(16) + "x", encoded(other).substr(16) };
    for (const auto& it : contents) {
        CAPTURE(it.size());
        CHECK_FALSE(receiver.decode(authentic(it)));
        CHECK(receiver.lastReason().code == ResultCode::PeerMessageMalformed);
    }
}

TEST_CASE("random changes of authentic content never pass as another message and never crash")
{
    std::mt19937_64 random(1);
    auto bodies = sampleBodies();
    for (int i = 0; i < 20000; ++i) {
        auto content = encoded(message(1, bodies[random() % bodies.size()])).substr(16);
        for (int n = 0; n < 3; ++n)
            content[random() % content.size()] = static_cast<char>(random());
        PeerCodec receiver(HostId("entry-2"), key);
        auto result = receiver.decode(authentic(content));
        if (!result)
            CHECK(receiver.lastReason().code != ResultCode::Ok);
    }
}

TEST_CASE("the trace codec keeps the inputs and outputs of the peer machines")
{
    Reason reason;
    for (const auto& body : sampleBodies()) {
        auto received = PeerReceived { HostId("entry-1"), 2, body };
        auto membership = encodeMembershipInput(received);
        auto replica = encodeReplicaInput(received);
        auto limits = encodeLimitOutput(SendToPeer { HostId("entry-1"), "127.0.0.1:1", body });
        auto first = decodeMembershipInput(membership, reason);
        auto second = decodeReplicaInput(replica, reason);
        auto third = decodeLimitOutput(limits, reason);
        REQUIRE_MESSAGE((first && second && third), reason.text);
        CHECK(encodeMembershipInput(*first) == membership);
        CHECK(encodeReplicaInput(*second) == replica);
        CHECK(encodeLimitOutput(*third) == limits);
        CHECK_FALSE(decodeMembershipInput(membership + "x", reason));
        CHECK(reason.code == ResultCode::TraceMalformed);
    }
    auto adopted = encodeReplicaOutput(Adopted { std::make_shared<const Table>(test::sampleTable()) });
    auto output = decodeReplicaOutput(adopted, reason);
    REQUIRE_MESSAGE(output, reason.text);
    CHECK(*std::get<Adopted>(*output).table == test::sampleTable());
}
