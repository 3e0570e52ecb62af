// The peer machines of many daemons, driven directly with a manual clock. Messages are encoded, counted and delivered
// in the next step of 10 ms.

#pragma once

#include "capacity/SampleState.h"

#include <array>
#include <random>
#include <spindleadapters/PeerCodec.h>

namespace jacinthspindle::bench {

struct FleetOptions {
    size_t members = 55;
    size_t workspaces = 0; // Workspaces with limits.
    size_t hotWorkspaces = 0; // Those that each daemon wants more of than it has.
    double loss = 0; // Part of the messages that is lost.
    uint64_t seed = 1;
};

enum class MessageKind : uint8_t { Membership, Table, Limits };
constexpr size_t messageKinds = 3;

struct MessageCount {
    uint64_t messages = 0;
    uint64_t bytes = 0;
};

class Fleet {
public:
    explicit Fleet(const FleetOptions&);

    void run(std::chrono::milliseconds);
    // Commits a change at the platform.
    void commit();
    // Gives the newest change to one daemon, as if it had read it before an outage of the platform.
    void giveChangeTo(size_t index);
    void setPlatform(bool isUp) { m_isPlatformUp = isUp; }
    void crash(size_t index) { m_nodes[index].isRunning = false; }
    void restart(size_t index);
    // Cuts off the daemon from all others.
    void setCut(size_t index, bool isCut) { m_nodes[index].isCut = isCut; }
    void setDemand(size_t index, double part) { m_nodes[index].demand = part; }

    size_t size() const { return m_nodes.size(); }
    size_t adopted(uint64_t revision) const;
    uint64_t revision() const { return m_table.revision; }
    MessageCount sent(MessageKind kind) const { return m_sent[static_cast<size_t>(kind)]; }
    uint64_t greatestSent() const; // Bytes of the daemon that sent most.
    uint64_t reads() const { return m_reads; }
    void resetCounts();
    // Sum of the running daemons' shares of the first workspace, as a part of its limit.
    double shareSum() const;
    double share(size_t index) const;
    // How many running daemons see a member in a state.
    size_t seenAs(size_t index, MemberState) const;

private:
    struct Node {
        std::unique_ptr<Membership> membership;
        std::unique_ptr<TableReplica> replica;
        std::unique_ptr<LimitShares> limits;
        std::unique_ptr<PeerCodec> codec;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        uint64_t sentBytes = 0;
        bool isRunning = true;
        bool isCut = false;
        bool areMembersNew = true;
        double demand = 0;
    };
    struct Letter {
        size_t from = 0;
        size_t to = 0;
        std::string bytes;
    };

    void start(size_t index);
    void step();
    void tick(size_t index);
    void deliver(const Letter&);
    template <typename Machine, typename Input> void apply(size_t index, Machine&, const Input&);
    void handle(size_t index, const SendToPeer&);
    void handle(size_t index, const MemberChanged&) { m_nodes[index].areMembersNew = true; }
    void handle(size_t index, const PeerTableSeen& it) { apply(index, *m_nodes[index].replica, ReplicaInput(it)); }
    void handle(size_t, const SelfSuperseded&) { }
    void handle(size_t index, const FetchHead&);
    void handle(size_t index, const FetchChanges&);
    void handle(size_t index, const FetchSnapshot&);
    void handle(size_t, const Adopted&) { }
    void handle(size_t, const TableRejected&) { }
    void handle(size_t, const ShareChanged&) { }
    void passMembers(size_t index);

    FleetOptions m_options;
    ManualClock m_clock;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::vector<Letter> m_letters;
    std::vector<std::pair<size_t, ReplicaInput>> m_answers;
    HostListSeen m_hosts;
    Table m_table;
    std::vector<TableDelta> m_changes;
    std::shared_ptr<const Table> m_limitTable;
    bool m_isPlatformUp = true;
    uint64_t m_steps = 0;
    uint64_t m_reads = 0;
    std::array<MessageCount, messageKinds> m_sent {};
};

} // namespace jacinthspindle::bench
