// The accepted table in the platform: the protocol by which a change is accepted, and the reading of history.

#pragma once

#include "spindlecore/spindlecore.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle {

// Conflict: another change was accepted first. Unknown: the change may have been accepted; applying it again with the
// same change id settles it.
enum class ApplyOutcome : uint8_t { Accepted, NothingChanged, Conflict, Invalid, Unknown, Unavailable };

struct ApplyAnswer {
    ApplyOutcome outcome = ApplyOutcome::Unavailable;
    uint64_t revision = 0; // The revision of the change for Accepted, else the last one that is known.
    std::vector<TableDelta> newer; // For Conflict: the changes accepted since the base.
};

// Not thread-safe. The ports must outlive the store.
class TableStore {
public:
    TableStore(TableService&, ObjectStore&, std::chrono::milliseconds timeout);

    // Returns the last accepted revision; revision 0 when no table was ever accepted.
    std::optional<TableHead> head();

    // Returns up to limit changes with revisions greater than after, in order and without a gap.
    std::optional<std::vector<TableDelta>> changes(uint64_t after, uint32_t limit);

    // Returns the table at a revision, or at the last one.
    std::optional<Table> load();
    std::optional<Table> load(uint64_t revision);

    // Commits the change from base to wanted's rows, if base is still the last accepted revision. The change id settles
    // lost answers: a change is accepted at most once under one id.
    ApplyAnswer apply(const Table& base, const Table& wanted, const std::string& author, const std::string& changeId);

    // Stores a snapshot, so that a reader needs not all changes. It is only an optimization: a failure loses nothing.
    bool saveSnapshot(const Table&);

    const Reason& lastReason() const { return m_reason; }

private:
    std::optional<TableDelta> change(uint64_t revision);
    std::optional<Table> newestSnapshot(uint64_t revision);
    ApplyAnswer settle(const Table& base, const TableDelta&);
    ApplyAnswer conflict(const Table& base);

    TableService& m_tables;
    ObjectStore& m_objects;
    std::chrono::milliseconds m_timeout;
    Reason m_reason;
};

// Returns the key of the row that holds a change.
std::string tableChangeKey(uint64_t revision);

// Decodes the row table/head.
std::optional<TableHead> decodeHead(std::string_view bytes, Reason&);
std::string encodeHead(const TableHead&);

constexpr const char* tableHeadKey = "table/head";

} // namespace jacinthspindle
