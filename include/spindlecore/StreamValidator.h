// Checks each token of a stream against the attempt that was dispatched, so that only the caller's own answer, made by
// every layer once and in order, is delivered.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/Ports.h"

#include <array>
#include <optional>
#include <string>
#include <variant>

namespace jacinthspindle {

// Why a token is not delivered. NotExpected: no attempt is open, or the stream is complete. AttemptOver: the attempt
// failed by a gap.
enum class TokenDrop : uint8_t {
    WrongRequest,
    WrongAttempt,
    OldPosition,
    Gap,
    WrongLayers,
    WrongVersion,
    WrongEndpoint,
    NotExpected,
    AttemptOver,
};
constexpr size_t tokenDropCount = 9;
const char* tokenDropName(TokenDrop);

// ---- Inputs: an attempt was dispatched, or a token arrived.

struct AttemptExpected {
    uint32_t attempt = 0;
    Chain chain;
    std::string version;
    uint32_t firstPosition = 0;
    JACINTHSPINDLE_FIELDS(self.attempt, self.chain, self.version, self.firstPosition)
};

using StreamInput = std::variant<AttemptExpected, TokenEvent>;

// ---- Outputs.

// The attempt is open. A refused attempt would break the stream: no token of it would be accepted.
struct AttemptOpened {
    uint32_t attempt = 0;
    bool operator==(const AttemptOpened&) const = default;
    JACINTHSPINDLE_FIELDS(self.attempt)
};

// The attempt has another version than the tokens delivered so far, does not start at the next position, is not newer
// than the last attempt, or its chain does not run each layer once.
struct AttemptRefused {
    uint32_t attempt = 0;
    std::string text;
    bool operator==(const AttemptRefused&) const = default;
    JACINTHSPINDLE_FIELDS(self.attempt, self.text)
};

// Deliver the token.
struct Accepted {
    uint32_t position = 0;
    bool operator==(const Accepted&) const = default;
    JACINTHSPINDLE_FIELDS(self.position)
};

// Do not deliver the token. After a gap the attempt has failed.
struct Dropped {
    TokenDrop reason = TokenDrop::NotExpected;
    uint32_t position = 0;
    uint32_t attempt = 0;
    bool operator==(const Dropped&) const = default;
    JACINTHSPINDLE_FIELDS(self.reason, self.position, self.attempt)
};

// Deliver the token; it is the last one and the answer is whole.
struct Complete {
    uint32_t tokens = 0; // Counted from position 0.
    bool operator==(const Complete&) const = default;
    JACINTHSPINDLE_FIELDS(self.tokens)
};

using StreamOutput = std::variant<AttemptOpened, AttemptRefused, Accepted, Dropped, Complete>;

namespace internal {
    // Faults that tests plant to show that they would be found. Product code never sets one.
    struct StreamMutations {
        bool acceptWrongRequest = false;
        bool acceptWrongAttempt = false;
        bool acceptOldPosition = false;
        bool acceptGap = false;
        bool acceptWrongProof = false;
    };
} // namespace internal

// One per stream, used by one thread. Time plays no part in it.
class StreamValidator {
public:
    // layers: number of layers of the model.
    StreamValidator(RequestId, uint32_t layers, internal::StreamMutations = {});

    // Opens an attempt and closes the one before it; tokens of closed attempts are dropped from then on. Returns false
    // and keeps no attempt open when the attempt is refused; refusal() then says why.
    bool expect(uint32_t attempt, const Chain&, const std::string& version, uint32_t firstPosition);
    // Returns Accepted, Dropped or Complete.
    StreamOutput accept(const TokenEvent&);
    // The recorded form of the two.
    StreamOutput apply(Instant now, const StreamInput&);

    uint32_t nextPosition() const { return m_next; }
    bool isComplete() const { return m_isComplete; }
    // The open attempt failed by a gap; the caller of this class reports AttemptFailed with BadToken.
    bool attemptFailed() const { return m_attemptFailed; }
    const std::string& refusal() const { return m_refusal; }
    uint64_t dropped(TokenDrop reason) const { return m_dropped[static_cast<size_t>(reason)]; }
    uint64_t droppedTotal() const;

private:
    StreamOutput drop(TokenDrop, const TokenEvent&);
    std::optional<TokenDrop> checkProof(const TokenEvent&) const;

    internal::StreamMutations m_mutations;
    RequestId m_request;
    uint32_t m_layers = 0;
    uint32_t m_attempt = 0; // 0: none was opened yet.
    uint32_t m_lastAttempt = 0; // Attempt numbers only rise.
    Chain m_chain; // Covers [0, m_layers) without overlap while an attempt is open.
    std::string m_version; // Of all tokens of the stream.
    uint32_t m_next = 0; // Every position below it was accepted exactly once.
    bool m_isComplete = false;
    bool m_attemptFailed = false;
    std::string m_refusal;
    std::array<uint64_t, tokenDropCount> m_dropped {};
};

} // namespace jacinthspindle
