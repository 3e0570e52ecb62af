// Lending of limit shares: the lender's book and the borrower's leases.

#include "LimitBook.h"

#include <algorithm>

namespace jacinthspindle::internal {

namespace {

    // Later answers are not recognized.
    constexpr int answerLimit = 4;

} // namespace

LimitBook::LimitBook(const LimitSharesConfig& config, LimitFault fault)
    : m_config(config)
    , m_fault(fault)
{
}

void LimitBook::setHolders(const std::set<HostId>& holders)
{
    std::erase_if(m_holders, [&](const auto& it) { return !holders.contains(it.first); });
    for (const auto& it : holders)
        m_holders.try_emplace(it);
}

void LimitBook::start(Instant now)
{
    m_isActive = true;
    m_startedAt = now;
    m_accounts.clear();
    for (auto& [host, holder] : m_holders)
        holder = {};
}

void LimitBook::stop()
{
    m_isActive = false;
    m_accounts.clear();
}

bool LimitBook::isHeard(Instant now, const Holder& holder) const
{
    return holder.isHeard && now - holder.heardAt < m_config.lease;
}

uint32_t LimitBook::reserved(
    Instant now, const WorkspaceId& workspace, const HostId& host, const Holder& holder, uint32_t guaranteed) const
{
    uint32_t share = guaranteed / m_config.standingDivisor;
    // A holder that does not reach the lender falls back to its guaranteed share.
    if (!isHeard(now, holder) && m_fault != LimitFault::LendUnreachable)
        share = guaranteed;
    auto account = m_accounts.find(workspace);
    if (account == m_accounts.end())
        return share;
    auto it = account->second.find(host);
    if (it == account->second.end())
        return share;
    if (now < it->second.until)
        share = std::max(share, it->second.share);
    if (now < it->second.peakUntil && m_fault != LimitFault::LendBeforeReturned)
        share = std::max(share, it->second.peak);
    return share;
}

uint32_t LimitBook::target(
    Instant now, const WorkspaceId& workspace, const HostId& wanted, uint32_t guaranteed, uint32_t capacity) const
{
    // Max-min fairness: demands are met from the smallest up, and each is bounded by an equal part of what is left.
    std::vector<std::pair<uint32_t, const HostId*>> demands;
    uint64_t left = capacity;
    uint64_t kept = 0;
    uint32_t standing = guaranteed / m_config.standingDivisor;
    for (const auto& [host, holder] : m_holders) {
        auto entry = holder.entries.find(workspace);
        if (isHeard(now, holder) && entry != holder.entries.end())
            demands.emplace_back(std::max(entry->second.demand, standing), &host);
        else
            kept += isHeard(now, holder) || m_fault == LimitFault::LendUnreachable ? standing : guaranteed;
    }
    left -= std::min(left, kept);
    std::sort(demands.begin(), demands.end());
    for (size_t i = 0; i < demands.size(); ++i) {
        auto part = static_cast<uint32_t>(std::min<uint64_t>(demands[i].first, left / (demands.size() - i)));
        if (*demands[i].second == wanted)
            return part;
        left -= part;
    }
    return 0;
}

uint32_t LimitBook::grant(Instant now, const HostId& host, const LimitEntry& entry, uint64_t round, uint32_t guaranteed,
    uint32_t capacity, bool onlyRaise)
{
    uint64_t others = 0;
    for (const auto& [it, holder] : m_holders) {
        if (it != host)
            others += reserved(now, entry.workspace, it, holder, guaranteed);
    }
    auto available = static_cast<uint32_t>(capacity - std::min<uint64_t>(capacity, others));
    uint32_t standing = guaranteed / m_config.standingDivisor;
    uint32_t share = std::min(target(now, entry.workspace, host, guaranteed, capacity), available);
    bool isWarm = now - m_startedAt >= 2 * m_config.lease || m_holders.size() == 1;
    // The predecessor's leases together respect the capacity, and so do their renewals.
    if (!isWarm && m_fault != LimitFault::NoWarmUp)
        share = std::min(entry.demand, entry.held);
    share = std::max(share, standing);
    auto& lent = m_accounts[entry.workspace][host];
    if (onlyRaise && now < lent.until && share <= lent.share)
        return 0;
    // Until the holder has applied a smaller grant, it may use the greater one.
    if (now < lent.until && lent.share > share && (now >= lent.peakUntil || lent.peak <= lent.share)) {
        lent.peak = lent.share;
        lent.peakUntil = lent.until;
    }
    lent.share = share;
    lent.round = round;
    lent.until = now + m_config.lease;
    return share;
}

void LimitBook::takeSender(const HostId& host, Holder& holder, const LimitSender& sender)
{
    if (holder.sender == sender)
        return;
    holder.sender = sender;
    holder.round = 0;
    holder.entries.clear();
    // What the earlier process was lent returns only with time.
    for (auto& [workspace, account] : m_accounts) {
        auto lent = account.find(host);
        if (lent != account.end())
            lent->second.round = UINT64_MAX;
    }
}

std::vector<LimitLease> LimitBook::report(Instant now, const HostId& host, const LimitSender& sender,
    const LimitReport& report, uint32_t guaranteed, const Capacity& capacity)
{
    auto it = m_holders.find(host);
    if (it == m_holders.end())
        return {};
    auto& holder = it->second;
    takeSender(host, holder, sender);
    if (report.round <= holder.round)
        return {};
    holder.heardAt = now;
    holder.isHeard = !report.isDetached;
    holder.round = report.round;
    if (report.isComplete)
        holder.entries.clear();
    for (const auto& entry : report.entries)
        holder.entries[entry.workspace] = entry;
    std::vector<LimitLease> leases;
    for (const auto& entry : report.entries) {
        auto& lent = m_accounts[entry.workspace][host];
        // The holder has applied the last grant, so it no longer uses an earlier, greater one.
        if (entry.round >= lent.round)
            lent.peakUntil = now;
        leases.push_back(
            { entry.workspace, grant(now, host, entry, report.round, guaranteed, capacity(entry.workspace), false) });
    }
    return leases;
}

std::vector<LimitBook::Raise> LimitBook::raise(
    Instant now, const WorkspaceId& workspace, uint32_t guaranteed, uint32_t capacity)
{
    std::vector<Raise> result;
    for (const auto& [host, holder] : m_holders) {
        auto entry = holder.entries.find(workspace);
        if (!isHeard(now, holder) || entry == holder.entries.end())
            continue;
        uint32_t share = grant(now, host, entry->second, holder.round, guaranteed, capacity, true);
        if (share)
            result.push_back({ host, holder.sender, holder.round, { workspace, share } });
    }
    return result;
}

uint64_t LimitBook::outstanding(Instant now, const WorkspaceId& workspace) const
{
    uint64_t sum = 0;
    auto account = m_accounts.find(workspace);
    if (account == m_accounts.end())
        return 0;
    for (const auto& [host, lent] : account->second) {
        uint32_t share = now < lent.until ? lent.share : 0;
        if (now < lent.peakUntil)
            share = std::max(share, lent.peak);
        sum += share;
    }
    return sum;
}

std::map<WorkspaceId, uint32_t> LimitBook::totals(Instant now, uint32_t guaranteed) const
{
    std::map<WorkspaceId, uint64_t> sums;
    std::map<WorkspaceId, uint32_t> listed;
    uint64_t unheard = 0;
    uint32_t heard = 0;
    uint32_t standing = guaranteed / m_config.standingDivisor;
    for (const auto& [host, holder] : m_holders) {
        if (!isHeard(now, holder)) {
            unheard += guaranteed;
            continue;
        }
        ++heard;
        for (const auto& [workspace, entry] : holder.entries) {
            sums[workspace] += std::max(entry.demand, standing);
            ++listed[workspace];
        }
    }
    std::map<WorkspaceId, uint32_t> result;
    for (const auto& [workspace, sum] : sums) {
        uint64_t total = sum + unheard + uint64_t(heard - listed[workspace]) * standing;
        result[workspace] = static_cast<uint32_t>(std::min<uint64_t>(total, UINT32_MAX));
    }
    return result;
}

void LimitBook::expire(Instant now)
{
    for (auto& [workspace, account] : m_accounts) {
        std::erase_if(account, [&](const auto& it) { return now >= it.second.until && now >= it.second.peakUntil; });
    }
    std::erase_if(m_accounts, [](const auto& it) { return it.second.empty(); });
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

LimitReport LimitBorrower::report(
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

void LimitBorrower::apply(Instant now, const LimitGrant& grant)
{
    auto sent = m_sent.find(grant.round);
    if (sent == m_sent.end())
        return;
    // Even a late answer shows that the lender counts this borrower as heard.
    m_unansweredSince.reset();
    // The lease runs from the report, so that a late answer never outlasts the lender's book.
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
    std::erase_if(m_sent, [&](const auto& it) { return now - it.second >= answerLimit * m_config.lease; });
    if (m_fault != LimitFault::KeepExpiredLease)
        std::erase_if(m_leases, [&](const auto& it) { return now >= it.second.until; });
}

} // namespace jacinthspindle::internal
