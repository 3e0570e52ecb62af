// Fault injection tests of the action protocol. Two daemons run the same action with each fault, and each pair of
// faults, injected at each of their steps. Two fault-free retries through other daemons follow.

#include "support/ActionParties.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::test;
using internal::ActionMutations;

namespace {

constexpr Capabilities none {};
constexpr Capabilities onlyFencing { true, false, false };
constexpr Capabilities onlyLookup { false, true, false };
constexpr Capabilities onlyDedup { false, false, true };
constexpr Capabilities fencingAndLookup { true, true, false };
constexpr Capabilities all { true, true, true };
constexpr std::array capabilitySets { none, onlyFencing, onlyLookup, onlyDedup, fencingAndLookup, all };
constexpr uint32_t releasePoints = 4;

struct Case {
    Capabilities capabilities;
    std::vector<FaultPoint> faults;
    // Point at which delayed messages arrive: before B, after B, after A and B resume, after the first retry.
    uint32_t release = 0;
    bool isSameBody = true; // B sends the same body as A.

    std::string name() const
    {
        std::string text = std::string(capabilities.fencing ? "fencing " : "") + (capabilities.lookup ? "lookup " : "")
            + (capabilities.dedup ? "dedup " : "") + "release " + std::to_string(release)
            + (isSameBody ? "" : " other-body");
        for (const auto& it : faults)
            text += std::string(" | ") + it.party + std::to_string(it.step) + " " + faultName(it.fault);
        return text;
    }
};

// Runs A until it finishes, crashes or pauses, then B; resumes those that paused; then retries through C and D without
// faults.
void runCase(ActionSimulation& simulation, const Case& it)
{
    simulation.faults = it.faults;
    simulation.run('A');
    if (it.release == 0)
        simulation.releaseLate();
    simulation.run('B', it.isSameBody ? "body" : "other");
    if (it.release == 1)
        simulation.releaseLate();
    for (char name : { 'A', 'B', 'A', 'B' }) {
        if (simulation.parties[name].isPaused)
            simulation.run(name);
    }
    if (it.release == 2)
        simulation.releaseLate();
    simulation.run('C');
    simulation.releaseLate();
    simulation.run('D');
}

// Returns a description of the first violated invariant, or an empty string if all hold.
std::string violatedInvariant(ActionSimulation& simulation, const Case& it)
{
    if (simulation.table.changedFinalRow)
        return "a recorded result or a void row was overwritten";
    if (simulation.effects() > 1)
        return "the action ran " + std::to_string(simulation.effects()) + " times";
    for (const auto& [name, party] : simulation.parties) {
        std::string who = std::string(1, name) + ": ";
        if (party.steps >= ActionSimulation::maxSteps)
            return who + "the machine did not finish within " + std::to_string(ActionSimulation::maxSteps) + " steps";
        if (!party.answer)
            continue;
        const auto& answer = *party.answer;
        bool ran = std::any_of(simulation.endpoints.begin(), simulation.endpoints.end(),
            [id = name](const auto& endpoint) { return endpoint.second.ranFor.find(id) != std::string::npos; });
        if (answer.execution == Execution::NotRun && (ran || (answer.coversKey && simulation.effects() > 0)))
            return who + "answered NotRun, but the action ran";
        if (answer.execution == Execution::Ran && party.effectsAtAnswer == 0)
            return who + "answered Ran, but the action had not run";
        if (answer.execution == Execution::Ran && answer.answer.body != "done " + party.start.bodyDigest)
            return who + "received the answer to another request: " + answer.answer.body;
        if (answer.execution == Execution::Unknown && answer.settlement == Settlement::Settled)
            return who + "answered Unknown with the settlement Settled";
    }
    const auto& last = *simulation.parties['D'].answer;
    Reason reason;
    auto row = toRowRead({}, simulation.table.read(actionRowKey(WorkspaceId("school"), simulation.key)), reason);
    bool isRecorded = row.row && row.row->state == ActionState::Done && row.row->bodyDigest == "body";
    if (isRecorded && last.answer != row.row->answer)
        return "D: a retry did not receive the recorded result";
    bool canSettle = it.capabilities.dedup || (it.capabilities.fencing && it.capabilities.lookup);
    if (canSettle && it.isSameBody && last.execution == Execution::Unknown)
        return "D: a fault-free retry answered Unknown";
    return {};
}

struct FaultCoverage {
    uint32_t cases = 0;
    std::string failure; // Name of the first case that violates an invariant, and the invariant.
};

// Runs the case with each release point that makes a difference. Returns false if one of its faults does not apply.
bool runAtEachRelease(
    Case it, ActionMutations mutations, FaultCoverage& result, std::map<char, uint32_t>* steps = nullptr)
{
    for (it.release = 0; it.release < releasePoints; ++it.release) {
        ActionSimulation simulation(it.capabilities, mutations);
        runCase(simulation, it);
        if (simulation.faultsApplied < it.faults.size())
            return false;
        ++result.cases;
        auto fault = violatedInvariant(simulation, it);
        if (!fault.empty() && result.failure.empty())
            result.failure = it.name() + " -> " + fault;
        if (steps && it.release == 0)
            *steps = { { 'A', simulation.parties['A'].steps }, { 'B', simulation.parties['B'].steps } };
        if (!simulation.hadDelayedMessages)
            return true;
    }
    return true;
}

// Calls visit with each fault at each step of the given parties.
void forEachFaultPoint(const std::map<char, uint32_t>& steps, const std::function<void(FaultPoint)>& visit)
{
    for (const auto& [party, n] : steps) {
        for (uint32_t step = 0; step < n; ++step) {
            for (uint8_t fault = 1; fault <= static_cast<uint8_t>(lastFault); ++fault)
                visit({ party, step, static_cast<Fault>(fault) });
        }
    }
}

FaultCoverage runAllFaults(const Capabilities& capabilities, ActionMutations mutations, bool inPairs)
{
    FaultCoverage result;
    for (bool isSameBody : { true, false }) {
        Case plain { capabilities, {}, 0, isSameBody };
        std::map<char, uint32_t> steps;
        runAtEachRelease(plain, mutations, result, &steps);
        forEachFaultPoint(steps, [&](FaultPoint first) {
            if (!result.failure.empty())
                return;
            Case single = plain;
            single.faults = { first };
            std::map<char, uint32_t> singleSteps;
            if (!runAtEachRelease(single, mutations, result, &singleSteps) || !inPairs)
                return;
            forEachFaultPoint(singleSteps, [&](FaultPoint second) {
                bool isLater = second.party > first.party || second.step > first.step;
                if (!isLater || second.party < first.party || !result.failure.empty())
                    return;
                Case pair = single;
                pair.faults.push_back(second);
                runAtEachRelease(pair, mutations, result);
            });
        });
    }
    return result;
}

} // namespace

TEST_CASE("an action runs at most once under each fault and each pair of faults")
{
    uint32_t cases = 0;
    for (const auto& it : capabilitySets) {
        auto result = runAllFaults(it, {}, !isSanitized || it == fencingAndLookup);
        CHECK_MESSAGE(result.failure.empty(), result.failure);
        cases += result.cases;
    }
    MESSAGE("cases run: ", cases);
    CHECK(cases > (isSanitized ? 3000 : 40000));
}

// Two daemons pause at the same time, each at any step, while a third runs the same action with one fault; then they
// resume in either order.
TEST_CASE("an action runs at most once when two daemons pause while a third runs it")
{
    constexpr uint32_t firstSteps = isSanitized ? 4 : 8;
    uint32_t cases = 0;
    for (const auto& capabilities : capabilitySets) {
        forEachFaultPoint({ { 'A', firstSteps } }, [&](FaultPoint a) {
            forEachFaultPoint({ { 'B', firstSteps } }, [&](FaultPoint b) {
                forEachFaultPoint({ { 'C', firstSteps } }, [&](FaultPoint c) {
                    bool arePaused = a.fault == Fault::Pause && b.fault == Fault::Pause;
                    bool isFault = c.fault != Fault::Pause && c.fault != Fault::PauseAfter;
                    if (!arePaused || !isFault)
                        return;
                    for (const char* order : { "AB", "BA" }) {
                        Case it { capabilities, { a, b, c }, 1, true };
                        ActionSimulation simulation(capabilities, {});
                        simulation.faults = it.faults;
                        for (char name : std::string("ABC") + order)
                            simulation.run(name);
                        if (simulation.faultsApplied < it.faults.size())
                            return;
                        simulation.releaseLate();
                        simulation.run('D');
                        ++cases;
                        CHECK_MESSAGE(violatedInvariant(simulation, it).empty(), it.name(), " ", order, ": ",
                            violatedInvariant(simulation, it));
                    }
                });
            });
        });
    }
    MESSAGE("cases run: ", cases);
    CHECK(cases > (isSanitized ? 500 : 6000));
}

TEST_CASE("each mutation of the action protocol is detected")
{
    struct Mutation {
        std::string name;
        bool ActionMutations::*flag;
    };
    const std::array mutations {
        Mutation { "dispatch before claim", &ActionMutations::dispatchBeforeClaim },
        Mutation {
            "takeover without fencing from an owner assumed to be down", &ActionMutations::takeoverWithoutFencing },
        Mutation { "NotRun answered after a claim of unknown outcome", &ActionMutations::notRunOnLostClaim },
        Mutation { "void row skipped", &ActionMutations::skipVoidRow },
        Mutation { "recorded result overwritten", &ActionMutations::overwriteResult },
        Mutation { "body digest ignored", &ActionMutations::ignoreBodyDigest },
        Mutation { "takeover without lookup", &ActionMutations::dispatchWithoutLookup },
        Mutation { "same fencing token for every epoch", &ActionMutations::sameFence },
        Mutation { "dispatch repeated after a lost answer", &ActionMutations::redispatchOnUnknown },
        Mutation { "dispatch over a damaged row", &ActionMutations::dispatchOnDamagedRow },
        Mutation { "claim voided after a takeover", &ActionMutations::voidAfterTakeover },
    };
    for (const auto& mutation : mutations) {
        ActionMutations mutationsUnderTest;
        mutationsUnderTest.*mutation.flag = true;
        std::string caught;
        for (bool inPairs : { false, true }) {
            for (const auto& it : capabilitySets) {
                if (caught.empty())
                    caught = runAllFaults(it, mutationsUnderTest, inPairs).failure;
            }
        }
        MESSAGE(mutation.name, ": ", caught);
        CHECK_MESSAGE(!caught.empty(), "mutation not detected: ", mutation.name);
    }
}

TEST_CASE("an action without faults costs two writes and no reads of the table service")
{
    for (const auto& it : capabilitySets) {
        ActionSimulation simulation(it, {});
        simulation.run('A');
        CHECK(simulation.parties['A'].answer->execution == Execution::Ran);
        CHECK(simulation.table.writes == 2);
        CHECK(simulation.table.reads == 0);
    }
}

// docs/actions.md documents these numbers.
TEST_CASE("a fault costs at most one additional write to the table service")
{
    struct Row {
        FaultPoint point;
        uint32_t writes;
    };
    const std::array rows {
        Row { { 'A', 1, Fault::Refused }, 3 }, // Not sent: the next endpoint is claimed.
        Row { { 'A', 1, Fault::LostAnswer }, 3 }, // A claim with the next epoch, then a lookup.
        Row { { 'A', 0, Fault::LostAnswer }, 2 }, Row { { 'A', 0, Fault::LostRequest }, 1 }, // The void row.
    };
    for (const auto& it : rows) {
        ActionSimulation simulation(fencingAndLookup, {});
        simulation.faults = { it.point };
        simulation.run('A');
        CHECK_MESSAGE(simulation.table.writes == it.writes, faultName(it.point.fault), " at step ", it.point.step,
            ": expected ", it.writes, ", actual ", simulation.table.writes);
    }
}

TEST_CASE("an action runs at most once when the table service skips version numbers")
{
    for (const auto& capabilities : capabilitySets) {
        forEachFaultPoint({ { 'A', 8 }, { 'B', 12 } }, [&](FaultPoint point) {
            Case it { capabilities, { point }, 2, true };
            ActionSimulation simulation(capabilities, {});
            simulation.table.versionStep = 7;
            runCase(simulation, it);
            CHECK_MESSAGE(violatedInvariant(simulation, it).empty(), it.name(), violatedInvariant(simulation, it));
        });
    }
}

// Guards against a second run of an action whose row expires between the start of a retry and its claim.
TEST_CASE("an action whose key is below the floor of the ledger is not run and answered Unknown")
{
    for (bool skipFloor : { false, true }) {
        ActionMutations mutationsUnderTest;
        mutationsUnderTest.skipFloor = skipFloor;
        ActionSimulation simulation(fencingAndLookup, mutationsUnderTest);
        simulation.faults = { { 'B', 0, Fault::Pause } };
        simulation.run('A');
        simulation.run('B');
        simulation.table.commit({ {}, { { actionFloorKey(WorkspaceId("school")), "20260201" } } });
        simulation.table.erase(actionRowKey(WorkspaceId("school"), simulation.key));
        simulation.run('B');
        CHECK(simulation.effects() == (skipFloor ? 2 : 1));
        if (skipFloor)
            continue;
        simulation.floor = "20260201";
        simulation.run('C');
        for (char name : { 'B', 'C' })
            CHECK(simulation.parties[name].answer->execution == Execution::Unknown);
        CHECK(simulation.parties['C'].steps == 0);
    }
}

TEST_CASE("keys of different workspaces and keys with separators never collide")
{
    auto row = [](const char* workspace, const char* key) { return actionRowKey(WorkspaceId(workspace), key); };
    CHECK(row("school", "k-1") == "action/school/k-1");
    CHECK(row("a", "b/c") != row("a/b", "c"));
    CHECK(actionEndpointKey(WorkspaceId("a"), "b.c") != actionEndpointKey(WorkspaceId("a.b"), "c"));
    CHECK(actionKeyDay("20260101-k") == "20260101");
    CHECK_FALSE(actionKeyDay("2026-01-01"));
}

TEST_CASE("an invalid action is refused with NotRun before any write")
{
    auto refusal = [](std::string key, bool hasEndpoint) {
        ActionStarted start;
        start.key = std::move(key);
        if (hasEndpoint)
            start.endpoints = { { EndpointId("x"), none } };
        ActionMachine machine;
        auto answer = std::get<AnswerCaller>(machine.apply({}, start));
        CHECK(answer.execution == Execution::NotRun);
        return answer.code;
    };
    CHECK(refusal("", true) == ResultCode::IdempotencyKeyMissing);
    CHECK(refusal(std::string(maxActionKeyBytes + 1, 'k'), true) == ResultCode::RequestTooLarge);
    CHECK(refusal("k", false) == ResultCode::NoChain);
}

TEST_CASE("an oversized answer reaches its caller in full, and a retry receives only its status")
{
    ActionSimulation simulation(none, {});
    std::string body(maxRecordedAnswerBytes, 'b');
    simulation.run('A', body);
    simulation.run('B', body);
    CHECK(simulation.parties['A'].answer->answer.body.size() > body.size());
    CHECK(simulation.parties['B'].answer->isAnswerCut);
    CHECK(simulation.parties['B'].answer->execution == Execution::Ran);
    CHECK(simulation.parties['B'].answer->answer.status == 200);
}
