// Exchange of changes and snapshots between table replicas.

#include "ReplicaRows.h"
#include "spindlecore/TableReplica.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    using internal::isLive;
    using internal::rowCount;
    using internal::rowsPerMessage;

    constexpr uint32_t changesPerAnswer = 32;
    constexpr size_t maxVouchedHeads = 16;

    // Copies the rows of one chunk, counted over all kinds, and moves the window on by the size of this kind.
    template <typename Row>
    void copyWindow(const std::vector<Row>& rows, size_t& first, size_t& end, std::vector<Row>& result)
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

void TableReplica::onRequest(const HostId& sender, const TableRequest& request, Outputs& out)
{
    const auto* member = findMember(sender);
    if (!member || !m_table)
        return;
    if (request.snapshot) {
        sendChunk(*member, request.snapshot, request.chunk, out);
        return;
    }
    bool holdsChanges = !m_changes.empty() && m_changes.front()->base <= request.after;
    if (request.after >= m_head.revision)
        return;
    if (!holdsChanges) {
        sendChunk(*member, 0, 0, out);
        return;
    }
    auto first = static_cast<size_t>(request.after - m_changes.front()->base);
    for (size_t i = first; i < std::min(m_changes.size(), first + changesPerAnswer); ++i) {
        if (rowCount(*m_changes[i]) > rowsPerMessage) {
            sendChunk(*member, 0, 0, out);
            return;
        }
        send(*member, TablePush { m_changes[i] }, out);
    }
}

void TableReplica::sendChunk(const MemberUpdate& member, uint64_t revision, uint32_t chunk, Outputs& out)
{
    // A snapshot that a peer is fetching stays available while newer changes arrive.
    if (!m_served || (revision != m_served->revision && chunk == 0)) {
        m_served = m_table;
        m_servedContent = m_head.content;
    }
    if (revision && revision != m_served->revision)
        chunk = 0;
    auto rows = rowCount(*m_served);
    auto chunks = static_cast<uint32_t>(std::max<size_t>(1, (rows + rowsPerMessage - 1) / rowsPerMessage));
    if (chunk >= chunks)
        return;
    TableSnapshot snapshot { m_served->revision, m_served->digest, m_servedContent, chunk, chunks, {}, {}, {} };
    size_t first = chunk * rowsPerMessage;
    size_t end = first + rowsPerMessage;
    copyWindow(m_served->workspaces, first, end, snapshot.workspaces);
    copyWindow(m_served->routes, first, end, snapshot.routes);
    copyWindow(m_served->endpoints, first, end, snapshot.endpoints);
    send(member, std::move(snapshot), out);
}

void TableReplica::onChunk(Instant now, const HostId& from, const TableSnapshot& chunk, Outputs& out)
{
    if (chunk.revision <= m_head.revision && m_fault != ReplicaFault::AdoptOlder) {
        if (m_assembly && m_assembly->from == from)
            m_assembly.reset();
        return;
    }
    if (!chunk.chunk && (!m_assembly || m_assembly->from == from)) {
        m_assembly = Assembly { chunk.content, from, chunk.chunks, 0, 0, {} };
        m_assembly->table.revision = chunk.revision;
        m_assembly->table.digest = chunk.digest;
    }
    if (!m_assembly || m_assembly->from != from)
        return;
    auto& assembly = *m_assembly;
    bool isNext = chunk.chunk == assembly.next && chunk.chunks == assembly.chunks && chunk.chunks
        && chunk.chunk < chunk.chunks && chunk.content == assembly.content && chunk.digest == assembly.table.digest;
    if (!isNext || chunk.revision != assembly.table.revision)
        return;
    append(assembly.table.workspaces, chunk.workspaces);
    append(assembly.table.routes, chunk.routes);
    append(assembly.table.endpoints, chunk.endpoints);
    ++assembly.next;
    assembly.retries = 0;
    m_nextPull = now + m_config.retryInterval;
    if (assembly.next == assembly.chunks || m_fault == ReplicaFault::AdoptPartialSnapshot) {
        finishSnapshot(out);
        return;
    }
    if (const auto* member = findMember(from))
        send(*member, TableRequest { m_head.revision, chunk.revision, assembly.next }, out);
}

void TableReplica::finishSnapshot(Outputs& out)
{
    auto& assembly = *m_assembly;
    PeerTableHead head = headOf(assembly.table, assembly.content);
    if (m_fault != ReplicaFault::AcceptWrongContent && m_fault != ReplicaFault::AdoptPartialSnapshot) {
        // The rows cannot be checked against the chained digest, so another member must vouch for their digest.
        if (!isVouched(assembly.from, head))
            return;
        if (tableContentDigest(assembly.table) != assembly.content) {
            reject(assembly.from, head.revision, ResultCode::TableDigestMismatch, out);
            m_assembly.reset();
            return;
        }
    }
    auto table = std::make_shared<const Table>(std::move(assembly.table));
    auto from = assembly.from;
    m_assembly.reset();
    if (!checkTable(*table).empty()) {
        reject(from, table->revision, ResultCode::TableInvalid, out);
        return;
    }
    m_changes.clear();
    adopt(table, head.content, out);
}

void TableReplica::vouch(const HostId& host, const PeerTableHead& head)
{
    auto it = std::find_if(m_vouched.begin(), m_vouched.end(), [&](const auto& known) { return known.head == head; });
    if (it == m_vouched.end()) {
        m_vouched.push_back({ head, {} });
        if (m_vouched.size() > maxVouchedHeads)
            m_vouched.pop_front();
        it = std::prev(m_vouched.end());
    }
    it->hosts.insert(host);
}

bool TableReplica::isVouched(const HostId& from, const PeerTableHead& head) const
{
    size_t others = 0;
    for (const auto& [host, member] : m_members) {
        if (host != from && isLive(member))
            ++others;
    }
    if (!others)
        return true;
    for (const auto& it : m_vouched) {
        if (it.head == head && it.hosts.size() > it.hosts.count(from))
            return true;
    }
    return false;
}

} // namespace jacinthspindle
