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
    for (auto it = m_index.begin(); it != m_index.end();) {
        if (holders.contains(it->first)) {
            ++it;
            continue;
        }
        m_holders[it->second] = {};
        for (auto& [workspace, account] : m_accounts) {
            if (it->second < account.slots.size())
                account.slots[it->second] = {};
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

void LimitBook::start(Instant now)
{
    m_isActive = true;
    m_startedAt = now;
    m_accounts.clear();
    for (auto& it : m_holders) {
        auto host = it.host;
        it = {};
        it.host = host;
    }
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

LimitBook::Account& LimitBook::accountOf(const WorkspaceId& workspace)
{
    auto& account = m_accounts[workspace];
    account.slots.resize(m_holders.size());
    return account;
}

uint32_t LimitBook::reserved(Instant now, const Holder& holder, const Slot& slot, uint32_t guaranteed) const
{
    // A holder that does not reach the lender falls back to its guaranteed share.
    bool isLendable = isHeard(now, holder) || m_fault == LimitFault::LendUnreachable;
    uint32_t share = isLendable ? guaranteed / m_config.standingDivisor : guaranteed;
    if (now < slot.until)
        share = std::max(share, slot.share);
    if (now < slot.peakUntil && m_fault != LimitFault::LendBeforeReturned)
        share = std::max(share, slot.peak);
    return share;
}

// The targets follow max-min fairness: demands are met from the smallest up, and each one is bounded by an equal part
// of what is left.
LimitBook::Balance LimitBook::balance(Instant now, const Account& account, uint32_t guaranteed, uint32_t capacity) const
{
    Balance result;
    result.targets.resize(m_holders.size());
    std::vector<std::pair<uint32_t, size_t>> demands;
    uint64_t kept = 0;
    uint32_t standing = guaranteed / m_config.standingDivisor;
    for (size_t i = 0; i < m_holders.size(); ++i) {
        const auto& holder = m_holders[i];
        if (holder.host.isEmpty())
            continue;
        const auto& slot = account.slots[i];
        result.reserved += reserved(now, holder, slot, guaranteed);
        bool isLendable = isHeard(now, holder) || m_fault == LimitFault::LendUnreachable;
        if (isLendable && slot.isListed)
            demands.emplace_back(std::max(slot.demand, standing), i);
        else
            kept += isLendable ? standing : guaranteed;
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

uint32_t LimitBook::grant(
    Instant now, size_t index, Account& account, Balance& balance, uint32_t guaranteed, bool onlyRaise)
{
    auto& slot = account.slots[index];
    const auto& holder = m_holders[index];
    uint32_t own = reserved(now, holder, slot, guaranteed);
    uint64_t others = balance.reserved - own;
    auto available = static_cast<uint32_t>(account.capacity - std::min<uint64_t>(account.capacity, others));
    uint32_t standing = guaranteed / m_config.standingDivisor;
    uint32_t share = std::min(balance.targets[index], available);
    bool isWarm = now - m_startedAt >= 2 * m_config.lease || m_count == 1;
    // The predecessor's leases together respect the capacity, and so do their renewals.
    if (!isWarm && m_fault != LimitFault::NoWarmUp)
        share = std::min(slot.demand, slot.held);
    share = std::max(share, standing);
    if (onlyRaise && now < slot.until && share <= slot.share)
        return 0;
    // Until the holder has applied a smaller grant, it may use the greater one.
    if (now < slot.until && slot.share > share && (now >= slot.peakUntil || slot.peak <= slot.share)) {
        slot.peak = slot.share;
        slot.peakUntil = slot.until;
    }
    slot.share = share;
    slot.round = holder.round;
    slot.until = now + m_config.lease;
    balance.reserved = others + reserved(now, holder, slot, guaranteed);
    return share;
}

void LimitBook::takeSender(size_t index, const LimitSender& sender)
{
    auto& holder = m_holders[index];
    if (holder.sender == sender)
        return;
    holder.sender = sender;
    holder.round = 0;
    // What the earlier process was lent returns only with time.
    for (auto& [workspace, account] : m_accounts) {
        if (index >= account.slots.size())
            continue;
        account.slots[index].round = UINT64_MAX;
        account.slots[index].isListed = false;
    }
    holder.listed.clear();
}

void LimitBook::takeEntries(size_t index, const LimitReport& report)
{
    auto& holder = m_holders[index];
    if (report.isComplete) {
        for (const auto& it : holder.listed)
            accountOf(it).slots[index].isListed = false;
        holder.listed.clear();
    }
    for (const auto& it : report.entries) {
        auto& slot = accountOf(it.workspace).slots[index];
        if (!slot.isListed)
            holder.listed.push_back(it.workspace);
        slot.isListed = true;
        slot.demand = it.demand;
        slot.held = it.held;
    }
}

std::vector<LimitLease> LimitBook::report(Instant now, const HostId& host, const LimitSender& sender,
    const LimitReport& report, uint32_t guaranteed, const Capacity& capacity)
{
    auto it = m_index.find(host);
    if (it == m_index.end())
        return {};
    size_t index = it->second;
    takeSender(index, sender);
    auto& holder = m_holders[index];
    if (report.round <= holder.round)
        return {};
    holder.heardAt = now;
    holder.isHeard = !report.isDetached;
    holder.round = report.round;
    takeEntries(index, report);
    std::vector<LimitLease> leases;
    for (const auto& entry : report.entries) {
        auto& account = accountOf(entry.workspace);
        auto& slot = account.slots[index];
        // The holder has applied the last grant, so it no longer uses an earlier, greater one.
        if (entry.round >= slot.round)
            slot.peakUntil = now;
        account.capacity = capacity(entry.workspace);
        auto state = balance(now, account, guaranteed, account.capacity);
        leases.push_back({ entry.workspace, grant(now, index, account, state, guaranteed, false) });
    }
    return leases;
}

std::vector<LimitBook::Raise> LimitBook::raise(
    Instant now, const WorkspaceId& workspace, uint32_t guaranteed, uint32_t capacity)
{
    std::vector<Raise> result;
    auto& account = accountOf(workspace);
    if (capacity <= account.capacity)
        return result;
    account.capacity = capacity;
    auto state = balance(now, account, guaranteed, capacity);
    for (size_t i = 0; i < m_holders.size(); ++i) {
        if (!isHeard(now, m_holders[i]) || !account.slots[i].isListed)
            continue;
        uint32_t share = grant(now, i, account, state, guaranteed, true);
        if (share)
            result.push_back({ m_holders[i].sender, m_holders[i].round, { workspace, share } });
    }
    return result;
}

uint64_t LimitBook::outstanding(Instant now, const WorkspaceId& workspace) const
{
    uint64_t sum = 0;
    auto account = m_accounts.find(workspace);
    if (account == m_accounts.end())
        return 0;
    for (const auto& slot : account->second.slots) {
        uint32_t share = now < slot.until ? slot.share : 0;
        if (now < slot.peakUntil)
            share = std::max(share, slot.peak);
        sum += share;
    }
    return sum;
}

std::map<WorkspaceId, uint32_t> LimitBook::totals(Instant now, uint32_t guaranteed) const
{
    std::map<WorkspaceId, uint32_t> result;
    uint32_t standing = guaranteed / m_config.standingDivisor;
    for (const auto& [workspace, account] : m_accounts) {
        uint64_t sum = 0;
        bool isListed = false;
        for (size_t i = 0; i < account.slots.size(); ++i) {
            const auto& holder = m_holders[i];
            if (holder.host.isEmpty())
                continue;
            const auto& slot = account.slots[i];
            bool isWanted = slot.isListed && isHeard(now, holder);
            isListed |= isWanted;
            if (isWanted)
                sum += std::max(slot.demand, standing);
            else
                sum += isHeard(now, holder) ? standing : guaranteed;
        }
        if (isListed)
            result[workspace] = static_cast<uint32_t>(std::min<uint64_t>(sum, UINT32_MAX));
    }
    return result;
}

void LimitBook::expire(Instant now)
{
    std::erase_if(m_accounts, [&](const auto& it) {
        const auto& slots = it.second.slots;
        return std::all_of(slots.begin(), slots.end(),
            [&](const Slot& slot) { return !slot.isListed && now >= slot.until && now >= slot.peakUntil; });
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
