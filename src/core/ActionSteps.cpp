// Builds the outputs of the action protocol. ActionMachine.cpp selects the output for each input.

#include "spindlecore/ActionMachine.h"

namespace jacinthspindle {

namespace {

    constexpr int firstServerError = 500;

} // namespace

// Returns the capabilities that the endpoint has both in the current table and in the row, or nothing if the endpoint
// is no longer in the table. If an operator withdraws a capability, the correction thus also applies to existing rows.
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
    // If the row is absent, the void row only makes a late write of the claim fail; if that claim was committed first,
    // it may still be used.
    m_isVoidingClaim = expectedVersion != 0;
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
    // An absent row may have expired below the floor, unless the floor has not moved since the key was compared with
    // it.
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
    m_mayHaveRunBeforeDispatch = m_mayHaveRun;
    m_mayHaveRun = true;
    m_phase = ActionPhase::Dispatched;
    return DispatchAction { ++m_step, m_claim.endpoint, actionEndpointKey(m_start.workspace, m_start.key),
        fence(m_claim.epoch) };
}

ActionOutput ActionMachine::lookup(const EndpointId& endpoint, uint64_t epoch)
{
    m_phase = ActionPhase::LookingUp;
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
        // The endpoint failed, and it is unknown whether that was before or after the effect.
        output.execution = Execution::Unknown;
        output.code = ResultCode::EndpointFailed;
        output.settlement = Settlement::AskEndpoint;
    }
    return answer(output);
}

// Returns the write that makes the first claim conflict if its transaction is still in flight.
std::optional<WriteRow> ActionMachine::voidForLateClaim() const
{
    bool isFirstClaim = m_lastWrite && m_lastWrite->expectedVersion == 0;
    if (!isFirstClaim || m_isClaimCommitted || m_mayHaveRun)
        return std::nullopt;
    auto write = *m_lastWrite;
    write.row.state = ActionState::Void;
    return write;
}

// Returns the write that voids a claim which was not dispatched.
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
    if (!m_mayHaveRun || m_ownerAbandoned)
        return Settlement::RetrySameKey;
    bool isForeign
        = m_claim.attempt != m_lastReadRow.attempt && !m_lastReadRow.attempt.host.isEmpty() && !m_isClaimCommitted;
    auto capabilities = isForeign ? capabilitiesOf(m_lastReadRow) : std::optional(m_claim.capabilities);
    bool canSettle = capabilities && (capabilities->lookup || capabilities->dedup);
    return canSettle ? Settlement::RetrySameKey : Settlement::AskEndpoint;
}

} // namespace jacinthspindle
