// Fault injection tests of table replication. They guard against replicas that adopt an older, incomplete or corrupted
// table, and against changes that do not reach every replica.

#include "support/ReplicaCluster.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::MessageFault;
using test::ReplicaCluster;

namespace {

const std::vector<std::string> threeHosts { "n1", "n2", "s1" };
// Only two of n1 to n4 are pollers, so that the other two receive changes from peers only.
const std::vector<std::string> fiveHosts { "n1", "n2", "n3", "n4", "s1" };

std::string firstViolation(const ReplicaCluster& cluster)
{
    return cluster.violations.empty() ? "none" : cluster.violations.front();
}

// Returns the latest change with a modified cell and the original digest.
TableDelta corruptedChange(const ReplicaCluster& cluster)
{
    auto change = cluster.history.change(cluster.history.revision());
    change.workspaces.front().weight += 1000;
    return change;
}

// Sends a corrupted change to a replica that is at the preceding revision.
bool rejectsCorruptedChange(ReplicaFault fault)
{
    ReplicaCluster cluster(threeHosts, fault);
    cluster.run(3s);
    cluster.reachesPlatform = [](const auto&) { return false; };
    cluster.history.commitWeight();
    cluster.input("n1",
        PeerReceived { HostId("n2"), 1, TablePush { std::make_shared<const TableDelta>(corruptedChange(cluster)) } });
    return cluster.violations.empty() && cluster.at("n1").rejected() == 1;
}

// Sends a change and a snapshot of an older revision, as a peer with an outdated table does.
bool rejectsOlderTable(ReplicaFault fault)
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
    return cluster.violations.empty() && cluster.isCurrent("n1");
}

// Sends a snapshot with the digests of the accepted table and one modified row.
bool rejectsCorruptedSnapshot(ReplicaFault fault)
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
    return cluster.violations.empty() && !cluster.at("n1").table();
}

// Starts a replica while the platform is down, so that it requests a snapshot in chunks from its peers, and injects a
// fault into one message.
bool receivesSnapshotFromPeers(ReplicaFault fault, MessageFault kind, uint64_t message)
{
    ReplicaCluster cluster(threeHosts, fault, 700);
    cluster.run(4s);
    for (uint32_t i = 0; i < 2 * ReplicaCluster::maxStoredChanges; ++i)
        cluster.history.commitWeight();
    cluster.run(4s);
    cluster.reachesPlatform = [](const auto&) { return false; };
    cluster.crash("n1");
    cluster.start("n1");
    cluster.net.setFault(cluster.net.count() + message, kind);
    cluster.run(10s);
    return cluster.violations.empty() && cluster.isCurrent("n1");
}

} // namespace

TEST_CASE("a change reaches all replicas within 3 s if any two messages are lost, delayed or duplicated")
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
                CHECK_MESSAGE(cluster.violations.empty(), firstViolation(cluster));
            }
        }
    }
}

TEST_CASE("a replica rejects an older change or snapshot")
{
    CHECK(rejectsOlderTable(ReplicaFault::None));
    CHECK_FALSE_MESSAGE(rejectsOlderTable(ReplicaFault::AdoptOlder), "injected defect was not detected");
}

TEST_CASE("a change with a wrong digest is rejected and counted")
{
    CHECK(rejectsCorruptedChange(ReplicaFault::None));
    CHECK_FALSE_MESSAGE(rejectsCorruptedChange(ReplicaFault::AcceptWrongDigest), "injected defect was not detected");
}

TEST_CASE("a snapshot whose rows do not match the content digest reported by another member is rejected")
{
    CHECK(rejectsCorruptedSnapshot(ReplicaFault::None));
    CHECK_FALSE_MESSAGE(rejectsCorruptedSnapshot(ReplicaFault::AcceptWrongContent), "injected defect was not detected");
}

TEST_CASE("a replica that starts while the platform is down receives a complete snapshot from its peers")
{
    for (auto kind : { MessageFault::None, MessageFault::Lost, MessageFault::Late, MessageFault::Doubled }) {
        for (uint64_t message = 0; message < 8; ++message) {
            CAPTURE(static_cast<int>(kind));
            CAPTURE(message);
            CHECK(receivesSnapshotFromPeers(ReplicaFault::None, kind, message));
        }
    }
    CHECK_FALSE_MESSAGE(receivesSnapshotFromPeers(ReplicaFault::AdoptPartialSnapshot, MessageFault::None, 0),
        "injected defect was not detected");
}

TEST_CASE("a snapshot transfer continues with another peer if its sender crashes between any two chunks")
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
        CHECK_MESSAGE(cluster.violations.empty(), firstViolation(cluster));
    }
}

TEST_CASE("a replica in a partitioned data centre keeps its table, reports its age and catches up after the partition")
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
    CHECK_MESSAGE(cluster.violations.empty(), firstViolation(cluster));
}

TEST_CASE("other replicas poll if both pollers have crashed or cannot reach the platform")
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

TEST_CASE("no change is lost if the platform is slow or intermittently unreachable")
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
    CHECK_MESSAGE(cluster.violations.empty(), firstViolation(cluster));
}

TEST_CASE("an older head read from the platform is rejected")
{
    ReplicaCluster cluster(threeHosts);
    cluster.history.commitWeight();
    cluster.run(3s);
    cluster.input("n1", HeadSeen { 1, cluster.history.at(1).digest });
    CHECK(cluster.isCurrent("n1"));
    CHECK(cluster.at("n1").rejected() == 1);
}
