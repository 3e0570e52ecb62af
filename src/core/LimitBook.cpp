// Lender and borrower of limit shares.

#include "LimitBook.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // A report is dropped after this many lease durations; a grant that answers it later is ignored.
    constexpr int reportRetentionLeases = 4;

} // namespace

LimitLender::LimitLender(const LimitSharesConfig& config, LimitFault fault)
    : m_config(config)
    , m_fault(fault)
{
}

void LimitLender::setHolders(const std::set<HostId>& holders)
{
    for (auto it = m_index.begin(); it != m_index.end();) {
        if (holders.contains(it->first)) {
            ++it;
            continue;
        }
        m_holders[it->second] = {};
        for (auto& [workspace, state] : m_workspaces) {
            if (it->second < state.allocations.size())
                state.allocations[it->second] = {};
        }
        it = m_index.erase(it);
    }
    for (const auto& host : holders) {
        if (m_index.contains(host))
            continue;
        auto free = std::find_if(
            m_holders.begin(), m_holders.end(), [](const Holder& holder) { return holder.host.isEmpty(); });
        if (free == m_holders.end())
            free = m_holders.insert(m_holders.end(), Holder {});
        free->host = host;
        m_index[host] = static_cast<size_t>(free - m_holders.begin());
    }
    m_count = holders.size();
}

void LimitLender::start(Instant now)
{
    m_isActive = true;
    m_startedAt = now;
    m_workspaces.clear();
    for (auto& it : m_holders) {
        auto host = it.host;
        it = {};
        it.host = host;
    }
}

void LimitLender::stop()
{
    m_isActive = false;
    m_workspaces.clear();
}

bool LimitLender::isConnected(Instant now, const Holder& holder) const
{
    return holder.isAttached && now - holder.lastReportAt < m_config.lease;
}

LimitLender::WorkspaceState& LimitLender::stateOf(const WorkspaceId& workspace)
{
    auto& state = m_workspaces[workspace];
    state.allocations.resize(m_holders.size());
    return state;
}

uint32_t LimitLender::reserved(
    Instant now, const Holder& holder, const Allocation& allocation, uint32_t guaranteed) const
{
    // A holder without contact to the lender falls back to its guaranteed share, so none of it may be lent.
    bool isLendable = isConnected(now, holder) || m_fault == LimitFault::LendUnreachable;
    uint32_t share = isLendable ? guaranteed / m_config.standingDivisor : guaranteed;
    if (now < allocation.until)
        share = std::max(share, allocation.share);
    if (now < allocation.peakUntil && m_fault != LimitFault::LendBeforeReturned)
        share = std::max(share, allocation.peak);
    return share;
}

// Max-min fairness: demands are met in ascending order, each up to an equal part of the remaining capacity. Holders
// without an entry, and those that are not connected, keep the share that they may use without a lease.
LimitLender::SharePlan LimitLender::planShares(
    Instant now, const WorkspaceState& state, uint32_t guaranteed, uint32_t capacity) const
{
    SharePlan result;
    result.targets.resize(m_holders.size());
    std::vector<std::pair<uint32_t, size_t>> demands;
    uint64_t kept = 0;
    uint32_t standingShare = guaranteed / m_config.standingDivisor;
    for (size_t i = 0; i < m_holders.size(); ++i) {
        const auto& holder = m_holders[i];
        if (holder.host.isEmpty())
            continue;
        const auto& allocation = state.allocations[i];
        result.reserved += reserved(now, holder, allocation, guaranteed);
        bool isLendable = isConnected(now, holder) || m_fault == LimitFault::LendUnreachable;
        if (isLendable && allocation.isListed)
            demands.emplace_back(std::max(allocation.demand, standingShare), i);
        else
            kept += isLendable ? standingShare : guaranteed;
    }
    uint64_t left = capacity - std::min<uint64_t>(capacity, kept);
    std::sort(demands.begin(), demands.end());
    for (size_t n = 0; n < demands.size(); ++n) {
        auto part = static_cast<uint32_t>(std::min<uint64_t>(demands[n].first, left / (demands.size() - n)));
        result.targets[demands[n].second] = part;
        left -= part;
    }
    return result;
}

uint32_t LimitLender::grant(
    Instant now, size_t index, WorkspaceState& state, SharePlan& plan, uint32_t guaranteed, bool onlyRaise)
{
    auto& allocation = state.allocations[index];
    const auto& holder = m_holders[index];
    uint32_t own = reserved(now, holder, allocation, guaranteed);
    uint64_t others = plan.reserved - own;
    auto available = static_cast<uint32_t>(state.capacity - std::min<uint64_t>(state.capacity, others));
    uint32_t standingShare = guaranteed / m_config.standingDivisor;
    uint32_t share = std::min(plan.targets[index], available);
    bool isWarmedUp = now - m_startedAt >= 2 * m_config.lease || m_count == 1;
    // The leases of the previous lender add up to at most the capacity, so renewing them is safe.
    if (!isWarmedUp && m_fault != LimitFault::NoWarmUp)
        share = std::min(allocation.demand, allocation.held);
    share = std::max(share, standingShare);
    if (onlyRaise && now < allocation.until && share <= allocation.share)
        return 0;
    // The holder may use the larger earlier grant until it has applied this smaller one.
    if (now < allocation.until && allocation.share > share
        && (now >= allocation.peakUntil || allocation.peak <= allocation.share)) {
        allocation.peak = allocation.share;
        allocation.peakUntil = allocation.until;
    }
    allocation.share = share;
    allocation.round = holder.round;
    allocation.until = now + m_config.lease;
    plan.reserved = others + reserved(now, holder, allocation, guaranteed);
    return share;
}

void LimitLender::updateSender(size_t index, const LimitSender& sender)
{
    auto& holder = m_holders[index];
    if (holder.sender == sender)
        return;
    holder.sender = sender;
    holder.round = 0;
    // A new process cannot return the leases of the previous process; they stay reserved until they expire. No round
    // reaches UINT64_MAX, so a report counts as a return only after a grant to the new process.
    for (auto& [workspace, state] : m_workspaces) {
        if (index >= state.allocations.size())
            continue;
        state.allocations[index].round = UINT64_MAX;
        state.allocations[index].isListed = false;
    }
    holder.listed.clear();
}

void LimitLender::recordEntries(size_t index, const LimitReport& report)
{
    auto& holder = m_holders[index];
    if (report.isComplete) {
        for (const auto& it : holder.listed)
            stateOf(it).allocations[index].isListed = false;
        holder.listed.clear();
    }
    for (const auto& it : report.entries) {
        auto& allocation = stateOf(it.workspace).allocations[index];
        if (!allocation.isListed)
            holder.listed.push_back(it.workspace);
        allocation.isListed = true;
        allocation.demand = it.demand;
        allocation.held = it.held;
    }
}

std::vector<LimitLease> LimitLender::handleReport(Instant now, const HostId& host, const LimitSender& sender,
    const LimitReport& report, uint32_t guaranteed, const Capacity& capacity)
{
    auto it = m_index.find(host);
    if (it == m_index.end())
        return {};
    size_t index = it->second;
    updateSender(index, sender);
    auto& holder = m_holders[index];
    if (report.round <= holder.round)
        return {};
    holder.lastReportAt = now;
    holder.isAttached = !report.isDetached;
    holder.round = report.round;
    recordEntries(index, report);
    std::vector<LimitLease> leases;
    for (const auto& entry : report.entries) {
        auto& state = stateOf(entry.workspace);
        auto& allocation = state.allocations[index];
        // The holder has applied the last grant, so it no longer uses a larger earlier one.
        if (entry.round >= allocation.round)
            allocation.peakUntil = now;
        state.capacity = capacity(entry.workspace);
        auto plan = planShares(now, state, guaranteed, state.capacity);
        leases.push_back({ entry.workspace, grant(now, index, state, plan, guaranteed, false) });
    }
    return leases;
}

std::vector<LimitLender::RaisedLease> LimitLender::raiseLeases(
    Instant now, const WorkspaceId& workspace, uint32_t guaranteed, uint32_t capacity)
{
    std::vector<RaisedLease> result;
    auto& state = stateOf(workspace);
    if (capacity <= state.capacity)
        return result;
    state.capacity = capacity;
    auto plan = planShares(now, state, guaranteed, capacity);
    for (size_t i = 0; i < m_holders.size(); ++i) {
        if (!isConnected(now, m_holders[i]) || !state.allocations[i].isListed)
            continue;
        uint32_t share = grant(now, i, state, plan, guaranteed, true);
        if (share)
            result.push_back({ m_holders[i].sender, m_holders[i].round, { workspace, share } });
    }
    return result;
}

uint64_t LimitLender::outstanding(Instant now, const WorkspaceId& workspace) const
{
    uint64_t sum = 0;
    auto state = m_workspaces.find(workspace);
    if (state == m_workspaces.end())
        return 0;
    for (const auto& allocation : state->second.allocations) {
        uint32_t share = now < allocation.until ? allocation.share : 0;
        if (now < allocation.peakUntil)
            share = std::max(share, allocation.peak);
        sum += share;
    }
    return sum;
}

std::map<WorkspaceId, uint32_t> LimitLender::totalDemands(Instant now, uint32_t guaranteed) const
{
    std::map<WorkspaceId, uint32_t> result;
    uint32_t standingShare = guaranteed / m_config.standingDivisor;
    for (const auto& [workspace, state] : m_workspaces) {
        uint64_t sum = 0;
        bool isListed = false;
        for (size_t i = 0; i < state.allocations.size(); ++i) {
            const auto& holder = m_holders[i];
            if (holder.host.isEmpty())
                continue;
            const auto& allocation = state.allocations[i];
            bool isWanted = allocation.isListed && isConnected(now, holder);
            isListed |= isWanted;
            if (isWanted)
                sum += std::max(allocation.demand, standingShare);
            else
                sum += isConnected(now, holder) ? standingShare : guaranteed;
        }
        if (isListed)
            result[workspace] = static_cast<uint32_t>(std::min<uint64_t>(sum, UINT32_MAX));
    }
    return result;
}

void LimitLender::expire(Instant now)
{
    std::erase_if(m_workspaces, [&](const auto& it) {
        const auto& allocations = it.second.allocations;
        return std::all_of(allocations.begin(), allocations.end(), [&](const Allocation& allocation) {
            return !allocation.isListed && now >= allocation.until && now >= allocation.peakUntil;
        });
    });
}

// ---- Borrower.

LimitBorrower::LimitBorrower(const LimitSharesConfig& config, LimitFault fault)
    : m_config(config)
    , m_fault(fault)
{
}

bool LimitBorrower::isDetached(Instant now) const
{
    return m_unansweredSince && now - *m_unansweredSince >= m_config.lease;
}

uint32_t LimitBorrower::share(Instant now, const WorkspaceId& workspace, uint32_t guaranteed) const
{
    auto it = m_leases.find(workspace);
    if (it != m_leases.end() && (now < it->second.until || m_fault == LimitFault::KeepExpiredLease))
        return it->second.share;
    return isDetached(now) ? guaranteed : guaranteed / m_config.standingDivisor;
}

LimitReport LimitBorrower::makeReport(
    Instant now, LimitLevel level, uint32_t group, bool isComplete, std::vector<LimitEntry> entries)
{
    ++m_round;
    if (!entries.empty()) {
        m_sent[m_round] = now;
        if (!m_unansweredSince)
            m_unansweredSince = now;
    }
    return { level, group, m_round, isComplete, isDetached(now), std::move(entries) };
}

void LimitBorrower::applyGrant(Instant now, const LimitGrant& grant)
{
    auto sent = m_sent.find(grant.round);
    if (sent == m_sent.end())
        return;
    // Even a late grant shows that the lender receives the reports and treats this borrower as connected.
    m_unansweredSince.reset();
    // The lease starts when the report was sent, so it never ends later here than at the lender.
    auto until = sent->second + std::min<Duration>(grant.lease, m_config.lease);
    if (now >= until)
        return;
    for (const auto& it : grant.leases) {
        auto& lease = m_leases[it.workspace];
        if (grant.round >= lease.round)
            lease = { std::min(it.share, wholeShare), grant.round, until };
    }
}

uint64_t LimitBorrower::leaseRound(Instant now, const WorkspaceId& workspace) const
{
    auto it = m_leases.find(workspace);
    return it != m_leases.end() && now < it->second.until ? it->second.round : 0;
}

void LimitBorrower::changeLender()
{
    m_sent.clear();
    m_unansweredSince.reset();
}

std::set<WorkspaceId> LimitBorrower::leased(Instant now) const
{
    std::set<WorkspaceId> result;
    for (const auto& [workspace, lease] : m_leases) {
        if (now < lease.until)
            result.insert(workspace);
    }
    return result;
}

void LimitBorrower::expire(Instant now)
{
    std::erase_if(m_sent, [&](const auto& it) { return now - it.second >= reportRetentionLeases * m_config.lease; });
    if (m_fault != LimitFault::KeepExpiredLease)
        std::erase_if(m_leases, [&](const auto& it) { return now >= it.second.until; });
}

} // namespace jacinthspindle::internal
