// Outputs of the action protocol. ActionMachine.cpp decides which one follows an input.

#include "spindlecore/ActionMachine.h"

namespace jacinthspindle {

namespace {

    constexpr int firstServerError = 500;

} // namespace

// What is known of the endpoint now and was known when the row was written; nothing for an endpoint that left the
// table. An operator who corrects a capability thus also corrects it for old rows.
std::optional<Capabilities> ActionMachine::capabilitiesOf(const ActionRow& row) const
{
    for (const auto& it : m_start.endpoints) {
        if (it.endpoint != row.endpoint)
            continue;
        return Capabilities { it.capabilities.fencing && row.capabilities.fencing,
            it.capabilities.lookup && row.capabilities.lookup, it.capabilities.dedup && row.capabilities.dedup };
    }
    return std::nullopt;
}

ActionOutput ActionMachine::claim(uint64_t expectedVersion, uint64_t epoch, const ActionEndpoint& endpoint)
{
    m_claim = {};
    m_claim.epoch = epoch;
    m_claim.attempt = m_start.attempt;
    m_claim.bodyDigest = m_start.bodyDigest;
    m_claim.endpoint = endpoint.endpoint;
    m_claim.capabilities = endpoint.capabilities;
    m_claimVersion = expectedVersion + 1;
    m_isClaimCommitted = false;
    if (m_mutations.dispatchBeforeClaim)
        return dispatch();
    return write(ActionPhase::Claiming, expectedVersion, m_claim);
}

ActionOutput ActionMachine::writeVoid(uint64_t expectedVersion, ResultCode code)
{
    // Over an absent row it only forestalls the late claim; a claim that was there first may still be used.
    m_isGivingUp = expectedVersion != 0;
    m_voidCode = code;
    ActionRow row = m_claim;
    row.state = ActionState::Void;
    return write(ActionPhase::Voiding, expectedVersion, row);
}

ActionOutput ActionMachine::record(const ActionRow& claimed, uint64_t expectedVersion)
{
    ActionRow row = claimed;
    row.state = ActionState::Done;
    row.answer = m_answer;
    row.isAnswerCut = m_answer.body.size() + m_answer.contentType.size() > maxRecordedAnswerBytes;
    if (row.isAnswerCut) {
        row.answer.body.clear();
        row.answer.contentType.clear();
    }
    return write(ActionPhase::Recording, expectedVersion, row);
}

ActionOutput ActionMachine::write(ActionPhase phase, uint64_t expectedVersion, const ActionRow& row)
{
    m_phase = phase;
    WriteRow output { ++m_step, m_rowKey, expectedVersion, row, {}, 0 };
    // A row that is absent may have been removed below the floor, unless the floor is still the one that was compared.
    if (expectedVersion == 0 && !m_mutations.skipFloor) {
        output.floorKey = actionFloorKey(m_start.workspace);
        output.floorVersion = m_start.floorVersion;
    }
    m_lastWrite = output;
    return output;
}

ActionOutput ActionMachine::read()
{
    ++m_reads;
    m_phase = ActionPhase::Reading;
    return ReadRow { ++m_step, m_rowKey };
}

ActionOutput ActionMachine::dispatch()
{
    ++m_dispatches;
    m_mayHaveRunBefore = m_mayHaveRun;
    m_mayHaveRun = true;
    m_phase = ActionPhase::Dispatched;
    return DispatchAction { ++m_step, m_claim.endpoint, actionEndpointKey(m_start.workspace, m_start.key),
        fence(m_claim.epoch) };
}

ActionOutput ActionMachine::lookup(const EndpointId& endpoint, uint64_t epoch)
{
    m_phase = ActionPhase::Looking;
    return LookupAction { ++m_step, endpoint, actionEndpointKey(m_start.workspace, m_start.key), fence(epoch) };
}

ActionOutput ActionMachine::answer(AnswerCaller output)
{
    m_phase = ActionPhase::Finished;
    output.step = ++m_step;
    return output;
}

ActionOutput ActionMachine::answerNotRun(ResultCode code, Settlement settlement, bool coversKey)
{
    AnswerCaller output;
    output.execution = Execution::NotRun;
    output.code = code;
    output.settlement = settlement;
    output.coversKey = coversKey;
    return answer(output);
}

ActionOutput ActionMachine::answerUnknown(ResultCode code, std::optional<WriteRow> repair)
{
    AnswerCaller output;
    output.code = code;
    output.settlement = settlementOfUnknown();
    output.answer = m_answer;
    output.repair = std::move(repair);
    return answer(output);
}

ActionOutput ActionMachine::answerWith(const ServiceAnswer& recorded, bool isCut, std::optional<WriteRow> repair)
{
    AnswerCaller output;
    output.answer = recorded;
    output.isAnswerCut = isCut;
    output.repair = std::move(repair);
    output.execution = Execution::Ran;
    if (recorded.status >= firstServerError) {
        // The endpoint failed and nobody can say whether that was before or after the effect.
        output.execution = Execution::Unknown;
        output.code = ResultCode::EndpointFailed;
        output.settlement = Settlement::AskEndpoint;
    }
    return answer(output);
}

// The write that makes a first claim conflict if its transaction is still on its way.
std::optional<WriteRow> ActionMachine::voidForLateClaim() const
{
    bool isFirstClaim = m_lastWrite && m_lastWrite->expectedVersion == 0;
    if (!isFirstClaim || m_isClaimCommitted || m_mayHaveRun)
        return std::nullopt;
    auto write = *m_lastWrite;
    write.row.state = ActionState::Void;
    return write;
}

// The write that frees a claim which was not dispatched.
std::optional<WriteRow> ActionMachine::voidForOwnClaim() const
{
    if (m_mayHaveRun)
        return std::nullopt;
    WriteRow write { m_step, m_rowKey, m_claimVersion, m_claim, {}, 0 };
    write.row.state = ActionState::Void;
    return write;
}

Settlement ActionMachine::settlementOfUnknown() const
{
    if (!m_mayHaveRun || m_isAbandoned)
        return Settlement::RetrySameKey;
    bool isForeign = m_claim.attempt != m_seen.attempt && !m_seen.attempt.host.isEmpty() && !m_isClaimCommitted;
    auto capabilities = isForeign ? capabilitiesOf(m_seen) : std::optional(m_claim.capabilities);
    bool canSettle = capabilities && (capabilities->lookup || capabilities->dedup);
    return canSettle ? Settlement::RetrySameKey : Settlement::AskEndpoint;
}

} // namespace jacinthspindle
