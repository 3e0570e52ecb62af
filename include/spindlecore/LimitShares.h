// Shares of the workspaces' limits. Each daemon has a guaranteed share; unused share is lent, with leases of 2 s, by
// the coordinator of the workspace's group in each data centre, and between data centres by the same rule one level up.

#pragma once

#include "spindlecore/PeerMessage.h"

#include <memory>

namespace jacinthspindle {

// A share is a fraction of a workspace's limits in parts per million; it applies to all three limits alike.
constexpr uint32_t wholeShare = 1'000'000;

struct LimitSharesConfig {
    HostId self;
    DataCentreId dataCentre;
    uint32_t groups = 4; // Workspaces fall into this many groups, each with one coordinator per data centre.
    std::chrono::milliseconds reportInterval { 1000 };
    std::chrono::milliseconds lease { 2000 };
    std::chrono::milliseconds urgentInterval { 500 }; // Between reports of a sudden demand.
    uint32_t entriesPerReport = 6; // Bounds the bytes per second; further workspaces take turns, by weight.
    // Without a lease a daemon uses 1/4 of its guaranteed share: the coordinator may lend the rest of it.
    uint32_t standingDivisor = 4;
    JACINTHSPINDLE_FIELDS(self.self, self.dataCentre, self.groups, self.reportInterval, self.lease, self.urgentInterval,
        self.entriesPerReport, self.standingDivisor)
};

// ---- Inputs.

struct LimitMember {
    HostId host;
    DataCentreId dataCentre;
    std::string address;
    bool isReachable = false; // Alive or leaving; members that are suspect or dead keep their guaranteed share.
    bool operator==(const LimitMember&) const = default;
    JACINTHSPINDLE_FIELDS(self.host, self.dataCentre, self.address, self.isReachable)
};

struct LimitMembers {
    std::vector<LimitMember> members; // All known ones, without this daemon.
    JACINTHSPINDLE_FIELDS(self.members)
};

// What this daemon would use of a workspace's limits now, if nothing limited it.
struct DemandSeen {
    WorkspaceId workspace;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    double concurrency = 0;
    JACINTHSPINDLE_FIELDS(self.workspace, self.requestsPerSecond, self.tokensPerSecond, self.concurrency)
};

struct LimitTable {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// To be passed at least every 100 ms.
struct LimitTick {
    template <typename Self, typename Visitor> static void fields(Self&, Visitor&& visit) { visit(); }
};

using LimitInput = std::variant<PeerReceived, LimitMembers, DemandSeen, LimitTable, LimitTick>;
using LimitOutput = std::variant<SendToPeer, ShareChanged>;

// Faults for the tests of the tests: each one breaks a rule on purpose.
enum class LimitFault : uint8_t { None, LendUnreachable, KeepExpiredLease, LendBeforeReturned, NoWarmUp };

class LimitShares {
public:
    explicit LimitShares(LimitSharesConfig, LimitFault = LimitFault::None);
    ~LimitShares();
    LimitShares(LimitShares&&) noexcept;
    LimitShares& operator=(LimitShares&&) noexcept;

    void apply(Instant now, const LimitInput&, std::vector<LimitOutput>&);

    // This daemon's present share in parts per million of the workspace's limits.
    uint32_t share(Instant now, const WorkspaceId&) const;
    uint32_t groupOf(const WorkspaceId&) const;
    std::optional<HostId> coordinatorOf(uint32_t group) const;
    bool isCoordinator(uint32_t group) const;
    // Whether this daemon has had the time to learn of the others; until then it uses only what it has leased.
    bool hasJoined() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jacinthspindle
