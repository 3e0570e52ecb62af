// Figures of a prompt.

#include "daemon/PromptFigures.h"

#include "spindlecore/internal/Digest.h"

#include <algorithm>

namespace jacinthspindle::daemon {

namespace {

    constexpr size_t bytesPerToken = 4; // English text has about 4 bytes per token.
    constexpr size_t bytesPerBlock = 256;
    // Longer prompts are matched by their first 16 KiB: what follows is rarely shared between two requests.
    constexpr size_t maxBlocks = 64;

} // namespace

uint32_t estimatePromptTokens(const std::string& prompt)
{
    return static_cast<uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

std::vector<uint64_t> promptDigests(const std::string& prompt)
{
    std::vector<uint64_t> digests;
    size_t blocks = std::min(prompt.size() / bytesPerBlock, maxBlocks);
    std::string chained;
    for (size_t i = 0; i < blocks; ++i) {
        chained += prompt.substr(i * bytesPerBlock, bytesPerBlock);
        uint64_t digest = internal::sha256Prefix64(chained);
        digests.push_back(digest);
        chained = std::to_string(digest) + ":";
    }
    return digests;
}

std::string cursorBinding(const WorkspaceId& workspace, const RouteId& route, const std::string& prompt,
    const std::optional<uint32_t>& maxTokens)
{
    internal::DigestVisitor visitor;
    visitor(workspace, route, prompt, maxTokens.value_or(0));
    return visitor.hexDigest();
}

} // namespace jacinthspindle::daemon
