// The state behind LimitShares: this daemon's demand and leases, and the groups that it coordinates.

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

    // A demand that was not seen again for this long is over.
    constexpr milliseconds demandLife { 3000 };
    // Time after its start in which a daemon learns of the others. Until then it has no share without a lease: it would
    // divide the limit by too few daemons, and several that restart at once would pass the limit together.
    constexpr milliseconds joinTime { 3000 };
    // A lease exceeds the demand by a quarter, so that a small rise needs no report.
    constexpr double headroom = 1.25;
    // Smaller changes of a share are not passed on.
    constexpr double minChange = 0.01;

    struct Workspace {
        WorkspaceRow row;
        uint32_t group = 0;
        uint32_t demand = 0; // Parts per million, with headroom.
        Instant demandAt {};
        Instant reportedAt {};
        std::optional<uint32_t> emitted;
    };

    // One level at which this daemon borrows for itself or for its data centre.
    struct Reporting {
        LimitBorrower borrower;
        std::optional<HostId> lender;
        Instant next {};
        Instant nextUrgent {};
        std::set<WorkspaceId> urgent;
    };

    struct Group {
        Reporting own;
        Reporting upper;
        LimitBook book;
        LimitBook upperBook;
    };

} // namespace internal

struct LimitShares::State {
    using Workspace = internal::Workspace;
    using LimitBook = internal::LimitBook;
    using LimitBorrower = internal::LimitBorrower;
    using LimitSender = internal::LimitSender;
    using Group = internal::Group;
    using Reporting = internal::Reporting;
    using milliseconds = std::chrono::milliseconds;
    using Outputs = std::vector<LimitOutput>;

    State(LimitSharesConfig value, LimitFault fault)
        : config(std::move(value))
    {
        for (uint32_t i = 0; i < config.groups; ++i) {
            groups.push_back({ { LimitBorrower(config, fault), {}, {}, {}, {} },
                { LimitBorrower(config, fault), {}, {}, {}, {} }, LimitBook(config, fault), LimitBook(config, fault) });
        }
        dataCentres.insert(config.dataCentre);
    }

    // ---- Members.

    void on(Instant now, const LimitMembers& input, Outputs& out)
    {
        // Most changes of members, such as a refutation, do not matter here.
        if (isSame(input.members))
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
        localCount = static_cast<uint32_t>(local.size());
        std::set<HostId> centres;
        for (const auto& it : dataCentres)
            centres.insert(HostId(it.value()));
        for (uint32_t i = 0; i < config.groups; ++i) {
            groups[i].book.setHolders(local);
            groups[i].upperBook.setHolders(centres);
            chooseLenders(now, i);
        }
        emitAll(now, out);
    }

    bool isSame(const std::vector<LimitMember>& fresh) const
    {
        if (fresh.size() != members.size() || groups.front().own.lender == std::nullopt)
            return false;
        return std::all_of(fresh.begin(), fresh.end(), [&](const LimitMember& it) {
            auto known = members.find(it.host);
            return known != members.end() && known->second == it;
        });
    }

    // The digest for rendezvous hashing, from a cache that is emptied when it grows beyond all hosts in use.
    uint64_t weight(uint32_t index, const std::string& name)
    {
        auto key = std::to_string(index) + "/" + name;
        auto it = weights.find(key);
        if (it != weights.end())
            return it->second;
        if (weights.size() >= maxMembers * config.groups)
            weights.clear();
        return weights[key] = internal::sha256Prefix64("limits/" + key);
    }

    void chooseLenders(Instant now, uint32_t index)
    {
        auto& group = groups[index];
        setLender(now, group.own, coordinator(index, config.dataCentre), group.book);
        std::set<DataCentreId> reachable { config.dataCentre };
        for (const auto& [host, member] : members) {
            if (member.isReachable)
                reachable.insert(member.dataCentre);
        }
        DataCentreId top;
        uint64_t greatest = 0;
        for (const auto& it : reachable) {
            auto digest = weight(index, "dc/" + it.value());
            if (digest >= greatest) {
                greatest = digest;
                top = it;
            }
        }
        setLender(now, group.upper, coordinator(index, top), group.upperBook);
    }

    void setLender(Instant now, Reporting& reporting, const HostId& lender, LimitBook& book) const
    {
        if (reporting.lender == lender)
            return;
        reporting.lender = lender;
        reporting.borrower.changeLender();
        if (lender == config.self)
            book.start(now);
        else
            book.stop();
    }

    HostId coordinator(uint32_t index, const DataCentreId& dataCentre)
    {
        HostId result;
        uint64_t greatest = 0;
        auto consider = [&](const HostId& host) {
            auto digest = weight(index, host.value());
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

    uint32_t centreShare() const { return wholeShare / static_cast<uint32_t>(dataCentres.size()); }
    uint32_t ownShare() const { return centreShare() / localCount; }

    // What the coordinators of this data centre may give out of a workspace.
    uint32_t capacity(Instant now, uint32_t index, const WorkspaceId& workspace) const
    {
        if (dataCentres.size() == 1)
            return wholeShare;
        return groups[index].upper.borrower.share(now, workspace, centreShare());
    }

    uint32_t share(Instant now, const WorkspaceId& id, const Workspace& workspace) const
    {
        return groups[workspace.group].own.borrower.share(now, id, hasJoined ? ownShare() : 0);
    }

    void emit(Instant now, const WorkspaceId& id, Workspace& workspace, Outputs& out)
    {
        uint32_t value = share(now, id, workspace);
        if (workspace.emitted) {
            double old = *workspace.emitted;
            if (std::abs(value - old) <= internal::minChange * old)
                return;
        }
        workspace.emitted = value;
        auto part = [&](uint32_t limit) {
            return limit ? static_cast<double>(limit) * value / wholeShare : std::numeric_limits<double>::infinity();
        };
        const auto& row = workspace.row;
        out.push_back(
            ShareChanged { id, part(row.requestsPerSecond), part(row.tokensPerSecond), part(row.concurrency) });
    }

    void emitAll(Instant now, Outputs& out)
    {
        for (auto& [id, workspace] : workspaces)
            emit(now, id, workspace, out);
    }

    // ---- Table and demand.

    void on(Instant now, const LimitTable& input, Outputs& out)
    {
        if (!input.table)
            return;
        std::map<WorkspaceId, Workspace> fresh;
        for (const auto& row : input.table->workspaces) {
            if (!row.requestsPerSecond && !row.tokensPerSecond && !row.concurrency)
                continue;
            auto it = workspaces.find(row.workspace);
            auto& workspace = fresh[row.workspace];
            if (it != workspaces.end())
                workspace = it->second;
            // Shares are fractions, but the values that were passed on depend on the limits.
            if (it == workspaces.end() || it->second.row != row)
                workspace.emitted.reset();
            workspace.row = row;
            workspace.group = groupOf(row.workspace);
        }
        workspaces = std::move(fresh);
        emitAll(now, out);
    }

    uint32_t groupOf(const WorkspaceId& id) const
    {
        return static_cast<uint32_t>(internal::sha256Prefix64(id.value()) % config.groups);
    }

    void on(Instant now, const DemandSeen& seen, Outputs& out)
    {
        auto it = workspaces.find(seen.workspace);
        if (it == workspaces.end())
            return;
        auto& workspace = it->second;
        double ratio = 0;
        auto add = [&](double value, uint32_t limit) {
            if (limit && std::isfinite(value))
                ratio = std::max(ratio, value / limit);
        };
        add(seen.requestsPerSecond, workspace.row.requestsPerSecond);
        add(seen.tokensPerSecond, workspace.row.tokensPerSecond);
        add(seen.concurrency, workspace.row.concurrency);
        auto wanted = std::min(ratio * internal::headroom, 1.0) * wholeShare;
        workspace.demand = static_cast<uint32_t>(std::ceil(wanted));
        workspace.demandAt = now;
        auto& own = groups[workspace.group].own;
        if (ratio * wholeShare <= share(now, it->first, workspace))
            return;
        own.urgent.insert(it->first);
        reportUrgent(now, workspace.group, out);
    }

    // ---- Reports and messages.

    LimitEntry entryOf(Instant now, const WorkspaceId& id, Workspace& workspace);
    void reportUrgent(Instant now, uint32_t index, Outputs& out);
    void reportOwn(Instant now, uint32_t index, Outputs& out);
    LimitEntry upperEntry(Instant now, uint32_t index, const WorkspaceId& id, uint32_t demand);
    void reportUpper(Instant now, uint32_t index, bool isUrgent, Outputs& out);
    // A coordinator reports for many daemons, once for the whole data centre.
    size_t upperEntries() const { return size_t(8) * config.entriesPerReport; }
    void send(
        Instant now, uint32_t index, LimitLevel level, bool isComplete, std::vector<LimitEntry> entries, Outputs& out);
    void toPeer(const HostId& host, PeerBody body, Outputs& out);
    void on(Instant now, const PeerReceived& message, Outputs& out);
    void onReport(Instant now, const LimitSender& sender, const LimitReport& report, Outputs& out);
    void answer(Instant now, const HostId& host, LimitGrant grant, Outputs& out);
    // Asks for more one level up when the daemons of this data centre want more than it has.
    void markUpper(Instant now, const LimitReport& report, Outputs& out);
    void onGrant(Instant now, const HostId& sender, const LimitGrant& grant, Outputs& out);
    void raise(Instant now, uint32_t index, const WorkspaceId& id, Outputs& out);

    // ---- Time.

    void on(Instant now, const LimitTick&, Outputs& out)
    {
        if (!startedAt)
            startedAt = now;
        hasJoined = hasJoined || now - *startedAt >= internal::joinTime;
        for (uint32_t i = 0; i < config.groups; ++i)
            tickGroup(now, i, out);
        for (auto& [id, workspace] : workspaces) {
            if (workspace.emitted && *workspace.emitted != share(now, id, workspace))
                emit(now, id, workspace, out);
        }
    }

    void tickGroup(Instant now, uint32_t index, Outputs& out)
    {
        auto& group = groups[index];
        if (!group.own.lender)
            chooseLenders(now, index);
        reportUrgent(now, index, out);
        if (now >= group.own.next) {
            group.own.next = nextReport(now, index, group.own.next);
            group.own.borrower.expire(now);
            group.upper.borrower.expire(now);
            group.book.expire(now);
            group.upperBook.expire(now);
            reportOwn(now, index, out);
        }
        if (group.book.isActive() && dataCentres.size() > 1 && now >= group.upper.next) {
            group.upper.next = nextReport(now, index, group.upper.next);
            reportUpper(now, index, false, out);
        }
    }

    // Spreads the reports of the groups and of the daemons over the interval.
    Instant nextReport(Instant now, uint32_t index, Instant last) const
    {
        if (last != Instant {})
            return std::max(last + config.reportInterval, now);
        auto phase = internal::sha256Prefix64(config.self.value() + "/" + std::to_string(index));
        return now + milliseconds(phase % static_cast<uint64_t>(config.reportInterval.count()));
    }

    LimitSharesConfig config;
    std::map<HostId, LimitMember> members;
    std::unordered_map<std::string, uint64_t> weights;
    std::set<DataCentreId> dataCentres;
    uint32_t localCount = 1; // Known daemons of this data centre, with this one.
    std::map<WorkspaceId, Workspace> workspaces; // Those with a limit.
    std::vector<Group> groups;
    std::optional<Instant> startedAt; // Of the first tick.
    bool hasJoined = false; // joinTime has passed since then.
};

} // namespace jacinthspindle
