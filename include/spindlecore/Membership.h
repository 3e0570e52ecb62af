// SWIM-style group membership: tracks which daemons are alive. The member list is only an optimisation: it selects
// the daemons to contact, to poll the platform and to coordinate limits. Correctness doesn't depend on it.

#pragma once

#include "spindlecore/PeerMessage.h"
#include "spindlecore/Ports.h"

#include <map>
#include <random>

namespace jacinthspindle {

struct MembershipConfig {
    HostId self;
    uint64_t incarnation = 0; // Greater than in all earlier runs under the same host identifier.
    DataCentreId dataCentre;
    std::string address;
    std::vector<std::string> contacts; // Addresses of the daemons through which this one joins.
    uint64_t seed = 0;
    std::chrono::milliseconds probePeriod { 1000 }; // One member is probed per period.
    std::chrono::milliseconds ackTimeout { 300 }; // After this time without an Ack, indirect probes are sent.
    // Time from Suspect to Dead. A suspicion takes about ln(880) = 7 probe periods to reach the suspected member, and
    // the refutation takes about as long to come back.
    std::chrono::milliseconds suspicionTimeout { 12000 };
    // Dead members are kept for this long. A member that is only partitioned still uses its guaranteed limit share, so
    // that share must stay reserved; the value covers a partition of one hour.
    std::chrono::minutes deadMemberRetention { 90 };
    JACINTHSPINDLE_FIELDS(self.self, self.incarnation, self.dataCentre, self.address, self.contacts, self.seed,
        self.probePeriod, self.ackTimeout, self.suspicionTimeout, self.deadMemberRetention)
};

// ---- Inputs.

// The platform's list of hosts, which may be out of date. Adds new members, marks members as leaving and allows dead
// members that are no longer listed to be removed.
struct HostListSeen {
    std::vector<HostEntry> hosts;
    JACINTHSPINDLE_FIELDS(self.hosts)
};

// The head of this daemon's table and its age, to be sent with pings and acknowledgements.
struct TableStatusChanged {
    TableStatus table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// This daemon has stopped accepting new work.
struct LeaveStarted {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

// Drives all timers. Must be applied at least every 100 ms.
struct MembershipTick {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

using MembershipInput = std::variant<PeerReceived, HostListSeen, TableStatusChanged, LeaveStarted, MembershipTick>;

// ---- Outputs.

// A member was added, changed or removed.
struct MemberChanged {
    MemberUpdate member;
    bool isRemoved = false; // The member is no longer in the list.
    JACINTHSPINDLE_FIELDS(self.member, self.isRemoved)
};

// The table status in a ping or acknowledgement from a peer. Input of TableReplica.
struct PeerTableSeen {
    HostId host;
    TableStatus table;
    JACINTHSPINDLE_FIELDS(self.host, self.table)
};

// A process with the same host identifier and a greater incarnation exists, so this process is obsolete.
struct SelfSuperseded {
    uint64_t incarnation = 0;
    JACINTHSPINDLE_FIELDS(self.incarnation)
};

using MembershipOutput = std::variant<SendToPeer, MemberChanged, PeerTableSeen, SelfSuperseded>;

// Limits the memory that messages from peers can make this daemon allocate. The design target is 880 members.
constexpr size_t maxMembers = 8192;

// Deliberate protocol violations, with which tests prove that their checks detect them.
enum class MembershipFault : uint8_t {
    None,
    OldIncarnationWins,
    NoRefutation,
    NeverExpireSuspicion,
    SuspectAfterPause
};

// State machine of the membership protocol. Performs no I/O and reads no clock: apply() appends its outputs to a list.
class Membership {
public:
    explicit Membership(MembershipConfig, MembershipFault = MembershipFault::None);

    void apply(Instant now, const MembershipInput&, std::vector<MembershipOutput>&);

    // Returns all known members except this daemon, ordered by host identifier.
    std::vector<MemberUpdate> members() const;
    // Returns nullptr when the host is not a known member.
    const MemberUpdate* find(const HostId&) const;
    // Returns the state that this daemon announces about itself.
    MemberUpdate self() const;

private:
    struct Entry {
        MemberUpdate update;
        Instant changedAt {}; // Start of the suspicion and retention timeouts; moved forward by pauses of this process.
        bool isListed = false; // Whether the last host list contained the member.
    };
    // An update that is still to be piggybacked on messages.
    struct PendingUpdate {
        MemberUpdate update;
        uint32_t sends = 0; // Number of messages that carried the update.
    };
    // The direct probe of the current period.
    struct Probe {
        uint64_t number = 0;
        HostId target;
        Instant sentAt {};
        bool sentIndirectProbes = false;
        bool isOpen = false; // Waiting for an acknowledgement.
    };
    // A probe that this daemon sends on behalf of another.
    struct RelayedProbe {
        uint64_t number = 0; // Probe number used by the requester.
        HostId requester;
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
    void sendIndirectProbes(Outputs&);
    void expireMembers(Instant, Outputs&);
    void join(Instant, Outputs&);
    void applyUpdate(Instant, const MemberUpdate&, Outputs&);
    void addMember(Instant, const MemberUpdate&, Outputs&);
    void applyUpdateAboutSelf(const MemberUpdate&, Outputs&);
    // Compares incarnation, then refutation, then state.
    bool supersedes(const MemberUpdate& received, const MemberUpdate& known) const;
    void setState(Instant, Entry&, MemberState, Outputs&);
    void queueUpdate(const MemberUpdate&);
    // Returns the updates to piggyback on a message, that of this daemon first, and counts them as sent.
    std::vector<MemberUpdate> updatesFor(const HostId& receiver);
    std::optional<HostId> nextTarget();
    // Returns up to n random members that are Alive or Leaving.
    std::vector<HostId> pickLiveMembers(size_t n, const HostId& except);
    uint32_t retransmitLimit() const;
    // Returns a random number in [0, n), or 0 when n is 0.
    size_t randomBelow(size_t n) { return n ? m_random() % n : 0; }

    MembershipConfig m_config;
    MembershipFault m_fault;
    std::mt19937_64 m_random;
    std::map<HostId, Entry> m_members;
    std::vector<PendingUpdate> m_pendingUpdates;
    std::vector<HostId> m_probeOrder; // Members still to be probed in this round, last one first.
    Probe m_probe;
    std::map<uint64_t, RelayedProbe> m_relayedProbes; // Keyed by the probe number that this daemon uses.
    uint64_t m_lastProbe = 0;
    uint32_t m_refutation = 0; // Increased to refute a suspicion and to announce leaving.
    bool m_isLeaving = false;
    TableStatus m_table;
    Instant m_nextProbe {};
    Instant m_lastTick {};
    std::optional<Instant> m_hostListAt;
    Instant m_nextJoin {};
    Instant m_nextDeadProbe {};
    uint32_t m_nextContact = 0;
    std::optional<HostId> m_joinAfter; // Set while joining: the last host identifier received.
    uint64_t m_joinProbe = 0;
    bool m_isJoined = false;
};

} // namespace jacinthspindle
