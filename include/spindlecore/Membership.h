// Which daemons are alive, learned by SWIM-style probing. The result is a hint for efficiency (whom to contact, who
// polls, who coordinates); no safety argument rests on it.

#pragma once

#include "spindlecore/PeerMessage.h"
#include "spindlecore/Ports.h"

#include <map>
#include <random>

namespace jacinthspindle {

struct MembershipConfig {
    HostId self;
    uint64_t incarnation = 0; // Greater than that of each earlier life under the same host identifier.
    DataCentreId dataCentre;
    std::string address;
    std::vector<std::string> contacts; // Addresses to contact first.
    uint64_t seed = 0;
    std::chrono::milliseconds period { 1000 }; // One member is probed per period.
    std::chrono::milliseconds ackLimit { 300 }; // Afterwards other members are asked to probe.
    // An accusation takes about ln(880) = 7 periods to reach the accused member, and its answer about as long.
    std::chrono::milliseconds suspicion { 12000 };
    // Dead members stay known for this long, so that the guaranteed limit share of a member that is only cut off stays
    // reserved; longer than a partition of an hour.
    std::chrono::minutes retention { 90 };
    JACINTHSPINDLE_FIELDS(self.self, self.incarnation, self.dataCentre, self.address, self.contacts, self.seed,
        self.period, self.ackLimit, self.suspicion, self.retention)
};

// ---- Inputs.

// The platform's list of hosts. It lags: it adds candidates and says who leaves, and lets dead members be forgotten.
struct HostListSeen {
    std::vector<HostEntry> hosts;
    JACINTHSPINDLE_FIELDS(self.hosts)
};

// This daemon's table and the age of its last confirmation, to be carried by pings.
struct TableStatusChanged {
    TableStatus table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// This daemon takes no new work any more.
struct LeaveStarted {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

// To be passed at least every 100 ms.
struct MembershipTick {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

using MembershipInput = std::variant<PeerReceived, HostListSeen, TableStatusChanged, LeaveStarted, MembershipTick>;

// ---- Outputs.

struct MemberChanged {
    MemberUpdate member;
    bool isForgotten = false; // The member is no longer known.
    JACINTHSPINDLE_FIELDS(self.member, self.isForgotten)
};

// A peer's table status came with a ping or an acknowledgement; an input of TableReplica.
struct PeerTableSeen {
    HostId host;
    TableStatus table;
    JACINTHSPINDLE_FIELDS(self.host, self.table)
};

// Another life of this host identifier with a greater incarnation exists: this process is the older one.
struct SelfSuperseded {
    uint64_t incarnation = 0;
    JACINTHSPINDLE_FIELDS(self.incarnation)
};

using MembershipOutput = std::variant<SendToPeer, MemberChanged, PeerTableSeen, SelfSuperseded>;

// Bounds the memory that messages of peers can claim; the target size is 880.
constexpr size_t maxMembers = 8192;

// Faults for the tests of the tests: each one breaks a rule on purpose.
enum class MembershipFault : uint8_t { None, OldIncarnationWins, NoRefutation, ForgetSuspicion, AccuseAfterPause };

class Membership {
public:
    explicit Membership(MembershipConfig, MembershipFault = MembershipFault::None);

    void apply(Instant now, const MembershipInput&, std::vector<MembershipOutput>&);

    // All known members except this daemon, in order of the identifier.
    std::vector<MemberUpdate> members() const;
    const MemberUpdate* find(const HostId&) const;
    MemberUpdate self() const;

private:
    struct Entry {
        MemberUpdate update;
        Instant changedAt {}; // Time of the last change of state.
        bool isListed = false; // In the last host list.
    };
    struct Rumour {
        MemberUpdate update;
        uint32_t sends = 0;
    };
    struct Probe {
        uint64_t number = 0;
        HostId target;
        Instant sentAt {};
        bool askedOthers = false;
        bool isOpen = false;
    };
    struct Relay {
        uint64_t number = 0; // Probe number of the daemon that asked.
        HostId asker;
        Instant sentAt {};
    };
    using Outputs = std::vector<MembershipOutput>;

    void onMessage(Instant, const PeerReceived&, Outputs&);
    void onPing(Instant, const PeerReceived&, const Ping&, Outputs&);
    void onAck(Instant, const PeerReceived&, const Ack&, Outputs&);
    void onPingRequest(Instant, const PeerReceived&, const PingRequest&, Outputs&);
    void onHostList(Instant, const HostListSeen&, Outputs&);
    void onTick(Instant, Outputs&);
    void startProbe(Instant, Outputs&);
    void finishProbe(Instant, Outputs&);
    void askOthers(Outputs&);
    void expireMembers(Instant, Outputs&);
    void join(Instant, Outputs&);
    void learn(Instant, const MemberUpdate&, Outputs&);
    void add(Instant, const MemberUpdate&, Outputs&);
    void learnAboutSelf(const MemberUpdate&, Outputs&);
    bool supersedes(const MemberUpdate& fresh, const MemberUpdate& known) const;
    void setState(Instant, Entry&, MemberState, Outputs&);
    void spread(const MemberUpdate&);
    std::vector<MemberUpdate> updatesFor(const HostId& receiver);
    std::optional<HostId> nextTarget();
    std::vector<HostId> pickLive(size_t n, const HostId& except);
    uint32_t sendLimit() const;
    size_t below(size_t n) { return n ? m_random() % n : 0; }

    MembershipConfig m_config;
    MembershipFault m_fault;
    std::mt19937_64 m_random;
    std::map<HostId, Entry> m_members;
    std::vector<Rumour> m_rumours;
    std::vector<HostId> m_order; // Members still to be probed in this round.
    Probe m_probe;
    std::map<uint64_t, Relay> m_relays; // By the probe number that this daemon uses.
    uint64_t m_lastProbe = 0;
    uint32_t m_refutation = 0;
    bool m_isLeaving = false;
    TableStatus m_table;
    Instant m_nextProbe {};
    Instant m_lastTick {};
    std::optional<Instant> m_hostListAt;
    Instant m_nextJoin {};
    Instant m_nextRevival {};
    uint32_t m_nextContact = 0;
    std::optional<HostId> m_joinAfter; // The last identifier received from a contact.
    uint64_t m_joinProbe = 0;
    bool m_isJoined = false;
};

} // namespace jacinthspindle
