// The state of a stream that its caller carries in each event id, and the check of a regenerated prefix against it.

#pragma once

#include "spindlecore/Decisions.h"

#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle {

// Digest of the tokens of a stream, chained token by token: it depends on the texts and on where tokens end.
class TextDigest {
public:
    TextDigest();
    void add(std::string_view tokenText);
    // 32 hexadecimal digits.
    const std::string& value() const { return m_value; }

private:
    std::string m_value;
};

// A daemon that resumes the stream runs it at the engines under a new RequestId, because it counts attempts from 1:
// late tokens of the former daemon's attempts must not pass for its own.
struct StreamCursor {
    RequestId request; // Under which the answer was begun.
    uint32_t nextPosition = 0;
    std::string textDigest; // TextDigest of the tokens before nextPosition.
    uint64_t seed = 0;
    std::string version; // Of the model.
    uint64_t logicalTime = 0; // Lamport time of the daemon that wrote the cursor.
    // That made the token before nextPosition; leads from a caller's event id to the attempt in the time line.
    uint32_t attempt = 0;

    bool operator==(const StreamCursor&) const = default;
    JACINTHSPINDLE_FIELDS(
        self.request, self.nextPosition, self.textDigest, self.seed, self.version, self.logicalTime, self.attempt)
};

// Longest text that parse() looks at, in bytes.
constexpr size_t maxCursorBytes = 1024;

// Writes and reads the text form. The text holds only visible ASCII characters, so it is a valid event id. Immutable,
// thus thread-safe.
class CursorCodec {
public:
    // key: secret that all daemons share; it must not be empty.
    explicit CursorCodec(std::string key);

    // binding: what the cursor belongs to beside its members, for example a digest of workspace, route and request
    // body. The same binding must be given to parse(), so a cursor of another caller or prompt is refused.
    std::string format(const StreamCursor&, std::string_view binding) const;
    // Returns nothing and sets the reason (CursorInvalid) when the text is damaged, forged or bound to something else.
    std::optional<StreamCursor> parse(std::string_view text, std::string_view binding, Reason&) const;

private:
    std::string authenticate(std::string_view body, std::string_view binding) const;

    std::string m_key;
};

enum class PrefixState : uint8_t { Skipping, Verified, Mismatch };

// Compares the regenerated tokens before the cursor's position with the digest in the cursor. Tokens may be delivered
// only in the state Verified; after Mismatch the stream ends with CursorMismatch.
class PrefixChecker {
public:
    explicit PrefixChecker(const StreamCursor&);
    // Takes a token that the StreamValidator accepted. Returns the state after it.
    PrefixState add(uint32_t position, std::string_view text, bool isLast);
    PrefixState state() const { return m_state; }
    // Digest of all tokens so far; the cursor of the next event needs it.
    const TextDigest& digest() const { return m_digest; }

private:
    StreamCursor m_cursor;
    TextDigest m_digest;
    uint32_t m_next = 0;
    PrefixState m_state = PrefixState::Skipping;
};

} // namespace jacinthspindle
