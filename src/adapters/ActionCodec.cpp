// msgpack codecs of action rows, order leases and the trace payloads of the protocol machines.

#include "spindleadapters/ActionCodec.h"

#include "spindleadapters/internal/FieldCodec.h"

#include <algorithm>
#include <set>

namespace jacinthspindle {

namespace {

    // A lease lists only orders in flight; anything larger is not one.
    constexpr size_t maxLeaseBytes = 64 << 10;

    template <typename Row>
    std::optional<Row> decodeRow(std::string_view bytes, size_t maxBytes, uint16_t format, Reason& reason)
    {
        constexpr auto code = ResultCode::PlatformAnswerMalformed;
        if (bytes.size() > maxBytes) {
            reason = { code, "the row has " + std::to_string(bytes.size()) + " bytes" };
            return std::nullopt;
        }
        auto row = internal::decodeWhole<Row>(bytes, code, reason);
        if (row && row->format != format) {
            reason = { code, "format " + std::to_string(row->format) + " is not supported" };
            return std::nullopt;
        }
        return row;
    }

    template <typename Input> std::optional<Input> decodeTrace(std::string_view bytes, Reason& reason)
    {
        return internal::decodeWhole<Input>(bytes, ResultCode::TraceMalformed, reason);
    }

} // namespace

std::string encodeActionRow(const ActionRow& row)
{
    return internal::encodeFields(row);
}

std::string encodeOrderLease(const OrderLease& lease)
{
    return internal::encodeFields(lease);
}

std::optional<ActionRow> decodeActionRow(std::string_view bytes, Reason& reason)
{
    auto row = decodeRow<ActionRow>(bytes, maxActionRowBytes, actionRowFormat, reason);
    if (row && (row->state > ActionState::Void || row->epoch == 0 || row->attempt.host.isEmpty())) {
        reason = { ResultCode::PlatformAnswerMalformed, "the row has no valid state, epoch or attempt" };
        return std::nullopt;
    }
    return row;
}

std::optional<OrderLease> decodeOrderLease(std::string_view bytes, Reason& reason)
{
    return decodeRow<OrderLease>(bytes, maxLeaseBytes, orderLeaseFormat, reason);
}

Transaction toTransaction(const WriteRow& write)
{
    Transaction transaction { { { write.key, write.expectedVersion } }, { { write.key, encodeActionRow(write.row) } } };
    if (!write.floorKey.empty())
        transaction.preconditions.push_back({ write.floorKey, write.floorVersion });
    return transaction;
}

std::vector<Transaction> toBatches(const std::vector<WriteRow>& writes)
{
    std::vector<Transaction> batches;
    std::set<std::string> keys; // Of the last batch.
    for (const auto& it : writes) {
        bool isFull = batches.empty() || keys.size() >= maxBatchRows;
        if (isFull || !keys.insert(it.key).second) {
            batches.emplace_back();
            keys = { it.key };
        }
        auto one = toTransaction(it);
        auto& batch = batches.back();
        batch.writes.push_back(std::move(one.writes.front()));
        for (auto& condition : one.preconditions) {
            bool isKnown = std::any_of(batch.preconditions.begin(), batch.preconditions.end(),
                [&](const auto& other) { return other.key == condition.key && other.version == condition.version; });
            if (!isKnown)
                batch.preconditions.push_back(std::move(condition));
        }
    }
    return batches;
}

Transaction toTransaction(const WriteLease& write)
{
    return { { { write.key, write.expectedVersion } }, { { write.key, encodeOrderLease(write.lease) } } };
}

RowRead toRowRead(const ReadRow& read, const ReadAnswer& answer, Reason& reason)
{
    RowRead input { read.step, answer.outcome, std::nullopt, answer.row.version };
    if (answer.outcome == ReadOutcome::Found)
        input.row = decodeActionRow(answer.row.value, reason);
    return input;
}

LeaseRead toLeaseRead(const ReadLease& read, const ReadAnswer& answer, Reason& reason)
{
    LeaseRead input { read.step, answer.outcome, std::nullopt, answer.row.version };
    if (answer.outcome == ReadOutcome::Found)
        input.lease = decodeOrderLease(answer.row.value, reason);
    return input;
}

std::string encodeActionInput(const ActionInput& input)
{
    return internal::encodeFields(input);
}

std::string encodeActionOutput(const ActionOutput& output)
{
    return internal::encodeFields(output);
}

std::string encodeOrderInput(const OrderInput& input)
{
    return internal::encodeFields(input);
}

std::string encodeOrderOutput(const OrderOutput& output)
{
    return internal::encodeFields(output);
}

std::string encodeStreamInput(const StreamInput& input)
{
    return internal::encodeFields(input);
}

std::string encodeStreamOutput(const StreamOutput& output)
{
    return internal::encodeFields(output);
}

std::optional<ActionInput> decodeActionInput(std::string_view bytes, Reason& reason)
{
    return decodeTrace<ActionInput>(bytes, reason);
}

std::optional<ActionOutput> decodeActionOutput(std::string_view bytes, Reason& reason)
{
    return decodeTrace<ActionOutput>(bytes, reason);
}

std::optional<OrderInput> decodeOrderInput(std::string_view bytes, Reason& reason)
{
    return decodeTrace<OrderInput>(bytes, reason);
}

std::optional<OrderOutput> decodeOrderOutput(std::string_view bytes, Reason& reason)
{
    return decodeTrace<OrderOutput>(bytes, reason);
}

std::optional<StreamInput> decodeStreamInput(std::string_view bytes, Reason& reason)
{
    return decodeTrace<StreamInput>(bytes, reason);
}

std::optional<StreamOutput> decodeStreamOutput(std::string_view bytes, Reason& reason)
{
    return decodeTrace<StreamOutput>(bytes, reason);
}

} // namespace jacinthspindle
