// Distributed rate limiting: divides the limits of each workspace among the daemons.
//
// Each daemon has a guaranteed share of every limit, an equal part. Unused shares are lent for the time of a lease (2
// s). Within a data centre the lender is the coordinator of the workspace's group; between data centres one of these
// coordinators lends to the others by the same rules. While a daemon is in contact with its lender but has no lease, it
// uses only its standing share, a fixed part of the guaranteed share that is never lent.

#pragma once

#include "spindlecore/PeerMessage.h"

#include <memory>

namespace jacinthspindle {

// A share is a fraction of a workspace's limits, in parts per million. The same share applies to requests per second,
// tokens per second and concurrency.
constexpr uint32_t wholeShare = 1'000'000;

struct LimitSharesConfig {
    HostId self;
    DataCentreId dataCentre;
    uint32_t groups = 4; // Workspaces are hashed into this many groups, each with one coordinator per data centre.
    std::chrono::milliseconds reportInterval { 1000 };
    std::chrono::milliseconds lease { 2000 };
    std::chrono::milliseconds urgentInterval { 500 }; // Minimum time between two reports of a demand above the share.
    uint32_t entriesPerReport = 6; // Bounds the bytes per second. Further workspaces wait for a later report, in order
                                   // of waiting time x weight.
    // The standing share is the guaranteed share divided by this. The coordinator may lend the rest.
    uint32_t standingDivisor = 4;
    JACINTHSPINDLE_FIELDS(self.self, self.dataCentre, self.groups, self.reportInterval, self.lease, self.urgentInterval,
        self.entriesPerReport, self.standingDivisor)
};

// ---- Inputs.

struct LimitMember {
    HostId host;
    DataCentreId dataCentre;
    std::string address;
    bool isReachable
        = false; // True for alive and leaving members. Suspect and dead members keep their guaranteed share.
    bool operator==(const LimitMember&) const = default;
    JACINTHSPINDLE_FIELDS(self.host, self.dataCentre, self.address, self.isReachable)
};

struct LimitMembers {
    std::vector<LimitMember> members; // All known members except this daemon.
    JACINTHSPINDLE_FIELDS(self.members)
};

// This daemon's current demand for a workspace: the use that it would make without any limit.
struct DemandSeen {
    WorkspaceId workspace;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    double concurrency = 0;
    JACINTHSPINDLE_FIELDS(self.workspace, self.requestsPerSecond, self.tokensPerSecond, self.concurrency)
};

// The configuration table from which the limits and weights of the workspaces are read. A null table is ignored.
struct LimitTable {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// Sends due reports and ends expired leases. The caller passes one at least every 100 ms.
struct LimitTick {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

using LimitInput = std::variant<PeerReceived, LimitMembers, DemandSeen, LimitTable, LimitTick>;
using LimitOutput = std::variant<SendToPeer, ShareChanged>;

// Faults that tests inject to prove that they detect the violation of a rule.
enum class LimitFault : uint8_t { None, LendUnreachable, KeepExpiredLease, LendBeforeReturned, NoWarmUp };

class LimitShares {
public:
    explicit LimitShares(LimitSharesConfig, LimitFault = LimitFault::None);
    ~LimitShares();
    LimitShares(LimitShares&&) noexcept;
    LimitShares& operator=(LimitShares&&) noexcept;

    // Processes an input and appends the resulting messages and changes of shares to the outputs.
    void apply(Instant now, const LimitInput&, std::vector<LimitOutput>&);

    // This daemon's current share of the workspace's limits, in parts per million; wholeShare if it has no limit.
    uint32_t share(Instant now, const WorkspaceId&) const;
    uint32_t groupOf(const WorkspaceId&) const;
    // The coordinator of a group in this data centre; none before the first tick or list of members.
    std::optional<HostId> coordinatorOf(uint32_t group) const;
    // Whether this daemon is the coordinator of the group in its data centre.
    bool isCoordinator(uint32_t group) const;
    // Whether enough time has passed since the first tick to discover the other daemons. Until then this daemon has no
    // share without a lease.
    bool hasJoined() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jacinthspindle
