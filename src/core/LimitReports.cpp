// LimitShares: reports of demand, grants of leases, and the messages that carry them between daemons.

#include "LimitState.h"

namespace jacinthspindle {

using internal::demandTimeout;

LimitEntry LimitShares::State::makeEntry(Instant now, const WorkspaceId& id, Workspace& workspace)
{
    workspace.reportedAt = now;
    uint32_t demand = now - workspace.demandAt < demandTimeout ? workspace.demand : 0;
    auto& borrower = groups[workspace.group].own.borrower;
    return { id, demand, share(now, id, workspace), borrower.leaseRound(now, id) };
}

void LimitShares::State::reportUrgent(Instant now, uint32_t index, Outputs& out)
{
    auto& own = groups[index].own;
    if (own.urgent.empty() || now < own.nextUrgentAt)
        return;
    own.nextUrgentAt = now + config.urgentInterval;
    std::vector<LimitEntry> entries;
    for (const auto& id : own.urgent) {
        auto it = workspaces.find(id);
        if (it != workspaces.end() && entries.size() < config.entriesPerReport)
            entries.push_back(makeEntry(now, id, it->second));
    }
    own.urgent.clear();
    if (!entries.empty())
        send(now, index, LimitLevel::Daemon, false, std::move(entries), out);
}

void LimitShares::State::reportOwn(Instant now, uint32_t index, Outputs& out)
{
    struct Candidate {
        const WorkspaceId* id;
        Workspace* workspace;
        double rank; // Time since the last report in seconds, multiplied by the workspace's weight.
    };
    std::vector<Candidate> candidates;
    uint32_t standingShare = guaranteedDaemonShare() / config.standingDivisor;
    auto& own = groups[index].own;
    for (auto& [id, workspace] : workspaces) {
        if (workspace.group != index)
            continue;
        bool isWanted = now - workspace.demandAt < demandTimeout && workspace.demand > standingShare;
        if (!isWanted && !own.borrower.leaseRound(now, id))
            continue;
        double waited = std::chrono::duration<double>(now - workspace.reportedAt).count();
        candidates.push_back({ &id, &workspace, waited * workspace.row.weight });
    }
    bool isComplete = candidates.size() <= config.entriesPerReport;
    std::stable_sort(
        candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.rank > b.rank; });
    candidates.resize(std::min<size_t>(candidates.size(), config.entriesPerReport));
    std::vector<LimitEntry> entries;
    entries.reserve(candidates.size());
    for (const auto& it : candidates)
        entries.push_back(makeEntry(now, *it.id, *it.workspace));
    own.urgent.clear();
    send(now, index, LimitLevel::Daemon, isComplete, std::move(entries), out);
}

LimitEntry LimitShares::State::makeUpperEntry(Instant now, uint32_t index, const WorkspaceId& id, uint32_t demand)
{
    auto& group = groups[index];
    uint32_t held = capacity(now, index, id);
    // A smaller lease is confirmed only when the leases within the data centre add up to no more than it.
    bool isApplied = group.localLender.outstanding(now, id) <= held;
    return { id, std::min(demand, wholeShare), held, isApplied ? group.upper.borrower.leaseRound(now, id) : 0 };
}

void LimitShares::State::reportUpper(Instant now, uint32_t index, bool isUrgent, Outputs& out)
{
    auto& group = groups[index];
    auto totalDemands = group.localLender.totalDemands(now, guaranteedDaemonShare());
    uint32_t standingShare = guaranteedDataCentreShare() / config.standingDivisor;
    std::vector<std::pair<uint32_t, WorkspaceId>> wanted;
    for (const auto& [id, demand] : totalDemands) {
        bool isListed = isUrgent ? group.upper.urgent.contains(id)
                                 : demand > standingShare || group.upper.borrower.leaseRound(now, id);
        if (isListed)
            wanted.emplace_back(demand, id);
    }
    group.upper.urgent.clear();
    bool isComplete = !isUrgent && wanted.size() <= maxUpperEntries();
    std::sort(wanted.rbegin(), wanted.rend());
    wanted.resize(std::min<size_t>(wanted.size(), maxUpperEntries()));
    std::vector<LimitEntry> entries;
    entries.reserve(wanted.size());
    for (const auto& [demand, id] : wanted)
        entries.push_back(makeUpperEntry(now, index, id, demand));
    if (!isUrgent || !entries.empty())
        send(now, index, LimitLevel::DataCentre, isComplete, std::move(entries), out);
}

void LimitShares::State::send(
    Instant now, uint32_t index, LimitLevel level, bool isComplete, std::vector<LimitEntry> entries, Outputs& out)
{
    auto& link = level == LimitLevel::Daemon ? groups[index].own : groups[index].upper;
    if (!link.lenderHost)
        return;
    auto report = link.borrower.makeReport(now, level, index, isComplete, std::move(entries));
    if (*link.lenderHost == config.self)
        onReport(now, { config.self, 0 }, report, out);
    else
        sendToPeer(*link.lenderHost, std::move(report), out);
}

void LimitShares::State::sendToPeer(const HostId& host, PeerBody body, Outputs& out)
{
    auto it = members.find(host);
    if (it != members.end())
        out.push_back(SendToPeer { host, it->second.address, std::move(body) });
}

void LimitShares::State::on(Instant now, const PeerReceived& message, Outputs& out)
{
    if (const auto* report = std::get_if<LimitReport>(&message.body))
        onReport(now, { message.sender, message.incarnation }, *report, out);
    else if (const auto* grant = std::get_if<LimitGrant>(&message.body))
        onGrant(now, message.sender, *grant, out);
}

void LimitShares::State::onReport(Instant now, const LimitSender& sender, const LimitReport& report, Outputs& out)
{
    if (report.group >= config.groups)
        return;
    auto& group = groups[report.group];
    bool isLower = report.level == LimitLevel::Daemon;
    auto& lender = isLower ? group.localLender : group.upperLender;
    auto member = members.find(sender.host);
    if (!lender.isActive() || (sender.host != config.self && member == members.end()))
        return;
    const auto& dataCentre = sender.host == config.self ? config.dataCentre : member->second.dataCentre;
    if (isLower && dataCentre != config.dataCentre)
        return;
    HostId holder = isLower ? sender.host : HostId(dataCentre.value());
    auto leases = lender.handleReport(now, holder, sender, report,
        isLower ? guaranteedDaemonShare() : guaranteedDataCentreShare(),
        [&](const WorkspaceId& id) { return isLower ? capacity(now, report.group, id) : wholeShare; });
    if (isLower && dataCentres.size() > 1)
        reportUrgentUpper(now, report, out);
    if (leases.empty())
        return;
    LimitGrant grant { report.level, report.group, report.round, config.lease, std::move(leases) };
    sendGrant(now, sender.host, std::move(grant), out);
}

void LimitShares::State::sendGrant(Instant now, const HostId& host, LimitGrant grant, Outputs& out)
{
    if (host == config.self)
        onGrant(now, host, grant, out);
    else
        sendToPeer(host, std::move(grant), out);
}

void LimitShares::State::reportUrgentUpper(Instant now, const LimitReport& report, Outputs& out)
{
    auto& group = groups[report.group];
    for (const auto& it : report.entries) {
        if (it.demand > it.held && group.localLender.outstanding(now, it.workspace) + it.demand - it.held > it.held)
            group.upper.urgent.insert(it.workspace);
    }
    if (group.upper.urgent.empty() || now < group.upper.nextUrgentAt)
        return;
    group.upper.nextUrgentAt = now + config.urgentInterval;
    reportUpper(now, report.group, true, out);
}

void LimitShares::State::onGrant(Instant now, const HostId& sender, const LimitGrant& grant, Outputs& out)
{
    if (grant.group >= config.groups)
        return;
    auto& group = groups[grant.group];
    bool isLower = grant.level == LimitLevel::Daemon;
    auto& link = isLower ? group.own : group.upper;
    if (link.lenderHost != sender)
        return;
    link.borrower.applyGrant(now, grant);
    for (const auto& lease : grant.leases) {
        auto it = workspaces.find(lease.workspace);
        if (isLower && it != workspaces.end())
            emitShareChange(now, it->first, it->second, out);
        if (!isLower && group.localLender.isActive())
            raiseLeases(now, grant.group, lease.workspace, out);
    }
}

void LimitShares::State::raiseLeases(Instant now, uint32_t index, const WorkspaceId& id, Outputs& out)
{
    for (auto& it : groups[index].localLender.raiseLeases(now, id, guaranteedDaemonShare(), capacity(now, index, id)))
        sendGrant(now, it.sender.host, { LimitLevel::Daemon, index, it.round, config.lease, { it.lease } }, out);
}

} // namespace jacinthspindle
