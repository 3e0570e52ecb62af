// Figures of a prompt.

#include "daemon/PromptFigures.h"

#include "spindlecore/internal/Digest.h"

namespace jacinthspindle::daemon {

namespace {

    constexpr size_t bytesPerToken = 4; // English text has about 4 bytes per token.

} // namespace

uint32_t estimatePromptTokens(const std::string& prompt)
{
    return static_cast<uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

std::string cursorBinding(const WorkspaceId& workspace, const RouteId& route, const std::string& prompt,
    const std::optional<uint32_t>& maxTokens)
{
    internal::DigestVisitor visitor;
    visitor(workspace, route, prompt, maxTokens.value_or(0));
    return visitor.hexDigest();
}

} // namespace jacinthspindle::daemon
