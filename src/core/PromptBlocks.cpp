// Chained digests of prompt blocks: each digest is the input prefix of the next one.

#include "spindlecore/internal/PromptBlocks.h"

#include "spindlecore/internal/Digest.h"

#include <algorithm>

namespace jacinthspindle::internal {

std::vector<uint64_t> promptBlockDigests(const std::string& prompt)
{
    std::vector<uint64_t> digests;
    size_t blocks = std::min(prompt.size() / promptBlockBytes, maxPromptBlocks);
    std::string chained;
    for (size_t i = 0; i < blocks; ++i) {
        chained += prompt.substr(i * promptBlockBytes, promptBlockBytes);
        digests.push_back(sha256Prefix64(chained));
        chained = std::to_string(digests.back()) + ":";
    }
    return digests;
}

} // namespace jacinthspindle::internal
