// Ports to everything outside the decision code. The adapters library implements them over the usual protocols; tests
// and the users' bench bring their own implementations. Implementations are thread-safe unless stated otherwise.

#pragma once

#include "spindlecore/ResultCode.h"
#include "spindlecore/Table.h"
#include "spindlecore/Types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspindle {

// ---- Table service of the platform: transactional rows with versions.

// The outcome of a commit. Unknown: the request was sent and no answer came, so the write may take effect now, later
// or never. Unavailable: the request certainly has no effect.
enum class CommitOutcome : uint8_t { Committed, Conflict, Unknown, Unavailable };
enum class ReadOutcome : uint8_t { Found, Absent, Unavailable };

struct StoredRow {
    std::string key;
    std::string value;
    uint64_t version = 0; // Rises with each write of the row; 0 stands for an absent row.
};

// The commit succeeds only if the row still has this version.
struct Precondition {
    std::string key;
    uint64_t version = 0;
};

struct RowWrite {
    std::string key;
    std::string value;
};

// All preconditions hold and all writes take effect, or none does.
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
    // Returns up to limit rows whose keys start with prefix and are greater than after, in order of the key; nothing
    // when the service is unavailable.
    virtual std::optional<std::vector<StoredRow>> scan(
        const std::string& prefix, const std::string& after, uint32_t limit, std::chrono::milliseconds timeout)
        = 0;
    virtual CommitOutcome commit(const Transaction&, std::chrono::milliseconds timeout) = 0;
};

// ---- Object store of the platform.

class ObjectStore {
public:
    virtual ~ObjectStore() = default;
    // Returns false when the object may not have been stored.
    virtual bool put(const std::string& name, const std::string& bytes, std::chrono::milliseconds timeout) = 0;
    virtual std::optional<std::string> get(const std::string& name, std::chrono::milliseconds timeout) = 0;
    virtual std::optional<std::vector<std::string>> list(const std::string& prefix, std::chrono::milliseconds timeout)
        = 0;
};

// ---- Host list of the platform; it lags.

enum class HostKind : uint8_t { Entry, Endpoint };

struct HostEntry {
    HostKind kind = HostKind::Entry;
    std::string name; // Host identifier of an entry host, endpoint identifier of an endpoint.
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
    // Returns nothing when the list cannot be read.
    virtual std::optional<std::vector<HostEntry>> hosts(std::chrono::milliseconds timeout) = 0;
};

// ---- Model engines.

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
    uint32_t firstPosition = 0; // Position of the first token that is to be generated.
    std::string prefix; // Text of the tokens before firstPosition, for recomputation.
    uint32_t maxTokens = 0; // Counted from position 0.
    uint8_t priority = 0; // 0 is the most urgent.
    std::vector<GenerationHop> chain;
};

// What one stage states about its part of one token.
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
    std::vector<StageProof> proof; // In the order in which the stages ran.

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.request, self.attempt, self.position, self.text, self.isLast, self.proof);
    }
};

// How a call of an engine chain ended. ConnectFailed: no stage received the call.
enum class GenerationOutcome : uint8_t { Complete, ConnectFailed, StreamBroken, Stalled, Refused, Stopped };

struct GenerationEnd {
    GenerationOutcome outcome = GenerationOutcome::StreamBroken;
    EndpointId endpoint; // The endpoint at fault, where it is known.
    std::string text;
};

// Tells the engine adapter whether the consumer wants more tokens.
enum class TokenVerdict : uint8_t { Continue, Stop };

struct EngineStatus {
    uint32_t running = 0;
    uint32_t waiting = 0;
    bool leaving = false;
    std::string version;
    uint64_t cacheSequence = 0;
    std::vector<uint64_t> cachedPrefixes;
    Duration age {}; // How old the engine says that the figures are.
};

enum class OrderKind : uint8_t { LoadVersion, LoadAdapter, ChangeRole };

struct EngineOrder {
    OrderKind kind = OrderKind::LoadVersion;
    EndpointId endpoint;
    std::string address;
    std::string value;
    LayerRange layers;
    uint64_t fence = 0; // Fencing number of the order holder's lease.
};

enum class OrderOutcome : uint8_t { Accepted, RefusedFence, Failed, Unknown };

class ModelEngine {
public:
    virtual ~ModelEngine() = default;
    // Runs a chain and calls onToken for each token, on the calling thread, until the stream ends. No token within
    // stallLimit ends the call as Stalled.
    virtual GenerationEnd run(const GenerationCall&, const std::function<TokenVerdict(const TokenEvent&)>& onToken,
        std::chrono::milliseconds stallLimit)
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
    uint64_t fence = 0; // Epoch of the action's claim; 0 for an idempotent call.
    std::string traceParent;
};

// NotSent: the call certainly did not reach the service. Unknown: it was sent and no whole answer came.
enum class ServiceOutcome : uint8_t { Answered, NotSent, Unknown, RefusedFence };

struct ServiceAnswer {
    ServiceOutcome outcome = ServiceOutcome::NotSent;
    int status = 0; // HTTP status, for Answered.
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
    ServiceAnswer recorded; // For Found.

    template <typename Self, typename Visitor> static void fields(Self& self, Visitor&& visit)
    {
        visit(self.outcome, self.recorded);
    }
};

class PlainService {
public:
    virtual ~PlainService() = default;
    virtual ServiceAnswer call(const ServiceCall&, std::chrono::milliseconds timeout) = 0;
    // Asks whether an action ran. On an endpoint that checks fencing numbers, the lookup also makes the endpoint refuse
    // the action under any older fence from then on.
    virtual LookupAnswer lookup(const ServiceCall&, std::chrono::milliseconds timeout) = 0;
};

// ---- Other daemons.

class PeerTransport {
public:
    virtual ~PeerTransport() = default;
    // Queues a message; returns false when the queue to that address is full. Never blocks.
    virtual bool send(const std::string& address, const std::string& bytes) = 0;
    virtual std::optional<std::string> receive(std::chrono::milliseconds timeout) = 0;
};

} // namespace jacinthspindle
