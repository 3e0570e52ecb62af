// The table in force at this daemon: adopted by revision, only forwards, whole or not at all. Changes come from the
// platform (two pollers per data centre) and from peers, and each one is checked against the chained digest.

#pragma once

#include "spindlecore/Membership.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace jacinthspindle {

// First 64 bits of a digest over all rows. Two daemons at the same revision have the same value.
uint64_t tableContentDigest(const Table&);
// The first 64 bits of a digest in hexadecimal text.
uint64_t digestPrefix(const std::string& hexDigest);
PeerTableHead headOf(const Table&, uint64_t content);

struct TableReplicaConfig {
    HostId self;
    DataCentreId dataCentre;
    uint64_t seed = 0;
    std::chrono::milliseconds pollInterval { 1000 };
    // Without a confirmation of this age a daemon that is no poller polls too. Pings carry confirmations through 880
    // members in 4 to 5 s.
    std::chrono::milliseconds fallbackAge { 10000 };
    std::chrono::milliseconds retryInterval { 500 }; // Of requests to peers.
    uint32_t pollersPerDataCentre = 2;
    uint32_t localFanout = 3;
    uint32_t keptChanges = 256; // Changes kept for peers; about half an hour at 13,000 changes a day.
    JACINTHSPINDLE_FIELDS(self.self, self.dataCentre, self.seed, self.pollInterval, self.fallbackAge,
        self.retryInterval, self.pollersPerDataCentre, self.localFanout, self.keptChanges)
};

// ---- Inputs.

// The platform's head was read.
struct HeadSeen {
    uint64_t revision = 0;
    std::string digest;
    JACINTHSPINDLE_FIELDS(self.revision, self.digest)
};

enum class FetchKind : uint8_t { Head, Changes, Snapshot };

// A fetch from the platform failed or found nothing.
struct FetchFailed {
    FetchKind kind = FetchKind::Head;
    JACINTHSPINDLE_FIELDS(self.kind)
};

// Changes read from the platform, in order of the revision.
struct ChangesFetched {
    std::vector<TableDelta> changes;
    JACINTHSPINDLE_FIELDS(self.changes)
};

struct SnapshotFetched {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

struct ReplicaMembers {
    std::vector<MemberUpdate> members; // Without this daemon.
    JACINTHSPINDLE_FIELDS(self.members)
};

// To be passed at least every 100 ms.
struct ReplicaTick {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

using ReplicaInput = std::variant<PeerReceived, PeerTableSeen, HeadSeen, FetchFailed, ChangesFetched, SnapshotFetched,
    ReplicaMembers, ReplicaTick>;

// ---- Outputs.

// Read table/head from the platform and answer with HeadSeen or FetchFailed.
struct FetchHead {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

// Read the changes after a revision, at most `limit`, and answer with ChangesFetched or FetchFailed.
struct FetchChanges {
    uint64_t after = 0;
    uint32_t limit = 0;
    JACINTHSPINDLE_FIELDS(self.after, self.limit)
};

// Read the latest snapshot from the object store and answer with SnapshotFetched or FetchFailed.
struct FetchSnapshot {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

// The table is in force from now on.
struct Adopted {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// A change or snapshot was not adopted.
struct TableRejected {
    HostId from; // Empty: from the platform.
    uint64_t revision = 0;
    ResultCode code = ResultCode::TableConflict;
    JACINTHSPINDLE_FIELDS(self.from, self.revision, self.code)
};

using ReplicaOutput = std::variant<SendToPeer, FetchHead, FetchChanges, FetchSnapshot, Adopted, TableRejected>;

// Faults for the tests of the tests: each one breaks a rule on purpose.
enum class ReplicaFault : uint8_t { None, AdoptOlder, AcceptWrongDigest, AcceptWrongContent, AdoptPartialSnapshot };

class TableReplica {
public:
    explicit TableReplica(TableReplicaConfig, ReplicaFault = ReplicaFault::None);

    void apply(Instant now, const ReplicaInput&, std::vector<ReplicaOutput>&);

    const std::shared_ptr<const Table>& table() const { return m_table; } // Null until the first adoption.
    PeerTableHead head() const { return m_head; }
    // How old the last confirmation by the platform is, over the best known path.
    std::chrono::milliseconds age(Instant now) const;
    TableStatus status(Instant now) const { return { m_head, age(now) }; }
    bool isPoller() const { return m_isPoller; }
    // Changes and snapshots that were not adopted because they were old, damaged or of another history.
    uint64_t rejected() const { return m_rejected; }

private:
    // A snapshot that arrives from a peer in chunks.
    struct Assembly {
        uint64_t content = 0;
        HostId from;
        uint32_t chunks = 0;
        uint32_t next = 0;
        uint32_t retries = 0;
        Table table;
    };
    // The members that showed a head.
    struct Vouched {
        PeerTableHead head;
        std::set<HostId> hosts;
    };
    using Outputs = std::vector<ReplicaOutput>;

    void on(Instant, const PeerReceived&, Outputs&);
    void on(Instant, const PeerTableSeen&, Outputs&);
    void on(Instant, const HeadSeen&, Outputs&);
    void on(Instant, const FetchFailed&, Outputs&);
    void on(Instant, const ChangesFetched&, Outputs&);
    void on(Instant, const SnapshotFetched&, Outputs&);
    void on(Instant, const ReplicaMembers&, Outputs&);
    void on(Instant, const ReplicaTick&, Outputs&);
    void onRequest(const HostId&, const TableRequest&, Outputs&);
    void onChunk(Instant, const HostId&, const TableSnapshot&, Outputs&);
    bool applyChange(Instant, const HostId& from, const TableDelta&, bool mayPush, Outputs&);
    void adopt(const std::shared_ptr<const Table>&, uint64_t content, Outputs&);
    void push(const std::shared_ptr<const TableDelta>&, const HostId& except, Outputs&);
    void sendChunk(const MemberUpdate&, uint64_t revision, uint32_t chunk, Outputs&);
    void finishSnapshot(Outputs&);
    void vouch(const HostId&, const PeerTableHead&);
    bool isVouched(const HostId& from, const PeerTableHead&) const;
    void fetch(Instant, Outputs&);
    void poll(Instant, Outputs&);
    void pull(Instant, Outputs&);
    void reject(const HostId& from, uint64_t revision, ResultCode, Outputs&);
    void confirm(Instant at);
    static void send(const MemberUpdate&, PeerBody, Outputs&);
    const MemberUpdate* findMember(const HostId&) const;
    size_t below(size_t n) { return n ? m_random() % n : 0; }

    TableReplicaConfig m_config;
    ReplicaFault m_fault;
    std::mt19937_64 m_random;
    std::shared_ptr<const Table> m_table;
    PeerTableHead m_head;
    std::deque<std::shared_ptr<const TableDelta>> m_changes; // Contiguous; ends at the table's revision.
    std::map<HostId, MemberUpdate> m_members;
    uint32_t m_localMembers = 1; // Live ones of the own data centre, with this daemon.
    std::map<HostId, PeerTableHead> m_peerHeads; // Last head seen of each live member.
    std::deque<Vouched> m_vouched;
    std::optional<Assembly> m_assembly;
    std::shared_ptr<const Table> m_served; // The snapshot that peers fetch in chunks.
    uint64_t m_servedContent = 0;
    HeadSeen m_platformHead;
    Instant m_platformHeadAt {};
    bool m_isPoller = true;
    bool m_isStale = true;
    bool m_isBehind = false; // A peer has shown a greater revision.
    bool m_isFetching = false; // A fetch of changes or of the snapshot is on the way.
    bool m_hasTriedSnapshot = false;
    std::optional<Instant> m_confirmedAt;
    bool m_isStarted = false;
    Instant m_nextPoll {};
    Instant m_nextPull {};
    Instant m_fetchLimit {};
    uint64_t m_rejected = 0;
};

} // namespace jacinthspindle
