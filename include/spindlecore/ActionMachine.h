// Runs a non-idempotent action at most once. The claim row in the table service is written by a conditional
// transaction before the action is dispatched, and only the writer of the claim dispatches. docs/actions.md holds the
// protocol as a state table.

#pragma once

#include "spindlecore/Decisions.h"
#include "spindlecore/Ports.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthspindle {

// One attempt at an action. No two attempts share an identifier: the counter is unique within an incarnation.
struct AttemptId {
    HostId host;
    uint64_t incarnation = 0;
    uint64_t counter = 0;
    auto operator<=>(const AttemptId&) const = default;
    JACINTHSPINDLE_FIELDS(self.host, self.incarnation, self.counter)
};

// Claimed: the attempt may dispatch, has dispatched or has died. Done: the answer is recorded. Void: the action never
// ran and never will. Done and Void are final.
enum class ActionState : uint8_t { Claimed, Done, Void };

constexpr uint16_t actionRowFormat = 1;
// Longest answer that a row holds, in bytes; the table service is no place for larger ones. Of a longer answer the row
// keeps the status alone.
constexpr size_t maxRecordedAnswerBytes = 16 << 10;
constexpr size_t maxActionRowBytes = maxRecordedAnswerBytes + (4 << 10);
constexpr size_t maxActionKeyBytes = 255;

// Value of the row action/<workspace>/<key>.
struct ActionRow {
    uint16_t format = actionRowFormat;
    ActionState state = ActionState::Claimed;
    uint64_t epoch = 1; // Rises with each claim; the fencing number of the action at the endpoint.
    AttemptId attempt; // Of the last claim.
    std::string bodyDigest; // SHA-256 of the request; tells a retry from a reused key.
    EndpointId endpoint; // All claims that follow go to this endpoint, except after a dispatch that was not sent.
    Capabilities capabilities; // Of the endpoint when it was claimed.
    ServiceAnswer answer; // For Done.
    bool isAnswerCut = false; // The answer was too large to record; only its status is kept.

    bool operator==(const ActionRow&) const = default;
    JACINTHSPINDLE_FIELDS(self.format, self.state, self.epoch, self.attempt, self.bodyDigest, self.endpoint,
        self.capabilities, self.answer, self.isAnswerCut)
};

// Returns the key of the action's row; characters that could join two keys into one are escaped.
std::string actionRowKey(const WorkspaceId&, const std::string& key);
// Returns the idempotency key under which the endpoint knows the action. It contains the workspace, so that equal keys
// of two workspaces stay two actions at an endpoint that serves both.
std::string actionEndpointKey(const WorkspaceId&, const std::string& key);
// Returns the key of the row whose value is the oldest day that the ledger keeps, as eight digits (YYYYMMDD).
std::string actionFloorKey(const WorkspaceId&);
// Returns the day of a key that starts with eight digits and '-'; other keys have none and are kept for ever.
std::optional<std::string> actionKeyDay(const std::string& key);

// ---- Inputs. step is the number of the output that the input answers; any other input is ignored.

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
    std::vector<ActionEndpoint> endpoints; // Of the route, the preferred one first.
    std::string ledgerFloor; // Value of the row actionFloorKey(), as last read; empty when the row is absent.
    uint64_t floorVersion = 0;
    JACINTHSPINDLE_FIELDS(self.request, self.workspace, self.key, self.bodyDigest, self.attempt, self.endpoints,
        self.ledgerFloor, self.floorVersion)
};

struct StoreAnswered {
    uint32_t step = 0;
    CommitOutcome outcome = CommitOutcome::Unknown;
    JACINTHSPINDLE_FIELDS(self.step, self.outcome)
};

// The answer to ReadRow. A row that was found but not decoded is damaged.
struct RowRead {
    uint32_t step = 0;
    ReadOutcome outcome = ReadOutcome::Unavailable;
    std::optional<ActionRow> row;
    uint64_t version = 0;
    JACINTHSPINDLE_FIELDS(self.step, self.outcome, self.row, self.version)
};

// Abandoned: the owner has ended the attempt without a dispatch and has written a void row, or tried to. Unknown: the
// owner cannot be reached, does not know the attempt, or does not know how its dispatch ended.
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

// The deadline has passed; the answer to the last output is ignored from then on.
struct ActionTimedOut {
    uint32_t step = 0;
    bool wasCarriedOut = true; // False only if the last output certainly was not and will not be carried out.
    JACINTHSPINDLE_FIELDS(self.step, self.wasCarriedOut)
};

using ActionInput = std::variant<ActionStarted, StoreAnswered, RowRead, OwnerAnswered, DispatchAnswered, LookupAnswered,
    ActionTimedOut>;

// ---- Outputs. Each is carried out at most once, and only for the last input.

// Commit the row on the condition that its version is still expectedVersion (0: absent).
struct WriteRow {
    uint32_t step = 0;
    std::string key;
    uint64_t expectedVersion = 0;
    ActionRow row;
    std::string floorKey; // Not empty: a second precondition, so that no claim passes a floor that has moved.
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

// Ask the daemon of the attempt. The owner first commits ActionMachine::abandonedRow(), if there is one.
struct AskOwner {
    uint32_t step = 0;
    std::string key;
    AttemptId attempt;
    uint64_t version = 0; // Of the row.
    bool operator==(const AskOwner&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.key, self.attempt, self.version)
};

// Send the request to the endpoint with the given idempotency key.
struct DispatchAction {
    uint32_t step = 0;
    EndpointId endpoint;
    std::string idempotencyKey; // actionEndpointKey().
    uint64_t fence = 0;
    bool operator==(const DispatchAction&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.endpoint, self.idempotencyKey, self.fence)
};

struct LookupAction {
    uint32_t step = 0;
    EndpointId endpoint;
    std::string idempotencyKey;
    uint64_t fence = 0;
    bool operator==(const LookupAction&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.endpoint, self.idempotencyKey, self.fence)
};

// How the caller or an operator finds out what an answer leaves open.
enum class Settlement : uint8_t {
    Settled, // Nothing is open.
    RetrySameKey, // A repetition of the request with the same key is safe and may settle it.
    NewKey, // The key is void for ever; the action may be sent again under a new key.
    AskEndpoint, // Only the service's own records show whether it ran; see docs/actions.md.
};

// The last output. NotRun: this request never reaches an endpoint. Ran: answer holds the endpoint's answer.
struct AnswerCaller {
    uint32_t step = 0;
    Execution execution = Execution::Unknown;
    ResultCode code = ResultCode::Ok;
    Settlement settlement = Settlement::Settled;
    // For NotRun: no request with this key has run or ever will. When it is false, the answer says nothing about other
    // requests with the key.
    bool coversKey = false;
    ServiceAnswer answer; // Holds the endpoint's answer where there is one.
    bool isAnswerCut = false;
    // A write that no answer depends on. Committing it in the background, until it is committed or conflicts, lets
    // retries settle sooner.
    std::optional<WriteRow> repair;
    bool operator==(const AnswerCaller&) const = default;
    JACINTHSPINDLE_FIELDS(self.step, self.execution, self.code, self.settlement, self.coversKey, self.answer,
        self.isAnswerCut, self.repair)
};

// The input was late, doubled or not expected; nothing is to be done.
struct InputIgnored {
    uint32_t step = 0; // Of the output that is still to be answered.
    bool operator==(const InputIgnored&) const = default;
    JACINTHSPINDLE_FIELDS(self.step)
};

using ActionOutput
    = std::variant<WriteRow, ReadRow, AskOwner, DispatchAction, LookupAction, AnswerCaller, InputIgnored>;

enum class ActionPhase : uint8_t { Idle, Claiming, Voiding, Reading, Asking, Looking, Dispatched, Recording, Finished };

namespace internal {
    // Faults that tests plant to show that they would be found. Product code never sets one.
    struct ActionMutations {
        bool dispatchBeforeClaim = false;
        bool takeoverWithoutFencing = false; // Takes a claim over because its owner is believed dead.
        bool notRunOnLostClaim = false;
        bool skipVoidRow = false;
        bool overwriteResult = false;
        bool ignoreBodyDigest = false;
        bool dispatchWithoutLookup = false;
        bool sameFence = false; // Sends each dispatch and lookup with the fencing number of the first claim.
        bool redispatchOnUnknown = false;
        bool dispatchOnDamagedRow = false;
        bool voidAfterTakeover = false; // Frees a claim although the one before it may have been dispatched.
        bool skipFloor = false; // Claims without the condition on the ledger's floor.
    };
} // namespace internal

// One per request for an action, used by one thread. apply() returns exactly one output for each input.
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
    // What the owner tells other daemons about this attempt, also after the end.
    OwnerVerdict verdict() const;
    // The void row by which an owner frees a claim that it has abandoned; version: of the row, as the asker saw it.
    // Nothing while the attempt may still dispatch or the action may have run.
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

    ActionOutput resolveSeenRow();
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
    uint32_t m_step = 0; // Of the last output.
    std::string m_rowKey;
    ActionRow m_claim; // The last claim that was sent to the store.
    // Lowest version that the row can have with m_claim in it. A precondition on it holds only while m_claim is the
    // current row, because versions rise with each write.
    uint64_t m_claimVersion = 0;
    bool m_isClaimCommitted = false;
    ActionRow m_seen; // The last row that was read.
    uint64_t m_seenVersion = 0;
    bool m_wantsLookup = false; // The endpoint is asked before m_claim is dispatched.
    bool m_mayHaveRun = false; // A dispatch, of this attempt or of a claim taken over, may have reached the endpoint.
    bool m_mayHaveRunBefore = false; // m_mayHaveRun without the last dispatch.
    bool m_isGivingUp = false; // The own claim is to be made void.
    ResultCode m_voidCode = ResultCode::Ok;
    AttemptId m_asked; // The owner that was asked last.
    bool m_isAbandoned = false; // It said that it had abandoned the attempt.
    uint32_t m_dispatches = 0;
    uint32_t m_reads = 0; // Bounded, so that the machine always ends.
    size_t m_nextEndpoint = 1; // Index of the endpoint to try after a dispatch that was not sent.
    ServiceAnswer m_answer;
    bool m_hasAnswer = false; // m_answer is the endpoint's final answer.
    std::optional<WriteRow> m_lastWrite;
};

} // namespace jacinthspindle
