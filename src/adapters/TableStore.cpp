// Acceptance of table changes by conditional transactions.

#include "spindleadapters/TableStore.h"

#include "spindleadapters/TraceCodec.h"
#include "spindleadapters/internal/FieldCodec.h"
#include "spindlecore/internal/Digest.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    constexpr const char* changePrefix = "table/change/";
    constexpr const char* snapshotPrefix = "table/snapshot/";
    constexpr size_t revisionDigits = 12;
    constexpr uint32_t scanLimit = 512;
    // A commit with a lost answer is sent again on the same condition, so a repetition cannot apply it twice.
    constexpr int maxCommitAttempts = 4;

    std::string paddedRevision(uint64_t revision)
    {
        auto digits = std::to_string(revision);
        return digits.size() < revisionDigits ? std::string(revisionDigits - digits.size(), '0') + digits : digits;
    }

    std::string contentDigest(const Table& table)
    {
        internal::DigestVisitor visitor;
        visitor(table);
        return visitor.hexDigest();
    }

} // namespace

std::string tableChangeKey(uint64_t revision)
{
    return changePrefix + paddedRevision(revision);
}

std::string encodeHead(const TableHead& head)
{
    return internal::encodeFields(head);
}

std::optional<TableHead> decodeHead(std::string_view bytes, Reason& reason)
{
    return internal::decodeWhole<TableHead>(bytes, ResultCode::PlatformAnswerMalformed, reason);
}

TableStore::TableStore(TableService& tables, ObjectStore& objects, std::chrono::milliseconds timeout)
    : m_tables(tables)
    , m_objects(objects)
    , m_timeout(timeout)
{
}

std::optional<TableHead> TableStore::head()
{
    auto answer = m_tables.read(tableHeadKey, m_timeout);
    switch (answer.outcome) {
    case ReadOutcome::Absent:
        return TableHead {};
    case ReadOutcome::Found:
        return decodeHead(answer.row.value, m_reason);
    case ReadOutcome::Unavailable:
        break;
    }
    m_reason = { ResultCode::PlatformUnavailable, "the table service cannot be read" };
    return std::nullopt;
}

std::optional<std::vector<TableDelta>> TableStore::changes(uint64_t after, uint32_t limit)
{
    auto rows = m_tables.scan(changePrefix, tableChangeKey(after), limit, m_timeout);
    if (!rows) {
        m_reason = { ResultCode::PlatformUnavailable, "the table service cannot be read" };
        return std::nullopt;
    }
    std::vector<TableDelta> deltas;
    for (const auto& it : *rows) {
        auto delta = decodeDelta(it.value, m_reason);
        if (!delta)
            return std::nullopt;
        if (delta->base != after + deltas.size()) {
            m_reason = { ResultCode::PlatformAnswerMalformed, "gap in the changes before " + it.key };
            return std::nullopt;
        }
        deltas.push_back(std::move(*delta));
    }
    return deltas;
}

std::optional<Table> TableStore::newestSnapshot(uint64_t revision)
{
    auto names = m_objects.list(snapshotPrefix, m_timeout);
    if (!names)
        return std::nullopt;
    std::sort(names->begin(), names->end(), std::greater<>());
    const auto newestWanted = snapshotPrefix + paddedRevision(revision);
    for (const auto& name : *names) {
        if (name > newestWanted)
            continue;
        auto bytes = m_objects.get(name, m_timeout);
        constexpr size_t digestDigits = 64;
        if (!bytes || bytes->size() < digestDigits)
            continue;
        Reason ignored;
        auto table = decodeTable(std::string_view(*bytes).substr(digestDigits), ignored);
        if (table && contentDigest(*table) == bytes->substr(0, digestDigits))
            return table;
    }
    return std::nullopt;
}

std::optional<Table> TableStore::load()
{
    auto last = head();
    if (!last)
        return std::nullopt;
    return load(last->revision);
}

std::optional<Table> TableStore::load(uint64_t revision)
{
    auto table = newestSnapshot(revision).value_or(Table {});
    while (table.revision < revision) {
        auto deltas = changes(table.revision, scanLimit);
        if (!deltas)
            return std::nullopt;
        if (deltas->empty()) {
            m_reason = { ResultCode::TableRevisionUnknown, "revision " + std::to_string(revision) + " does not exist" };
            return std::nullopt;
        }
        for (const auto& it : *deltas) {
            if (table.revision == revision)
                break;
            auto next = applyDelta(table, it, m_reason);
            if (!next)
                return std::nullopt;
            table = std::move(*next);
        }
    }
    return table;
}

std::optional<TableDelta> TableStore::change(uint64_t revision)
{
    auto answer = m_tables.read(tableChangeKey(revision), m_timeout);
    if (answer.outcome != ReadOutcome::Found)
        return std::nullopt;
    return decodeDelta(answer.row.value, m_reason);
}

ApplyAnswer TableStore::conflict(const Table& base)
{
    ApplyAnswer answer { ApplyOutcome::Conflict, base.revision, {} };
    if (auto newer = changes(base.revision, scanLimit))
        answer.newer = std::move(*newer);
    if (!answer.newer.empty())
        answer.revision = answer.newer.back().revision();
    m_reason = { ResultCode::TableConflict,
        "revision " + std::to_string(answer.revision) + " was accepted after base " + std::to_string(base.revision) };
    return answer;
}

// Tells whether the row of the wanted revision holds this change or another.
ApplyAnswer TableStore::settle(const Table& base, const TableDelta& delta)
{
    auto stored = change(delta.revision());
    if (!stored)
        return { ApplyOutcome::Unknown, base.revision, {} };
    if (stored->changeId == delta.changeId)
        return { ApplyOutcome::Accepted, delta.revision(), {} };
    return conflict(base);
}

ApplyAnswer TableStore::apply(
    const Table& base, const Table& wanted, const std::string& author, const std::string& changeId)
{
    auto delta = diffTables(base, wanted);
    delta.changeId = changeId;
    delta.author = author;
    delta.digest = deltaDigest(delta);
    auto result = applyDelta(base, delta, m_reason);
    if (!result)
        return { ApplyOutcome::Invalid, base.revision, {} };
    if (result->workspaces == base.workspaces && result->routes == base.routes && result->endpoints == base.endpoints)
        return { ApplyOutcome::NothingChanged, base.revision, {} };

    auto headRow = m_tables.read(tableHeadKey, m_timeout);
    if (headRow.outcome == ReadOutcome::Unavailable) {
        m_reason = { ResultCode::PlatformUnavailable, "the table service cannot be read; the change was not sent" };
        return { ApplyOutcome::Unavailable, base.revision, {} };
    }
    TableHead last;
    if (headRow.outcome == ReadOutcome::Found) {
        auto decoded = decodeHead(headRow.row.value, m_reason);
        if (!decoded)
            return { ApplyOutcome::Invalid, base.revision, {} };
        last = *decoded;
    }
    if (last.revision != base.revision)
        return settle(base, delta);

    Transaction transaction;
    transaction.preconditions = { { tableHeadKey, headRow.row.version }, { tableChangeKey(delta.revision()), 0 } };
    transaction.writes = { { tableHeadKey, encodeHead({ delta.revision(), delta.digest, changeId }) },
        { tableChangeKey(delta.revision()), encodeDelta(delta) } };
    bool maybeSent = false;
    for (int i = 0; i < maxCommitAttempts; ++i) {
        switch (m_tables.commit(transaction, m_timeout)) {
        case CommitOutcome::Committed:
            return { ApplyOutcome::Accepted, delta.revision(), {} };
        case CommitOutcome::Conflict:
            return settle(base, delta);
        case CommitOutcome::Unknown:
            maybeSent = true;
            break;
        case CommitOutcome::Unavailable:
            break;
        }
        auto answer = settle(base, delta);
        if (answer.outcome != ApplyOutcome::Unknown)
            return answer;
    }
    if (maybeSent) {
        m_reason = { ResultCode::PlatformOutcomeUnknown,
            "no answer from the table service; apply again with change id " + changeId + " to settle it" };
        return { ApplyOutcome::Unknown, base.revision, {} };
    }
    m_reason = { ResultCode::PlatformUnavailable, "the table service cannot be reached; the change was not accepted" };
    return { ApplyOutcome::Unavailable, base.revision, {} };
}

bool TableStore::saveSnapshot(const Table& table)
{
    return m_objects.put(
        snapshotPrefix + paddedRevision(table.revision), contentDigest(table) + encodeTable(table), m_timeout);
}

} // namespace jacinthspindle
