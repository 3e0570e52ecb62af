// JSON of the calls and answers of engines, shared by the client side and the stand-ins. docs/design.md 2.5.

#pragma once

#include "spindlecore/Ports.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jacinthspindle::internal {

// The line that ends a failed stream.
struct StreamFault {
    EndpointId endpoint; // Empty when the fault is not one endpoint's.
    GenerationOutcome kind = GenerationOutcome::StreamBroken;
    std::string text;
};

using StreamLine = std::variant<TokenEvent, StreamFault>;

// Names a running attempt, with its new priority where one is set.
struct AttemptCall {
    RequestId request;
    uint32_t attempt = 0;
    uint8_t priority = 0;
};

// The encoders return nothing when a text is not UTF-8. The decoders return nothing on anything but one whole value.
std::optional<std::string> encodeGenerationCall(const GenerationCall&);
std::optional<GenerationCall> decodeGenerationCall(std::string_view json);
std::optional<std::string> encodeStreamLine(const StreamLine&);
std::optional<StreamLine> decodeStreamLine(std::string_view line);
std::optional<std::string> encodeAttemptCall(const AttemptCall&);
std::optional<AttemptCall> decodeAttemptCall(std::string_view json);
std::optional<std::string> encodeEngineStatus(const EngineStatus&);
std::optional<EngineStatus> decodeEngineStatus(std::string_view json);
std::optional<std::string> encodeEngineOrder(const EngineOrder&);
std::optional<EngineOrder> decodeEngineOrder(std::string_view json);

} // namespace jacinthspindle::internal
