// msgpack codecs of trace records and table changes.

#include "spindleadapters/TraceCodec.h"

#include "spindleadapters/internal/FieldCodec.h"

namespace jacinthspindle {

std::string encodeRecord(const TraceRecord& record)
{
    return internal::encodeFields(record);
}

std::string encodeConfig(const CoreConfig& config)
{
    return internal::encodeFields(config);
}

std::string encodeInput(const CoreInput& input)
{
    return internal::encodeFields(input);
}

std::string encodeDecision(const CoreDecision& decision)
{
    return internal::encodeFields(decision);
}

std::string encodeDelta(const TableDelta& delta)
{
    return internal::encodeFields(delta);
}

std::string encodeTable(const Table& table)
{
    return internal::encodeFields(table);
}

std::optional<CoreConfig> decodeConfig(std::string_view bytes, Reason& reason)
{
    return internal::decodeWhole<CoreConfig>(bytes, ResultCode::TraceMalformed, reason);
}

std::optional<CoreInput> decodeInput(std::string_view bytes, Reason& reason)
{
    return internal::decodeWhole<CoreInput>(bytes, ResultCode::TraceMalformed, reason);
}

std::optional<CoreDecision> decodeDecision(std::string_view bytes, Reason& reason)
{
    return internal::decodeWhole<CoreDecision>(bytes, ResultCode::TraceMalformed, reason);
}

std::optional<TableDelta> decodeDelta(std::string_view bytes, Reason& reason)
{
    return internal::decodeWhole<TableDelta>(bytes, ResultCode::TableInvalid, reason);
}

std::optional<Table> decodeTable(std::string_view bytes, Reason& reason)
{
    return internal::decodeWhole<Table>(bytes, ResultCode::TableInvalid, reason);
}

std::optional<std::vector<TraceRecord>> decodeRecords(std::string_view bytes, Reason& reason)
{
    std::vector<TraceRecord> records;
    size_t offset = 0;
    while (offset < bytes.size()) {
        size_t start = offset;
        try {
            records.push_back(internal::decodeFields<TraceRecord>(bytes, offset));
        } catch (const internal::DecodeError& error) {
            reason = { ResultCode::TraceMalformed, "byte " + std::to_string(start) + ": " + error.what() };
            return std::nullopt;
        }
        if (records.back().format != traceFormatVersion) {
            reason = { ResultCode::TraceMalformed,
                "byte " + std::to_string(start) + ": format " + std::to_string(records.back().format)
                    + " is not supported" };
            return std::nullopt;
        }
    }
    return records;
}

} // namespace jacinthspindle
