// State machine that executes a non-idempotent action at most once. A daemon commits a claim row to the table service
// in a conditional transaction before it dispatches the action, and only the daemon that committed the claim
// dispatches. docs/actions.md gives the protocol as a state table.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/Ports.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthspindle {

// Globally unique identifier of one attempt at an action. The counter is unique within an incarnation of the host.
struct AttemptId {
    HostId host;
    uint64_t incarnation = 0;
    uint64_t counter = 0;
    auto operator<=>(const AttemptId&) const = default;
    JACINTHSPINDLE_FIELDS(self.host, self.incarnation, self.counter)
};

// State of an action's row. Claimed: the attempt may still dispatch, has dispatched, or ended without an outcome
// because its daemon crashed. Done: the answer is recorded. Void: the action has not run and never will. Done and Void
// are final.
enum class ActionState : uint8_t { Claimed, Done, Void };

constexpr uint16_t actionRowFormat = 1;
// Maximum size of a recorded answer, in bytes, because the table service is not meant for large values. For a larger
// answer the row records only the status.
constexpr size_t maxRecordedAnswerBytes = 16 << 10;
constexpr size_t maxActionRowBytes = maxRecordedAnswerBytes + (4 << 10);
constexpr size_t maxActionKeyBytes = 255;

// Value of the row with the key action/<workspace>/<key>.
struct ActionRow {
    uint16_t format = actionRowFormat;
    ActionState state = ActionState::Claimed;
    uint64_t epoch = 1; // Increases with each claim; sent to the endpoint as the fencing token.
    AttemptId attempt; // Attempt that made the last claim.
    std::string bodyDigest; // SHA-256 of the request; distinguishes a retry from a reused key.
    EndpointId endpoint; // Later claims keep this endpoint, unless the dispatch was certainly not sent.
    Capabilities capabilities; // Capabilities of the endpoint at the time of the claim.
    ServiceAnswer answer; // Set only in the state Done.
    bool isAnswerCut = false; // The answer was too large to record; only its status is stored.

    bool operator==(const ActionRow&) const = default;
    JACINTHSPINDLE_FIELDS(self.format, self.state, self.epoch, self.attempt, self.bodyDigest, self.endpoint,
        self.capabilities, self.answer, self.isAnswerCut)
};

// Returns the key of the action's row. Separators are escaped, so that different actions never share a row key.
std::string actionRowKey(const WorkspaceId&, const std::string& key);
// Returns the idempotency key that is sent to the endpoint. It contains the workspace, so that an endpoint that serves
// two workspaces treats equal keys of theirs as different actions.
std::string actionEndpointKey(const WorkspaceId&, const std::string& key);
// Returns the key of the row that holds the ledger's floor: the oldest day whose action rows are retained, as eight
// digits (YYYYMMDD).
std::string actionFloorKey(const WorkspaceId&);
// Returns the day of a key that starts with eight digits and '-'. Other keys have no day; their rows never expire.
std::optional<std::string> actionKeyDay(const std::string& key);

// ---- Inputs. step is the number of the output to which the input responds. An input with any other step than that of
// the last output is ignored.

struct ActionEndpoint {
    EndpointId endpoint;
    Capabilities capabilities;
    bool operator==(const ActionEndpoint&) const = default;
    JACINTHSPINDLE_FIELDS(self.endpoint, self.capabilities)
};

struct ActionStarted {
    RequestId request;
    WorkspaceId workspace;
    std::string key;
    std::string bodyDigest;
    AttemptId attempt;
    std::vector<ActionEndpoint> endpoints; // Endpoints of the route in order of preference.
    std::string ledgerFloor; // Last value read from the row actionFloorKey(); empty if the row is absent.
    uint64_t floorVersion = 0;
    JACINTHSPINDLE_FIELDS(self.request, self.workspace, self.key, self.bodyDigest, self.attempt, self.endpoints,
        self.ledgerFloor, self.floorVersion)
};

struct StoreAnswered {
    uint32_t step = 0;
    CommitOutcome outcome = CommitOutcome::Unknown;
    JACINTHSPINDLE_FIELDS(self.step, self.outcome)
};

// Result of ReadRow. The outcome Found without a row means that the stored row could not be decoded.
struct RowRead {
    uint32_t step = 0;
    ReadOutcome outcome = ReadOutcome::Unavailable;
    std::optional<ActionRow> row;
    uint64_t version = 0;
    JACINTHSPINDLE_FIELDS(self.step, self.outcome, self.row, self.version)
};

// Status of an attempt as reported by its owner, the daemon that made the claim. Abandoned: the owner ended the attempt
// without a dispatch and wrote a void row, or tried to. Unknown: the owner is unreachable, has no record of the
// attempt, or did not receive the outcome of its dispatch.
enum class OwnerVerdict : uint8_t { Abandoned, InProgress, Unknown };

struct OwnerAnswered {
    uint32_t step = 0;
    OwnerVerdict verdict = OwnerVerdict::Unknown;
    JACINTHSPINDLE_FIELDS(self.step, self.verdict)
};

struct DispatchAnswered {
    uint32_t step = 0;
    ServiceAnswer answer;
    JACINTHSPINDLE_FIELDS(self.step, self.answer)
};

struct LookupAnswered {
    uint32_t step = 0;
    LookupAnswer answer;
    JACINTHSPINDLE_FIELDS(self.step, self.answer)
};

// The deadline has passed. Results of earlier outputs that arrive later are ignored.
struct ActionTimedOut {
    uint32_t step = 0;
    bool wasCarriedOut = true; // False only if the last output was certainly not executed and never will be.
    JACINTHSPINDLE_FIELDS(self.step, self.wasCarriedOut)
};

using ActionInput = std::variant<ActionStarted, StoreAnswered, RowRead, OwnerAnswered, DispatchAnswered, LookupAnswered,
    ActionTimedOut>;

// ---- Outputs. The caller executes each output at most once, and only the output of the last input.

// Commit the row on condition that its current version is expectedVersion (0: the row is absent).
struct WriteRow {
    uint32_t step = 0;
    std::string key;
    uint64_t expectedVersion = 0;
    ActionRow row;
    std::string
        floorKey; // If not empty, the floor's version is a second precondition: a claim fails if the floor moved.
    uint64_t floorVersion = 0;
    bool operator==(const WriteRow&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.key, self.expectedVersion, self.row, self.floorKey, self.floorVersion)
};

struct ReadRow {
    uint32_t step = 0;
    std::string key;
    bool operator==(const ReadRow&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.key)
};

// Query the daemon that made the attempt for its status. Before it replies, that daemon commits
// ActionMachine::abandonedRow(), if there is one.
struct AskOwner {
    uint32_t step = 0;
    std::string key;
    AttemptId attempt;
    uint64_t version = 0; // Version of the row that was read.
    bool operator==(const AskOwner&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.key, self.attempt, self.version)
};

// Send the request to the endpoint with the given idempotency key and fencing token.
struct DispatchAction {
    uint32_t step = 0;
    EndpointId endpoint;
    std::string idempotencyKey; // Result of actionEndpointKey().
    uint64_t fence = 0;
    bool operator==(const DispatchAction&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.endpoint, self.idempotencyKey, self.fence)
};

// Query the endpoint for the recorded answer to the action.
struct LookupAction {
    uint32_t step = 0;
    EndpointId endpoint;
    std::string idempotencyKey;
    uint64_t fence = 0;
    bool operator==(const LookupAction&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.endpoint, self.idempotencyKey, self.fence)
};

// How the caller or an operator can determine an outcome that the answer leaves open.
enum class Settlement : uint8_t {
    Settled, // The outcome is final.
    RetrySameKey, // Retrying the request with the same key is safe and may determine the outcome.
    NewKey, // The key is permanently void; the action may be sent again under a new key.
    AskEndpoint, // Only the records of the service show whether the action ran; see docs/actions.md.
};

// The final output. NotRun: this request has not reached an endpoint and never will. Ran: answer holds the endpoint's
// answer.
struct AnswerCaller {
    uint32_t step = 0;
    Execution execution = Execution::Unknown;
    ResultCode code = ResultCode::Ok;
    Settlement settlement = Settlement::Settled;
    // For NotRun: true if no request with this key has run or ever will. If false, other requests with the key may have
    // run.
    bool coversKey = false;
    ServiceAnswer answer; // The endpoint's answer, if there is one.
    bool isAnswerCut = false;
    // Optional write that no answer depends on. The caller retries it in the background until it commits or conflicts,
    // so that later retries of the action are settled sooner.
    std::optional<WriteRow> repair;
    bool operator==(const AnswerCaller&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.execution, self.code, self.settlement, self.coversKey, self.answer,
        self.isAnswerCut, self.repair)
};

// The input was late, duplicated or not expected in the current phase; there is nothing to do.
struct InputIgnored {
    uint32_t step = 0; // Number of the output whose result is still pending.
    bool operator==(const InputIgnored&) const = default;
    JACINTHSPINDLE_FIELDS(self.step)
};

using ActionOutput
    = std::variant<WriteRow, ReadRow, AskOwner, DispatchAction, LookupAction, AnswerCaller, InputIgnored>;

enum class ActionPhase : uint8_t {
    Idle,
    Claiming,
    Voiding,
    Reading,
    QueryingOwner,
    LookingUp,
    Dispatched,
    Recording,
    Finished
};

namespace internal {
    // Mutations for mutation testing: each breaks one rule of the protocol, and the tests check that they detect it.
    // Production code never sets one.
    struct ActionMutations {
        bool dispatchBeforeClaim = false;
        bool takeoverWithoutFencing
            = false; // Takes over a claim because its owner is assumed to be down, without fencing.
        bool notRunOnLostClaim = false;
        bool skipVoidRow = false;
        bool overwriteResult = false;
        bool ignoreBodyDigest = false;
        bool dispatchWithoutLookup = false;
        bool sameFence = false; // Sends each dispatch and lookup with the fencing token of the first claim.
        bool redispatchOnUnknown = false;
        bool dispatchOnDamagedRow = false;
        bool voidAfterTakeover = false; // Voids a claim although the claim before it may have been dispatched.
        bool skipFloor = false; // Claims without the precondition on the ledger's floor.
    };
} // namespace internal

// Runs the protocol for one request for an action. Not thread-safe. apply() returns exactly one output per input.
class ActionMachine {
public:
    explicit ActionMachine(internal::ActionMutations mutations = {})
        : m_mutations(mutations)
    {
    }

    ActionOutput apply(Instant now, const ActionInput&);

    bool isFinished() const { return m_phase == ActionPhase::Finished; }
    ActionPhase phase() const { return m_phase; }
    const AttemptId& attempt() const { return m_start.attempt; }
    // Status of this attempt, reported to other daemons that query it. Valid also after the machine has finished.
    OwnerVerdict verdict() const;
    // Returns the write that voids the claim of an abandoned attempt, on condition that the row still has the given
    // version, which the querying daemon read. Returns nothing while the attempt may still dispatch or if the action
    // may have run.
    std::optional<WriteRow> abandonedRow(uint64_t version) const;

private:
    ActionOutput handle(const ActionStarted&);
    ActionOutput handle(const StoreAnswered&);
    ActionOutput handle(const RowRead&);
    ActionOutput handle(const OwnerAnswered&);
    ActionOutput handle(const DispatchAnswered&);
    ActionOutput handle(const LookupAnswered&);
    ActionOutput handle(const ActionTimedOut&);
    ActionOutput onClaimAnswered(CommitOutcome);
    ActionOutput onVoidAnswered(CommitOutcome);
    ActionOutput onRecordAnswered(CommitOutcome);

    ActionOutput resolveReadRow();
    ActionOutput resolveOwnClaim();
    ActionOutput resolveForeignClaim();
    ActionOutput takeOver();
    ActionOutput proceedWithClaim();
    ActionOutput settleDispatch();
    ActionOutput settleNotSent();

    ActionOutput claim(uint64_t expectedVersion, uint64_t epoch, const ActionEndpoint&);
    ActionOutput writeVoid(uint64_t expectedVersion, ResultCode);
    ActionOutput record(const ActionRow& claimed, uint64_t expectedVersion);
    ActionOutput write(ActionPhase, uint64_t expectedVersion, const ActionRow&);
    ActionOutput read();
    ActionOutput dispatch();
    ActionOutput lookup(const EndpointId&, uint64_t fence);
    ActionOutput answer(AnswerCaller);
    ActionOutput answerNotRun(ResultCode, Settlement, bool coversKey);
    ActionOutput answerUnknown(ResultCode, std::optional<WriteRow> repair = std::nullopt);
    ActionOutput answerWith(const ServiceAnswer&, bool isCut, std::optional<WriteRow> repair = std::nullopt);

    std::optional<Capabilities> capabilitiesOf(const ActionRow&) const;
    Settlement settlementOfUnknown() const;
    std::optional<WriteRow> voidForLateClaim() const;
    std::optional<WriteRow> voidForOwnClaim() const;
    uint64_t fence(uint64_t epoch) const { return m_mutations.sameFence ? 1 : epoch; }

    internal::ActionMutations m_mutations;
    ActionStarted m_start;
    ActionPhase m_phase = ActionPhase::Idle;
    uint32_t m_step = 0; // Number of the last output.
    std::string m_rowKey;
    ActionRow m_claim; // The last claim that was sent to the table service.
    // Lowest version that the row can have once m_claim is written. Versions increase with each write, so a
    // precondition on this version holds only while m_claim is the current row.
    uint64_t m_claimVersion = 0;
    bool m_isClaimCommitted = false;
    ActionRow m_lastReadRow; // Row returned by the last successful read.
    uint64_t m_lastReadVersion = 0;
    bool m_lookUpBeforeDispatch = false; // m_claim is dispatched only after a lookup at the endpoint.
    bool m_mayHaveRun
        = false; // A dispatch of this attempt, or of a claim that it took over, may have reached an endpoint.
    bool m_mayHaveRunBeforeDispatch = false; // Value of m_mayHaveRun before the last dispatch.
    bool m_isVoidingClaim = false; // This attempt is voiding its own claim.
    ResultCode m_voidCode = ResultCode::Ok;
    AttemptId m_queriedAttempt; // Attempt whose owner was queried last.
    bool m_ownerAbandoned = false; // That owner replied that it had abandoned the attempt.
    uint32_t m_dispatches = 0;
    uint32_t m_reads = 0; // Bounded, so that the machine always finishes.
    size_t m_nextEndpoint = 1; // Index of the endpoint to claim after a dispatch that was not sent.
    ServiceAnswer m_answer;
    bool m_hasAnswer = false; // m_answer is the endpoint's final answer.
    std::optional<WriteRow> m_lastWrite;
};

} // namespace jacinthspindle
