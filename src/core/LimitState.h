// Private state of LimitShares: demand and leases of this daemon, and the lenders of the groups that it coordinates.

#pragma once

#include "LimitBook.h"
#include "spindlecore/Membership.h"
#include "spindlecore/internal/Digest.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>

namespace jacinthspindle {

namespace internal {

    using std::chrono::milliseconds;

    // A demand that is not measured again within this time counts as zero.
    constexpr milliseconds demandTimeout { 3000 };
    // Time from the first tick in which a daemon discovers the other daemons. Until then it has no share without a
    // lease: it would divide the limit by too few daemons, and several daemons that restart at once would exceed the
    // limit.
    constexpr milliseconds joinDelay { 3000 };
    // Factor by which the reported demand exceeds the measured one, so that a small increase needs no new report.
    constexpr double leaseHeadroom = 1.25;
    // Changes of a share by up to this fraction of its last emitted value are not emitted.
    constexpr double minRelativeChange = 0.01;

    struct Workspace {
        WorkspaceRow row;
        uint32_t group = 0;
        uint32_t demand = 0; // Parts per million, including leaseHeadroom.
        Instant demandAt {};
        Instant reportedAt {};
        std::optional<uint32_t> lastEmitted; // The share in the last ShareChanged, in parts per million.
    };

    // The connection to the lender of one level, from which this daemon borrows for itself or for its data centre.
    struct LenderLink {
        LimitBorrower borrower;
        std::optional<HostId> lenderHost;
        Instant nextReportAt {};
        Instant nextUrgentAt {};
        std::set<WorkspaceId> urgent; // Workspaces whose demand exceeds the share, for the next urgent report.
    };

    struct Group {
        LenderLink own; // Borrows for this daemon from the coordinator of this data centre.
        LenderLink upper; // Borrows for this data centre; used while localLender is active.
        LimitLender localLender; // Lends to the daemons of this data centre; active on their coordinator only.
        LimitLender upperLender; // Lends to the data centres; active on one daemon of all data centres only.
    };

} // namespace internal

struct LimitShares::State {
    using Workspace = internal::Workspace;
    using LimitLender = internal::LimitLender;
    using LimitBorrower = internal::LimitBorrower;
    using LimitSender = internal::LimitSender;
    using Group = internal::Group;
    using LenderLink = internal::LenderLink;
    using milliseconds = std::chrono::milliseconds;
    using Outputs = std::vector<LimitOutput>;

    State(LimitSharesConfig value, LimitFault fault)
        : config(std::move(value))
    {
        for (uint32_t i = 0; i < config.groups; ++i) {
            groups.push_back(
                { { LimitBorrower(config, fault), {}, {}, {}, {} }, { LimitBorrower(config, fault), {}, {}, {}, {} },
                    LimitLender(config, fault), LimitLender(config, fault) });
        }
        dataCentres.insert(config.dataCentre);
    }

    // ---- Members.

    void on(Instant now, const LimitMembers& input, Outputs& out)
    {
        // Most membership updates, such as a refuted suspicion, change nothing that matters here.
        if (isUnchanged(input.members))
            return;
        members.clear();
        dataCentres = { config.dataCentre };
        std::set<HostId> local { config.self };
        for (const auto& it : input.members) {
            members[it.host] = it;
            dataCentres.insert(it.dataCentre);
            if (it.dataCentre == config.dataCentre)
                local.insert(it.host);
        }
        localDaemonCount = static_cast<uint32_t>(local.size());
        std::set<HostId> dataCentreHolders;
        for (const auto& it : dataCentres)
            dataCentreHolders.insert(HostId(it.value()));
        for (uint32_t i = 0; i < config.groups; ++i) {
            groups[i].localLender.setHolders(local);
            groups[i].upperLender.setHolders(dataCentreHolders);
            chooseLenders(now, i);
        }
        emitChangedShares(now, out);
    }

    bool isUnchanged(const std::vector<LimitMember>& updated) const
    {
        if (updated.size() != members.size() || groups.front().own.lenderHost == std::nullopt)
            return false;
        return std::all_of(updated.begin(), updated.end(), [&](const LimitMember& it) {
            auto known = members.find(it.host);
            return known != members.end() && known->second == it;
        });
    }

    // The weight of a host or data centre for a group in rendezvous hashing. The cache is cleared when it has more
    // entries than the largest cluster needs.
    uint64_t rendezvousWeight(uint32_t index, const std::string& name)
    {
        auto key = std::to_string(index) + "/" + name;
        auto it = rendezvousWeights.find(key);
        if (it != rendezvousWeights.end())
            return it->second;
        if (rendezvousWeights.size() >= maxMembers * config.groups)
            rendezvousWeights.clear();
        return rendezvousWeights[key] = internal::sha256Prefix64("limits/" + key);
    }

    void chooseLenders(Instant now, uint32_t index)
    {
        auto& group = groups[index];
        setLender(now, group.own, coordinator(index, config.dataCentre), group.localLender);
        std::set<DataCentreId> reachable { config.dataCentre };
        for (const auto& [host, member] : members) {
            if (member.isReachable)
                reachable.insert(member.dataCentre);
        }
        DataCentreId topDataCentre;
        uint64_t greatest = 0;
        for (const auto& it : reachable) {
            auto digest = rendezvousWeight(index, "dc/" + it.value());
            if (digest >= greatest) {
                greatest = digest;
                topDataCentre = it;
            }
        }
        setLender(now, group.upper, coordinator(index, topDataCentre), group.upperLender);
    }

    void setLender(Instant now, LenderLink& link, const HostId& lenderHost, LimitLender& lender) const
    {
        if (link.lenderHost == lenderHost)
            return;
        link.lenderHost = lenderHost;
        link.borrower.changeLender();
        if (lenderHost == config.self)
            lender.start(now);
        else
            lender.stop();
    }

    HostId coordinator(uint32_t index, const DataCentreId& dataCentre)
    {
        HostId result;
        uint64_t greatest = 0;
        auto consider = [&](const HostId& host) {
            auto digest = rendezvousWeight(index, host.value());
            if (digest >= greatest) {
                greatest = digest;
                result = host;
            }
        };
        if (dataCentre == config.dataCentre)
            consider(config.self);
        for (const auto& [host, member] : members) {
            if (member.isReachable && member.dataCentre == dataCentre)
                consider(host);
        }
        return result;
    }

    // ---- Shares.

    uint32_t guaranteedDataCentreShare() const { return wholeShare / static_cast<uint32_t>(dataCentres.size()); }
    uint32_t guaranteedDaemonShare() const { return guaranteedDataCentreShare() / localDaemonCount; }

    // The share of a workspace that the group's coordinator in this data centre may hand out, in parts per million.
    uint32_t capacity(Instant now, uint32_t index, const WorkspaceId& workspace) const
    {
        if (dataCentres.size() == 1)
            return wholeShare;
        return groups[index].upper.borrower.share(now, workspace, guaranteedDataCentreShare());
    }

    uint32_t share(Instant now, const WorkspaceId& id, const Workspace& workspace) const
    {
        return groups[workspace.group].own.borrower.share(now, id, hasJoined ? guaranteedDaemonShare() : 0);
    }

    void emitShareChange(Instant now, const WorkspaceId& id, Workspace& workspace, Outputs& out)
    {
        uint32_t value = share(now, id, workspace);
        if (workspace.lastEmitted) {
            double old = *workspace.lastEmitted;
            if (std::abs(value - old) <= internal::minRelativeChange * old)
                return;
        }
        workspace.lastEmitted = value;
        auto scale = [&](uint32_t limit) {
            return limit ? static_cast<double>(limit) * value / wholeShare : std::numeric_limits<double>::infinity();
        };
        const auto& row = workspace.row;
        out.push_back(
            ShareChanged { id, scale(row.requestsPerSecond), scale(row.tokensPerSecond), scale(row.concurrency) });
    }

    void emitChangedShares(Instant now, Outputs& out)
    {
        for (auto& [id, workspace] : workspaces)
            emitShareChange(now, id, workspace, out);
    }

    // ---- Table and demand.

    void on(Instant now, const LimitTable& input, Outputs& out)
    {
        if (!input.table)
            return;
        std::map<WorkspaceId, Workspace> updated;
        for (const auto& row : input.table->workspaces) {
            if (!row.requestsPerSecond && !row.tokensPerSecond && !row.concurrency)
                continue;
            auto it = workspaces.find(row.workspace);
            auto& workspace = updated[row.workspace];
            if (it != workspaces.end())
                workspace = it->second;
            // The share is a fraction, but ShareChanged carries absolute values, which change with the limits.
            if (it == workspaces.end() || it->second.row != row)
                workspace.lastEmitted.reset();
            workspace.row = row;
            workspace.group = groupOf(row.workspace);
        }
        workspaces = std::move(updated);
        emitChangedShares(now, out);
    }

    uint32_t groupOf(const WorkspaceId& id) const
    {
        return static_cast<uint32_t>(internal::sha256Prefix64(id.value()) % config.groups);
    }

    void on(Instant now, const DemandSeen& demand, Outputs& out)
    {
        auto it = workspaces.find(demand.workspace);
        if (it == workspaces.end())
            return;
        auto& workspace = it->second;
        double ratio = 0;
        auto add = [&](double value, uint32_t limit) {
            if (limit && std::isfinite(value))
                ratio = std::max(ratio, value / limit);
        };
        add(demand.requestsPerSecond, workspace.row.requestsPerSecond);
        add(demand.tokensPerSecond, workspace.row.tokensPerSecond);
        add(demand.concurrency, workspace.row.concurrency);
        auto wanted = std::min(ratio * internal::leaseHeadroom, 1.0) * wholeShare;
        workspace.demand = static_cast<uint32_t>(std::ceil(wanted));
        workspace.demandAt = now;
        auto& own = groups[workspace.group].own;
        if (ratio * wholeShare <= share(now, it->first, workspace))
            return;
        own.urgent.insert(it->first);
        reportUrgent(now, workspace.group, out);
    }

    // ---- Reports and messages.

    LimitEntry makeEntry(Instant now, const WorkspaceId& id, Workspace& workspace);
    void reportUrgent(Instant now, uint32_t index, Outputs& out);
    void reportOwn(Instant now, uint32_t index, Outputs& out);
    LimitEntry makeUpperEntry(Instant now, uint32_t index, const WorkspaceId& id, uint32_t demand);
    void reportUpper(Instant now, uint32_t index, bool isUrgent, Outputs& out);
    // The maximum number of entries in the report of a data centre. It is larger than that of a daemon because the
    // coordinator reports for all daemons of the data centre at once.
    size_t maxUpperEntries() const { return size_t(8) * config.entriesPerReport; }
    void send(
        Instant now, uint32_t index, LimitLevel level, bool isComplete, std::vector<LimitEntry> entries, Outputs& out);
    void sendToPeer(const HostId& host, PeerBody body, Outputs& out);
    void on(Instant now, const PeerReceived& message, Outputs& out);
    void onReport(Instant now, const LimitSender& sender, const LimitReport& report, Outputs& out);
    void sendGrant(Instant now, const HostId& host, LimitGrant grant, Outputs& out);
    // Sends an urgent report to the upper lender when the demand of the daemons of this data centre exceeds its share.
    void reportUrgentUpper(Instant now, const LimitReport& report, Outputs& out);
    void onGrant(Instant now, const HostId& sender, const LimitGrant& grant, Outputs& out);
    void raiseLeases(Instant now, uint32_t index, const WorkspaceId& id, Outputs& out);

    // ---- Time.

    void on(Instant now, const LimitTick&, Outputs& out)
    {
        if (!startedAt)
            startedAt = now;
        hasJoined = hasJoined || now - *startedAt >= internal::joinDelay;
        for (uint32_t i = 0; i < config.groups; ++i)
            tickGroup(now, i, out);
        for (auto& [id, workspace] : workspaces) {
            if (workspace.lastEmitted && *workspace.lastEmitted != share(now, id, workspace))
                emitShareChange(now, id, workspace, out);
        }
    }

    void tickGroup(Instant now, uint32_t index, Outputs& out)
    {
        auto& group = groups[index];
        if (!group.own.lenderHost)
            chooseLenders(now, index);
        reportUrgent(now, index, out);
        if (now >= group.own.nextReportAt) {
            group.own.nextReportAt = nextReport(now, index, group.own.nextReportAt);
            group.own.borrower.expire(now);
            group.upper.borrower.expire(now);
            group.localLender.expire(now);
            group.upperLender.expire(now);
            reportOwn(now, index, out);
        }
        if (group.localLender.isActive() && dataCentres.size() > 1 && now >= group.upper.nextReportAt) {
            group.upper.nextReportAt = nextReport(now, index, group.upper.nextReportAt);
            reportUpper(now, index, false, out);
        }
    }

    // The time of the next report. The first one has an offset by daemon and group, which spreads the reports over the
    // interval.
    Instant nextReport(Instant now, uint32_t index, Instant last) const
    {
        if (last != Instant {})
            return std::max(last + config.reportInterval, now);
        auto phase = internal::sha256Prefix64(config.self.value() + "/" + std::to_string(index));
        return now + milliseconds(phase % static_cast<uint64_t>(config.reportInterval.count()));
    }

    LimitSharesConfig config;
    std::map<HostId, LimitMember> members;
    std::unordered_map<std::string, uint64_t> rendezvousWeights;
    std::set<DataCentreId> dataCentres;
    uint32_t localDaemonCount = 1; // Known daemons of this data centre, including this one.
    std::map<WorkspaceId, Workspace> workspaces; // Only workspaces with a limit.
    std::vector<Group> groups;
    std::optional<Instant> startedAt; // Time of the first tick.
    bool hasJoined = false; // joinDelay has passed since startedAt.
};

} // namespace jacinthspindle
