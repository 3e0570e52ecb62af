// Inputs and decisions of the DecisionCore. Each type lists its members in fields(), which serialises it into traces.

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

// A request from a caller. Lengths are in tokens.
struct RequestArrived {
    RequestId request;
    WorkspaceId workspace;
    RouteId route;
    uint32_t promptTokens = 0;
    uint32_t maxTokens = 0;
    uint32_t firstPosition = 0; // Tokens that the caller has already received; greater than 0 when it resumes a stream.
    std::vector<uint64_t> prefixDigests; // Digests of the prompt's first 1, 2, ... blocks.
    Duration deadline {}; // Time from the arrival to the end of the answer; 0 selects the route's deadline.
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

// An attempt ended before the answer was complete.
struct AttemptFailed {
    RequestId request;
    uint32_t attempt = 0;
    EndpointId endpoint; // Endpoint at fault; empty when unknown.
    FailureKind kind = FailureKind::StreamBroken;
    uint32_t position = 0; // Position of the first token that is still missing.
    bool mayRepeat = true; // False when a retry could execute an action twice.
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.endpoint, self.kind, self.position, self.mayRepeat)
};

// The running attempt shows no progress, but may still go on. Another attempt is dispatched in its place if one is
// permitted and a chain without the silent endpoint exists; otherwise no decision follows and the attempt runs on.
struct AttemptStalled {
    RequestId request;
    uint32_t attempt = 0;
    EndpointId endpoint; // The silent one.
    uint32_t position = 0; // Position of the first token that is still missing.
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.endpoint, self.position)
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
    Duration age {}; // Age of the measurement when the report arrived.
    JACINTHSPINDLE_FIELDS(self.endpoint, self.running, self.waiting, self.age)
};

// Digests of the prefixes that an engine reports as added to or removed from its cache. A gap in the sequence numbers
// means that events were lost.
struct CacheChanged {
    EndpointId endpoint;
    uint64_t sequence = 0;
    std::vector<uint64_t> added;
    std::vector<uint64_t> removed;
    JACINTHSPINDLE_FIELDS(self.endpoint, self.sequence, self.added, self.removed)
};

enum class EndpointStateSource : uint8_t { HostList, Health, Engine };
// An endpoint gets no new attempts while any source reports Leaving or Down.
enum class EndpointAvailability : uint8_t { Serving, Leaving, Down };

struct EndpointStateReported {
    EndpointId endpoint;
    EndpointStateSource source = EndpointStateSource::Health;
    EndpointAvailability availability = EndpointAvailability::Serving;
    JACINTHSPINDLE_FIELDS(self.endpoint, self.source, self.availability)
};

struct TableAdopted {
    std::shared_ptr<const Table> table;
    JACINTHSPINDLE_FIELDS(self.table)
};

// This daemon's share of a workspace's limits. A share of 0 allows nothing; it does not mean "no limit".
struct ShareChanged {
    WorkspaceId workspace;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    double concurrency = 0;
    JACINTHSPINDLE_FIELDS(self.workspace, self.requestsPerSecond, self.tokensPerSecond, self.concurrency)
};

// The daemon drains: it stops accepting new requests, and running ones continue.
struct DrainStarted {
    bool refuseNew = false; // True once the load balancer has had time to stop sending new requests.
    JACINTHSPINDLE_FIELDS(self.refuseNew)
};

// Periodic input for decisions that depend on the passage of time.
struct Tick {
    uint32_t number = 0;
    JACINTHSPINDLE_FIELDS(self.number)
};

// Retries per ten seconds that this daemon may send to each service in addition to the percentage of first attempts.
// The platform limits the total of all daemons.
struct RetryReserveChanged {
    uint32_t repetitions = 0;
    JACINTHSPINDLE_FIELDS(self.repetitions)
};

// Seconds per layer on a kind of accelerator, as declared by the operators.
struct AcceleratorTimes {
    std::string accelerator;
    double prefill = 0; // Per prompt token.
    double decode = 0; // Per decode step, which generates one token.
    double perSequence = 0; // Added to a decode step for each sequence in the batch.
    JACINTHSPINDLE_FIELDS(self.accelerator, self.prefill, self.decode, self.perSequence)
};

struct AcceleratorsDeclared {
    std::vector<AcceleratorTimes> accelerators;
    JACINTHSPINDLE_FIELDS(self.accelerators)
};

// Number of daemons in this daemon's data centre that use the same engines, including this one.
struct PeersCounted {
    uint32_t daemons = 1;
    JACINTHSPINDLE_FIELDS(self.daemons)
};

// An engine reports how slow it is relative to its kind of accelerator.
struct PaceReported {
    EndpointId endpoint;
    uint32_t percent = 100; // Of the usual time of its kind; 200 means half the usual speed.
    JACINTHSPINDLE_FIELDS(self.endpoint, self.percent)
};

// A request to a model whose requests differ in priority.
struct RankedArrival {
    RequestArrived arrival;
    uint8_t priority = 0; // 0 is the highest.
    Duration target {}; // Time from the arrival within which the first event is due.
    JACINTHSPINDLE_FIELDS(self.arrival, self.priority, self.target)
};

// A request on a route that shares its service with others.
struct RoutedArrival {
    RequestArrived arrival;
    RouteId route; // arrival.route names the service.
    Duration timeout {}; // Of the route.
    JACINTHSPINDLE_FIELDS(self.arrival, self.route, self.timeout)
};

// Demand of one priority on a model, and what its engines get through. In prompt tokens and prompt tokens per second.
struct PriorityLoad {
    uint8_t priority = 0;
    double unreadTokens = 0; // Of requests that wait for their first event, in a daemon or at an engine.
    double demand = 0; // Of requests that arrive.
    double begun = 0; // Of requests whose first event comes.
    bool operator==(const PriorityLoad&) const = default;
    JACINTHSPINDLE_FIELDS(self.priority, self.unreadTokens, self.demand, self.begun)
};

struct ModelPressure {
    RouteId model;
    std::vector<PriorityLoad> loads; // Ascending by priority.
    bool operator==(const ModelPressure&) const = default;
    JACINTHSPINDLE_FIELDS(self.model, self.loads)
};

// Pressure on the models of the data centre, over all its daemons.
struct PressureReported {
    std::vector<ModelPressure> models;
    Duration age {}; // Age of the sums when they arrived.
    JACINTHSPINDLE_FIELDS(self.models, self.age)
};

using CoreInput = std::variant<RequestArrived, FirstToken, TokensProgressed, AttemptFailed, RequestFinished, CallerGone,
    LoadReported, CacheChanged, EndpointStateReported, TableAdopted, ShareChanged, DrainStarted, Tick,
    RetryReserveChanged, AcceleratorsDeclared, PeersCounted, PaceReported, AttemptStalled, RankedArrival,
    PressureReported, RoutedArrival>;

// ---- Decisions.

// Start an attempt of the request on a chain.
struct Dispatch {
    RequestId request;
    uint32_t attempt = 0; // Counted from 1.
    Chain chain;
    uint8_t priority = 0; // At the endpoints; 0 is the most urgent.
    uint32_t firstPosition = 0; // Position of the first token to generate.
    uint64_t tableRevision = 0;
    bool operator==(const Dispatch&) const = default;
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.chain, self.priority, self.firstPosition, self.tableRevision)
};

// Refuse a request before its first attempt: it was not executed and never will be.
struct Refuse {
    RequestId request;
    ResultCode code = ResultCode::DeadlineUnreachable;
    Duration retryAfter {};
    uint64_t tableRevision = 0;
    bool operator==(const Refuse&) const = default;
    JACINTHSPINDLE_FIELDS(self.request, self.code, self.retryAfter, self.tableRevision)
};

// End a request without a complete answer after at least one attempt was dispatched.
struct Abandon {
    RequestId request;
    uint32_t attempt = 0;
    ResultCode code = ResultCode::AttemptsExhausted;
    Duration retryAfter {};
    bool operator==(const Abandon&) const = default;
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.code, self.retryAfter)
};

// Change the priority of a running attempt at the engines of its chain.
struct Reprioritize {
    RequestId request;
    uint32_t attempt = 0;
    uint8_t priority = 0;
    bool operator==(const Reprioritize&) const = default;
    JACINTHSPINDLE_FIELDS(self.request, self.attempt, self.priority)
};

using CoreDecision = std::variant<Dispatch, Refuse, Abandon, Reprioritize>;

// Share of the requests of one priority that is admitted to a model, and why. Not part of a trace.
struct AdmissionLevel {
    uint8_t priority = 0;
    double admitted = 1;
    Duration wait {}; // Until a prompt that arrives now is read.
    double overload = 0; // Demand divided by what is begun; 0: unknown.
    bool isShared = false; // From figures of all daemons of the data centre, not of this one alone.
};

struct ModelAdmission {
    RouteId model;
    std::vector<AdmissionLevel> levels; // Ascending by priority.
};

} // namespace jacinthspindle
