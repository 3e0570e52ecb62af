// Encoding of trace records and of the payloads of the decision core.

#pragma once

#include "spindlecore/spindlecore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthspindle {

std::string encodeRecord(const TraceRecord&);
std::string encodeConfig(const CoreConfig&);
std::string encodeInput(const CoreInput&);
std::string encodeDecision(const CoreDecision&);
std::string encodeDelta(const TableDelta&);
std::string encodeTable(const Table&);

// Each decoder returns nothing and sets the reason (TraceMalformed or TableInvalid) on bytes that do not hold exactly
// one value of the type.
std::optional<CoreConfig> decodeConfig(std::string_view bytes, Reason&);
std::optional<CoreInput> decodeInput(std::string_view bytes, Reason&);
std::optional<CoreDecision> decodeDecision(std::string_view bytes, Reason&);
std::optional<TableDelta> decodeDelta(std::string_view bytes, Reason&);
std::optional<Table> decodeTable(std::string_view bytes, Reason&);

// Decodes concatenated records. On a malformed record it returns nothing; the reason names the byte offset.
std::optional<std::vector<TraceRecord>> decodeRecords(std::string_view bytes, Reason&);

} // namespace jacinthspindle
