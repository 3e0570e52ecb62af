// Validates each token of a stream against the dispatched attempt. Only tokens that belong to the caller's request,
// were computed by every layer exactly once and arrive in order are delivered.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/Ports.h"

#include <array>
#include <optional>
#include <string>
#include <variant>

namespace jacinthspindle {

// Reason for which a token is dropped. NotExpected: no attempt is open, or the stream is complete. AttemptOver: the
// attempt failed because of a gap in the positions.
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

// ---- Inputs: an attempt was dispatched, or a token was received.

struct AttemptExpected {
    uint32_t attempt = 0;
    Chain chain;
    std::string version;
    uint32_t firstPosition = 0;
    JACINTHSPINDLE_FIELDS(self.attempt, self.chain, self.version, self.firstPosition)
};

using StreamInput = std::variant<AttemptExpected, TokenEvent>;

// ---- Outputs.

// The attempt was opened; its tokens are accepted from now on.
struct AttemptOpened {
    uint32_t attempt = 0;
    bool operator==(const AttemptOpened&) const = default;
    JACINTHSPINDLE_FIELDS(self.attempt)
};

// The attempt was refused, because its tokens would break the stream: the stream is complete, the version differs from
// that of the tokens delivered so far, the attempt does not start at the next position, its number is not greater than
// that of the last attempt, or its chain does not run each layer exactly once. None of its tokens is accepted.
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

// Do not deliver the token. If the reason is Gap, the attempt has failed.
struct Dropped {
    TokenDrop reason = TokenDrop::NotExpected;
    uint32_t position = 0;
    uint32_t attempt = 0;
    bool operator==(const Dropped&) const = default;
    JACINTHSPINDLE_FIELDS(self.reason, self.position, self.attempt)
};

// Deliver the token. It is the last one, and the answer is complete.
struct Complete {
    uint32_t tokens = 0; // Number of tokens of the answer, from position 0.
    bool operator==(const Complete&) const = default;
    JACINTHSPINDLE_FIELDS(self.tokens)
};

using StreamOutput = std::variant<AttemptOpened, AttemptRefused, Accepted, Dropped, Complete>;

namespace internal {
    // Mutations for mutation testing: each disables one check, and the tests check that they detect it. Production code
    // never sets one.
    struct StreamMutations {
        bool acceptWrongRequest = false;
        bool acceptWrongAttempt = false;
        bool acceptOldPosition = false;
        bool acceptGap = false;
        bool acceptWrongProof = false;
    };
} // namespace internal

// Validates the tokens of one stream. Not thread-safe; does not depend on time.
class StreamValidator {
public:
    // layers: number of layers of the model.
    StreamValidator(RequestId, uint32_t layers, internal::StreamMutations = {});

    // Closes the current attempt, whose tokens are dropped from then on, and opens the given one. Returns false and
    // leaves no attempt open if the attempt is refused; refusal() then gives the reason.
    bool expect(uint32_t attempt, const Chain&, const std::string& version, uint32_t firstPosition);
    // Returns Accepted, Dropped or Complete.
    StreamOutput accept(const TokenEvent&);
    // Calls expect() or accept(), depending on the input. Inputs and outputs have this form in records.
    StreamOutput apply(Instant now, const StreamInput&);

    uint32_t nextPosition() const { return m_nextPosition; }
    bool isComplete() const { return m_isComplete; }
    // True if the open attempt failed because of a gap; the caller then reports AttemptFailed with BadToken.
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
    uint32_t m_attempt = 0; // Number of the open attempt; 0 if none is open.
    uint32_t m_lastAttempt = 0; // Highest attempt number opened so far; attempt numbers only increase.
    Chain m_chain; // Covers [0, m_layers) without overlap while an attempt is open.
    std::string m_version; // Model version of all tokens of the stream.
    uint32_t m_nextPosition = 0; // Next position; each position below it was accepted exactly once.
    bool m_isComplete = false;
    bool m_attemptFailed = false;
    std::string m_refusal;
    std::array<uint64_t, tokenDropCount> m_dropped {};
};

} // namespace jacinthspindle
