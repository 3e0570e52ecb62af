// One model request: generation, validation of each token, continuation after a failure, and resumption by a cursor.

#pragma once

#include "daemon/TrafficPath.h"
#include "spindlecore/StreamCursor.h"
#include "spindlecore/StreamValidator.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jacinthspindle::daemon {

// What a caller asks for, after its body was read.
struct ModelQuery {
    WorkspaceId workspace;
    RouteId route;
    std::string prompt;
    std::optional<uint32_t> maxTokens;
    std::optional<uint64_t> seed;
    std::optional<std::chrono::milliseconds> deadline;
    std::string lastEventId; // Empty: a new stream.
};

// A token for the caller and the event id with which the stream can be resumed behind it.
struct StreamToken {
    const std::string& text;
    std::string cursor;
    bool isLast = false;
};

// Used by one traffic thread.
class ModelStream {
public:
    // Returns false when the caller is gone.
    using Consumer = std::function<bool(const StreamToken&)>;

    ModelStream(TrafficContext&, ModelQuery);

    // Checks the cursor and waits until the request is dispatched. Returns how it ended, if it did.
    std::optional<RequestEnd> open();
    // Runs the stream to its end. Ok: the last token was consumed.
    RequestEnd run(const Consumer&);

    const RequestId& request() const { return m_request; }
    // Names the answer towards the caller; the same in all parts of a resumed stream.
    const RequestId& answerId() const { return m_cursor ? m_cursor->request : m_request; }
    bool isResumed() const { return m_cursor.has_value(); }
    uint32_t promptTokens() const { return m_promptTokens; }
    uint32_t tokens() const { return m_validator ? m_validator->nextPosition() : 0; }
    uint32_t maxTokens() const { return m_maxTokens; }
    // The event id behind the last token that was consumed.
    const std::string& lastCursor() const { return m_lastCursor; }

private:
    enum class Stop : uint8_t { None, CallerGone, Ended, BadToken, PrefixMismatch, Moved };

    std::optional<RequestEnd> readCursor();
    std::optional<RequestEnd> expectAttempt();
    std::optional<RequestEnd> runAttempt(const Consumer&);
    StreamControl onToken(const TokenEvent&, const Consumer&);
    StreamControl takeToken(const TokenEvent&, const Consumer&);
    StreamControl onSilence();
    bool deliver(const TokenEvent&, const Consumer&);
    void reportProgress();
    GenerationCall generationCall() const;
    std::chrono::milliseconds stallLimit() const;
    const std::string& textDigest() const;
    void cancelAttempt();
    void recordStream(TraceKind, std::string payload);
    RequestEnd endMismatch(const std::string& detail);

    TrafficContext& m_context;
    ModelQuery m_query;
    RequestId m_request;
    uint32_t m_promptTokens = 0;
    uint32_t m_maxTokens = 0;
    uint64_t m_seed = 0;
    std::string m_binding; // Of the cursor: digest of what must not differ between two requests for one stream.
    std::string m_version; // Of the model; empty until the first dispatch.
    std::optional<StreamCursor> m_cursor;
    std::unique_ptr<Admission> m_admission;
    std::optional<StreamValidator> m_validator;
    std::optional<PrefixChecker> m_prefix;
    TextDigest m_digest;
    std::string m_text; // All accepted tokens; a new chain recomputes them.
    std::string m_lastCursor;
    Stop m_stop = Stop::None;
    bool m_hasFirstToken = false; // In this attempt.
    bool m_hasSentToken = false;
    uint32_t m_reportedPosition = 0;
    Instant m_lastTokenAt {};
    Instant m_nextAsk {};
};

} // namespace jacinthspindle::daemon
