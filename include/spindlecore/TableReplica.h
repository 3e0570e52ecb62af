// State machine that keeps a daemon's copy of the table up to date. It adopts only newer revisions, and a revision is
// adopted completely or not at all. Changes come from the platform, which two daemons per data centre poll, and from
// peers; each change must match the digest chain of the copy that it is applied to.

#pragma once

#include "spindlecore/Membership.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace jacinthspindle {

// Returns the first 64 bits of a digest over all rows. It is equal on all daemons that have the same revision.
uint64_t tableContentDigest(const Table&);
// Returns the first 64 bits of a digest given as hexadecimal text.
uint64_t digestPrefix(const std::string& hexDigest);
// Returns the head that pings carry for a table; contentDigest is the table's tableContentDigest().
PeerTableHead headOf(const Table&, uint64_t contentDigest);

struct TableReplicaConfig {
    HostId self;
    DataCentreId dataCentre;
    uint64_t seed = 0;
    std::chrono::milliseconds pollInterval { 1000 };
    // A daemon that is not a poller also polls once its last confirmation by the platform is this old. Pings propagate
    // a confirmation to 880 members in 4 to 5 s.
    std::chrono::milliseconds fallbackAge { 10000 };
    std::chrono::milliseconds retryInterval { 500 }; // Between requests to peers.
    uint32_t pollersPerDataCentre = 2;
    uint32_t localFanout = 3; // Number of peers in the own data centre that a change is pushed to.
    uint32_t maxStoredChanges = 256; // Latest changes stored for peers; about half an hour at 13,000 changes a day.
    JACINTHSPINDLE_FIELDS(self.self, self.dataCentre, self.seed, self.pollInterval, self.fallbackAge,
        self.retryInterval, self.pollersPerDataCentre, self.localFanout, self.maxStoredChanges)
};

// ---- Inputs.

// The row table/head was read from the platform.
struct HeadSeen {
    uint64_t revision = 0;
    std::string digest;
    JACINTHSPINDLE_FIELDS(self.revision, self.digest)
};

enum class FetchKind : uint8_t { Head, Changes, Snapshot };

// A read from the platform failed or returned no data.
struct FetchFailed {
    FetchKind kind = FetchKind::Head;
    JACINTHSPINDLE_FIELDS(self.kind)
};

// Changes read from the platform, in ascending order of revision.
struct ChangesFetched {
    std::vector<TableDelta> changes;
    JACINTHSPINDLE_FIELDS(self.changes)
};

// A complete table read from the object store.
struct SnapshotFetched {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// The current list of members.
struct ReplicaMembers {
    std::vector<MemberUpdate> members; // All members except this daemon.
    JACINTHSPINDLE_FIELDS(self.members)
};

// Drives the timers; must be applied at least every 100 ms.
struct ReplicaTick {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

using ReplicaInput = std::variant<PeerReceived, PeerTableSeen, HeadSeen, FetchFailed, ChangesFetched, SnapshotFetched,
    ReplicaMembers, ReplicaTick>;

// ---- Outputs.

// Requests a read of table/head from the platform; the result is HeadSeen or FetchFailed.
struct FetchHead {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

// Requests a read of at most `limit` changes after revision `after`; the result is ChangesFetched or FetchFailed.
struct FetchChanges {
    uint64_t after = 0;
    uint32_t limit = 0;
    JACINTHSPINDLE_FIELDS(self.after, self.limit)
};

// Requests a read of the latest snapshot from the object store; the result is SnapshotFetched or FetchFailed.
struct FetchSnapshot {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

// A new table was adopted and replaces the previous one.
struct Adopted {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// A change, a snapshot or a head of the platform or a peer was rejected.
struct TableRejected {
    HostId from; // The sending peer; empty for the platform.
    uint64_t revision = 0;
    ResultCode code = ResultCode::TableConflict;
    JACINTHSPINDLE_FIELDS(self.from, self.revision, self.code)
};

using ReplicaOutput = std::variant<SendToPeer, FetchHead, FetchChanges, FetchSnapshot, Adopted, TableRejected>;

// Defects that tests inject to prove that they detect them. Each one disables a check.
enum class ReplicaFault : uint8_t { None, AdoptOlder, AcceptWrongDigest, AcceptWrongContent, AdoptPartialSnapshot };

class TableReplica {
public:
    explicit TableReplica(TableReplicaConfig, ReplicaFault = ReplicaFault::None);

    void apply(Instant now, const ReplicaInput&, std::vector<ReplicaOutput>&);

    const std::shared_ptr<const Table>& table() const { return m_table; } // Null until the first adoption.
    PeerTableHead head() const { return m_head; }
    // Time since the platform last confirmed that this table is current, as read by this daemon or reported by a peer;
    // 24 h before the first confirmation.
    std::chrono::milliseconds age(Instant now) const;
    TableStatus status(Instant now) const { return { m_head, age(now) }; }
    bool isPoller() const { return m_isPoller; }
    // Number of changes, snapshots and heads rejected as outdated, corrupted, invalid or part of a different history.
    uint64_t rejected() const { return m_rejected; }

private:
    // A snapshot that is being received from a peer in chunks.
    struct IncomingSnapshot {
        uint64_t contentDigest = 0; // tableContentDigest() as stated by the sender.
        HostId from;
        uint32_t chunkCount = 0;
        uint32_t nextChunk = 0; // Equal to chunkCount once all chunks have arrived.
        uint32_t retries = 0; // Retry intervals that have passed since the last chunk arrived.
        Table table; // Rows received so far.
    };
    // A head and the members that have reported it.
    struct HeadReport {
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
    void onTableRequest(const HostId&, const TableRequest&, Outputs&);
    void onSnapshotChunk(Instant, const HostId&, const TableSnapshot&, Outputs&);
    bool applyChange(Instant, const HostId& from, const TableDelta&, bool mayPush, Outputs&);
    void adopt(const std::shared_ptr<const Table>&, uint64_t contentDigest, Outputs&);
    void push(const std::shared_ptr<const TableDelta>&, const HostId& except, Outputs&);
    void sendChunk(const MemberUpdate&, uint64_t revision, uint32_t chunk, Outputs&);
    void finishSnapshot(Outputs&);
    void recordHeadReport(const HostId&, const PeerTableHead&);
    // Returns whether a member other than `from` has reported the head; also true if no other member is live.
    bool isReportedByAnother(const HostId& from, const PeerTableHead&) const;
    void fetch(Instant, Outputs&);
    void poll(Instant, Outputs&);
    void pull(Instant, Outputs&);
    void reject(const HostId& from, uint64_t revision, ResultCode, Outputs&);
    void confirm(Instant at);
    static void send(const MemberUpdate&, PeerBody, Outputs&);
    const MemberUpdate* findMember(const HostId&) const;
    size_t randomBelow(size_t n) { return n ? m_random() % n : 0; }

    TableReplicaConfig m_config;
    ReplicaFault m_fault;
    std::mt19937_64 m_random;
    std::shared_ptr<const Table> m_table;
    PeerTableHead m_head;
    // Consecutive changes; the last one results in the revision of m_table.
    std::deque<std::shared_ptr<const TableDelta>> m_changes;
    std::map<HostId, MemberUpdate> m_members;
    uint32_t m_localMembers = 1; // Live members in the own data centre, including this daemon.
    std::map<HostId, PeerTableHead> m_peerHeads; // Last head that each live member reported.
    std::deque<HeadReport> m_headReports; // Heads reported by members, oldest first.
    std::optional<IncomingSnapshot> m_incomingSnapshot;
    std::shared_ptr<const Table> m_servedSnapshot; // The snapshot that peers request in chunks.
    uint64_t m_servedContentDigest = 0;
    HeadSeen m_platformHead;
    Instant m_platformHeadReadAt {};
    bool m_isPoller = true;
    bool m_isStale = true; // At the last tick, the age had reached fallbackAge.
    bool m_isBehind = false; // A peer has reported a newer revision.
    bool m_isFetchInProgress = false; // A read of changes or of the snapshot is in progress.
    bool m_hasTriedSnapshot = false; // The next read requests changes instead of a snapshot.
    std::optional<Instant> m_confirmedAt;
    bool m_isStarted = false;
    Instant m_nextPoll {};
    Instant m_nextPull {};
    Instant m_fetchDeadline {};
    uint64_t m_rejected = 0;
};

} // namespace jacinthspindle
