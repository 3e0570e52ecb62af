// Failure tests of the table's adoption and spreading: each case guards against a table that goes back, is adopted in
// part or with other rows than accepted, or does not arrive.

#include "support/ReplicaCluster.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::MessageFault;
using test::ReplicaCluster;

namespace {

const std::vector<std::string> threeHosts { "n1", "n2", "s1" };
// n1 to n4 with two pollers among them, so that changes reach the others by peers only.
const std::vector<std::string> fiveHosts { "n1", "n2", "n3", "n4", "s1" };

std::string firstBroken(const ReplicaCluster& cluster)
{
    return cluster.broken.empty() ? "none" : cluster.broken.front();
}

TableDelta damagedChange(const ReplicaCluster& cluster)
{
    auto change = cluster.history.change(cluster.history.revision());
    change.workspaces.front().weight += 1000;
    return change;
}

// A change whose cell was damaged on the way, sent to a replica that waits for it.
bool refusesDamagedChange(ReplicaFault fault)
{
    ReplicaCluster cluster(threeHosts, fault);
    cluster.run(3s);
    cluster.reachesPlatform = [](const auto&) { return false; };
    cluster.history.commitWeight();
    cluster.input("n1",
        PeerReceived { HostId("n2"), 1, TablePush { std::make_shared<const TableDelta>(damagedChange(cluster)) } });
    return cluster.broken.empty() && cluster.at("n1").rejected() == 1;
}

// A daemon that returns with an older table pushes its change and offers its snapshot.
bool refusesOlder(ReplicaFault fault)
{
    ReplicaCluster cluster(threeHosts, fault);
    cluster.run(3s);
    for (int i = 0; i < 3; ++i)
        cluster.history.commitWeight();
    cluster.run(5s);
    auto older = std::make_shared<const TableDelta>(cluster.history.change(2));
    cluster.input("n1", PeerReceived { HostId("n2"), 1, TablePush { older } });
    const auto& table = cluster.history.at(2);
    TableSnapshot snapshot { 2, table.digest, tableContentDigest(table), 0, 1, table.workspaces, table.routes,
        table.endpoints };
    cluster.input("n1", PeerReceived { HostId("n2"), 1, snapshot });
    return cluster.broken.empty() && cluster.isCurrent("n1");
}

// A peer offers a snapshot with the accepted digest and one damaged row.
bool refusesDamagedSnapshot(ReplicaFault fault)
{
    ReplicaCluster cluster(threeHosts, fault);
    cluster.run(3s);
    cluster.reachesPlatform = [](const auto&) { return false; };
    cluster.crash("n1");
    cluster.start("n1");
    auto table = cluster.history.latest();
    auto head = headOf(table, tableContentDigest(table));
    cluster.input("n1", PeerTableSeen { HostId("s1"), { head, 0ms } });
    table.workspaces.front().weight += 5;
    TableSnapshot snapshot { head.revision, table.digest, head.content, 0, 1, table.workspaces, table.routes,
        table.endpoints };
    cluster.input("n1", PeerReceived { HostId("n2"), 1, snapshot });
    return cluster.broken.empty() && !cluster.at("n1").table();
}

// A daemon starts while the platform is down and gets the snapshot in chunks, with one fault in each message in turn.
bool startsFromPeers(ReplicaFault fault, MessageFault kind, uint64_t message)
{
    ReplicaCluster cluster(threeHosts, fault, 700);
    cluster.run(4s);
    for (uint32_t i = 0; i < 2 * ReplicaCluster::keptChanges; ++i)
        cluster.history.commitWeight();
    cluster.run(4s);
    cluster.reachesPlatform = [](const auto&) { return false; };
    cluster.crash("n1");
    cluster.start("n1");
    cluster.net.setFault(cluster.net.count() + message, kind);
    cluster.run(10s);
    return cluster.broken.empty() && cluster.isCurrent("n1");
}

} // namespace

TEST_CASE("a change reaches all replicas within 3 s, whichever two messages are lost, late or doubled")
{
    for (auto kind : { MessageFault::Lost, MessageFault::Late, MessageFault::Doubled }) {
        for (uint64_t first = 0; first < 10; ++first) {
            for (uint64_t second = first; second < 10; ++second) {
                CAPTURE(static_cast<int>(kind));
                CAPTURE(first);
                CAPTURE(second);
                ReplicaCluster cluster(fiveHosts);
                cluster.run(3s);
                REQUIRE(cluster.allCurrent());
                cluster.net.setFault(cluster.net.count() + first, kind);
                cluster.net.setFault(cluster.net.count() + second, MessageFault::Lost);
                for (int i = 0; i < 3; ++i)
                    cluster.history.commitWeight();
                cluster.run(3s);
                CHECK(cluster.allCurrent());
                CHECK_MESSAGE(cluster.broken.empty(), firstBroken(cluster));
            }
        }
    }
}

TEST_CASE("a replica never goes back to an older table")
{
    CHECK(refusesOlder(ReplicaFault::None));
    CHECK_FALSE_MESSAGE(refusesOlder(ReplicaFault::AdoptOlder), "planted fault was not caught");
}

TEST_CASE("a change with a wrong digest is refused and counted")
{
    CHECK(refusesDamagedChange(ReplicaFault::None));
    CHECK_FALSE_MESSAGE(refusesDamagedChange(ReplicaFault::AcceptWrongDigest), "planted fault was not caught");
}

TEST_CASE("a snapshot whose rows differ from what other members vouch for is refused")
{
    CHECK(refusesDamagedSnapshot(ReplicaFault::None));
    CHECK_FALSE_MESSAGE(refusesDamagedSnapshot(ReplicaFault::AcceptWrongContent), "planted fault was not caught");
}

TEST_CASE("a daemon that starts while the platform is down gets the whole snapshot from its peers")
{
    for (auto kind : { MessageFault::None, MessageFault::Lost, MessageFault::Late, MessageFault::Doubled }) {
        for (uint64_t message = 0; message < 8; ++message) {
            CAPTURE(static_cast<int>(kind));
            CAPTURE(message);
            CHECK(startsFromPeers(ReplicaFault::None, kind, message));
        }
    }
    CHECK_FALSE_MESSAGE(
        startsFromPeers(ReplicaFault::AdoptPartialSnapshot, MessageFault::None, 0), "planted fault was not caught");
}

TEST_CASE("the holder of a snapshot dies between any two chunks and another one serves it")
{
    for (auto wait = 10ms; wait < 400ms; wait += 10ms) {
        CAPTURE(wait.count());
        ReplicaCluster cluster(threeHosts, ReplicaFault::None, 700);
        cluster.run(4s);
        cluster.reachesPlatform = [](const auto&) { return false; };
        cluster.crash("n1");
        cluster.start("n1");
        cluster.run(500ms + wait);
        cluster.crash("n2");
        cluster.run(10s);
        CHECK(cluster.isCurrent("n1"));
        CHECK_MESSAGE(cluster.broken.empty(), firstBroken(cluster));
    }
}

TEST_CASE("the table of a partitioned data centre stays in force, its age shows, and it catches up after healing")
{
    ReplicaCluster cluster(fiveHosts);
    cluster.run(3s);
    cluster.net.cut([](const auto& from, const auto& to) { return (from == "s1") != (to == "s1"); });
    cluster.reachesPlatform = [](const auto& host) { return host != "s1"; };
    cluster.history.commitWeight();
    cluster.run(60s);
    CHECK(cluster.at("s1").head().revision == 1);
    CHECK(cluster.at("s1").age(cluster.now()) > 59s);
    CHECK(cluster.at("n3").age(cluster.now()) < 3s);
    cluster.net.heal();
    cluster.run(2s);
    CHECK(cluster.allCurrent());
    CHECK(cluster.at("s1").age(cluster.now()) < 3s);
    CHECK_MESSAGE(cluster.broken.empty(), firstBroken(cluster));
}

TEST_CASE("when both pollers are dead or cut off, the others poll")
{
    for (bool isDead : { true, false }) {
        ReplicaCluster cluster({ "n1", "n2", "n3", "n4" });
        cluster.run(3s);
        std::set<std::string> pollers;
        for (const char* name : { "n1", "n2", "n3", "n4" }) {
            if (cluster.at(name).isPoller())
                pollers.insert(name);
        }
        REQUIRE(pollers.size() == 2);
        if (isDead) {
            for (const auto& it : pollers)
                cluster.crash(it);
        } else
            cluster.reachesPlatform = [&](const auto& host) { return !pollers.contains(host); };
        cluster.run(1s);
        cluster.history.commitWeight();
        cluster.run(isDead ? 3s : 18s);
        CHECK(cluster.allCurrent());
    }
}

TEST_CASE("a slow or flapping platform delays changes but loses none")
{
    ReplicaCluster cluster(fiveHosts);
    cluster.platformDelay = 3000ms;
    bool isUp = true;
    cluster.reachesPlatform = [&](const auto&) { return isUp; };
    for (int i = 0; i < 20; ++i) {
        isUp = i % 2;
        cluster.history.commitWeight();
        cluster.run(1s);
    }
    isUp = true;
    cluster.run(20s);
    CHECK(cluster.allCurrent());
    CHECK_MESSAGE(cluster.broken.empty(), firstBroken(cluster));
}

TEST_CASE("a platform that shows an older head does not take the table back")
{
    ReplicaCluster cluster(threeHosts);
    cluster.history.commitWeight();
    cluster.run(3s);
    cluster.input("n1", HeadSeen { 1, cluster.history.at(1).digest });
    CHECK(cluster.isCurrent("n1"));
    CHECK(cluster.at("n1").rejected() == 1);
}
