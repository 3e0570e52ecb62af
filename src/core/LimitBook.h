// The lender and the borrower of limit shares. Both are used at two levels: among the daemons of a data centre, and
// among the data centres.

#pragma once

#include "spindlecore/LimitShares.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace jacinthspindle::internal {

// The process that reports for a holder. Each process numbers its reports (rounds) from 1, so rounds of different
// processes cannot be compared.
struct LimitSender {
    HostId host;
    uint64_t incarnation = 0;
    bool operator==(const LimitSender&) const = default;
};

// Lends shares of the workspaces of one group to holders: to daemons, or to data centres at the upper level.
//
// Invariant: for each workspace, the sum of the largest shares that the holders may currently use is at most the
// capacity, provided that a holder whose last report is older than a lease uses at most its guaranteed share.
class LimitLender {
public:
    LimitLender(const LimitSharesConfig&, LimitFault);

    void setHolders(const std::set<HostId>& holders);
    // Makes this lender the active one. For the duration of two leases it only renews the shares that holders report,
    // because it does not know which leases its predecessor granted.
    void start(Instant now);
    void stop();
    bool isActive() const { return m_isActive; }

    // Returns one lease per entry of the report; none if the holder is unknown or the report is not newer than the
    // last. guaranteed is the guaranteed share of one holder in parts per million; capacity returns the share of a
    // workspace that this lender may hand out.
    using Capacity = std::function<uint32_t(const WorkspaceId&)>;
    std::vector<LimitLease> handleReport(
        Instant now, const HostId&, const LimitSender&, const LimitReport&, uint32_t guaranteed, const Capacity&);
    // The total demand of all holders for each workspace that a connected holder reports, in parts per million. Holders
    // without an entry count with their standing share, disconnected ones with their guaranteed share.
    std::map<WorkspaceId, uint32_t> totalDemands(Instant now, uint32_t guaranteed) const;
    // The sum of the shares that the holders may currently use under leases, in parts per million.
    uint64_t outstanding(Instant now, const WorkspaceId&) const;
    // A larger lease that is granted without a new report; round is that of the holder's last report.
    struct RaisedLease {
        LimitSender sender;
        uint64_t round = 0;
        LimitLease lease;
    };
    // If the capacity has grown, grants larger leases to the connected holders whose demand is not met yet.
    std::vector<RaisedLease> raiseLeases(Instant now, const WorkspaceId&, uint32_t guaranteed, uint32_t capacity);
    // Removes workspaces that no holder reports and whose leases have all expired.
    void expire(Instant now);

private:
    struct Holder {
        HostId host; // Empty if this index is free.
        LimitSender sender;
        Instant lastReportAt {};
        bool isAttached = false; // False if the last report says that the holder uses its guaranteed share.
        uint64_t round = 0; // Of the last report.
        std::vector<WorkspaceId> listed; // Workspaces with an entry in the last complete report or a later one.
    };
    // The share of one workspace that is allocated to one holder.
    struct Allocation {
        bool isListed = false; // The workspace is in Holder::listed.
        uint32_t demand = 0; // As last reported.
        uint32_t held = 0; // The share in use, as last reported.
        uint32_t share = 0; // The last grant, valid until `until`.
        uint64_t round = 0; // Of the report that the last grant answered; UINT64_MAX after a change of the sender.
        Instant until {};
        uint32_t peak = 0; // A larger share from an earlier grant that the holder may still use until peakUntil.
        Instant peakUntil {};
    };
    struct WorkspaceState {
        uint32_t capacity = 0; // At the last grant.
        std::vector<Allocation> allocations; // Indexed by holder.
    };
    // The fair division of one workspace among the holders.
    struct SharePlan {
        uint64_t reserved = 0; // Sum of the largest shares that the holders may currently use.
        std::vector<uint32_t> targets; // The share that each holder should get, indexed by holder.
    };

    void updateSender(size_t index, const LimitSender&);
    void recordEntries(size_t index, const LimitReport&);
    // Whether the last report is younger than a lease and the holder does not use its guaranteed share.
    bool isConnected(Instant, const Holder&) const;
    WorkspaceState& stateOf(const WorkspaceId&);
    // The largest share that the holder may currently use.
    uint32_t reserved(Instant, const Holder&, const Allocation&, uint32_t guaranteed) const;
    SharePlan planShares(Instant, const WorkspaceState&, uint32_t guaranteed, uint32_t capacity) const;
    // Returns the granted share. With onlyRaise, grants nothing and returns 0 unless the share grows.
    uint32_t grant(Instant, size_t index, WorkspaceState&, SharePlan&, uint32_t guaranteed, bool onlyRaise);

    LimitSharesConfig m_config;
    LimitFault m_fault;
    bool m_isActive = false;
    Instant m_startedAt {};
    size_t m_count = 0; // Number of holders; m_holders also contains free indexes.
    std::vector<Holder> m_holders;
    std::map<HostId, size_t> m_index;
    std::map<WorkspaceId, WorkspaceState> m_workspaces;
};

// Reports the demand for the workspaces of one group to a lender and keeps the leases that it grants.
class LimitBorrower {
public:
    LimitBorrower(const LimitSharesConfig&, LimitFault);

    // Whether reports have gone unanswered for the duration of a lease. A detached borrower uses its guaranteed share.
    bool isDetached(Instant) const;
    // The leased share; without a lease the guaranteed share if detached, else the standing share.
    uint32_t share(Instant, const WorkspaceId&, uint32_t guaranteed) const;
    // Numbers a report and records when it was sent, which is when the leases granted for it begin.
    LimitReport makeReport(Instant, LimitLevel, uint32_t group, bool isComplete, std::vector<LimitEntry>);
    // Stores the granted leases. A grant for an unknown report, or one whose leases have already expired, changes no
    // share.
    void applyGrant(Instant, const LimitGrant&);
    // The round of the report that the current lease was granted for; 0 without a lease.
    uint64_t leaseRound(Instant, const WorkspaceId&) const;
    // Drops the reports that the previous lender has not answered. Its leases stay valid until they expire.
    void changeLender();
    // The workspaces with a current lease.
    std::set<WorkspaceId> leased(Instant) const;
    // Removes expired leases, and reports that are too old for a grant to be accepted.
    void expire(Instant);

private:
    struct Lease {
        uint32_t share = 0;
        uint64_t round = 0;
        Instant until {};
    };

    LimitSharesConfig m_config;
    LimitFault m_fault;
    uint64_t m_round = 0;
    std::map<uint64_t, Instant> m_sent; // Time of sending by round, for reports whose grants are still accepted.
    std::optional<Instant> m_unansweredSince; // When the first report since the last answer was sent.
    std::map<WorkspaceId, Lease> m_leases;
};

} // namespace jacinthspindle::internal
