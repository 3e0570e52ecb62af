// Inputs and decisions of the DecisionCore. Each type lists its members in fields() so that traces can hold it.

#pragma once

#include "spindlecore/ResultCode.h"
#include "spindlecore/Table.h"
#include "spindlecore/Types.h"

#include <memory>
#include <variant>
#include <vector>

namespace jacinthspindle {

#define JACINTHSPINDLE_FIELDS(...)                                                                                     \
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)                         \
    {                                                                                                                  \
        visit(__VA_ARGS__);                                                                                            \
    }

// ---- Inputs.

// A caller's request. All sizes are in tokens.
struct RequestArrived {
    RequestId request;
    WorkspaceId workspace;
    RouteId route;
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    uint32_t firstPosition = 0; // Tokens that the caller already has, when it resumes a stream.
    std::vector<uint64_t> prefixDigests; // Digest of the prompt's first 1, 2, ... blocks.
    Duration deadline {}; // For the whole answer, from the moment of arrival.
    JACINTHSPINDLE_FIELDS(self.request, self.workspace, self.route, self.promptTokens, self.maxTokens,
        self.firstPosition, self.prefixDigests, self.deadline)
};

struct FirstToken {
    RequestId request;
    uint32_t attempt = 0;
    JACINTHSPINDLE_FIELDS(self.request, self.attempt)
};

struct TokensProgressed {
    RequestId request;
    uint32_t attempt = 0;
    uint32_t position = 0; // Position of the next token.
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.position)
};

enum class FailureKind : uint8_t { ConnectFailed, StreamBroken, Stalled, Refused, BadToken };

// An attempt ended without the whole answer.
struct AttemptFailed {
    RequestId request;
    uint32_t attempt = 0;
    EndpointId endpoint; // Empty when the endpoint at fault is not known.
    FailureKind kind = FailureKind::StreamBroken;
    uint32_t position = 0; // Position of the next token that is wanted.
    bool mayRepeat = true; // False when a repetition could run an action twice.
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.endpoint, self.kind, self.position, self.mayRepeat)
};

struct RequestFinished {
    RequestId request;
    uint32_t attempt = 0;
    uint32_t tokens = 0;
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.tokens)
};

struct CallerGone {
    RequestId request;
    JACINTHSPINDLE_FIELDS(self.request)
};

struct LoadReported {
    EndpointId endpoint;
    uint32_t running = 0;
    uint32_t waiting = 0;
    Duration age {}; // How old the report was when it arrived.
    JACINTHSPINDLE_FIELDS(self.endpoint, self.running, self.waiting, self.age)
};

// The prefixes that an engine says it holds. A gap in the sequence means that events were lost.
struct CacheChanged {
    EndpointId endpoint;
    uint64_t sequence = 0;
    std::vector<uint64_t> added;
    std::vector<uint64_t> removed;
    JACINTHSPINDLE_FIELDS(self.endpoint, self.sequence, self.added, self.removed)
};

enum class EndpointStateSource : uint8_t { HostList, Health, Engine };
enum class EndpointLife : uint8_t { Serving, Leaving, Down };

struct EndpointStateSeen {
    EndpointId endpoint;
    EndpointStateSource source = EndpointStateSource::Health;
    EndpointLife life = EndpointLife::Serving;
    JACINTHSPINDLE_FIELDS(self.endpoint, self.source, self.life)
};

struct TableAdopted {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// This daemon's share of a workspace's limits. Values of 0 mean "nothing may be used", not "no limit".
struct ShareChanged {
    WorkspaceId workspace;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    double concurrency = 0;
    JACINTHSPINDLE_FIELDS(self.workspace, self.requestsPerSecond, self.tokensPerSecond, self.concurrency)
};

// The daemon stops taking new work; requests in progress go on.
struct DrainStarted {
    bool refuseNew = false; // True once the balancer's lag has passed.
    JACINTHSPINDLE_FIELDS(self.refuseNew)
};

struct Tick {
    uint32_t number = 0;
    JACINTHSPINDLE_FIELDS(self.number)
};

// Repetitions in ten seconds that this daemon may send to each service beside the share of first attempts. The platform
// allows a number for all daemons together.
struct RetryReserveChanged {
    uint32_t repetitions = 0;
    JACINTHSPINDLE_FIELDS(self.repetitions)
};

// Seconds for one layer of a kind of accelerator, as the operators declare them.
struct AcceleratorTimes {
    std::string accelerator;
    double prefill = 0; // Per prompt token.
    double decode = 0; // Per token step.
    double perSequence = 0; // Added to a token step for each request that generates.
    JACINTHSPINDLE_FIELDS(self.accelerator, self.prefill, self.decode, self.perSequence)
};

struct AcceleratorsDeclared {
    std::vector<AcceleratorTimes> accelerators;
    JACINTHSPINDLE_FIELDS(self.accelerators)
};

// Daemons of the own data centre, this one included, that send to the same engines.
struct PeersCounted {
    uint32_t daemons = 1;
    JACINTHSPINDLE_FIELDS(self.daemons)
};

// How much slower than its kind of accelerator an engine says that it works.
struct PaceReported {
    EndpointId endpoint;
    uint32_t percent = 100; // Of the usual time of its kind.
    JACINTHSPINDLE_FIELDS(self.endpoint, self.percent)
};

using CoreInput = std::variant<RequestArrived, FirstToken, TokensProgressed, AttemptFailed, RequestFinished, CallerGone,
    LoadReported, CacheChanged, EndpointStateSeen, TableAdopted, ShareChanged, DrainStarted, Tick, RetryReserveChanged,
    AcceleratorsDeclared, PeersCounted, PaceReported>;

// ---- Decisions.

// Send the request to a chain.
struct Dispatch {
    RequestId request;
    uint32_t attempt = 0;
    Chain chain;
    uint8_t priority = 0; // 0 is the most urgent.
    uint32_t firstPosition = 0;
    uint64_t tableRevision = 0;
    bool operator==(const Dispatch&) const = default;
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.chain, self.priority, self.firstPosition, self.tableRevision)
};

// Refuse a request of which no attempt was dispatched: it did not run and never will.
struct Refuse {
    RequestId request;
    ResultCode code = ResultCode::DeadlineUnreachable;
    Duration retryAfter {};
    uint64_t tableRevision = 0;
    bool operator==(const Refuse&) const = default;
    JACINTHSPINDLE_FIELDS(self.request, self.code, self.retryAfter, self.tableRevision)
};

// End a request of which at least one attempt was dispatched.
struct Abandon {
    RequestId request;
    uint32_t attempt = 0;
    ResultCode code = ResultCode::AttemptsExhausted;
    Duration retryAfter {};
    bool operator==(const Abandon&) const = default;
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.code, self.retryAfter)
};

// Change the priority of a running attempt at its engines.
struct Reprioritize {
    RequestId request;
    uint32_t attempt = 0;
    uint8_t priority = 0;
    bool operator==(const Reprioritize&) const = default;
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.priority)
};

using CoreDecision = std::variant<Dispatch, Refuse, Abandon, Reprioritize>;

} // namespace jacinthspindle
