// Transitions of the action protocol: handles the inputs and selects the next output. ActionSteps.cpp builds the
// outputs.

#include "spindlecore/ActionMachine.h"

#include "spindlecore/internal/Escape.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    constexpr size_t dayDigits = 8;
    // Each conflict with another daemon or lost answer costs one read. Past this bound the machine answers the caller
    // and leaves the outcome to a retry.
    constexpr uint32_t maxReads = 6;
    // The first dispatch, and one repetition once the endpoint guarantees that the first dispatch cannot take effect as
    // well.
    constexpr uint32_t maxDispatches = 2;
    constexpr int firstServerError = 500;

    bool canBeFenced(const Capabilities& capabilities)
    {
        return capabilities.fencing && capabilities.lookup;
    }

    struct StepNumber {
        uint32_t operator()(const ActionStarted&) const { return 0; }
        template <typename Input> uint32_t operator()(const Input& input) const { return input.step; }
    };

    bool isExpected(ActionPhase phase, const ActionInput& input)
    {
        if (std::holds_alternative<ActionTimedOut>(input))
            return phase != ActionPhase::Idle && phase != ActionPhase::Finished;
        switch (phase) {
        case ActionPhase::Idle:
            return std::holds_alternative<ActionStarted>(input);
        case ActionPhase::Claiming:
        case ActionPhase::Voiding:
        case ActionPhase::Recording:
            return std::holds_alternative<StoreAnswered>(input);
        case ActionPhase::Reading:
            return std::holds_alternative<RowRead>(input);
        case ActionPhase::QueryingOwner:
            return std::holds_alternative<OwnerAnswered>(input);
        case ActionPhase::LookingUp:
            return std::holds_alternative<LookupAnswered>(input);
        case ActionPhase::Dispatched:
            return std::holds_alternative<DispatchAnswered>(input);
        case ActionPhase::Finished:
            break;
        }
        return false;
    }

} // namespace

std::string actionRowKey(const WorkspaceId& workspace, const std::string& key)
{
    return "action/" + internal::escape(workspace.value()) + "/" + internal::escape(key);
}

std::string actionEndpointKey(const WorkspaceId& workspace, const std::string& key)
{
    return internal::escape(workspace.value()) + "." + internal::escape(key);
}

std::string actionFloorKey(const WorkspaceId& workspace)
{
    return "action-floor/" + internal::escape(workspace.value());
}

std::optional<std::string> actionKeyDay(const std::string& key)
{
    bool hasDay = key.size() > dayDigits && key[dayDigits] == '-'
        && std::all_of(key.begin(), key.begin() + dayDigits, [](char c) { return c >= '0' && c <= '9'; });
    return hasDay ? std::optional(key.substr(0, dayDigits)) : std::nullopt;
}

ActionOutput ActionMachine::apply(Instant, const ActionInput& input)
{
    if (!isExpected(m_phase, input) || std::visit(StepNumber(), input) != m_step)
        return InputIgnored { m_step };
    return std::visit([this](const auto& it) { return handle(it); }, input);
}

OwnerVerdict ActionMachine::verdict() const
{
    if (!isFinished())
        return OwnerVerdict::InProgress;
    return m_mayHaveRun ? OwnerVerdict::Unknown : OwnerVerdict::Abandoned;
}

std::optional<WriteRow> ActionMachine::abandonedRow(uint64_t version) const
{
    bool mayVoid = !m_mayHaveRun || m_mutations.voidAfterTakeover;
    if (!isFinished() || !mayVoid || m_claim.attempt != m_start.attempt)
        return std::nullopt;
    WriteRow write { m_step, m_rowKey, version, m_claim, {}, 0 };
    write.row.state = ActionState::Void;
    return write;
}

ActionOutput ActionMachine::handle(const ActionStarted& started)
{
    m_start = started;
    m_rowKey = actionRowKey(m_start.workspace, m_start.key);
    if (m_start.key.empty())
        return answerNotRun(ResultCode::IdempotencyKeyMissing, Settlement::Settled, false);
    if (m_start.key.size() > maxActionKeyBytes)
        return answerNotRun(ResultCode::RequestTooLarge, Settlement::Settled, false);
    auto day = actionKeyDay(m_start.key);
    if (day && *day < m_start.ledgerFloor) {
        // The row may have expired, so its absence does not prove that the action has not run.
        m_mayHaveRun = true;
        return answerUnknown(ResultCode::OutcomeUnknown);
    }
    if (m_start.endpoints.empty())
        return answerNotRun(ResultCode::NoChain, Settlement::RetrySameKey, false);
    return claim(0, 1, m_start.endpoints.front());
}

ActionOutput ActionMachine::handle(const StoreAnswered& answered)
{
    if (m_phase == ActionPhase::Claiming)
        return onClaimAnswered(answered.outcome);
    if (m_phase == ActionPhase::Voiding)
        return onVoidAnswered(answered.outcome);
    return onRecordAnswered(answered.outcome);
}

ActionOutput ActionMachine::onClaimAnswered(CommitOutcome outcome)
{
    switch (outcome) {
    case CommitOutcome::Committed:
        return proceedWithClaim();
    case CommitOutcome::Unavailable:
        // The row was not read, so other requests with the key may have run.
        if (m_reads == 0 && m_dispatches == 0)
            return answerNotRun(ResultCode::PlatformUnavailable, Settlement::RetrySameKey, false);
        return answerUnknown(ResultCode::PlatformUnavailable);
    case CommitOutcome::Unknown:
        if (m_mutations.notRunOnLostClaim)
            return answerNotRun(ResultCode::PlatformOutcomeUnknown, Settlement::NewKey, true);
        break;
    case CommitOutcome::Conflict:
        break;
    }
    return read();
}

ActionOutput ActionMachine::onVoidAnswered(CommitOutcome outcome)
{
    if (outcome == CommitOutcome::Committed)
        return answerNotRun(m_voidCode, Settlement::NewKey, true);
    if (outcome == CommitOutcome::Unavailable)
        return answerUnknown(ResultCode::PlatformUnavailable, m_lastWrite);
    return read();
}

ActionOutput ActionMachine::onRecordAnswered(CommitOutcome outcome)
{
    if (outcome == CommitOutcome::Committed)
        return answerWith(m_answer, false);
    if (outcome == CommitOutcome::Unavailable)
        return answerWith(m_answer, false, m_lastWrite);
    return read();
}

ActionOutput ActionMachine::handle(const RowRead& read)
{
    if (read.outcome == ReadOutcome::Found && read.row) {
        m_lastReadRow = *read.row;
        m_lastReadVersion = read.version;
        return resolveReadRow();
    }
    if (m_hasAnswer)
        return answerWith(m_answer, false, m_lastWrite);
    if (read.outcome == ReadOutcome::Unavailable)
        return answerUnknown(ResultCode::PlatformUnavailable, voidForLateClaim());
    if (read.outcome == ReadOutcome::Found) {
        if (m_mutations.dispatchOnDamagedRow)
            return dispatch();
        // The content of the row is lost, so the action may have run.
        m_mayHaveRun = true;
        return answerUnknown(ResultCode::PlatformAnswerMalformed);
    }
    if (m_isClaimCommitted || m_reads > maxReads)
        return answerUnknown(ResultCode::OutcomeUnknown);
    if (m_mutations.skipVoidRow)
        return answerNotRun(ResultCode::PlatformOutcomeUnknown, Settlement::NewKey, true);
    return writeVoid(0, ResultCode::PlatformOutcomeUnknown);
}

ActionOutput ActionMachine::resolveReadRow()
{
    bool isSameBody = m_lastReadRow.bodyDigest == m_start.bodyDigest || m_mutations.ignoreBodyDigest;
    if (!isSameBody && !m_mayHaveRun)
        return answerNotRun(ResultCode::IdempotencyKeyReused, Settlement::Settled, false);
    if (!isSameBody)
        return answerUnknown(ResultCode::IdempotencyKeyReused);
    if (m_lastReadRow.state == ActionState::Done && !(m_hasAnswer && m_mutations.overwriteResult))
        return answerWith(m_lastReadRow.answer, m_lastReadRow.isAnswerCut);
    if (m_lastReadRow.state == ActionState::Void && m_hasAnswer)
        return answerWith(m_answer, false);
    if (m_lastReadRow.state == ActionState::Void)
        return answerNotRun(ResultCode::EndpointFailed, Settlement::NewKey, true);
    if (m_reads > maxReads)
        return m_hasAnswer ? answerWith(m_answer, false, m_lastWrite) : answerUnknown(ResultCode::ActionInProgress);
    if (m_hasAnswer && m_mutations.overwriteResult)
        return record(m_lastReadRow, m_lastReadVersion);
    if (m_lastReadRow.attempt == m_start.attempt)
        return resolveOwnClaim();
    if (m_hasAnswer)
        return answerWith(m_answer, false);
    return resolveForeignClaim();
}

ActionOutput ActionMachine::resolveOwnClaim()
{
    if (m_hasAnswer)
        return record(m_lastReadRow, m_lastReadVersion);
    if (m_lastReadRow.epoch < m_claim.epoch) {
        // The write of the later claim may still be in flight. Repeating it with this version as the precondition makes
        // one of the two writes fail.
        return claim(m_lastReadVersion, m_claim.epoch, { m_claim.endpoint, m_claim.capabilities });
    }
    m_claimVersion = m_lastReadVersion;
    if (m_isVoidingClaim)
        return writeVoid(m_claimVersion, m_voidCode);
    if (m_dispatches > 0 && m_isClaimCommitted) {
        // The endpoint refused the fencing token although the ledger has no later claim, so the ledger does not show
        // what ran.
        m_mayHaveRun = true;
        return answerUnknown(ResultCode::EndpointRefused);
    }
    return proceedWithClaim();
}

ActionOutput ActionMachine::resolveForeignClaim()
{
    if (m_queriedAttempt == m_lastReadRow.attempt)
        return takeOver();
    m_queriedAttempt = m_lastReadRow.attempt;
    m_phase = ActionPhase::QueryingOwner;
    return AskOwner { ++m_step, m_rowKey, m_lastReadRow.attempt, m_lastReadVersion };
}

ActionOutput ActionMachine::handle(const OwnerAnswered& answered)
{
    switch (answered.verdict) {
    case OwnerVerdict::InProgress:
        return answerUnknown(ResultCode::ActionInProgress);
    case OwnerVerdict::Abandoned:
        // The reply alone is not proof: read the row again to check for the owner's void row.
        m_ownerAbandoned = true;
        return read();
    case OwnerVerdict::Unknown:
        break;
    }
    return takeOver();
}

ActionOutput ActionMachine::takeOver()
{
    m_mayHaveRun = true;
    if (m_mutations.takeoverWithoutFencing)
        return claim(m_lastReadVersion, m_lastReadRow.epoch + 1, { m_lastReadRow.endpoint, {} });
    auto capabilities = capabilitiesOf(m_lastReadRow);
    if (!capabilities)
        return answerUnknown(ResultCode::OutcomeUnknown);
    ActionEndpoint endpoint { m_lastReadRow.endpoint, *capabilities };
    if (canBeFenced(*capabilities) || capabilities->dedup) {
        m_lookUpBeforeDispatch = canBeFenced(*capabilities) && !m_mutations.dispatchWithoutLookup;
        return claim(m_lastReadVersion, m_lastReadRow.epoch + 1, endpoint);
    }
    if (capabilities->lookup)
        return lookup(m_lastReadRow.endpoint, m_lastReadRow.epoch);
    return answerUnknown(ResultCode::OutcomeUnknown);
}

ActionOutput ActionMachine::proceedWithClaim()
{
    m_isClaimCommitted = true;
    if (m_lookUpBeforeDispatch)
        return lookup(m_claim.endpoint, m_claim.epoch);
    return dispatch();
}

ActionOutput ActionMachine::handle(const DispatchAnswered& answered)
{
    switch (answered.answer.outcome) {
    case ServiceOutcome::NotSent:
        m_mayHaveRun = m_mayHaveRunBeforeDispatch;
        return settleNotSent();
    case ServiceOutcome::RefusedFence:
        m_mayHaveRun = m_mayHaveRunBeforeDispatch;
        return read();
    case ServiceOutcome::Unknown:
        return settleDispatch();
    case ServiceOutcome::Answered:
        break;
    }
    m_answer = answered.answer;
    if (m_answer.status >= firstServerError)
        return settleDispatch();
    m_hasAnswer = true;
    return record(m_claim, m_claimVersion);
}

// Handles a dispatch that never reached an endpoint.
ActionOutput ActionMachine::settleNotSent()
{
    if (m_mayHaveRun)
        return answerUnknown(ResultCode::EndpointFailed);
    if (m_nextEndpoint < m_start.endpoints.size()) {
        m_lookUpBeforeDispatch = false;
        return claim(m_claimVersion, m_claim.epoch + 1, m_start.endpoints[m_nextEndpoint++]);
    }
    return writeVoid(m_claimVersion, ResultCode::EndpointFailed);
}

// Handles a dispatch that may have run: its answer was lost, or is an error that may have followed the effect.
ActionOutput ActionMachine::settleDispatch()
{
    const auto& capabilities = m_claim.capabilities;
    if (m_mutations.redispatchOnUnknown && m_dispatches < maxDispatches)
        return dispatch();
    if (canBeFenced(capabilities)) {
        m_lookUpBeforeDispatch = true;
        return claim(m_claimVersion, m_claim.epoch + 1, { m_claim.endpoint, capabilities });
    }
    if (capabilities.dedup && m_dispatches < maxDispatches)
        return dispatch();
    if (capabilities.lookup)
        return lookup(m_claim.endpoint, m_claim.epoch);
    // If the endpoint deduplicates, a retry can still determine the outcome. Otherwise no better answer than this error
    // can be obtained, so it is recorded.
    if (capabilities.dedup || m_answer.outcome != ServiceOutcome::Answered)
        return answerUnknown(ResultCode::OutcomeUnknown);
    m_hasAnswer = true;
    return record(m_claim, m_claimVersion);
}

ActionOutput ActionMachine::handle(const LookupAnswered& answered)
{
    if (answered.answer.outcome == LookupOutcome::Unavailable)
        return answerUnknown(ResultCode::EndpointFailed);
    if (answered.answer.outcome == LookupOutcome::Found) {
        m_answer = answered.answer.recorded;
        m_hasAnswer = true;
        return m_isClaimCommitted ? record(m_claim, m_claimVersion) : record(m_lastReadRow, m_lastReadVersion);
    }
    // Without fencing, a dispatch that is still in flight may run after this lookup.
    if (!m_lookUpBeforeDispatch)
        return answerUnknown(ResultCode::OutcomeUnknown);
    m_mayHaveRun = false;
    m_answer = {};
    if (m_dispatches < maxDispatches)
        return dispatch();
    return writeVoid(m_claimVersion, ResultCode::EndpointFailed);
}

ActionOutput ActionMachine::handle(const ActionTimedOut& timedOut)
{
    if (m_hasAnswer)
        return answerWith(m_answer, false, m_lastWrite);
    bool isFirstWrite = m_phase == ActionPhase::Claiming && m_reads == 0 && m_dispatches == 0;
    if (!timedOut.wasCarriedOut && isFirstWrite)
        return answerNotRun(ResultCode::DeadlineExceeded, Settlement::RetrySameKey, false);
    if (!timedOut.wasCarriedOut && m_phase == ActionPhase::Dispatched)
        m_mayHaveRun = m_mayHaveRunBeforeDispatch;
    auto repair = m_isClaimCommitted ? voidForOwnClaim() : voidForLateClaim();
    return answerUnknown(ResultCode::DeadlineExceeded, repair);
}

} // namespace jacinthspindle
