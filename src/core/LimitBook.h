// The book of a lender of limit shares, and the side of a borrower. Both serve daemons within a data centre and data
// centres among each other.

#pragma once

#include "spindlecore/LimitShares.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace jacinthspindle::internal {

// The process that reports for a holder. Its rounds cannot be compared with those of another process.
struct LimitSender {
    HostId host;
    uint64_t incarnation = 0;
    bool operator==(const LimitSender&) const = default;
};

// Who holds which share of the workspaces of one group. Holders are daemons, or data centres one level up.
//
// Invariant: for each workspace the sum over the holders of the greatest share that each may use now is at most the
// capacity, as long as each holder that was not heard of for a lease uses at most the guaranteed share.
class LimitLender {
public:
    LimitLender(const LimitSharesConfig&, LimitFault);

    void setHolders(const std::set<HostId>& holders);
    // The lender takes over. For two leases it only renews what is held, because it does not know the leases that its
    // predecessor gave.
    void start(Instant now);
    void stop();
    bool isActive() const { return m_isActive; }

    // Returns the leases for the entries of a report. guaranteed is the share of one holder in parts per million;
    // capacity returns what may be given out of a workspace.
    using Capacity = std::function<uint32_t(const WorkspaceId&)>;
    std::vector<LimitLease> handleReport(
        Instant now, const HostId&, const LimitSender&, const LimitReport&, uint32_t guaranteed, const Capacity&);
    // What all holders together want of each workspace that has an entry.
    std::map<WorkspaceId, uint32_t> totalDemands(Instant now, uint32_t guaranteed) const;
    // The sum of the shares that the holders may use now by leases.
    uint64_t outstanding(Instant now, const WorkspaceId&) const;
    // Grants more to holders whose last report is not met, after the capacity grew.
    struct RaisedLease {
        LimitSender sender;
        uint64_t round = 0;
        LimitLease lease;
    };
    std::vector<RaisedLease> raiseLeases(Instant now, const WorkspaceId&, uint32_t guaranteed, uint32_t capacity);
    void expire(Instant now);

private:
    struct Holder {
        HostId host; // Empty for a free index.
        LimitSender sender;
        Instant lastReportAt {};
        bool isAttached = false;
        uint64_t round = 0;
        std::vector<WorkspaceId> listed; // Workspaces with an entry in the last reports.
    };
    // One holder's part of one workspace.
    struct Allocation {
        bool isListed = false;
        uint32_t demand = 0;
        uint32_t held = 0;
        uint32_t share = 0; // The last grant, valid until `until`.
        uint64_t round = 0;
        Instant until {};
        uint32_t peak = 0; // A greater share that the holder may still use, until peakUntil.
        Instant peakUntil {};
    };
    struct WorkspaceState {
        uint32_t capacity = 0; // At the last grant.
        std::vector<Allocation> allocations; // By the index of the holder.
    };
    // What the holders together may use and want of one workspace.
    struct SharePlan {
        uint64_t reserved = 0;
        std::vector<uint32_t> targets; // By the index of the holder.
    };

    void updateSender(size_t index, const LimitSender&);
    void recordEntries(size_t index, const LimitReport&);
    bool isConnected(Instant, const Holder&) const;
    WorkspaceState& stateOf(const WorkspaceId&);
    // The greatest share that a holder may use now.
    uint32_t reserved(Instant, const Holder&, const Allocation&, uint32_t guaranteed) const;
    SharePlan planShares(Instant, const WorkspaceState&, uint32_t guaranteed, uint32_t capacity) const;
    uint32_t grant(Instant, size_t index, WorkspaceState&, SharePlan&, uint32_t guaranteed, bool onlyRaise);

    LimitSharesConfig m_config;
    LimitFault m_fault;
    bool m_isActive = false;
    Instant m_startedAt {};
    size_t m_count = 0; // Holders without the free indexes.
    std::vector<Holder> m_holders;
    std::map<HostId, size_t> m_index;
    std::map<WorkspaceId, WorkspaceState> m_workspaces;
};

// The side that holds shares of one group's workspaces.
class LimitBorrower {
public:
    LimitBorrower(const LimitSharesConfig&, LimitFault);

    // Without an answer to its reports for a lease the borrower uses the guaranteed share.
    bool isDetached(Instant) const;
    uint32_t share(Instant, const WorkspaceId&, uint32_t guaranteed) const;
    LimitReport makeReport(Instant, LimitLevel, uint32_t group, bool isComplete, std::vector<LimitEntry>);
    // Takes an answer; one to an unknown report, or one whose leases have ended, changes no share.
    void applyGrant(Instant, const LimitGrant&);
    // The round of the lease in use; 0 without a lease.
    uint64_t leaseRound(Instant, const WorkspaceId&) const;
    void changeLender();
    std::set<WorkspaceId> leased(Instant) const;
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
    std::map<uint64_t, Instant> m_sent; // Reports that may still be answered.
    std::optional<Instant> m_unansweredSince;
    std::map<WorkspaceId, Lease> m_leases;
};

} // namespace jacinthspindle::internal
