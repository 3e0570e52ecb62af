// Shares of the workspaces' limits: this daemon's demand and leases, and the groups that it coordinates.

#include "spindlecore/LimitShares.h"

#include "LimitBook.h"
#include "spindlecore/internal/Digest.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace jacinthspindle {

namespace {

    using internal::LimitBook;
    using internal::LimitBorrower;
    using internal::LimitSender;
    using std::chrono::milliseconds;

    // A demand that was not seen again for this long is over.
    constexpr milliseconds demandLife { 3000 };
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

} // namespace

struct LimitShares::State {
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
            auto weight = internal::sha256Prefix64("limits/" + std::to_string(index) + "/dc/" + it.value());
            if (weight >= greatest) {
                greatest = weight;
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

    HostId coordinator(uint32_t index, const DataCentreId& dataCentre) const
    {
        HostId result;
        uint64_t greatest = 0;
        auto consider = [&](const HostId& host) {
            auto weight = internal::sha256Prefix64("limits/" + std::to_string(index) + "/" + host.value());
            if (weight >= greatest) {
                greatest = weight;
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
        return groups[workspace.group].own.borrower.share(now, id, ownShare());
    }

    void emit(Instant now, const WorkspaceId& id, Workspace& workspace, Outputs& out)
    {
        uint32_t value = share(now, id, workspace);
        if (workspace.emitted) {
            double old = *workspace.emitted;
            if (std::abs(value - old) <= minChange * old)
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
        auto wanted = std::min(ratio * headroom, 1.0) * wholeShare;
        workspace.demand = static_cast<uint32_t>(std::ceil(wanted));
        workspace.demandAt = now;
        auto& own = groups[workspace.group].own;
        if (ratio * wholeShare <= share(now, it->first, workspace))
            return;
        own.urgent.insert(it->first);
        reportUrgent(now, workspace.group, out);
    }

    // ---- Reports of this daemon.

    LimitEntry entryOf(Instant now, const WorkspaceId& id, Workspace& workspace)
    {
        workspace.reportedAt = now;
        uint32_t demand = now - workspace.demandAt < demandLife ? workspace.demand : 0;
        auto& borrower = groups[workspace.group].own.borrower;
        return { id, demand, share(now, id, workspace), borrower.leaseRound(now, id) };
    }

    void reportUrgent(Instant now, uint32_t index, Outputs& out)
    {
        auto& own = groups[index].own;
        if (own.urgent.empty() || now < own.nextUrgent)
            return;
        own.nextUrgent = now + config.urgentInterval;
        std::vector<LimitEntry> entries;
        for (const auto& id : own.urgent) {
            auto it = workspaces.find(id);
            if (it != workspaces.end() && entries.size() < config.entriesPerReport)
                entries.push_back(entryOf(now, id, it->second));
        }
        own.urgent.clear();
        if (!entries.empty())
            send(now, index, LimitLevel::Daemon, false, std::move(entries), out);
    }

    void reportOwn(Instant now, uint32_t index, Outputs& out)
    {
        struct Candidate {
            const WorkspaceId* id;
            Workspace* workspace;
            double rank; // Waiting time times weight.
        };
        std::vector<Candidate> candidates;
        uint32_t standing = ownShare() / config.standingDivisor;
        auto& own = groups[index].own;
        for (auto& [id, workspace] : workspaces) {
            if (workspace.group != index)
                continue;
            bool isWanted = now - workspace.demandAt < demandLife && workspace.demand > standing;
            if (!isWanted && !own.borrower.leaseRound(now, id))
                continue;
            double waited = std::chrono::duration<double>(now - workspace.reportedAt).count();
            candidates.push_back({ &id, &workspace, waited * workspace.row.weight });
        }
        bool isComplete = candidates.size() <= config.entriesPerReport;
        std::stable_sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
        candidates.resize(std::min<size_t>(candidates.size(), config.entriesPerReport));
        std::vector<LimitEntry> entries;
        entries.reserve(candidates.size());
        for (const auto& it : candidates)
            entries.push_back(entryOf(now, *it.id, *it.workspace));
        own.urgent.clear();
        send(now, index, LimitLevel::Daemon, isComplete, std::move(entries), out);
    }

    // ---- Reports of this data centre.

    LimitEntry upperEntry(Instant now, uint32_t index, const WorkspaceId& id, uint32_t demand)
    {
        auto& group = groups[index];
        uint32_t held = capacity(now, index, id);
        // A smaller lease counts as applied once the leases within the data centre have shrunk too.
        bool isApplied = group.book.outstanding(now, id) <= held;
        return { id, std::min(demand, wholeShare), held, isApplied ? group.upper.borrower.leaseRound(now, id) : 0 };
    }

    void reportUpper(Instant now, uint32_t index, bool isUrgent, Outputs& out)
    {
        auto& group = groups[index];
        auto totals = group.book.totals(now, ownShare());
        uint32_t standing = centreShare() / config.standingDivisor;
        std::vector<std::pair<uint32_t, WorkspaceId>> wanted;
        for (const auto& [id, demand] : totals) {
            bool isListed = isUrgent ? group.upper.urgent.contains(id)
                                     : demand > standing || group.upper.borrower.leaseRound(now, id);
            if (isListed)
                wanted.emplace_back(demand, id);
        }
        group.upper.urgent.clear();
        bool isComplete = !isUrgent && wanted.size() <= upperEntries();
        std::sort(wanted.rbegin(), wanted.rend());
        wanted.resize(std::min<size_t>(wanted.size(), upperEntries()));
        std::vector<LimitEntry> entries;
        for (const auto& [demand, id] : wanted)
            entries.push_back(upperEntry(now, index, id, demand));
        if (!isUrgent || !entries.empty())
            send(now, index, LimitLevel::DataCentre, isComplete, std::move(entries), out);
    }

    // A coordinator reports for many daemons, once for the whole data centre.
    size_t upperEntries() const { return size_t(8) * config.entriesPerReport; }

    // ---- Messages.

    void send(
        Instant now, uint32_t index, LimitLevel level, bool isComplete, std::vector<LimitEntry> entries, Outputs& out)
    {
        auto& reporting = level == LimitLevel::Daemon ? groups[index].own : groups[index].upper;
        if (!reporting.lender)
            return;
        auto report = reporting.borrower.report(now, level, index, isComplete, std::move(entries));
        if (*reporting.lender == config.self)
            onReport(now, { config.self, 0 }, report, out);
        else
            toPeer(*reporting.lender, std::move(report), out);
    }

    void toPeer(const HostId& host, PeerBody body, Outputs& out)
    {
        auto it = members.find(host);
        if (it != members.end())
            out.push_back(SendToPeer { host, it->second.address, std::move(body) });
    }

    void on(Instant now, const PeerReceived& message, Outputs& out)
    {
        if (const auto* report = std::get_if<LimitReport>(&message.body))
            onReport(now, { message.sender, message.incarnation }, *report, out);
        else if (const auto* grant = std::get_if<LimitGrant>(&message.body))
            onGrant(now, message.sender, *grant, out);
    }

    void onReport(Instant now, const LimitSender& sender, const LimitReport& report, Outputs& out)
    {
        if (report.group >= config.groups)
            return;
        auto& group = groups[report.group];
        bool isLower = report.level == LimitLevel::Daemon;
        auto& book = isLower ? group.book : group.upperBook;
        auto member = members.find(sender.host);
        if (!book.isActive() || (sender.host != config.self && member == members.end()))
            return;
        const auto& dataCentre = sender.host == config.self ? config.dataCentre : member->second.dataCentre;
        if (isLower && dataCentre != config.dataCentre)
            return;
        HostId holder = isLower ? sender.host : HostId(dataCentre.value());
        auto leases = book.report(now, holder, sender, report, isLower ? ownShare() : centreShare(),
            [&](const WorkspaceId& id) { return isLower ? capacity(now, report.group, id) : wholeShare; });
        if (isLower && dataCentres.size() > 1)
            markUpper(now, report, out);
        if (leases.empty())
            return;
        LimitGrant grant { report.level, report.group, report.round, config.lease, std::move(leases) };
        answer(now, sender.host, std::move(grant), out);
    }

    void answer(Instant now, const HostId& host, LimitGrant grant, Outputs& out)
    {
        if (host == config.self)
            onGrant(now, host, grant, out);
        else
            toPeer(host, std::move(grant), out);
    }

    // Asks for more one level up when the daemons of this data centre want more than it has.
    void markUpper(Instant now, const LimitReport& report, Outputs& out)
    {
        auto& group = groups[report.group];
        for (const auto& it : report.entries) {
            if (it.demand > it.held && group.book.outstanding(now, it.workspace) + it.demand - it.held > it.held)
                group.upper.urgent.insert(it.workspace);
        }
        if (group.upper.urgent.empty() || now < group.upper.nextUrgent)
            return;
        group.upper.nextUrgent = now + config.urgentInterval;
        reportUpper(now, report.group, true, out);
    }

    void onGrant(Instant now, const HostId& sender, const LimitGrant& grant, Outputs& out)
    {
        if (grant.group >= config.groups)
            return;
        auto& group = groups[grant.group];
        bool isLower = grant.level == LimitLevel::Daemon;
        auto& reporting = isLower ? group.own : group.upper;
        if (reporting.lender != sender)
            return;
        reporting.borrower.apply(now, grant);
        for (const auto& lease : grant.leases) {
            auto it = workspaces.find(lease.workspace);
            if (isLower && it != workspaces.end())
                emit(now, it->first, it->second, out);
            if (!isLower && group.book.isActive())
                raise(now, grant.group, lease.workspace, out);
        }
    }

    void raise(Instant now, uint32_t index, const WorkspaceId& id, Outputs& out)
    {
        for (auto& it : groups[index].book.raise(now, id, ownShare(), capacity(now, index, id)))
            answer(now, it.sender.host, { LimitLevel::Daemon, index, it.round, config.lease, { it.lease } }, out);
    }

    // ---- Time.

    void on(Instant now, const LimitTick&, Outputs& out)
    {
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
        group.own.borrower.expire(now);
        group.upper.borrower.expire(now);
        group.book.expire(now);
        group.upperBook.expire(now);
        reportUrgent(now, index, out);
        if (now >= group.own.next) {
            group.own.next = nextReport(now, index, group.own.next);
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
    std::set<DataCentreId> dataCentres;
    uint32_t localCount = 1; // Known daemons of this data centre, with this one.
    std::map<WorkspaceId, Workspace> workspaces; // Those with a limit.
    std::vector<Group> groups;
};

LimitShares::LimitShares(LimitSharesConfig config, LimitFault fault)
    : m_state(std::make_unique<State>(std::move(config), fault))
{
}

LimitShares::~LimitShares() = default;
LimitShares::LimitShares(LimitShares&&) noexcept = default;
LimitShares& LimitShares::operator=(LimitShares&&) noexcept = default;

void LimitShares::apply(Instant now, const LimitInput& input, std::vector<LimitOutput>& out)
{
    std::visit([&](const auto& it) { m_state->on(now, it, out); }, input);
}

uint32_t LimitShares::share(Instant now, const WorkspaceId& id) const
{
    auto it = m_state->workspaces.find(id);
    return it == m_state->workspaces.end() ? wholeShare : m_state->share(now, id, it->second);
}

uint32_t LimitShares::groupOf(const WorkspaceId& id) const
{
    return m_state->groupOf(id);
}

std::optional<HostId> LimitShares::coordinatorOf(uint32_t group) const
{
    return group < m_state->groups.size() ? m_state->groups[group].own.lender : std::nullopt;
}

bool LimitShares::coordinates(uint32_t group) const
{
    return group < m_state->groups.size() && m_state->groups[group].book.isActive();
}

} // namespace jacinthspindle
