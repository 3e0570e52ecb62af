// Simulation of a table service, endpoints and daemons that run one action, with faults injected at given steps. It is
// single-threaded and deterministic, so that each case can be reproduced from its faults alone.

#pragma once

#include "support/FaultyTable.h"

#include <functional>
#include <utility>

namespace jacinthspindle::test {

// A service that provides exactly the guarantees of its capabilities.
struct FakeEndpoint {
    Capabilities capabilities;
    uint64_t highestFence = 0;
    uint32_t effects = 0;
    ServiceAnswer answer; // Answer to the call that had the last effect.
    std::string ranFor; // Names of the daemons whose dispatches had an effect.

    ServiceAnswer call(uint64_t fence, const std::string& body, char party)
    {
        if (capabilities.fencing && fence < highestFence)
            return { ServiceOutcome::RefusedFence, 412, {}, {} };
        highestFence = std::max(highestFence, fence);
        if (capabilities.dedup && effects > 0)
            return { ServiceOutcome::Answered, 200, "text/duplicate", answer.body };
        ++effects;
        ranFor += party;
        answer = { ServiceOutcome::Answered, 200, "text/plain", "done " + body };
        return answer;
    }
    LookupAnswer lookup(uint64_t fence)
    {
        if (!capabilities.lookup)
            return { LookupOutcome::Unavailable, {} };
        if (capabilities.fencing)
            highestFence = std::max(highestFence, fence);
        return effects > 0 ? LookupAnswer { LookupOutcome::Found, answer }
                           : LookupAnswer { LookupOutcome::NotFound, {} };
    }
};

// A daemon that runs one request for the action.
struct ActionParty {
    char name = 'A';
    ActionStarted start;
    ActionMachine machine;
    ActionOutput output;
    std::optional<ActionInput> heldAnswer; // Result of a step that was executed before a pause.
    std::optional<AnswerCaller> answer;
    uint32_t steps = 0;
    uint32_t effectsAtAnswer = 0;
    bool isStarted = false;
    bool isPaused = false;
    bool isDead = false;
};

class ActionSimulation {
public:
    ActionSimulation(Capabilities capabilities, internal::ActionMutations mutations)
        : m_mutations(mutations)
    {
        for (const char* it : { "x", "y" })
            endpoints[EndpointId(it)].capabilities = capabilities;
    }

    // Starts the daemon's request, or resumes it after a pause, and runs it until it finishes, crashes or pauses.
    void run(char name, const std::string& body = "body")
    {
        auto& party = parties[name];
        if (!party.isStarted)
            start(party, name, body);
        party.isPaused = false;
        if (party.heldAnswer)
            deliver(party, *std::exchange(party.heldAnswer, std::nullopt));
        while (!party.answer && !party.isPaused && !party.isDead && party.steps < maxSteps)
            executeStep(party);
    }
    void releaseLate()
    {
        hadDelayedMessages = hadDelayedMessages || !m_delayed.empty();
        for (auto& it : std::exchange(m_delayed, {}))
            it();
    }
    uint32_t effects() const
    {
        uint32_t n = 0;
        for (const auto& [id, it] : endpoints)
            n += it.effects;
        return n;
    }

    static constexpr uint32_t maxSteps = 40;
    FakeTable table;
    std::map<EndpointId, FakeEndpoint> endpoints;
    std::map<char, ActionParty> parties;
    std::vector<FaultPoint> faults;
    uint32_t faultsApplied = 0;
    bool hadDelayedMessages = false; // Delayed messages were delivered, so the release point matters.
    std::string key = "20260101-k";
    std::string floor;

private:
    void start(ActionParty& party, char name, const std::string& body)
    {
        party.name = name;
        party.isStarted = true;
        party.machine = ActionMachine(m_mutations);
        party.start.workspace = WorkspaceId("school");
        party.start.key = key;
        party.start.bodyDigest = body;
        party.start.attempt = { HostId(std::string(1, name)), 1, 1 };
        for (const auto& [id, it] : endpoints)
            party.start.endpoints.push_back({ id, it.capabilities });
        party.start.ledgerFloor = floor;
        party.start.floorVersion = table.read(actionFloorKey(party.start.workspace)).row.version;
        --table.reads; // Daemons cache floors, so this read does not count towards the cost of an action.
        handleOutput(party, party.machine.apply({}, party.start));
    }

    void handleOutput(ActionParty& party, ActionOutput output)
    {
        party.output = std::move(output);
        const auto* answer = std::get_if<AnswerCaller>(&party.output);
        if (!answer)
            return;
        party.answer = *answer;
        party.effectsAtAnswer = effects();
        if (answer->repair)
            m_delayed.emplace_back([this, write = *answer->repair] { table.commit(toTransaction(write)); });
    }
    void deliver(ActionParty& party, const ActionInput& input)
    {
        auto output = party.machine.apply({}, input);
        if (!std::holds_alternative<InputIgnored>(output))
            handleOutput(party, std::move(output));
    }

    Fault faultAt(const ActionParty& party)
    {
        for (const auto& it : faults) {
            if (it.party != party.name || it.step != party.steps || !applies(it.fault, party.output))
                continue;
            ++faultsApplied;
            return it.fault;
        }
        return Fault::None;
    }
    bool applies(Fault fault, const ActionOutput& output) const
    {
        bool isWrite = std::holds_alternative<WriteRow>(output);
        bool isDispatch = std::holds_alternative<DispatchAction>(output);
        bool isLookup = std::holds_alternative<LookupAction>(output);
        switch (fault) {
        case Fault::Refused:
            return isWrite || isDispatch;
        case Fault::ErrorBefore:
        case Fault::ErrorAfter:
            return isDispatch;
        case Fault::Damaged:
            return std::holds_alternative<ReadRow>(output);
        case Fault::Late:
        case Fault::LostAnswer:
            return isWrite || isDispatch || isLookup;
        case Fault::Doubled:
            // Without deduplication, a duplicated request has two effects regardless of what the sender does.
            return !isDispatch || endpoints.begin()->second.capabilities.dedup;
        default:
            return true;
        }
    }

    void executeStep(ActionParty& party)
    {
        Fault fault = faultAt(party);
        ++party.steps;
        auto step = std::visit([](const auto& it) { return it.step; }, party.output);
        auto act = [this, &party, output = party.output] { return execute(party, output); };
        switch (fault) {
        case Fault::Pause:
            party.isPaused = true;
            return;
        case Fault::Crash:
            party.isDead = true;
            return;
        case Fault::CrashAfter:
            party.isDead = true;
            act();
            return;
        case Fault::PauseAfter:
            party.isPaused = true;
            party.heldAnswer = act();
            return;
        case Fault::LostRequest:
            deliver(party, failureOf(party.output, fault));
            return;
        case Fault::LostAnswer:
            act();
            deliver(party, failureOf(party.output, fault));
            return;
        case Fault::Late:
            m_delayed.emplace_back(act);
            deliver(party, failureOf(party.output, fault));
            return;
        case Fault::Refused:
        case Fault::Damaged:
            deliver(party, failureOf(party.output, fault));
            return;
        case Fault::ErrorAfter:
            act();
            [[fallthrough]];
        case Fault::ErrorBefore:
            deliver(party, DispatchAnswered { step, { ServiceOutcome::Answered, 500, {}, {} } });
            return;
        case Fault::TimeOutBefore:
            deliver(party, ActionTimedOut { step, false });
            return;
        case Fault::TimeOut: {
            auto input = act();
            deliver(party, ActionTimedOut { step });
            deliver(party, input);
            return;
        }
        case Fault::Doubled:
            m_delayed.emplace_back(act);
            [[fallthrough]];
        case Fault::None: {
            auto input = act();
            deliver(party, input);
            if (fault == Fault::Doubled)
                deliver(party, input);
            return;
        }
        }
    }

    ActionInput execute(const ActionParty& party, const ActionOutput& output)
    {
        Reason reason;
        if (const auto* write = std::get_if<WriteRow>(&output)) {
            bool isCommitted = table.commit(toTransaction(*write));
            return StoreAnswered { write->step, isCommitted ? CommitOutcome::Committed : CommitOutcome::Conflict };
        }
        if (const auto* read = std::get_if<ReadRow>(&output))
            return toRowRead(*read, table.read(read->key), reason);
        if (const auto* ask = std::get_if<AskOwner>(&output))
            return OwnerAnswered { ask->step, queryOwner(*ask) };
        if (const auto* call = std::get_if<DispatchAction>(&output))
            return DispatchAnswered { call->step,
                endpoints[call->endpoint].call(call->fence, party.start.bodyDigest, party.name) };
        const auto& lookup = std::get<LookupAction>(output);
        return LookupAnswered { lookup.step, endpoints[lookup.endpoint].lookup(lookup.fence) };
    }

    OwnerVerdict queryOwner(const AskOwner& ask)
    {
        for (auto& [name, it] : parties) {
            if (it.start.attempt != ask.attempt || it.isDead)
                continue;
            // A paused daemon does not respond.
            if (it.isPaused)
                return OwnerVerdict::Unknown;
            if (auto write = it.machine.abandonedRow(ask.version))
                table.commit(toTransaction(*write));
            return it.machine.verdict();
        }
        return OwnerVerdict::Unknown;
    }

    static ActionInput failureOf(const ActionOutput& output, Fault fault)
    {
        bool isRefused = fault == Fault::Refused;
        if (const auto* write = std::get_if<WriteRow>(&output))
            return StoreAnswered { write->step, isRefused ? CommitOutcome::Unavailable : CommitOutcome::Unknown };
        if (const auto* read = std::get_if<ReadRow>(&output)) {
            bool isDamaged = fault == Fault::Damaged;
            return RowRead { read->step, isDamaged ? ReadOutcome::Found : ReadOutcome::Unavailable, std::nullopt, 1 };
        }
        if (const auto* ask = std::get_if<AskOwner>(&output))
            return OwnerAnswered { ask->step, OwnerVerdict::Unknown };
        if (const auto* call = std::get_if<DispatchAction>(&output))
            return DispatchAnswered { call->step,
                { isRefused ? ServiceOutcome::NotSent : ServiceOutcome::Unknown, 0, {}, {} } };
        return LookupAnswered { std::get<LookupAction>(output).step, {} };
    }

    internal::ActionMutations m_mutations;
    std::vector<std::function<void()>> m_delayed;
};

} // namespace jacinthspindle::test
