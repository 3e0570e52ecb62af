// Messages between daemons. PeerCodec in spindleadapters encodes and authenticates them.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/Table.h"
#include "spindlecore/Types.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthspindle {

constexpr uint16_t peerFormatVersion = 1;
constexpr size_t maxPeerMessageBytes = 262'144;
constexpr size_t maxPiggybackedUpdates = 8;
// Members per acknowledgement to a joining daemon; 64 updates of about 70 bytes take less than 5 KB.
constexpr size_t maxJoinUpdates = 64;

enum class MemberState : uint8_t { Alive = 0, Leaving = 1, Suspect = 2, Dead = 3 };

// The state of a member as reported by some daemon. Of two updates for the same host, the one with the greater
// incarnation (a later start of the process) wins, then the one with the greater refutation (a later announcement by
// the same process), then the one with the greater state.
struct MemberUpdate {
    HostId host;
    uint64_t incarnation = 0; // 0: known only from the host list.
    uint32_t refutation = 0; // Only the member itself increases it.
    MemberState state = MemberState::Alive;
    DataCentreId dataCentre;
    std::string address; // "IP:port" of the peer transport.
    bool operator==(const MemberUpdate&) const = default;
    JACINTHSPINDLE_FIELDS(self.host, self.incarnation, self.refutation, self.state, self.dataCentre, self.address)
};

// The latest revision of a daemon's table, sent with pings and acknowledgements. All values are 0 without a table.
struct PeerTableHead {
    uint64_t revision = 0;
    uint64_t digest = 0; // First 64 bits of Table::digest, which covers the history of changes.
    uint64_t content = 0; // tableContentDigest() of the current rows.
    bool operator==(const PeerTableHead&) const = default;
    JACINTHSPINDLE_FIELDS(self.revision, self.digest, self.content)
};

// Table head and age, sent with pings and acknowledgements.
struct TableStatus {
    PeerTableHead head;
    // Time since the platform last confirmed a head, directly or through other daemons: the smallest known.
    std::chrono::milliseconds age {};
    bool operator==(const TableStatus&) const = default;
    JACINTHSPINDLE_FIELDS(self.head, self.age)
};

// Probes whether the receiver is alive.
struct Ping {
    uint64_t probe = 0; // Number of the probe, repeated in the acknowledgement.
    TableStatus table;
    std::vector<MemberUpdate> updates; // The first one describes the sender.
    std::optional<HostId> joinAfter; // Set by a joining daemon: requests the members with greater host identifiers.
    bool operator==(const Ping&) const = default;
    JACINTHSPINDLE_FIELDS(self.probe, self.table, self.updates, self.joinAfter)
};

// Acknowledges a Ping, or reports to the sender of a PingRequest that the target has acknowledged.
struct Ack {
    uint64_t probe = 0;
    TableStatus table;
    std::vector<MemberUpdate> updates;
    std::optional<HostId> joinNext; // The last host identifier in this message; set while more members remain.
    bool operator==(const Ack&) const = default;
    JACINTHSPINDLE_FIELDS(self.probe, self.table, self.updates, self.joinNext)
};

// Requests an indirect probe: the receiver pings a member that did not acknowledge the sender's own ping.
struct PingRequest {
    uint64_t probe = 0;
    HostId target;
    std::string address;
    std::vector<MemberUpdate> updates;
    bool operator==(const PingRequest&) const = default;
    JACINTHSPINDLE_FIELDS(self.probe, self.target, self.address, self.updates)
};

// Sends one change of the table, unsolicited or in response to a TableRequest.
struct TablePush {
    std::shared_ptr<const TableDelta> delta;
    JACINTHSPINDLE_FIELDS(self.delta)
};

// Requests the changes after a revision; the receiver sends a snapshot when it no longer holds them. A request with a
// snapshot revision fetches the given chunk of that snapshot.
struct TableRequest {
    uint64_t after = 0;
    uint64_t snapshot = 0; // Revision of the snapshot; 0: the changes after `after`.
    uint32_t chunk = 0;
    bool operator==(const TableRequest&) const = default;
    JACINTHSPINDLE_FIELDS(self.after, self.snapshot, self.chunk)
};

// One chunk of the rows of a table. Revision, digest and content are the same in all chunks of a snapshot.
struct TableSnapshot {
    uint64_t revision = 0;
    std::string digest; // Table::digest.
    uint64_t content = 0;
    uint32_t chunk = 0;
    uint32_t chunks = 0;
    std::vector<WorkspaceRow> workspaces;
    std::vector<RouteRow> routes;
    std::vector<EndpointRow> endpoints;
    JACINTHSPINDLE_FIELDS(
        self.revision, self.digest, self.content, self.chunk, self.chunks, self.workspaces, self.routes, self.endpoints)
};

// Demand and held share of one workspace, in parts per million of the workspace's limits: the greatest of the ratios
// for requests, tokens and concurrency.
struct LimitEntry {
    WorkspaceId workspace;
    uint32_t demand = 0;
    uint32_t held = 0;
    uint64_t round = 0; // Round of the report for which the current lease was granted; 0 without a lease.
    bool operator==(const LimitEntry&) const = default;
    JACINTHSPINDLE_FIELDS(self.workspace, self.demand, self.held, self.round)
};

// The level of the hierarchy of limit shares to which a report or grant applies.
enum class LimitLevel : uint8_t { Daemon = 0, DataCentre = 1 };

// Reports demand for limit shares. A daemon sends it to the coordinator of a workspace group in its data centre, and
// that coordinator sends it to the coordinator of the group for all data centres. Workspaces without an entry use at
// most the share that needs no lease (see LimitSharesConfig::standingDivisor).
struct LimitReport {
    LimitLevel level = LimitLevel::Daemon;
    uint32_t group = 0;
    uint64_t round = 0; // Number of the report; the grant repeats it.
    bool isComplete = true; // False: workspaces without an entry are unchanged since the last report.
    bool isDetached = false; // The sender receives no grants and uses its full guaranteed shares.
    std::vector<LimitEntry> entries;
    bool operator==(const LimitReport&) const = default;
    JACINTHSPINDLE_FIELDS(self.level, self.group, self.round, self.isComplete, self.isDetached, self.entries)
};

// The share of a workspace's limits that a grant lends.
struct LimitLease {
    WorkspaceId workspace;
    uint32_t share = 0; // Parts per million of the workspace's limits.
    bool operator==(const LimitLease&) const = default;
    JACINTHSPINDLE_FIELDS(self.workspace, self.share)
};

// Response to a report that has entries. The lease period starts when the report was sent.
struct LimitGrant {
    LimitLevel level = LimitLevel::Daemon;
    uint32_t group = 0;
    uint64_t round = 0;
    std::chrono::milliseconds lease {};
    std::vector<LimitLease> leases;
    bool operator==(const LimitGrant&) const = default;
    JACINTHSPINDLE_FIELDS(self.level, self.group, self.round, self.lease, self.leases)
};

// Queries the daemon that owns an attempt of an action for the state of that attempt.
struct ActionQuery {
    std::string row; // "action/<workspace>/<key>"
    std::string attempt; // The attempt identifier in the row.
    uint64_t version = 0; // Version of the row that the sender read.
    uint64_t incarnation = 0; // Incarnation of the owner according to the row.
    bool operator==(const ActionQuery&) const = default;
    JACINTHSPINDLE_FIELDS(self.row, self.attempt, self.version, self.incarnation)
};

enum class PeerActionState : uint8_t { Unknown = 0, InProgress = 1, Abandoned = 2 };

// Response to an ActionQuery.
struct ActionVerdict {
    std::string row;
    std::string attempt;
    uint64_t version = 0; // Copied from the query.
    PeerActionState state = PeerActionState::Unknown;
    bool operator==(const ActionVerdict&) const = default;
    JACINTHSPINDLE_FIELDS(self.row, self.attempt, self.version, self.state)
};

// The index of an alternative is part of the message format: add new ones only at the end.
using PeerBody = std::variant<Ping, Ack, PingRequest, TablePush, TableRequest, TableSnapshot, LimitReport, LimitGrant,
    ActionQuery, ActionVerdict>;

struct PeerMessage {
    uint16_t format = peerFormatVersion;
    HostId sender;
    uint64_t incarnation = 0;
    uint64_t sequence = 0; // Increases with each message of one incarnation of the sender.
    uint64_t logicalTime = 0; // Lamport timestamp.
    HostId receiver; // Empty only for a Ping to an address whose daemon is not known yet, and for its Ack.
    PeerBody body;
    JACINTHSPINDLE_FIELDS(
        self.format, self.sender, self.incarnation, self.sequence, self.logicalTime, self.receiver, self.body)
};

// Output of the protocol state machines: the caller wraps the body in a PeerMessage and sends it to the address.
struct SendToPeer {
    HostId receiver; // Empty when only the address is known.
    std::string address;
    PeerBody body;
    JACINTHSPINDLE_FIELDS(self.receiver, self.address, self.body)
};

// Input of the protocol state machines: an authenticated message from another daemon.
struct PeerReceived {
    HostId sender;
    uint64_t incarnation = 0;
    PeerBody body;
    JACINTHSPINDLE_FIELDS(self.sender, self.incarnation, self.body)
};

} // namespace jacinthspindle
