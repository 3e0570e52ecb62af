// Encoding of the rows of actions and orders, and of the trace payloads of the protocol machines.

#pragma once

#include "spindlecore/spindlecore.h"

#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle {

std::string encodeActionRow(const ActionRow&);
std::string encodeOrderLease(const OrderLease&);

// Each returns nothing and sets the reason (PlatformAnswerMalformed) on bytes that are damaged, too large, of another
// format or hold a state that is not defined.
std::optional<ActionRow> decodeActionRow(std::string_view bytes, Reason&);
std::optional<OrderLease> decodeOrderLease(std::string_view bytes, Reason&);

// Build the transaction of an output.
Transaction toTransaction(const WriteRow&);
Transaction toTransaction(const WriteLease&);
// Build the input that answers a read. A damaged row stays absent from the input; the reason then says why.
RowRead toRowRead(const ReadRow&, const ReadAnswer&, Reason&);
LeaseRead toLeaseRead(const ReadLease&, const ReadAnswer&, Reason&);

// Payloads of TraceRecord for the kinds ActionInput to StreamOutput. Decoders set TraceMalformed.
std::string encodeActionInput(const ActionInput&);
std::string encodeActionOutput(const ActionOutput&);
std::string encodeOrderInput(const OrderInput&);
std::string encodeOrderOutput(const OrderOutput&);
std::string encodeStreamInput(const StreamInput&);
std::string encodeStreamOutput(const StreamOutput&);
std::optional<ActionInput> decodeActionInput(std::string_view bytes, Reason&);
std::optional<ActionOutput> decodeActionOutput(std::string_view bytes, Reason&);
std::optional<OrderInput> decodeOrderInput(std::string_view bytes, Reason&);
std::optional<OrderOutput> decodeOrderOutput(std::string_view bytes, Reason&);
std::optional<StreamInput> decodeStreamInput(std::string_view bytes, Reason&);
std::optional<StreamOutput> decodeStreamOutput(std::string_view bytes, Reason&);

} // namespace jacinthspindle
