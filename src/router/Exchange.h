// One request of a caller: from its arrival through the attempts at endpoints to its answer.

#pragma once

#include "router/EndpointPool.h"
#include "router/Headers.h"
#include "router/Journal.h"
#include "router/MemoryBudget.h"
#include "router/PromptParts.h"

#include "daemon/Metrics.h"

#include <array>
#include <functional>
#include <memory>
#include <set>

namespace jacinthspindle::router {

// Where an exchange writes its answer. Each function returns false when the caller can no longer be reached.
class CallerSink {
public:
    virtual ~CallerSink() = default;
    virtual net::awaitable<bool> sendWhole(http::response<http::string_body>) = 0;
    // Begins an answer whose length is not known; sendPart and endParts follow.
    virtual net::awaitable<bool> beginParts(http::response_header<>) = 0;
    virtual net::awaitable<bool> sendPart(std::string_view bytes) = 0;
    virtual net::awaitable<bool> endParts() = 0;
};

// A request lost its engine before its first event.
struct UnbegunLoss {
    EndpointSighting engine;
    std::vector<PromptPart> parts; // Of the request; see RoutedRequest.
    Instant sentAt {};
    Instant lostAt {};
};

// What an exchange needs from the traffic thread. All of it outlives the exchange.
struct ExchangeContext {
    net::any_io_executor executor;
    const Clock& clock;
    Journal& journal;
    daemon::Metrics& metrics;
    EndpointPool& pool;
    const RouterSettings& settings;
    std::function<void(CoreInput)> postInput; // To the decision core.
    std::function<void(EndpointNotice)> postNotice; // To the control thread.
    std::function<std::shared_ptr<const RoutingView>()> currentView;
    std::function<bool(const EndpointId&)> isLost; // The endpoint has ended or is cut off; see Traffic.
    std::function<Duration()> recentDelay; // Longest delay of the event loop just before; see LoopWatch.
    PromptParts& parts;
    std::function<void(UnbegunLoss)> noteLoss;
    const MemoryBudget& answerMemory;
    std::function<void(const EndpointId&)> noteAlive; // The endpoint has sent a part of an answer.
};

// A request that has passed the checks of its route and key.
struct RoutedRequest {
    http::request<http::string_body> message;
    RequestId id; // The caller's, or one of its own when that is in use.
    std::string wireId; // The caller's.
    WorkspaceId workspace;
    RouteSettings route;
    std::string service;
    bool isModel = false;
    std::optional<uint8_t> rank; // Among the requests to a model whose routes differ in priority; see RequestRanks.
    Instant arrivedAt {};
    Instant deadline {}; // The earlier one of the caller's deadline and the route's timeout.
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    std::vector<PromptPart> parts; // Of the prompt of a model's request, in order, without the last one: it is its own.
    std::optional<uint64_t> lastEvent; // The caller continues a stream.
    uint64_t configurationVersion = 0; // That the request was routed by.
};

// How an exchange ended, for the connection of the caller.
enum class ExchangeEnd : uint8_t {
    Answered,
    CallerLost, // The caller left, or an answer was broken off: the connection must be closed.
};

// Belongs to the traffic thread.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(const ExchangeContext&, CallerSink&, RoutedRequest);

    // Runs the request to its end.
    net::awaitable<ExchangeEnd> run();

    // Inputs from the traffic thread while run() is in progress.
    void decide(const CoreDecision&);
    void callerGone();
    // The process ends: what has not begun is answered now.
    void expire();
    // This endpoint of the running attempt is silent. The work goes on elsewhere once the core has dispatched another
    // attempt; until that one has delivered something, the silent one is kept.
    void moveAway(const EndpointId& silent);
    // Called periodically: returns to the stream that was set aside when it has gone on first.
    void followStandby();
    // Ends the exchange after a failure of run(). Returns the status of the answer that the caller is still due;
    // nothing when it has received a part of another one.
    std::optional<unsigned> abandon();
    // The process was held up for this long, in which no endpoint could show progress.
    void excuse(Duration delay);

    const RequestId& id() const { return m_request.id; }
    const std::string& wireId() const { return m_request.wireId; }
    // Endpoint to which the running attempt was sent; null between attempts.
    const EndpointSighting* head() const { return m_connection ? &m_head : nullptr; }
    // True when an attempt of a model has shown no progress for this long and nothing of it is still to be read.
    bool isSilentFor(Duration) const;
    // True when the running attempt has shown no progress for as long as callers wait for an event.
    bool isStalled() const;

private:
    // SetAside: the attempt is kept as m_standby while another one runs. Withheld: not sent, for a part of its prompt.
    enum class AttemptEnd : uint8_t {
        Complete,
        NotSent,
        OutOfAttempts,
        NotExecuted,
        Failed,
        CallerGone,
        TimedOut,
        SetAside,
        Withheld
    };
    struct AttemptResult {
        AttemptEnd end = AttemptEnd::NotSent;
        EndpointId atFault; // Empty when it is not known.
        FailureKind kind = FailureKind::ConnectFailed;
        const char* detail = "";
    };
    using Parser = http::response_parser<http::buffer_body>;

    // An attempt's connection; the parser is null until the header of the answer is being read.
    struct OpenAttempt {
        uint32_t number = 0;
        EndpointSighting head;
        Instant sentAt {};
        std::unique_ptr<EndpointConnection> connection;
        std::unique_ptr<Parser> parser;
        bool isForeign = false; // Bytes of another request's answer came first.
        bool hasDelivered = false; // The caller has received something of it.
        bool isSilent = false; // It was set aside for its silence, and not because another attempt went on first.
        std::string partialEvent; // While it is set aside.
    };

    net::awaitable<ExchangeEnd> runAttempts();
    net::awaitable<std::optional<CoreDecision>> nextDecision();
    net::awaitable<ExchangeEnd> endWithoutAttempt(const std::optional<CoreDecision>&);
    net::awaitable<ExchangeEnd> refuse(const Refuse&);
    // Its prompt has a part under which engines end.
    net::awaitable<ExchangeEnd> withhold();
    bool isWithheld() const { return m_context.parts.isBlocked(m_context.clock.now(), m_request.parts); }
    net::awaitable<ExchangeEnd> giveUp(ResultCode);
    net::awaitable<ExchangeEnd> afterAttempt(const AttemptResult&, uint32_t attempt, bool& isOver);

    net::awaitable<AttemptResult> attempt(const Dispatch&);
    // Reads an attempt on that was set aside, as the one with this number.
    net::awaitable<AttemptResult> resume(OpenAttempt, uint32_t number);
    // Returns the attempt that was set aside and is to be read on after this end of the running one, if there is one.
    std::optional<OpenAttempt> takeNextTurn(const AttemptResult&);
    bool mayResume() const { return !m_isCallerGone && timeLeft() > Duration::zero(); }
    bool mayResumeStandby() const { return m_standby && mayResume(); }
    // Reads the answer of the attempt, or what is left of it.
    net::awaitable<AttemptResult> receive(OpenAttempt&);
    void noteLoss(const OpenAttempt&, const AttemptResult&);
    // Keeps the connection of an attempt that has ended, or drops it.
    void settle(OpenAttempt, const AttemptResult&);
    net::awaitable<std::unique_ptr<EndpointConnection>> acquire(const EndpointSighting&);
    net::awaitable<bool> writeRequest(EndpointConnection&, std::string chain);
    net::awaitable<bool> readOwnHeader(OpenAttempt&);
    // Returns the next bytes of the body, none when only framing was read; nothing when the answer broke off. Says for
    // all kinds of answers whether the end of the connection ends them.
    net::awaitable<std::optional<std::string_view>> readSome(EndpointConnection&, Parser&);
    enum class BodyEnd : uint8_t { Whole, TooLong, BrokenOff };
    // What the exchange holds of answers takes so many bytes beside what was read ahead. False: the memory does not
    // allow it.
    bool hold(const EndpointConnection&, size_t bytes);
    // Reads the body, or its beginning when it is longer than a daemon holds in memory for one request, or than the
    // memory allows.
    net::awaitable<BodyEnd> readBody(EndpointConnection&, Parser&, std::string& body);
    net::awaitable<AttemptResult> relayStream(OpenAttempt&);
    net::awaitable<AttemptResult> takeWhole(EndpointConnection&, Parser&);
    net::awaitable<AttemptResult> passThrough(EndpointConnection&, Parser&, std::string body);
    // The head alone tells that the endpoint did not run the request.
    bool saysNotExecuted(const http::response_header<>&) const;
    AttemptResult classify(const http::response_header<>&, const std::string& body);
    bool isOwnAnswer(const http::response_header<>&) const;
    AttemptResult notOwnAnswer() const;
    AttemptResult noContinuation() const;
    AttemptResult broken(const char* detail) const;
    AttemptResult setAside() const;
    // True when the running attempt was interrupted in favour of another one and can be read on later.
    bool isInterrupted(EndpointConnection&) const;
    void noteFailure(const AttemptResult&, uint32_t attempt, const char* noRepeat);
    uint32_t position() const;
    void noteEndpoint(const http::response_header<>&) const;
    EndpointId faultOf(const http::response_header<>&) const;
    net::awaitable<bool> sendEvents(const http::response_header<>&, const std::string& events, uint32_t attempt);

    void noteEvent(Instant now);
    // Returns why no further attempt follows this one, or null if one may.
    const char* whyNoRepeat(const AttemptResult&) const;
    bool mayRunAgain() const;
    bool maySendTo(const EndpointId&) const;
    // Endpoints that count for the attempts that the route permits.
    size_t countedHeads() const;
    Duration timeLeft() const { return m_request.deadline - m_context.clock.now(); }
    void closeConnection();
    // Ends the reading of the running attempt, which can be read on.
    void interrupt();
    ExchangeEnd endWithoutCaller();
    net::awaitable<ExchangeEnd> sendAnswer();
    net::awaitable<ExchangeEnd> sendError(ResultCode, unsigned status, std::optional<Duration> retryAfter);
    void note(const char* event, std::vector<LineField> fields);
    daemon::ServiceLevel serviceLevel(ResultCode, unsigned status, Duration took) const;
    // Who asked for what, and how long the request waited in this daemon.
    std::vector<LineField> requestFields() const;
    // Who ended the exchange, for its last line in the log.
    enum class EndedBy : uint8_t { Endpoint, Router, Deadline, Caller };
    static const char* nameOf(EndedBy);
    void finish(ResultCode, unsigned status, EndedBy);
    EndedBy whoGaveUp(ResultCode) const;

    const ExchangeContext& m_context;
    CallerSink& m_sink;
    RoutedRequest m_request;
    net::steady_timer m_decisionTimer;
    std::optional<CoreDecision> m_decision; // Arrived and not taken yet.
    bool m_isCallerGone = false;

    EndpointConnection* m_connection = nullptr; // Of the running attempt; owned by attempt().
    EndpointSighting m_head;
    uint32_t m_attempt = 0; // Number of the running attempt.
    uint8_t m_attemptPriority = 0; // Of the running attempt at its endpoints; only a ranked request has one.
    std::optional<OpenAttempt> m_standby; // Set aside, and kept until an event of another attempt has arrived.
    std::optional<OpenAttempt> m_returning; // It was set aside and has gone on; the running attempt makes room for it.
    std::optional<EndpointId> m_silent; // For which the core was asked last about another attempt.
    Instant m_askedAt {}; // When it was asked; valid while m_silent is set.
    std::optional<EndpointId> m_movedFrom; // Set when the running attempt was ended because this endpoint is silent.
    bool m_isAbandoned = false; // The core makes no further decision about the request.
    Instant m_progressAt {}; // Last event of the running attempt, or when it was sent.
    std::optional<Instant> m_decidedAt; // When the first attempt was decided on, or the request refused.
    std::optional<Instant> m_firstEventAt;
    Instant m_eventAt {}; // When the last event was passed on; valid after the first one.
    Duration m_longestGap {}; // Between two events that the caller received.

    uint32_t m_sends = 0; // Attempts that were sent.
    std::set<EndpointId> m_heads; // Endpoints to which the request was sent.
    const char* m_noRepeat = ""; // Why no further attempt was made, for the log.
    bool m_wasSilent = false; // The last attempt was ended by this daemon because an endpoint was silent.
    std::optional<Instant> m_byteAt; // When the last byte of an endpoint arrived.
    bool m_mayHaveRun = false; // Some endpoint may have run the request.
    bool m_hasBegun = false; // The caller has received a part of the answer.
    bool m_isPassingThrough = false; // That part is of an answer which is no stream, so that no other can continue it.
    std::array<char, 4096> m_chunk; // Bytes that readSome() returned last.
    MemoryBudget::Share m_held; // Of the answer.
    EventSplitter m_events;
    std::optional<http::response<http::string_body>> m_answer; // An endpoint's own whole answer.
};

} // namespace jacinthspindle::router
