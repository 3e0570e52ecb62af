// Interfaces (ports) between the decision code and the systems around it. The adapters library implements them over
// network protocols; tests and benchmarks supply their own implementations. Implementations are thread-safe unless a
// comment states otherwise.

#pragma once

#include "spindlecore/ResultCode.h"
#include "spindlecore/Table.h"
#include "spindlecore/Types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle {

// ---- Table service of the platform: a transactional store of versioned rows.

// Outcome of a commit. Unknown: the request was sent but no answer arrived, so the writes may already have taken
// effect, may do so later, or may never do so. Unavailable: the request is guaranteed to have no effect.
enum class CommitOutcome : uint8_t { Committed, Conflict, Unknown, Unavailable };
enum class ReadOutcome : uint8_t { Found, Absent, Unavailable };

struct StoredRow {
    std::string key;
    std::string value;
    uint64_t version = 0; // Increases with each write of the row; 0 means that the row is absent.
};

// A row version that a commit requires; the commit fails with Conflict when the row has another version.
struct Precondition {
    std::string key;
    uint64_t version = 0;
};

struct RowWrite {
    std::string key;
    std::string value;
};

// An atomic commit: if all preconditions hold, all writes take effect; otherwise none does.
struct Transaction {
    std::vector<Precondition> preconditions;
    std::vector<RowWrite> writes;
};

struct ReadAnswer {
    ReadOutcome outcome = ReadOutcome::Unavailable;
    StoredRow row;
};

class TableService {
public:
    virtual ~TableService() = default;
    virtual ReadAnswer read(const std::string& key, std::chrono::milliseconds timeout) = 0;
    // Returns up to limit rows in ascending key order, restricted to keys that start with prefix and sort after
    // `after`. Returns nullopt when the service is unavailable.
    virtual std::optional<std::vector<StoredRow>> scan(
        const std::string& prefix, const std::string& after, uint32_t limit, std::chrono::milliseconds timeout)
        = 0;
    virtual CommitOutcome commit(const Transaction&, std::chrono::milliseconds timeout) = 0;
};

// ---- Object store of the platform.

class ObjectStore {
public:
    virtual ~ObjectStore() = default;
    // Returns true only when the object is known to be stored. After false it may or may not be stored.
    virtual bool put(const std::string& name, const std::string& bytes, std::chrono::milliseconds timeout) = 0;
    // Returns nullopt when the object could not be read.
    virtual std::optional<std::string> get(const std::string& name, std::chrono::milliseconds timeout) = 0;
    virtual std::optional<std::vector<std::string>> list(const std::string& prefix, std::chrono::milliseconds timeout)
        = 0;
};

// ---- Host list of the platform. It is eventually consistent: it may lag behind the real membership.

enum class HostKind : uint8_t { Entry, Endpoint };

struct HostEntry {
    HostKind kind = HostKind::Entry;
    std::string name; // Host identifier for an entry host, endpoint identifier for an endpoint.
    DataCentreId dataCentre;
    std::string peerAddress; // "IP:port"; entry hosts only.
    std::string httpAddress; // "IP:port"; entry hosts only.
    bool leaving = false;

    bool operator==(const HostEntry&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.kind, self.name, self.dataCentre, self.peerAddress, self.httpAddress, self.leaving);
    }
};

class HostList {
public:
    virtual ~HostList() = default;
    // Returns nullopt when the list cannot be read.
    virtual std::optional<std::vector<HostEntry>> hosts(std::chrono::milliseconds timeout) = 0;
};

// ---- Model engines.

// One stage of a chain and the address of its endpoint.
struct GenerationHop {
    StageHop stage;
    std::string address;
};

struct GenerationCall {
    RequestId request;
    uint32_t attempt = 1;
    std::string model;
    std::string version;
    std::string adapter;
    std::string prompt;
    uint64_t seed = 0;
    uint32_t firstPosition = 0; // Position of the first token to generate.
    std::string prefix; // Text of the tokens before firstPosition, from which the engine recomputes its state.
    uint32_t maxTokens = 0; // Limit of the answer's length, counted from position 0, not from firstPosition.
    uint8_t priority = 0; // 0 is the highest priority.
    std::vector<GenerationHop> chain;
};

// A stage's statement of which endpoint, layers, version and attempt contributed to a token.
struct StageProof {
    EndpointId endpoint;
    LayerRange layers;
    std::string version;
    uint32_t attempt = 0;

    bool operator==(const StageProof&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.endpoint, self.layers, self.version, self.attempt);
    }
};

struct TokenEvent {
    RequestId request;
    uint32_t attempt = 0;
    uint32_t position = 0;
    std::string text;
    bool isLast = false;
    std::vector<StageProof> proof; // One entry per stage, in execution order.

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.request, self.attempt, self.position, self.text, self.isLast, self.proof);
    }
};

// How a call of a chain ended. ConnectFailed: no stage received the call.
enum class GenerationOutcome : uint8_t { Complete, ConnectFailed, StreamBroken, Stalled, Refused, Stopped };

struct GenerationEnd {
    GenerationOutcome outcome = GenerationOutcome::StreamBroken;
    EndpointId endpoint; // The endpoint that caused the failure; empty when unknown.
    std::string text;
};

// Returned by the token callback: whether the engine adapter continues the stream or stops it.
enum class StreamControl : uint8_t { Continue, Stop };

struct EngineStatus {
    uint32_t running = 0;
    uint32_t waiting = 0;
    bool leaving = false;
    std::string version;
    uint64_t cacheSequence = 0;
    std::vector<uint64_t> cachedPrefixes;
    Duration age {}; // Age of these figures as reported by the engine.
};

enum class OrderKind : uint8_t { LoadVersion, LoadAdapter, ChangeRole };

struct EngineOrder {
    OrderKind kind = OrderKind::LoadVersion;
    EndpointId endpoint;
    std::string address;
    std::string value;
    LayerRange layers;
    uint64_t fence = 0; // Fencing token of the lease under which the order is issued.
};

enum class OrderOutcome : uint8_t { Accepted, RefusedFence, Failed, Unknown };

// Asked when no token has arrived within the stall limit, and then at short intervals until one arrives.
using SilenceHandler = std::function<StreamControl()>;

class ModelEngine {
public:
    virtual ~ModelEngine() = default;
    // Runs a chain and calls onToken on the calling thread for each token until the stream ends. When no token arrives
    // within stallLimit, onSilence decides on the same thread: the call ends as Stalled on Stop, or without a handler.
    virtual GenerationEnd run(const GenerationCall&, const std::function<StreamControl(const TokenEvent&)>& onToken,
        std::chrono::milliseconds stallLimit, const SilenceHandler& onSilence)
        = 0;
    virtual bool cancel(const std::string& address, const RequestId&, uint32_t attempt, std::chrono::milliseconds) = 0;
    virtual bool setPriority(
        const std::string& address, const RequestId&, uint32_t attempt, uint8_t priority, std::chrono::milliseconds)
        = 0;
    virtual std::optional<EngineStatus> status(const std::string& address, std::chrono::milliseconds timeout) = 0;
    virtual OrderOutcome order(const EngineOrder&, std::chrono::milliseconds timeout) = 0;
};

// ---- Plain services.

struct ServiceCall {
    RequestId request;
    EndpointId endpoint;
    std::string address;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey; // Empty for an idempotent call.
    uint64_t fence = 0; // Fencing token: the epoch of the action's claim. 0 for an idempotent call.
    std::string traceParent;
};

// NotSent: the call is guaranteed not to have reached the service. Unknown: it was sent, but no complete answer
// arrived. RefusedFence: the endpoint rejected the call because of its fencing token.
enum class ServiceOutcome : uint8_t { Answered, NotSent, Unknown, RefusedFence };

struct ServiceAnswer {
    ServiceOutcome outcome = ServiceOutcome::NotSent;
    int status = 0; // HTTP status; set only for Answered.
    std::string contentType;
    std::string body;

    bool operator==(const ServiceAnswer&) const = default;
    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.outcome, self.status, self.contentType, self.body);
    }
};

enum class LookupOutcome : uint8_t { Found, NotFound, Unavailable };

struct LookupAnswer {
    LookupOutcome outcome = LookupOutcome::Unavailable;
    ServiceAnswer recorded; // The answer of the earlier run; set only for Found.

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.outcome, self.recorded);
    }
};

class PlainService {
public:
    virtual ~PlainService() = default;
    virtual ServiceAnswer call(const ServiceCall&, std::chrono::milliseconds timeout) = 0;
    // Queries whether an action was executed. An endpoint that checks fencing tokens refuses, after this lookup, to
    // execute the action under any older token.
    virtual LookupAnswer lookup(const ServiceCall&, std::chrono::milliseconds timeout) = 0;
};

// ---- Other daemons.

class PeerTransport {
public:
    virtual ~PeerTransport() = default;
    // Queues a message without blocking. Returns false when the queue for that address is full.
    virtual bool send(const std::string& address, const std::string& bytes) = 0;
    // Returns the next message, or nullopt when none arrives within the timeout.
    virtual std::optional<std::string> receive(std::chrono::milliseconds timeout) = 0;
};

} // namespace jacinthspindle
