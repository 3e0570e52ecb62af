// Polls the platform for table changes, adopts them and pushes them to peers.

#include "spindlecore/TableReplica.h"

#include "ReplicaRows.h"
#include "spindlecore/internal/Digest.h"

#include <algorithm>
#include <charconv>

namespace jacinthspindle {

namespace {

    using internal::isLive;
    using internal::rowCount;
    using internal::rowsPerMessage;
    using std::chrono::milliseconds;

    constexpr uint32_t maxChangesPerFetch = 64;
    // Only the last changes of each fetch are pushed; peers that lack earlier ones request them.
    constexpr size_t maxPushesPerFetch = 4;
    // Delay before requesting a change from a peer, as a push usually arrives within this time.
    constexpr milliseconds pullDelay { 300 };
    constexpr milliseconds maxStartDelay { 1000 };
    constexpr milliseconds fetchTimeout { 5000 };
    // Fallback polling interval per member: bounds the combined polling rate of a data centre whose pollers all fail.
    constexpr milliseconds fallbackPollIntervalPerMember { 100 };
    constexpr milliseconds minFallbackPollInterval { 4000 };
    constexpr std::chrono::hours ageBeforeFirstConfirmation { 24 };

} // namespace

uint64_t tableContentDigest(const Table& table)
{
    internal::DigestVisitor visitor;
    visitor(table.workspaces, table.routes, table.endpoints);
    return digestPrefix(visitor.hexDigest());
}

uint64_t digestPrefix(const std::string& hexDigest)
{
    uint64_t value = 0;
    std::from_chars(hexDigest.data(), hexDigest.data() + std::min<size_t>(16, hexDigest.size()), value, 16);
    return value;
}

PeerTableHead headOf(const Table& table, uint64_t contentDigest)
{
    return { table.revision, digestPrefix(table.digest), contentDigest };
}

TableReplica::TableReplica(TableReplicaConfig config, ReplicaFault fault)
    : m_config(std::move(config))
    , m_fault(fault)
    , m_random(m_config.seed)
{
}

void TableReplica::apply(Instant now, const ReplicaInput& input, Outputs& out)
{
    std::visit([&](const auto& it) { on(now, it, out); }, input);
}

milliseconds TableReplica::age(Instant now) const
{
    if (!m_confirmedAt)
        return ageBeforeFirstConfirmation;
    return std::chrono::floor<milliseconds>(now - *m_confirmedAt);
}

// ---- Peers.

void TableReplica::on(Instant now, const PeerReceived& message, Outputs& out)
{
    if (const auto* push = std::get_if<TablePush>(&message.body)) {
        if (push->delta)
            applyChange(now, message.sender, *push->delta, true, out);
    } else if (const auto* request = std::get_if<TableRequest>(&message.body))
        onTableRequest(message.sender, *request, out);
    else if (const auto* chunk = std::get_if<TableSnapshot>(&message.body))
        onSnapshotChunk(now, message.sender, *chunk, out);
}

void TableReplica::on(Instant now, const PeerTableSeen& seen, Outputs& out)
{
    const auto& head = seen.table.head;
    m_peerHeads[seen.host] = head;
    if (!head.revision)
        return;
    recordHeadReport(seen.host, head);
    if (m_incomingSnapshot && m_incomingSnapshot->nextChunk == m_incomingSnapshot->chunkCount)
        finishSnapshot(out);
    if (head.revision == m_head.revision && head.digest != m_head.digest) {
        reject(seen.host, head.revision, ResultCode::TableDigestMismatch, out);
        return;
    }
    if (head.revision == m_head.revision)
        confirm(now - seen.table.age);
    if (head.revision > m_head.revision && !m_isBehind) {
        m_isBehind = true;
        m_nextPull = std::max(m_nextPull, now + pullDelay);
    }
}

// ---- Platform.

void TableReplica::on(Instant now, const HeadSeen& seen, Outputs& out)
{
    m_platformHead = seen;
    m_platformHeadReadAt = now;
    if (seen.revision < m_head.revision) {
        reject({}, seen.revision, ResultCode::TableConflict, out);
        return;
    }
    if (seen.revision == m_head.revision) {
        if (seen.revision && seen.digest != m_table->digest)
            reject({}, seen.revision, ResultCode::TableDigestMismatch, out);
        else
            confirm(now);
        return;
    }
    fetch(now, out);
}

void TableReplica::fetch(Instant now, Outputs& out)
{
    if (m_isFetchInProgress && now < m_fetchDeadline)
        return;
    m_isFetchInProgress = true;
    m_fetchDeadline = now + fetchTimeout;
    bool needsSnapshot = !m_hasTriedSnapshot
        && (!m_table || m_platformHead.revision - m_head.revision > uint64_t(4) * maxChangesPerFetch);
    if (needsSnapshot) {
        out.emplace_back(FetchSnapshot {});
        return;
    }
    out.emplace_back(FetchChanges { m_head.revision, maxChangesPerFetch });
}

void TableReplica::on(Instant, const FetchFailed& failed, Outputs&)
{
    if (failed.kind == FetchKind::Head)
        return;
    m_isFetchInProgress = false;
    // If the snapshot is missing, the changes since the current revision may still be available, and vice versa.
    m_hasTriedSnapshot = failed.kind == FetchKind::Snapshot;
}

void TableReplica::on(Instant now, const ChangesFetched& fetched, Outputs& out)
{
    m_isFetchInProgress = false;
    m_hasTriedSnapshot = !fetched.changes.empty();
    size_t n = fetched.changes.size();
    bool hasAdopted = false;
    for (size_t i = 0; i < n; ++i)
        hasAdopted |= applyChange(now, {}, fetched.changes[i], i + maxPushesPerFetch >= n, out);
    if (m_head.revision == m_platformHead.revision && m_table && m_table->digest == m_platformHead.digest)
        confirm(m_platformHeadReadAt);
    else if (hasAdopted && m_head.revision < m_platformHead.revision)
        fetch(now, out);
}

void TableReplica::on(Instant now, const SnapshotFetched& fetched, Outputs& out)
{
    m_isFetchInProgress = false;
    m_hasTriedSnapshot = true;
    if (!fetched.table || fetched.table->revision <= m_head.revision)
        return;
    if (!checkTable(*fetched.table).empty()) {
        reject({}, fetched.table->revision, ResultCode::TableInvalid, out);
        return;
    }
    m_changes.clear();
    adopt(fetched.table, tableContentDigest(*fetched.table), out);
    if (m_head.revision < m_platformHead.revision)
        fetch(now, out);
    else if (m_head.revision == m_platformHead.revision && m_table->digest == m_platformHead.digest)
        confirm(m_platformHeadReadAt);
}

// ---- Adoption.

bool TableReplica::applyChange(Instant now, const HostId& from, const TableDelta& delta, bool mayPush, Outputs& out)
{
    if (delta.revision() <= m_head.revision && m_fault != ReplicaFault::AdoptOlder) {
        if (delta.revision() == m_head.revision && m_table && delta.digest != m_table->digest)
            reject(from, delta.revision(), ResultCode::TableDigestMismatch, out);
        return false;
    }
    if (delta.base > m_head.revision) {
        if (!m_isBehind)
            m_nextPull = std::max(m_nextPull, now + pullDelay);
        m_isBehind = true;
        return false;
    }
    Table base = m_table ? *m_table : Table {};
    auto checked = delta;
    // The injected defects rewrite the change so that applyDelta() accepts it.
    if (m_fault == ReplicaFault::AdoptOlder) {
        checked.base = base.revision = delta.base;
        checked.baseDigest = base.digest;
    }
    if (m_fault == ReplicaFault::AcceptWrongDigest || m_fault == ReplicaFault::AdoptOlder)
        checked.digest = deltaDigest(checked);
    Reason reason;
    auto table = applyDelta(base, checked, reason);
    if (!table) {
        reject(from, delta.revision(), reason.code, out);
        return false;
    }
    m_changes.push_back(std::make_shared<const TableDelta>(delta));
    if (m_changes.size() > m_config.maxStoredChanges)
        m_changes.pop_front();
    auto contentDigest = tableContentDigest(*table);
    adopt(std::make_shared<const Table>(std::move(*table)), contentDigest, out);
    if (mayPush)
        push(m_changes.back(), from, out);
    return true;
}

void TableReplica::adopt(const std::shared_ptr<const Table>& table, uint64_t contentDigest, Outputs& out)
{
    m_table = table;
    m_head = headOf(*m_table, contentDigest);
    m_isBehind = std::any_of(
        m_peerHeads.begin(), m_peerHeads.end(), [&](const auto& it) { return it.second.revision > m_head.revision; });
    if (m_incomingSnapshot && m_incomingSnapshot->table.revision <= m_head.revision)
        m_incomingSnapshot.reset();
    out.emplace_back(Adopted { m_table });
}

void TableReplica::push(const std::shared_ptr<const TableDelta>& delta, const HostId& except, Outputs& out)
{
    if (rowCount(*delta) > rowsPerMessage)
        return;
    std::map<DataCentreId, std::vector<const MemberUpdate*>> live;
    for (const auto& [host, member] : m_members) {
        if (isLive(member) && host != except)
            live[member.dataCentre].push_back(&member);
    }
    for (auto& [dataCentre, hosts] : live) {
        bool isLocal = dataCentre == m_config.dataCentre;
        if (!isLocal && !m_isPoller)
            continue;
        size_t wanted = std::min<size_t>(isLocal ? m_config.localFanout : 1, hosts.size());
        for (size_t i = 0; i < wanted; ++i) {
            std::swap(hosts[i], hosts[i + randomBelow(hosts.size() - i)]);
            send(*hosts[i], TablePush { delta }, out);
        }
    }
}

void TableReplica::reject(const HostId& from, uint64_t revision, ResultCode code, Outputs& out)
{
    ++m_rejected;
    out.emplace_back(TableRejected { from, revision, code });
}

void TableReplica::confirm(Instant at)
{
    if (!m_confirmedAt || *m_confirmedAt < at)
        m_confirmedAt = at;
}

// ---- Members and time.

void TableReplica::on(Instant, const ReplicaMembers& input, Outputs&)
{
    // Only liveness, address and data centre matter here; most membership updates, such as refutations, change none.
    bool isSame = input.members.size() == m_members.size()
        && std::all_of(input.members.begin(), input.members.end(), [&](const MemberUpdate& it) {
               const auto* known = findMember(it.host);
               return known && isLive(*known) == isLive(it) && known->address == it.address
                   && known->dataCentre == it.dataCentre;
           });
    if (isSame)
        return;
    m_members.clear();
    for (const auto& it : input.members)
        m_members.emplace(it.host, it);
    std::erase_if(m_peerHeads, [&](const auto& it) {
        const auto* member = findMember(it.first);
        return !member || !isLive(*member);
    });
    // Rendezvous hashing: the daemons with the highest hashes poll, so that a failed daemon replaces one poller only.
    auto pollerRank = [](const HostId& host) { return internal::sha256Prefix64("poller/" + host.value()); };
    uint64_t ownRank = pollerRank(m_config.self);
    size_t higherRanked = 0;
    m_localMembers = 1;
    for (const auto& [host, member] : m_members) {
        if (!isLive(member) || member.dataCentre != m_config.dataCentre)
            continue;
        ++m_localMembers;
        if (pollerRank(host) > ownRank)
            ++higherRanked;
    }
    m_isPoller = higherRanked < m_config.pollersPerDataCentre;
}

void TableReplica::on(Instant now, const ReplicaTick&, Outputs& out)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_nextPoll = now + milliseconds(randomBelow(static_cast<size_t>(maxStartDelay.count())));
    }
    poll(now, out);
    if (now < m_nextPull)
        return;
    if (m_incomingSnapshot) {
        const auto* member = findMember(m_incomingSnapshot->from);
        if (!member || !isLive(*member) || ++m_incomingSnapshot->retries > 4)
            m_incomingSnapshot.reset();
        else if (m_incomingSnapshot->nextChunk < m_incomingSnapshot->chunkCount)
            send(*member,
                TableRequest { m_head.revision, m_incomingSnapshot->table.revision, m_incomingSnapshot->nextChunk },
                out);
        m_nextPull = now + m_config.retryInterval;
        return;
    }
    if (m_isBehind)
        pull(now, out);
}

void TableReplica::poll(Instant now, Outputs& out)
{
    auto fallbackInterval = std::max(minFallbackPollInterval, fallbackPollIntervalPerMember * m_localMembers);
    bool isStale = age(now) >= m_config.fallbackAge;
    bool wasStale = std::exchange(m_isStale, isStale);
    bool shouldPoll = m_isPoller || !m_table || isStale;
    // Random start times spread the polls of daemons whose tables become stale at the same time.
    if (isStale && !wasStale && !m_isPoller && m_table)
        m_nextPoll = now + milliseconds(randomBelow(static_cast<size_t>(fallbackInterval.count())));
    if (!shouldPoll || now < m_nextPoll)
        return;
    out.emplace_back(FetchHead {});
    auto interval = m_isPoller
        ? m_config.pollInterval
        : fallbackInterval / 2 + milliseconds(randomBelow(static_cast<size_t>(fallbackInterval.count())));
    m_nextPoll = now + interval;
}

void TableReplica::pull(Instant now, Outputs& out)
{
    std::vector<const MemberUpdate*> ahead;
    for (const auto& [host, head] : m_peerHeads) {
        const auto* member = findMember(host);
        if (head.revision > m_head.revision && member && isLive(*member))
            ahead.push_back(member);
    }
    m_nextPull = now + m_config.retryInterval;
    m_isBehind = !ahead.empty();
    if (ahead.empty())
        return;
    send(*ahead[randomBelow(ahead.size())], TableRequest { m_head.revision, 0, 0 }, out);
}

void TableReplica::send(const MemberUpdate& member, PeerBody body, Outputs& out)
{
    out.emplace_back(SendToPeer { member.host, member.address, std::move(body) });
}

const MemberUpdate* TableReplica::findMember(const HostId& host) const
{
    auto it = m_members.find(host);
    return it == m_members.end() ? nullptr : &it->second;
}

} // namespace jacinthspindle
