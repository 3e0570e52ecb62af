// Failure tests of the action protocol: every fault at every step of two daemons that run the same action, alone and in
// pairs, followed by two retries through further daemons.

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
constexpr std::array everyCapability { none, onlyFencing, onlyLookup, onlyDedup, fencingAndLookup, all };
constexpr uint32_t releaseMoments = 4;

struct Case {
    Capabilities capabilities;
    std::vector<FaultPoint> faults;
    uint32_t release = 0; // When late messages arrive: before B, after B, after both, after the first retry.
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

// A starts; B starts when A has ended, died or paused; those that paused go on; then C and D retry without faults.
void play(ActionWorld& world, const Case& it)
{
    world.faults = it.faults;
    world.run('A');
    if (it.release == 0)
        world.releaseLate();
    world.run('B', it.isSameBody ? "body" : "other");
    if (it.release == 1)
        world.releaseLate();
    for (char name : { 'A', 'B', 'A', 'B' }) {
        if (world.parties[name].isPaused)
            world.run(name);
    }
    if (it.release == 2)
        world.releaseLate();
    world.run('C');
    world.releaseLate();
    world.run('D');
}

// Returns the invariant that does not hold, or an empty text.
std::string violation(ActionWorld& world, const Case& it)
{
    if (world.table.changedFinalRow)
        return "a recorded result or a void row was overwritten";
    if (world.effects() > 1)
        return "the action ran " + std::to_string(world.effects()) + " times";
    for (const auto& [name, party] : world.parties) {
        std::string who = std::string(1, name) + ": ";
        if (party.steps >= ActionWorld::maxSteps)
            return who + "the machine does not end";
        if (!party.answer)
            continue;
        const auto& answer = *party.answer;
        bool ran = std::any_of(world.endpoints.begin(), world.endpoints.end(),
            [id = name](const auto& endpoint) { return endpoint.second.ranFor.find(id) != std::string::npos; });
        if (answer.execution == Execution::NotRun && (ran || (answer.coversKey && world.effects() > 0)))
            return who + "answered not run, but it ran";
        if (answer.execution == Execution::Ran && party.effectsAtAnswer == 0)
            return who + "answered ran, but it had not run";
        if (answer.execution == Execution::Ran && answer.answer.body != "done " + party.start.bodyDigest)
            return who + "received the answer to another request: " + answer.answer.body;
        if (answer.execution == Execution::Unknown && answer.settlement == Settlement::Settled)
            return who + "answered unknown without a way to settle it";
    }
    const auto& last = *world.parties['D'].answer;
    Reason reason;
    auto row = toRowRead({}, world.table.read(actionRowKey(WorkspaceId("school"), world.key)), reason);
    bool isRecorded = row.row && row.row->state == ActionState::Done && row.row->bodyDigest == "body";
    if (isRecorded && last.answer != row.row->answer)
        return "D: a retry did not receive the recorded result";
    bool canSettle = it.capabilities.dedup || (it.capabilities.fencing && it.capabilities.lookup);
    if (canSettle && it.isSameBody && last.execution == Execution::Unknown)
        return "D: a retry without faults was not settled";
    return {};
}

struct Exploration {
    uint32_t cases = 0;
    std::string failure; // Name of the first case that breaks an invariant, with the invariant.
};

// Plays the case at each moment of release that makes a difference. Returns false when a fault of it does not apply.
bool explore(Case it, ActionMutations mutations, Exploration& result, std::map<char, uint32_t>* steps = nullptr)
{
    for (it.release = 0; it.release < releaseMoments; ++it.release) {
        ActionWorld world(it.capabilities, mutations);
        play(world, it);
        if (world.faultsApplied < it.faults.size())
            return false;
        ++result.cases;
        auto fault = violation(world, it);
        if (!fault.empty() && result.failure.empty())
            result.failure = it.name() + " -> " + fault;
        if (steps && it.release == 0)
            *steps = { { 'A', world.parties['A'].steps }, { 'B', world.parties['B'].steps } };
        if (!world.hadLate)
            return true;
    }
    return true;
}

// Calls visit for each fault at each step of A and B.
void forEachPoint(const std::map<char, uint32_t>& steps, const std::function<void(FaultPoint)>& visit)
{
    for (const auto& [party, n] : steps) {
        for (uint32_t step = 0; step < n; ++step) {
            for (uint8_t fault = 1; fault <= static_cast<uint8_t>(lastFault); ++fault)
                visit({ party, step, static_cast<Fault>(fault) });
        }
    }
}

Exploration exploreAll(const Capabilities& capabilities, ActionMutations mutations, bool inPairs)
{
    Exploration result;
    for (bool isSameBody : { true, false }) {
        Case plain { capabilities, {}, 0, isSameBody };
        std::map<char, uint32_t> steps;
        explore(plain, mutations, result, &steps);
        forEachPoint(steps, [&](FaultPoint first) {
            if (!result.failure.empty())
                return;
            Case single = plain;
            single.faults = { first };
            std::map<char, uint32_t> singleSteps;
            if (!explore(single, mutations, result, &singleSteps) || !inPairs)
                return;
            forEachPoint(singleSteps, [&](FaultPoint second) {
                bool isLater = second.party > first.party || second.step > first.step;
                if (!isLater || second.party < first.party || !result.failure.empty())
                    return;
                Case pair = single;
                pair.faults.push_back(second);
                explore(pair, mutations, result);
            });
        });
    }
    return result;
}

} // namespace

TEST_CASE("an action runs at most once under each fault and each pair of faults")
{
    uint32_t cases = 0;
    for (const auto& it : everyCapability) {
        auto result = exploreAll(it, {}, !isSanitized || it == fencingAndLookup);
        CHECK_MESSAGE(result.failure.empty(), result.failure);
        cases += result.cases;
    }
    MESSAGE("cases played: ", cases);
    CHECK(cases > (isSanitized ? 3000 : 40000));
}

// Two daemons are stopped at once, each at any step, while a third runs the same action; then they go on in either
// order.
TEST_CASE("an action runs at most once when two daemons stop while a third runs it")
{
    constexpr uint32_t firstSteps = isSanitized ? 4 : 8;
    uint32_t cases = 0;
    for (const auto& capabilities : everyCapability) {
        forEachPoint({ { 'A', firstSteps } }, [&](FaultPoint a) {
            forEachPoint({ { 'B', firstSteps } }, [&](FaultPoint b) {
                forEachPoint({ { 'C', firstSteps } }, [&](FaultPoint c) {
                    bool isStopped = a.fault == Fault::Pause && b.fault == Fault::Pause;
                    bool isFault = c.fault != Fault::Pause && c.fault != Fault::PauseAfter;
                    if (!isStopped || !isFault)
                        return;
                    for (const char* order : { "AB", "BA" }) {
                        Case it { capabilities, { a, b, c }, 1, true };
                        ActionWorld world(capabilities, {});
                        world.faults = it.faults;
                        for (char name : std::string("ABC") + order)
                            world.run(name);
                        if (world.faultsApplied < it.faults.size())
                            return;
                        world.releaseLate();
                        world.run('D');
                        ++cases;
                        CHECK_MESSAGE(violation(world, it).empty(), it.name(), " ", order, ": ", violation(world, it));
                    }
                });
            });
        });
    }
    MESSAGE("cases played: ", cases);
    CHECK(cases > (isSanitized ? 500 : 6000));
}

TEST_CASE("each planted fault of the action protocol is found")
{
    struct Mutation {
        std::string name;
        bool ActionMutations::*flag;
    };
    const std::array mutations {
        Mutation { "dispatch before claim", &ActionMutations::dispatchBeforeClaim },
        Mutation { "takeover because the owner is believed dead", &ActionMutations::takeoverWithoutFencing },
        Mutation { "not run on a lost claim", &ActionMutations::notRunOnLostClaim },
        Mutation { "void row skipped", &ActionMutations::skipVoidRow },
        Mutation { "recorded result overwritten", &ActionMutations::overwriteResult },
        Mutation { "body digest ignored", &ActionMutations::ignoreBodyDigest },
        Mutation { "takeover without lookup", &ActionMutations::dispatchWithoutLookup },
        Mutation { "same fence for every epoch", &ActionMutations::sameFence },
        Mutation { "dispatch repeated on a lost answer", &ActionMutations::redispatchOnUnknown },
        Mutation { "dispatch over a damaged row", &ActionMutations::dispatchOnDamagedRow },
        Mutation { "claim freed after a takeover", &ActionMutations::voidAfterTakeover },
    };
    for (const auto& mutation : mutations) {
        ActionMutations planted;
        planted.*mutation.flag = true;
        std::string caught;
        for (bool inPairs : { false, true }) {
            for (const auto& it : everyCapability) {
                if (caught.empty())
                    caught = exploreAll(it, planted, inPairs).failure;
            }
        }
        MESSAGE(mutation.name, ": ", caught);
        CHECK_MESSAGE(!caught.empty(), mutation.name, " was not found");
    }
}

TEST_CASE("an action without failure costs two writes and no read of the table service")
{
    for (const auto& it : everyCapability) {
        ActionWorld world(it, {});
        world.run('A');
        CHECK(world.parties['A'].answer->execution == Execution::Ran);
        CHECK(world.table.writes == 2);
        CHECK(world.table.reads == 0);
    }
}

// docs/actions.md states these figures.
TEST_CASE("a fault costs at most one more write than an action without failure")
{
    struct Row {
        FaultPoint point;
        uint32_t writes;
    };
    const std::array rows {
        Row { { 'A', 1, Fault::Refused }, 3 }, // Not sent: the claim moves to the next endpoint.
        Row { { 'A', 1, Fault::LostAnswer }, 3 }, // The next epoch, then a lookup.
        Row { { 'A', 0, Fault::LostAnswer }, 2 }, Row { { 'A', 0, Fault::LostRequest }, 1 }, // The void row.
    };
    for (const auto& it : rows) {
        ActionWorld world(fencingAndLookup, {});
        world.faults = { it.point };
        world.run('A');
        CHECK_MESSAGE(world.table.writes == it.writes, faultName(it.point.fault), " at step ", it.point.step,
            ": expected ", it.writes, ", actual ", world.table.writes);
    }
}

TEST_CASE("a table service that skips version numbers costs reads but no safety")
{
    for (const auto& capabilities : everyCapability) {
        forEachPoint({ { 'A', 8 }, { 'B', 12 } }, [&](FaultPoint point) {
            Case it { capabilities, { point }, 2, true };
            ActionWorld world(capabilities, {});
            world.table.versionStep = 7;
            play(world, it);
            CHECK_MESSAGE(violation(world, it).empty(), it.name(), violation(world, it));
        });
    }
}

// Guards against the second run of an action whose row was removed between the start of a retry and its claim.
TEST_CASE("a key older than the ledger keeps is neither run nor called not run")
{
    for (bool skipFloor : { false, true }) {
        ActionMutations planted;
        planted.skipFloor = skipFloor;
        ActionWorld world(fencingAndLookup, planted);
        world.faults = { { 'B', 0, Fault::Pause } };
        world.run('A');
        world.run('B');
        world.table.commit({ {}, { { actionFloorKey(WorkspaceId("school")), "20260201" } } });
        world.table.erase(actionRowKey(WorkspaceId("school"), world.key));
        world.run('B');
        CHECK(world.effects() == (skipFloor ? 2 : 1));
        if (skipFloor)
            continue;
        world.floor = "20260201";
        world.run('C');
        for (char name : { 'B', 'C' })
            CHECK(world.parties[name].answer->execution == Execution::Unknown);
        CHECK(world.parties['C'].steps == 0);
    }
}

TEST_CASE("equal keys of two workspaces and keys with separators stay different actions")
{
    auto row = [](const char* workspace, const char* key) { return actionRowKey(WorkspaceId(workspace), key); };
    CHECK(row("school", "k-1") == "action/school/k-1");
    CHECK(row("a", "b/c") != row("a/b", "c"));
    CHECK(actionEndpointKey(WorkspaceId("a"), "b.c") != actionEndpointKey(WorkspaceId("a.b"), "c"));
    CHECK(actionKeyDay("20260101-k") == "20260101");
    CHECK_FALSE(actionKeyDay("2026-01-01"));
}

TEST_CASE("an action that cannot start is refused before anything is written")
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

TEST_CASE("an answer that is too large for the ledger reaches its caller whole and a retry without its body")
{
    ActionWorld world(none, {});
    std::string body(maxRecordedAnswerBytes, 'b');
    world.run('A', body);
    world.run('B', body);
    CHECK(world.parties['A'].answer->answer.body.size() > body.size());
    CHECK(world.parties['B'].answer->isAnswerCut);
    CHECK(world.parties['B'].answer->execution == Execution::Ran);
    CHECK(world.parties['B'].answer->answer.status == 200);
}
