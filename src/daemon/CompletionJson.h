// The JSON bodies of completions in the OpenAI form, and problem documents (RFC 9457).

#pragma once

#include "spindlecore/ResultCode.h"
#include "spindlecore/Types.h"

#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle::daemon {

enum class CompletionForm : uint8_t { Chat, Text };

constexpr uint32_t maxRequestedTokens = 1 << 20;

// The members of a completion request that this router uses.
struct CompletionRequest {
    CompletionForm form = CompletionForm::Chat;
    RouteId route; // The member "model".
    std::string prompt;
    std::optional<uint32_t> maxTokens;
    std::optional<uint64_t> seed;
    bool isStream = false;
};

// Returns nothing and sets the reason (RequestMalformed) when a member is missing, has a wrong type or asks for
// something that this router cannot do.
std::optional<CompletionRequest> parseCompletion(CompletionForm, std::string_view body, Reason&);

// What all bodies of one answer share.
struct CompletionIdentity {
    CompletionForm form = CompletionForm::Chat;
    RequestId request;
    RouteId route;
    int64_t createdSeconds = 0;
};

enum class FinishReason : uint8_t { None, Stop, Length };

// Writes the chunks of one stream. What all chunks share is made once, because a daemon writes 20,500 chunks per second
// at the peak.
class ChunkWriter {
public:
    explicit ChunkWriter(const CompletionIdentity&);

    // isFirst adds the role of a chat message.
    std::string tokenChunk(const std::string& text, bool isFirst) const;
    std::string finishChunk(bool isFirst, FinishReason) const;

private:
    std::string chunk(const std::string& choice) const;

    bool m_isChat = false;
    std::string m_head; // Up to the first choice.
};

struct CompletionUsage {
    uint32_t promptTokens = 0;
    uint32_t completionTokens = 0;
};

std::string answerJson(const CompletionIdentity&, const std::string& text, FinishReason, const CompletionUsage&);

// An error towards a caller. ran says whether the work of the request ran.
struct Problem {
    ResultCode code = ResultCode::Ok;
    Execution ran = Execution::NotRun;
    std::string detail;
    Duration retryAfter {}; // 0: no hint.
    RequestId request; // May be empty.
};

// Returns the problem document; its member "retryAfterMs" carries the hint in finer steps than the Retry-After header.
std::string problemJson(const Problem&);

} // namespace jacinthspindle::daemon
