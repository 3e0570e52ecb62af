// Messages between daemons. PeerCodec of the adapters turns them into authenticated bytes.

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
// Members in the answer to a joining daemon; 64 updates of about 70 bytes stay below 5 KB.
constexpr size_t maxJoinUpdates = 64;

enum class MemberState : uint8_t { Alive = 0, Leaving = 1, Suspect = 2, Dead = 3 };

// What one daemon states about another. A greater incarnation (a later life of the process) wins, then a greater
// refutation (a later statement of the same life), then the greater state.
struct MemberUpdate {
    HostId host;
    uint64_t incarnation = 0; // 0: known from the host list only.
    uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    DataCentreId dataCentre;
    std::string address; // "IP:port" of the peer transport.
    bool operator==(const MemberUpdate&) const = default;
    JACINTHSPINDLE_FIELDS(self.host, self.incarnation, self.refutation, self.state, self.dataCentre, self.address)
};

// Position of a daemon's table in the chain of changes, as carried by pings. All three values are 0 without a table.
struct PeerTableHead {
    uint64_t revision = 0;
    uint64_t digest = 0; // First 64 bits of Table::digest, the digest of the history.
    uint64_t content = 0; // tableContentDigest() of the rows.
    bool operator==(const PeerTableHead&) const = default;
    JACINTHSPINDLE_FIELDS(self.revision, self.digest, self.content)
};

// Table state that travels with pings and acknowledgements.
struct TableStatus {
    PeerTableHead head;
    std::chrono::milliseconds age {}; // Since the platform last confirmed a head, over the best known path.
    bool operator==(const TableStatus&) const = default;
    JACINTHSPINDLE_FIELDS(self.head, self.age)
};

struct Ping {
    uint64_t probe = 0; // Repeated in the acknowledgement.
    TableStatus table;
    std::vector<MemberUpdate> updates; // The first one describes the sender.
    std::optional<HostId> joinAfter; // Set by a joining daemon: asks for members with greater identifiers.
    bool operator==(const Ping&) const = default;
    JACINTHSPINDLE_FIELDS(self.probe, self.table, self.updates, self.joinAfter)
};

struct Ack {
    uint64_t probe = 0;
    TableStatus table;
    std::vector<MemberUpdate> updates;
    std::optional<HostId> joinNext; // Set when more members follow: the last identifier of this answer.
    bool operator==(const Ack&) const = default;
    JACINTHSPINDLE_FIELDS(self.probe, self.table, self.updates, self.joinNext)
};

// Asks the receiver to ping a member that did not answer the sender.
struct PingRequest {
    uint64_t probe = 0;
    HostId target;
    std::string address;
    std::vector<MemberUpdate> updates;
    bool operator==(const PingRequest&) const = default;
    JACINTHSPINDLE_FIELDS(self.probe, self.target, self.address, self.updates)
};

struct TablePush {
    std::shared_ptr<const TableDelta> delta;
    JACINTHSPINDLE_FIELDS(self.delta)
};

// Asks for the changes after a revision, or for a snapshot when the receiver no longer holds them. A request with a
// chunk number continues a snapshot of the given revision.
struct TableRequest {
    uint64_t after = 0;
    uint64_t snapshot = 0; // Revision of the snapshot; 0: the changes after `after`.
    uint32_t chunk = 0;
    bool operator==(const TableRequest&) const = default;
    JACINTHSPINDLE_FIELDS(self.after, self.snapshot, self.chunk)
};

// One chunk of the rows of a table. All chunks of a snapshot carry the same head.
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

// Demand and held share of one workspace as parts per million of the workspace's limits. The greatest of the three
// ratios (requests, tokens, concurrency) counts.
struct LimitEntry {
    WorkspaceId workspace;
    uint32_t demand = 0;
    uint32_t held = 0;
    uint64_t round = 0; // Of the report that the lease in use answered; 0 without a lease.
    bool operator==(const LimitEntry&) const = default;
    JACINTHSPINDLE_FIELDS(self.workspace, self.demand, self.held, self.round)
};

// The level of the sharing tree at which a report or grant counts.
enum class LimitLevel : uint8_t { Daemon = 0, DataCentre = 1 };

// Sent by a daemon to the coordinator of a group of workspaces, and by that one to the group's coordinator of all data
// centres. Workspaces without an entry use no more than the standing share.
struct LimitReport {
    LimitLevel level = LimitLevel::Daemon;
    uint32_t group = 0;
    uint64_t round = 0; // Number of the report; the grant repeats it.
    bool isComplete = true; // False: workspaces without an entry are as in the last report.
    bool isDetached = false; // The sender got no answers and uses its guaranteed shares.
    std::vector<LimitEntry> entries;
    bool operator==(const LimitReport&) const = default;
    JACINTHSPINDLE_FIELDS(self.level, self.group, self.round, self.isComplete, self.isDetached, self.entries)
};

struct LimitLease {
    WorkspaceId workspace;
    uint32_t share = 0; // Parts per million of the workspace's limits.
    bool operator==(const LimitLease&) const = default;
    JACINTHSPINDLE_FIELDS(self.workspace, self.share)
};

// Answers a report that has entries. The lease runs from the moment at which the report was sent.
struct LimitGrant {
    LimitLevel level = LimitLevel::Daemon;
    uint32_t group = 0;
    uint64_t round = 0;
    std::chrono::milliseconds lease {};
    std::vector<LimitLease> leases;
    bool operator==(const LimitGrant&) const = default;
    JACINTHSPINDLE_FIELDS(self.level, self.group, self.round, self.lease, self.leases)
};

// Asks the owner of an attempt at an action about its state.
struct ActionQuery {
    std::string row; // "action/<workspace>/<key>"
    std::string attempt; // The attempt that the row names.
    uint64_t version = 0; // Of the row, as the asker saw it.
    uint64_t incarnation = 0; // Of the owner, as the row names it.
    bool operator==(const ActionQuery&) const = default;
    JACINTHSPINDLE_FIELDS(self.row, self.attempt, self.version, self.incarnation)
};

enum class PeerActionState : uint8_t { Unknown = 0, InProgress = 1, Abandoned = 2 };

struct ActionVerdict {
    std::string row;
    std::string attempt;
    uint64_t version = 0; // Of the query.
    PeerActionState state = PeerActionState::Unknown;
    bool operator==(const ActionVerdict&) const = default;
    JACINTHSPINDLE_FIELDS(self.row, self.attempt, self.version, self.state)
};

// The order of the alternatives is part of the format; new ones are added at the end.
using PeerBody = std::variant<Ping, Ack, PingRequest, TablePush, TableRequest, TableSnapshot, LimitReport, LimitGrant,
    ActionQuery, ActionVerdict>;

struct PeerMessage {
    uint16_t format = peerFormatVersion;
    HostId sender;
    uint64_t incarnation = 0;
    uint64_t sequence = 0; // Rises with each message of one life of the sender.
    uint64_t logicalTime = 0; // Lamport time.
    HostId receiver; // Empty only for a Ping to an address whose daemon is not known yet, and for its Ack.
    PeerBody body;
    JACINTHSPINDLE_FIELDS(
        self.format, self.sender, self.incarnation, self.sequence, self.logicalTime, self.receiver, self.body)
};

// An output of the machines below: the caller adds the envelope and sends the message to the address.
struct SendToPeer {
    HostId receiver; // Empty when not known yet.
    std::string address;
    PeerBody body;
    JACINTHSPINDLE_FIELDS(self.receiver, self.address, self.body)
};

// An input of the machines below: an authentic message of another daemon.
struct PeerReceived {
    HostId sender;
    uint64_t incarnation = 0;
    PeerBody body;
    JACINTHSPINDLE_FIELDS(self.sender, self.incarnation, self.body)
};

} // namespace jacinthspindle
