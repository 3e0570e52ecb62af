// Failure tests of the limit shares: each case guards against a limit that is passed by more, or for longer, than
// docs/design.md section 7 states, or against a share that is not lent.

#include "support/LimitCluster.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::LimitCluster;
using test::MessageFault;

namespace {

const std::vector<std::string> fourHosts { "n1", "n2", "n3", "n4" };
constexpr uint32_t guaranteed = wholeShare / 4;
constexpr uint32_t standingShare = guaranteed / 4;

// A daemon other than the coordinator.
std::string findNonCoordinator(const LimitCluster& cluster, const std::string& second = {})
{
    for (const auto& it : fourHosts) {
        if (it != cluster.coordinator() && it != second)
            return it;
    }
    return {};
}

struct Excess {
    uint64_t overshoot = 0;
    std::chrono::milliseconds time {};
};

// One daemon is cut off while its share is lent to another, and then wants its share. The others take it for reachable
// all the time, as the worst case.
Excess cutOff(LimitFault fault)
{
    LimitCluster cluster(fourHosts, fault);
    auto hot = findNonCoordinator(cluster);
    auto cut = findNonCoordinator(cluster, hot);
    cluster.setDemand(hot, wholeShare);
    cluster.run(10s);
    REQUIRE(cluster.overshoot == 0);
    cluster.net.cut([=](const auto& from, const auto& to) { return from == cut || to == cut; });
    cluster.setDemand(cut, wholeShare);
    cluster.run(20s);
    return { cluster.overshoot, cluster.overTime };
}

// The holder of nearly the whole limit is cut off while the other daemons begin to want it.
Excess cutOffHolder(LimitFault fault)
{
    LimitCluster cluster(fourHosts, fault);
    auto hot = findNonCoordinator(cluster);
    cluster.setDemand(hot, wholeShare);
    cluster.run(10s);
    cluster.net.cut([=](const auto& from, const auto& to) { return from == hot || to == hot; });
    for (const auto& it : fourHosts)
        cluster.setDemand(it, wholeShare);
    cluster.run(20s);
    return { cluster.overshoot, cluster.overTime };
}

// The demand moves from one daemon to another while one message suffers a fault and another one is lost.
Excess moveDemand(LimitFault fault, MessageFault kind, uint64_t message, uint64_t lost)
{
    LimitCluster cluster(fourHosts, fault);
    auto first = findNonCoordinator(cluster);
    auto second = findNonCoordinator(cluster, first);
    cluster.setDemand(first, wholeShare);
    cluster.run(10s);
    cluster.setDemand(second, wholeShare);
    cluster.net.setFault(cluster.net.count() + lost, MessageFault::Lost);
    cluster.net.setFault(cluster.net.count() + message, kind);
    cluster.run(6s);
    return { cluster.overshoot, cluster.overTime };
}

// The coordinator dies while nearly all is lent; the next one knows of no lease. detection is the time until the others
// see the death.
Excess killCoordinator(LimitFault fault, std::chrono::milliseconds detection)
{
    LimitCluster cluster(fourHosts, fault);
    auto coordinator = cluster.coordinator();
    auto hot = findNonCoordinator(cluster);
    cluster.setDemand(hot, wholeShare);
    cluster.run(10s);
    cluster.crash(coordinator);
    cluster.run(detection);
    cluster.setReachable(coordinator, false);
    for (const auto& it : fourHosts)
        cluster.setDemand(it, wholeShare);
    cluster.run(15s);
    return { cluster.overshoot, cluster.overTime };
}

} // namespace

TEST_CASE("unused share is lent to the daemon that wants it, and returns within two leases")
{
    LimitCluster cluster(fourHosts);
    cluster.setDemand("n1", wholeShare);
    cluster.run(10s);
    CHECK(cluster.share("n1") >= wholeShare - 3 * standingShare - 3);
    cluster.setDemand("n2", wholeShare);
    cluster.run(4s);
    CHECK(cluster.share("n2") >= guaranteed);
    CHECK(cluster.share("n1") >= guaranteed);
    CHECK(cluster.overshoot == 0);
}

TEST_CASE("a sudden demand gets unused share within 50 ms")
{
    LimitCluster cluster(fourHosts);
    cluster.run(10s);
    cluster.setDemand("n1", guaranteed);
    cluster.run(150ms);
    CHECK(cluster.share("n1") >= guaranteed);
}

TEST_CASE("a data centre without demand lends to the others")
{
    LimitCluster cluster({ "n1", "n2", "s1", "s2" });
    cluster.setDemand("s1", wholeShare);
    cluster.run(15s);
    CHECK(cluster.share("s1") >= wholeShare / 2 + guaranteed);
    cluster.setDemand("n1", wholeShare);
    cluster.run(10s);
    CHECK(cluster.share("n1") >= guaranteed);
    CHECK(cluster.overshoot == 0);
}

TEST_CASE("a daemon that is cut off passes the limit by its guaranteed share at most, for 2 s at most")
{
    auto excess = cutOff(LimitFault::None);
    // Its standing share was never lent.
    CHECK(excess.overshoot <= guaranteed - standingShare);
    CHECK(excess.time <= 2s);
    auto planted = cutOff(LimitFault::LendUnreachable);
    CHECK_MESSAGE(planted.time > 2s, "planted fault was not caught");
}

TEST_CASE("the lease of a daemon that is cut off ends after 2 s")
{
    CHECK(cutOffHolder(LimitFault::None).overshoot <= guaranteed);
    CHECK_MESSAGE(cutOffHolder(LimitFault::KeepExpiredLease).overshoot > guaranteed, "planted fault was not caught");
}

TEST_CASE("a share is lent again only when its holder has returned it, whichever two messages are lost or late")
{
    uint64_t planted = 0;
    for (auto kind : { MessageFault::Lost, MessageFault::Late, MessageFault::Doubled }) {
        for (uint64_t message = 0; message < 20; ++message) {
            for (uint64_t lost = message; lost < 20; ++lost) {
                CAPTURE(static_cast<int>(kind));
                CAPTURE(message);
                CAPTURE(lost);
                CHECK(moveDemand(LimitFault::None, kind, message, lost).overshoot == 0);
            }
            planted += moveDemand(LimitFault::LendBeforeReturned, kind, message, message).overshoot;
        }
    }
    CHECK_MESSAGE(planted > 0, "planted fault was not caught");
}

TEST_CASE("a new coordinator does not lend what its predecessor has lent")
{
    uint64_t planted = 0;
    for (auto detection = 0ms; detection <= 6000ms; detection += 200ms) {
        CAPTURE(detection.count());
        auto excess = killCoordinator(LimitFault::None, detection);
        CHECK(excess.overshoot <= guaranteed);
        CHECK(excess.time <= 2s);
        planted = std::max(planted, killCoordinator(LimitFault::NoWarmUp, detection).overshoot);
    }
    CHECK_MESSAGE(planted > guaranteed, "planted fault was not caught");
}

TEST_CASE("a daemon that joins passes the limit by its standing share at most until all know it")
{
    LimitCluster cluster(fourHosts);
    for (const auto& it : fourHosts)
        cluster.setDemand(it, wholeShare);
    cluster.run(10s);
    cluster.start("n5");
    cluster.setDemand("n5", wholeShare);
    cluster.run(10s);
    CHECK(cluster.overshoot <= wholeShare / 5 / 4);
    CHECK(cluster.overTime <= 2s);
    CHECK(cluster.share("n5") >= wholeShare / 5 - 5);
}

TEST_CASE("a data centre that is cut off keeps its guaranteed share and shares it within")
{
    LimitCluster cluster({ "n1", "n2", "s1", "s2" });
    cluster.setDemand("s1", wholeShare);
    cluster.run(10s);
    cluster.net.cut([](const auto& from, const auto& to) { return from.front() != to.front(); });
    cluster.setDemand("n1", wholeShare);
    cluster.run(10s);
    cluster.resetOvershoot();
    cluster.run(60s);
    CHECK(cluster.overshoot == 0);
    CHECK(cluster.share("n1") >= wholeShare / 2 - standingShare - 2);
    CHECK(cluster.share("s1") >= wholeShare / 2 - standingShare - 2);
}

TEST_CASE("a restarted daemon starts with its standing share and gets its part again")
{
    LimitCluster cluster(fourHosts);
    auto victim = findNonCoordinator(cluster);
    for (const auto& it : fourHosts)
        cluster.setDemand(it, wholeShare);
    cluster.run(10s);
    for (int i = 0; i < 5; ++i) {
        cluster.crash(victim);
        cluster.start(victim);
        cluster.run(700ms);
    }
    cluster.run(5s);
    CHECK(cluster.overshoot <= standingShare);
    CHECK(cluster.share(victim) >= guaranteed - 4);
}

// Guards against a fault that was seen at 220 daemons: 8 of them that restarted at once took themselves for the only
// ones and passed the limit by 73 %.
TEST_CASE("daemons that restart at once use no share of their own before they know the others")
{
    LimitSharesConfig config;
    config.self = HostId("n1");
    config.dataCentre = DataCentreId("n");
    LimitShares shares(config);
    auto table = std::make_shared<Table>();
    table->workspaces = { { WorkspaceId("school"), 1, 100, 0, 0 } };
    std::vector<LimitOutput> out;
    Instant now {};
    shares.apply(now, LimitTick {}, out);
    shares.apply(now, LimitTable { table }, out);
    REQUIRE(out.size() == 1);
    CHECK(std::get<ShareChanged>(out.front()).requestsPerSecond == 0);
    LimitMembers members;
    for (const char* it : { "n2", "n3", "n4" })
        members.members.push_back({ HostId(it), DataCentreId("n"), it, true });
    shares.apply(now + 1s, members, out);
    CHECK(shares.share(now + 1s, WorkspaceId("school")) == 0);
    CHECK_FALSE(shares.hasJoined());
    shares.apply(now + 3s, LimitTick {}, out);
    CHECK(shares.hasJoined());
    CHECK(shares.share(now + 3s, WorkspaceId("school")) == standingShare);
    CHECK(std::get<ShareChanged>(out.back()).requestsPerSecond == doctest::Approx(100.0 * standingShare / wholeShare));
}

TEST_CASE("a daemon that knows nobody counts itself as alone once the others had time to answer")
{
    LimitSharesConfig config;
    config.self = HostId("n1");
    config.dataCentre = DataCentreId("n");
    LimitShares shares(config);
    auto table = std::make_shared<Table>();
    table->workspaces = { { WorkspaceId("school"), 1, 100, 0, 0 } };
    std::vector<LimitOutput> out;
    shares.apply(Instant {}, LimitTick {}, out);
    shares.apply(Instant {}, LimitTable { table }, out);
    shares.apply(Instant {} + 3s, LimitTick {}, out);
    CHECK(shares.share(Instant {} + 3s, WorkspaceId("school")) >= wholeShare / 4);
}

TEST_CASE("the bytes of reports are bounded: workspaces take turns when too many want more than their share")
{
    LimitSharesConfig config;
    config.self = HostId("a");
    config.dataCentre = DataCentreId("n");
    LimitShares shares(config);
    std::vector<LimitOutput> out;
    Table table;
    for (int i = 0; i < 400; ++i)
        table.workspaces.push_back({ WorkspaceId("w" + std::to_string(1000 + i)), 1, 100, 0, 0 });
    shares.apply(Instant(1s), LimitTable { std::make_shared<const Table>(table) }, out);
    shares.apply(Instant(1s), LimitMembers { { { HostId("b"), DataCentreId("n"), "b", true } } }, out);
    std::set<WorkspaceId> reported;
    size_t reports = 0;
    for (auto at = 1000ms; at < 61000ms; at += 100ms) {
        out.clear();
        for (const auto& it : table.workspaces)
            shares.apply(Instant(at), DemandSeen { it.workspace, 100, 0, 0 }, out);
        shares.apply(Instant(at), LimitTick {}, out);
        for (const auto& it : out) {
            const auto* send = std::get_if<SendToPeer>(&it);
            const auto* report = send ? std::get_if<LimitReport>(&send->body) : nullptr;
            if (!report)
                continue;
            ++reports;
            CHECK(report->entries.size() <= config.entriesPerReport);
            for (const auto& entry : report->entries)
                reported.insert(entry.workspace);
        }
    }
    CHECK(reports <= 60 * 3 * config.groups);
    CHECK(reported.size() > 100);
}
