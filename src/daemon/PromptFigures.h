// Figures of a prompt: its length in tokens, the digests of its prefixes, and what a cursor is bound to.

#pragma once

#include "spindlecore/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle::daemon {

// Estimates the tokens of a prompt from its bytes; engines alone know the exact number.
uint32_t estimatePromptTokens(const std::string& prompt);

// Digests of the prompt's first 1, 2, ... blocks, as engines report them for their prefix caches.
std::vector<uint64_t> promptDigests(const std::string& prompt);

// Digest of what must be equal in two requests for one stream.
std::string cursorBinding(
    const WorkspaceId&, const RouteId&, const std::string& prompt, const std::optional<uint32_t>& maxTokens);

} // namespace jacinthspindle::daemon
