// msgpack codecs of trace records and table changes.

#include "spindleadapters/TraceCodec.h"

#include "spindleadapters/internal/FieldCodec.h"

namespace jacinthspindle {

namespace {

    template <typename Value> std::optional<Value> decodeOne(std::string_view bytes, ResultCode code, Reason& reason)
    {
        size_t offset = 0;
        try {
            auto value = internal::decodeFields<Value>(bytes, offset);
            if (offset == bytes.size())
                return value;
            reason = { code, std::to_string(bytes.size() - offset) + " bytes follow the value" };
        } catch (const internal::DecodeError& error) {
            reason = { code, error.what() };
        }
        return std::nullopt;
    }

} // namespace

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
    return decodeOne<CoreConfig>(bytes, ResultCode::TraceMalformed, reason);
}

std::optional<CoreInput> decodeInput(std::string_view bytes, Reason& reason)
{
    return decodeOne<CoreInput>(bytes, ResultCode::TraceMalformed, reason);
}

std::optional<CoreDecision> decodeDecision(std::string_view bytes, Reason& reason)
{
    return decodeOne<CoreDecision>(bytes, ResultCode::TraceMalformed, reason);
}

std::optional<TableDelta> decodeDelta(std::string_view bytes, Reason& reason)
{
    return decodeOne<TableDelta>(bytes, ResultCode::TableInvalid, reason);
}

std::optional<Table> decodeTable(std::string_view bytes, Reason& reason)
{
    return decodeOne<Table>(bytes, ResultCode::TableInvalid, reason);
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
