// Tests of the membership protocol under message faults, crashes, pauses, restarts and partitions, with clusters of
// two or three simulated daemons. Message faults are selected by message number.

#include "support/PeerNet.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::MessageFault;

namespace {

const DataCentreId north("north");

MembershipConfig configOf(const std::string& name, uint64_t incarnation)
{
    MembershipConfig config;
    config.self = HostId(name);
    config.incarnation = incarnation;
    config.dataCentre = north;
    config.address = name;
    config.contacts = { "a", "b" };
    config.seed = incarnation + static_cast<uint64_t>(name.front());
    return config;
}

// Simulated daemons named a, b, c and so on. The address of a daemon equals its name.
class Cluster {
public:
    explicit Cluster(size_t n, MembershipFault fault = MembershipFault::None)
        : m_fault(fault)
    {
        for (size_t i = 0; i < n; ++i)
            start(std::string(1, static_cast<char>('a' + i)), 1);
    }

    void start(const std::string& name, uint64_t incarnation)
    {
        m_running.insert_or_assign(name, Membership(configOf(name, incarnation), m_fault));
        m_incarnations[name] = incarnation;
    }
    void crash(const std::string& name) { m_running.erase(name); }
    void pause(const std::string& name) { m_paused.insert(name); }
    void resume(const std::string& name) { m_paused.erase(name); }
    Membership& at(const std::string& name) { return m_running.at(name); }

    void input(const std::string& name, const MembershipInput& value)
    {
        std::vector<MembershipOutput> out;
        at(name).apply(m_clock.now(), value, out);
        handle(name, out);
    }

    void run(std::chrono::milliseconds span)
    {
        for (auto end = m_clock.now() + span; m_clock.now() < end; m_clock.advance(step)) {
            for (auto& it : m_net.takeDue(m_clock.now()))
                deliverMessage(it);
            if ((++m_steps) % 10)
                continue;
            for (auto& [name, membership] : m_running) {
                if (!m_paused.contains(name))
                    input(name, MembershipTick {});
            }
        }
    }

    // Returns the state of `about` in the member list of `of`, or nullopt when `of` doesn't list it.
    std::optional<MemberState> stateInView(const std::string& of, const std::string& about)
    {
        const auto* it = at(of).find(HostId(about));
        return it ? std::optional(it->state) : std::nullopt;
    }
    bool allViewsAre(MemberState state)
    {
        for (const auto& [of, x] : m_running) {
            for (const auto& [about, y] : m_running) {
                if (of != about && stateInView(of, about) != state)
                    return false;
            }
        }
        return true;
    }
    test::PeerNet& net() { return m_net; }
    size_t supersededCount(const std::string& name) { return m_supersededCounts[name]; }

private:
    static constexpr std::chrono::milliseconds step { 10 };

    void deliverMessage(const test::PeerNet::Message& message)
    {
        if (!m_running.contains(message.to))
            return;
        if (m_paused.contains(message.to))
            m_heldMessages[message.to].push_back(message);
        else {
            for (auto& it : std::exchange(m_heldMessages[message.to], {}))
                input(message.to, it.received);
            input(message.to, message.received);
        }
    }

    void handle(const std::string& name, const std::vector<MembershipOutput>& out)
    {
        for (const auto& it : out) {
            if (const auto* send = std::get_if<SendToPeer>(&it))
                m_net.send(m_clock.now(), HostId(name), m_incarnations[name], *send);
            m_supersededCounts[name] += std::get_if<SelfSuperseded>(&it) != nullptr;
        }
    }

    MembershipFault m_fault;
    ManualClock m_clock;
    test::PeerNet m_net;
    uint64_t m_steps = 0;
    std::map<std::string, Membership> m_running;
    std::map<std::string, uint64_t> m_incarnations;
    std::map<std::string, size_t> m_supersededCounts;
    std::set<std::string> m_paused;
    std::map<std::string, std::vector<test::PeerNet::Message>> m_heldMessages;
};

// Returns whether two daemons see each other as alive within 20 s for each pair of faults in the first messages: the
// first message of a pair is lost, delayed or duplicated, the second one is lost.
bool convergesDespiteMessageFaults(MembershipFault fault, uint64_t messages)
{
    const MessageFault kinds[] = { MessageFault::Lost, MessageFault::Late, MessageFault::Doubled };
    for (uint64_t first = 0; first < messages; ++first) {
        for (uint64_t second = first; second < messages; ++second) {
            for (auto kind : kinds) {
                Cluster cluster(2, fault);
                cluster.net().setFault(first, kind);
                cluster.net().setFault(second, MessageFault::Lost);
                cluster.run(20s);
                if (!cluster.allViewsAre(MemberState::Alive))
                    return false;
            }
        }
    }
    return true;
}

// Returns whether both sides of a partition declare each other dead, and see each other as alive again afterwards.
bool convergesAfterPartition(MembershipFault fault)
{
    Cluster cluster(3, fault);
    cluster.run(5s);
    cluster.net().cut([](const auto& from, const auto& to) { return (from == "c") != (to == "c"); });
    cluster.run(30s);
    if (cluster.stateInView("a", "c") != MemberState::Dead || cluster.stateInView("c", "a") != MemberState::Dead)
        return false;
    cluster.net().heal();
    cluster.run(60s);
    return cluster.allViewsAre(MemberState::Alive);
}

// Returns whether the others adopt the greater incarnation of a daemon that crashed and restarted.
bool adoptsRestartedIncarnation(MembershipFault fault)
{
    Cluster cluster(3, fault);
    cluster.run(5s);
    cluster.crash("c");
    cluster.start("c", 2);
    cluster.run(10s);
    const auto* member = cluster.at("a").find(HostId("c"));
    return member && member->incarnation == 2 && cluster.allViewsAre(MemberState::Alive);
}

// Returns whether a process paused for 5 s suspects nobody when it resumes. The pause starts at different points of the
// probe period.
bool suspectsNobodyAfterPause(MembershipFault fault)
{
    for (auto wait = 0ms; wait < 1000ms; wait += 50ms) {
        Cluster cluster(2, fault);
        cluster.run(5s + wait);
        cluster.pause("a");
        cluster.run(5s);
        cluster.resume("a");
        cluster.run(100ms);
        if (cluster.stateInView("a", "b") != MemberState::Alive)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("members discover each other through one contact although two messages are lost, delayed or duplicated")
{
    CHECK(convergesDespiteMessageFaults(MembershipFault::None, 14));
}

TEST_CASE("a crashed member becomes suspect, then dead, and is removed when the host list no longer contains it")
{
    Cluster cluster(3);
    cluster.run(5s);
    cluster.crash("c");
    cluster.run(4s);
    CHECK(cluster.stateInView("a", "c") == MemberState::Suspect);
    cluster.run(20s);
    CHECK(cluster.stateInView("a", "c") == MemberState::Dead);
    CHECK(cluster.stateInView("b", "c") == MemberState::Dead);
    cluster.run(61s);
    HostEntry listed { HostKind::Entry, "b", north, "b", "", false };
    cluster.input("a", HostListSeen { { listed } });
    cluster.run(1s);
    CHECK_FALSE(cluster.stateInView("a", "c"));
}

TEST_CASE("a member restarted at the same address is adopted with its new incarnation")
{
    CHECK(adoptsRestartedIncarnation(MembershipFault::None));
    CHECK_FALSE_MESSAGE(adoptsRestartedIncarnation(MembershipFault::OldIncarnationWins),
        "the injected protocol fault was not detected");
}

TEST_CASE("both sides of a partition declare each other dead and rejoin after it heals")
{
    CHECK(convergesAfterPartition(MembershipFault::None));
    CHECK_FALSE_MESSAGE(
        convergesAfterPartition(MembershipFault::NoRefutation), "the injected protocol fault was not detected");
    CHECK_FALSE_MESSAGE(
        convergesAfterPartition(MembershipFault::NeverExpireSuspicion), "the injected protocol fault was not detected");
}

TEST_CASE("a paused member suspects no other member when it resumes")
{
    CHECK(suspectsNobodyAfterPause(MembershipFault::None));
    CHECK_FALSE_MESSAGE(
        suspectsNobodyAfterPause(MembershipFault::SuspectAfterPause), "the injected protocol fault was not detected");
}

TEST_CASE("a member that answers only indirect probes is not suspected")
{
    Cluster cluster(3);
    cluster.run(5s);
    cluster.net().cut([](const auto& from, const auto& to) { return from == "a" && to == "c"; });
    cluster.run(30s);
    CHECK(cluster.stateInView("a", "c") == MemberState::Alive);
}

TEST_CASE("a leaving member is listed as leaving by all and remains leaving after refuting a suspicion")
{
    Cluster cluster(3);
    cluster.run(5s);
    cluster.input("c", LeaveStarted {});
    cluster.run(5s);
    CHECK(cluster.stateInView("a", "c") == MemberState::Leaving);
    CHECK(cluster.stateInView("b", "c") == MemberState::Leaving);
    cluster.pause("c");
    cluster.run(5s);
    cluster.resume("c");
    cluster.run(10s);
    CHECK(cluster.stateInView("a", "c") == MemberState::Leaving);
}

TEST_CASE("a process with an older incarnation is told that it is superseded and does not replace the newer one")
{
    Cluster cluster(3);
    cluster.run(5s);
    MemberUpdate newer { HostId("c"), 9, 0, MemberState::Alive, north, "c2" };
    cluster.input("a", PeerReceived { HostId("b"), 1, Ping { 99, {}, { newer }, {} } });
    cluster.run(10s);
    CHECK(cluster.supersededCount("c") > 0);
    REQUIRE(cluster.at("b").find(HostId("c")));
    CHECK(cluster.at("b").find(HostId("c"))->incarnation == 9);
}

TEST_CASE("a ping carries at most maxPiggybackedUpdates updates")
{
    Membership membership(configOf("a", 1));
    std::vector<MembershipOutput> out;
    HostListSeen list;
    for (int i = 0; i < 200; ++i)
        list.hosts.push_back({ HostKind::Entry, "h" + std::to_string(i), north, "h", "", false });
    membership.apply(Instant(1s), list, out);
    out.clear();
    for (auto at = 1s; at < 20s; ++at)
        membership.apply(Instant(at), MembershipTick {}, out);
    size_t pings = 0;
    for (const auto& it : out) {
        const auto* send = std::get_if<SendToPeer>(&it);
        const auto* ping = send ? std::get_if<Ping>(&send->body) : nullptr;
        if (!ping)
            continue;
        ++pings;
        CHECK(ping->updates.size() <= maxPiggybackedUpdates);
    }
    CHECK(pings >= 18);
}
