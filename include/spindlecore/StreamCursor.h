// Cursor that encodes the state of a stream in each event id, so that another daemon can resume the stream, and the
// verification of a regenerated prefix against the cursor.

#pragma once

#include "spindlecore/Decisions.h"

#include <optional>
#include <string>
#include <string_view>

namespace jacinthspindle {

// Digest over the tokens of a stream, chained token by token, so that it depends on the texts and on the token
// boundaries.
class TextDigest {
public:
    TextDigest();
    void add(std::string_view tokenText);
    // Returns the digest as 32 hexadecimal digits.
    const std::string& value() const { return m_value; }

private:
    std::string m_value;
};

// State from which a daemon resumes a stream. The resuming daemon numbers its attempts from 1 and therefore sends the
// request to the engines under a new RequestId; otherwise late tokens of the previous daemon's attempts could be
// accepted as its own.
struct StreamCursor {
    RequestId request; // Identifier under which the answer was started.
    uint32_t nextPosition = 0;
    std::string textDigest; // TextDigest of the tokens before nextPosition.
    uint64_t seed = 0;
    std::string version; // Version of the model.
    uint64_t logicalTime = 0; // Lamport time of the daemon that wrote the cursor.
    // Attempt that generated the token before nextPosition. Used to find the attempt of an event id in the time line.
    uint32_t attempt = 0;

    bool operator==(const StreamCursor&) const = default;
    JACINTHSPINDLE_FIELDS(
        self.request, self.nextPosition, self.textDigest, self.seed, self.version, self.logicalTime, self.attempt)
};

// Maximum length of a cursor that parse() accepts, in bytes.
constexpr size_t maxCursorBytes = 1024;

// Formats and parses the text form of cursors, which is authenticated by a keyed code. The text consists of visible
// ASCII characters and is therefore a valid event id. Immutable and thus thread-safe.
class CursorCodec {
public:
    // key: secret shared by all daemons. Throws std::invalid_argument if it is empty.
    explicit CursorCodec(std::string key);

    // binding: context that is authenticated with the cursor but not stored in it, for example a digest of workspace,
    // route and request body. parse() needs the same binding, so that a cursor of another caller or prompt is refused.
    std::string format(const StreamCursor&, std::string_view binding) const;
    // Returns nothing and sets the reason (CursorInvalid) if the text is damaged, forged or has another binding.
    std::optional<StreamCursor> parse(std::string_view text, std::string_view binding, Reason&) const;

private:
    std::string authenticate(std::string_view body, std::string_view binding) const;

    std::string m_key;
};

enum class PrefixState : uint8_t { Skipping, Verified, Mismatch };

// Verifies the regenerated tokens before the cursor's position against the digest in the cursor. Tokens may be
// delivered only in the state Verified. In the state Mismatch the caller ends the stream with CursorMismatch.
class PrefixChecker {
public:
    explicit PrefixChecker(const StreamCursor&);
    // Adds a token that the StreamValidator has accepted and returns the resulting state.
    PrefixState add(uint32_t position, std::string_view text, bool isLast);
    PrefixState state() const { return m_state; }
    // Returns the digest of all tokens so far, for the cursor of the next event.
    const TextDigest& digest() const { return m_digest; }

private:
    StreamCursor m_cursor;
    TextDigest m_digest;
    uint32_t m_nextPosition = 0; // Position expected of the next token.
    PrefixState m_state = PrefixState::Skipping;
};

} // namespace jacinthspindle
