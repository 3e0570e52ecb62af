// Sends requested changes and snapshots to peers, and receives snapshots from them.

#include "ReplicaRows.h"
#include "spindlecore/TableReplica.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    using internal::isLive;
    using internal::rowCount;
    using internal::rowsPerMessage;

    constexpr uint32_t maxChangesPerRequest = 32;
    constexpr size_t maxHeadReports = 16;

    // Copies the rows in [first, end). The range indexes the concatenated rows of all kinds: each call subtracts the
    // rows of its own kind, so that the next call continues with the next kind.
    template <typename Row>
    void copyRowRange(const std::vector<Row>& rows, size_t& first, size_t& end, std::vector<Row>& result)
    {
        auto from = std::min(first, rows.size());
        auto to = std::min(end, rows.size());
        result.assign(rows.begin() + static_cast<std::ptrdiff_t>(from), rows.begin() + static_cast<std::ptrdiff_t>(to));
        first -= from;
        end -= to;
    }

    template <typename Row> void append(std::vector<Row>& rows, const std::vector<Row>& more)
    {
        rows.insert(rows.end(), more.begin(), more.end());
    }

} // namespace

void TableReplica::onTableRequest(const HostId& sender, const TableRequest& request, Outputs& out)
{
    const auto* member = findMember(sender);
    if (!member || !m_table)
        return;
    if (request.snapshot) {
        sendChunk(*member, request.snapshot, request.chunk, out);
        return;
    }
    bool hasChanges = !m_changes.empty() && m_changes.front()->base <= request.after;
    if (request.after >= m_head.revision)
        return;
    if (!hasChanges) {
        sendChunk(*member, 0, 0, out);
        return;
    }
    auto first = static_cast<size_t>(request.after - m_changes.front()->base);
    for (size_t i = first; i < std::min(m_changes.size(), first + maxChangesPerRequest); ++i) {
        if (rowCount(*m_changes[i]) > rowsPerMessage) {
            sendChunk(*member, 0, 0, out);
            return;
        }
        send(*member, TablePush { m_changes[i] }, out);
    }
}

void TableReplica::sendChunk(const MemberUpdate& member, uint64_t revision, uint32_t chunk, Outputs& out)
{
    // The served snapshot is replaced only when a peer starts a new transfer, so that transfers in progress can finish
    // while newer changes arrive.
    if (!m_servedSnapshot || (revision != m_servedSnapshot->revision && chunk == 0)) {
        m_servedSnapshot = m_table;
        m_servedContentDigest = m_head.content;
    }
    // A transfer whose snapshot has been replaced starts over with the new one.
    if (revision && revision != m_servedSnapshot->revision)
        chunk = 0;
    auto rows = rowCount(*m_servedSnapshot);
    auto chunks = static_cast<uint32_t>(std::max<size_t>(1, (rows + rowsPerMessage - 1) / rowsPerMessage));
    if (chunk >= chunks)
        return;
    TableSnapshot snapshot { m_servedSnapshot->revision, m_servedSnapshot->digest, m_servedContentDigest, chunk, chunks,
        {}, {}, {} };
    size_t first = chunk * rowsPerMessage;
    size_t end = first + rowsPerMessage;
    copyRowRange(m_servedSnapshot->workspaces, first, end, snapshot.workspaces);
    copyRowRange(m_servedSnapshot->routes, first, end, snapshot.routes);
    copyRowRange(m_servedSnapshot->endpoints, first, end, snapshot.endpoints);
    send(member, std::move(snapshot), out);
}

void TableReplica::onSnapshotChunk(Instant now, const HostId& from, const TableSnapshot& chunk, Outputs& out)
{
    if (chunk.revision <= m_head.revision && m_fault != ReplicaFault::AdoptOlder) {
        if (m_incomingSnapshot && m_incomingSnapshot->from == from)
            m_incomingSnapshot.reset();
        return;
    }
    if (!chunk.chunk && (!m_incomingSnapshot || m_incomingSnapshot->from == from)) {
        m_incomingSnapshot = IncomingSnapshot { chunk.content, from, chunk.chunks, 0, 0, {} };
        m_incomingSnapshot->table.revision = chunk.revision;
        m_incomingSnapshot->table.digest = chunk.digest;
    }
    if (!m_incomingSnapshot || m_incomingSnapshot->from != from)
        return;
    auto& incoming = *m_incomingSnapshot;
    bool isNext = chunk.chunk == incoming.nextChunk && chunk.chunks == incoming.chunkCount && chunk.chunks
        && chunk.chunk < chunk.chunks && chunk.content == incoming.contentDigest
        && chunk.digest == incoming.table.digest;
    if (!isNext || chunk.revision != incoming.table.revision)
        return;
    append(incoming.table.workspaces, chunk.workspaces);
    append(incoming.table.routes, chunk.routes);
    append(incoming.table.endpoints, chunk.endpoints);
    ++incoming.nextChunk;
    incoming.retries = 0;
    m_nextPull = now + m_config.retryInterval;
    if (incoming.nextChunk == incoming.chunkCount || m_fault == ReplicaFault::AdoptPartialSnapshot) {
        finishSnapshot(out);
        return;
    }
    if (const auto* member = findMember(from))
        send(*member, TableRequest { m_head.revision, chunk.revision, incoming.nextChunk }, out);
}

void TableReplica::finishSnapshot(Outputs& out)
{
    auto& incoming = *m_incomingSnapshot;
    PeerTableHead head = headOf(incoming.table, incoming.contentDigest);
    if (m_fault != ReplicaFault::AcceptWrongContent && m_fault != ReplicaFault::AdoptPartialSnapshot) {
        // The digest chain covers changes, not the rows of a snapshot, so another member must have reported the same
        // content digest.
        if (!isReportedByAnother(incoming.from, head))
            return;
        if (tableContentDigest(incoming.table) != incoming.contentDigest) {
            reject(incoming.from, head.revision, ResultCode::TableDigestMismatch, out);
            m_incomingSnapshot.reset();
            return;
        }
    }
    auto table = std::make_shared<const Table>(std::move(incoming.table));
    auto from = incoming.from;
    m_incomingSnapshot.reset();
    if (!checkTable(*table).empty()) {
        reject(from, table->revision, ResultCode::TableInvalid, out);
        return;
    }
    m_changes.clear();
    adopt(table, head.content, out);
}

void TableReplica::recordHeadReport(const HostId& host, const PeerTableHead& head)
{
    auto it = std::find_if(
        m_headReports.begin(), m_headReports.end(), [&](const auto& known) { return known.head == head; });
    if (it == m_headReports.end()) {
        m_headReports.push_back({ head, {} });
        if (m_headReports.size() > maxHeadReports)
            m_headReports.pop_front();
        it = std::prev(m_headReports.end());
    }
    it->hosts.insert(host);
}

bool TableReplica::isReportedByAnother(const HostId& from, const PeerTableHead& head) const
{
    size_t others = 0;
    for (const auto& [host, member] : m_members) {
        if (host != from && isLive(member))
            ++others;
    }
    if (!others)
        return true;
    for (const auto& it : m_headReports) {
        if (it.head == head && it.hosts.size() > it.hosts.count(from))
            return true;
    }
    return false;
}

} // namespace jacinthspindle
