// Figures of a prompt: its length in tokens, and what a cursor is bound to.

#pragma once

#include "spindlecore/Types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jacinthspindle::daemon {

// Estimates the tokens of a prompt from its bytes; engines alone know the exact number.
uint32_t estimatePromptTokens(const std::string& prompt);

// Digest of what must be equal in two requests for one stream.
std::string cursorBinding(
    const WorkspaceId&, const RouteId&, const std::string& prompt, const std::optional<uint32_t>& maxTokens);

} // namespace jacinthspindle::daemon
