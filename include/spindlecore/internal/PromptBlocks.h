// Digests of a prompt's blocks, by which daemons and engines name the prefixes that an engine has cached.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthspindle::internal {

constexpr size_t promptBlockBytes = 256;
// Longer prompts are matched by their first 16 KiB: what follows is rarely shared between two requests.
constexpr size_t maxPromptBlocks = 64;

// Returns the digests of the prompt's first 1, 2, ... whole blocks; each one depends on all blocks before it.
std::vector<uint64_t> promptBlockDigests(const std::string& prompt);

} // namespace jacinthspindle::internal
