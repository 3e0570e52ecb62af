// Digests of prompt prefixes, which daemons and engines use to identify the prefixes in an engine's KV cache.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthspindle::internal {

constexpr size_t promptBlockBytes = 256;
// Only the first 16 KiB of a prompt are matched, since two requests rarely share more.
constexpr size_t maxPromptBlocks = 64;

// Returns one digest per complete block, at most maxPromptBlocks. Each digest covers its block and all blocks before
// it.
std::vector<uint64_t> promptBlockDigests(const std::string& prompt);

} // namespace jacinthspindle::internal
