// Fault-injection tests of the order protocol. Two daemons order engines to load versions; the tests inject each fault
// at each step, and pairs of faults at the first steps.

#include "support/OrderParties.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::test;
using internal::OrderMutations;

namespace {

constexpr std::array orderFaults { Fault::LostRequest, Fault::LostAnswer, Fault::Late, Fault::Doubled, Fault::Refused,
    Fault::Pause, Fault::PauseAfter, Fault::Crash, Fault::CrashAfter };

struct Exploration {
    uint32_t cases = 0;
    std::string failure;
    bool isSafetyOnly = false; // Checks the safety invariants only, not that all engines reach the last version.
};

bool explore(const OrderScenario& scenario, OrderMutations mutations, Exploration& result,
    std::map<char, uint32_t>* steps = nullptr)
{
    OrderSimulation simulation(scenario, mutations);
    auto violation = simulation.run();
    if (violation.empty() && !result.isSafetyOnly)
        violation = simulation.unfinished;
    if (simulation.faultsApplied < scenario.faults.size())
        return false;
    ++result.cases;
    if (!violation.empty() && result.failure.empty())
        result.failure = scenario.name() + " -> " + violation;
    if (steps)
        *steps = simulation.steps;
    return true;
}

void forEachPoint(const std::map<char, uint32_t>& steps, const std::function<void(FaultPoint)>& visit)
{
    for (const auto& [party, n] : steps) {
        for (uint32_t step = 0; step < n; ++step) {
            for (Fault fault : orderFaults)
                visit({ party, step, fault });
        }
    }
}

std::vector<OrderScenario> allScenarios(bool checksFence)
{
    return {
        { { "v2" }, 6, checksFence },
        { { "v2" }, 6, checksFence, 25 },
        { { "v2" }, 2, checksFence, 0, 5, 7 },
        { { "v2", "v3" }, 2, checksFence },
        { { "v2", "v3" }, 6, checksFence },
        { { "v2", "v3" }, 15, checksFence, 0, 5, 7 },
        { { "v2", "v1", "v3" }, 6, checksFence, 0, 2, 3 },
        { { "v2", "v1", "v3" }, 2, checksFence, 25, 4 },
    };
}

void exploreSingles(const OrderScenario& plain, OrderMutations mutations, Exploration& result)
{
    std::map<char, uint32_t> steps;
    explore(plain, mutations, result, &steps);
    forEachPoint(steps, [&](FaultPoint point) {
        OrderScenario single = plain;
        single.faults = { point };
        if (result.failure.empty())
            explore(single, mutations, result);
    });
}

// Runs pairs of faults of which the first stops a daemon or delays a message. Both occur within the first steps of a
// daemon, which cover its claim, its first orders and a takeover.
void explorePairs(const OrderScenario& plain, OrderMutations mutations, Exploration& result)
{
    constexpr uint32_t firstSteps = isSanitized ? 5 : 7;
    const std::map<char, uint32_t> steps { { 'A', firstSteps }, { 'B', firstSteps } };
    forEachPoint(steps, [&](FaultPoint first) {
        bool isDelay = first.fault == Fault::Pause || first.fault == Fault::PauseAfter
            || first.fault == Fault::CrashAfter || first.fault == Fault::Late;
        forEachPoint(steps, [&](FaultPoint second) {
            bool isOther = second.party != first.party || second.step != first.step;
            if (!isDelay || !isOther || !result.failure.empty())
                return;
            OrderScenario pair = plain;
            pair.faults = { first, second };
            explore(pair, mutations, result);
        });
    });
}

} // namespace

TEST_CASE("orders keep each layer in service and bring engines to the required version under each fault")
{
    Exploration result;
    for (const auto& it : allScenarios(true))
        exploreSingles(it, {}, result);
    CHECK_MESSAGE(result.failure.empty(), result.failure);
    MESSAGE("cases played: ", result.cases);
    CHECK(result.cases > 3000);
}

TEST_CASE("orders keep each layer in service under pairs of faults with a takeover")
{
    Exploration result;
    explorePairs({ { "v2", "v3" }, 6 }, {}, result);
    CHECK_MESSAGE(result.failure.empty(), result.failure);
    MESSAGE("cases played: ", result.cases);
}

TEST_CASE("each injected defect of the order protocol is detected")
{
    struct Mutation {
        std::string name;
        bool OrderMutations::*flag;
    };
    const std::array mutations {
        Mutation { "order sent without the conditional write", &OrderMutations::sendWithoutLease },
        Mutation { "fencing token not increased", &OrderMutations::keepFence },
        Mutation { "last coverage ignored", &OrderMutations::ignoreCoverage },
        Mutation { "orders of the previous holder dropped", &OrderMutations::ignoreOutstanding },
        Mutation { "orders in flight not bounded", &OrderMutations::unboundedInFlight },
    };
    for (const auto& mutation : mutations) {
        OrderMutations injected;
        injected.*mutation.flag = true;
        Exploration result;
        result.isSafetyOnly = true;
        for (const auto& it : allScenarios(true)) {
            if (result.failure.empty())
                exploreSingles(it, injected, result);
        }
        if (result.failure.empty())
            explorePairs({ { "v2", "v3" }, 6 }, injected, result);
        MESSAGE(mutation.name, ": ", result.failure);
        CHECK_MESSAGE(!result.failure.empty(), mutation.name, " was not detected");
    }
}

// Fencing tokens guard against late or duplicate orders from an earlier table. Whether such an order does harm depends
// on when it arrives, so this covers a range of delays.
Exploration exploreLateOrders(bool checksFence)
{
    Exploration result;
    for (uint32_t delay = 2; delay <= 20; ++delay) {
        for (uint32_t step = 0; step < 16; ++step) {
            for (Fault fault : { Fault::Pause, Fault::Late, Fault::Doubled }) {
                OrderScenario scenario { { "v2", "v3" }, delay, checksFence };
                scenario.faults = { { 'A', step, fault } };
                explore(scenario, {}, result);
            }
        }
    }
    return result;
}

TEST_CASE("engines that check fencing tokens stay in service after a late order with any delay")
{
    auto result = exploreLateOrders(true);
    CHECK_MESSAGE(result.failure.empty(), result.failure);
    MESSAGE("cases played: ", result.cases);
}

// Verifies the failure window that docs/actions.md describes for engines without fencing.
TEST_CASE("engines without fencing stay in service except after a late order of an earlier table")
{
    Exploration once;
    for (const auto& it : allScenarios(false)) {
        if (it.versions.size() == 1)
            exploreSingles(it, {}, once);
    }
    CHECK_MESSAGE(once.failure.empty(), once.failure);
    auto late = exploreLateOrders(false);
    MESSAGE("window: ", late.failure);
    CHECK_FALSE(late.failure.empty());
}

namespace {

// A machine that has just taken over the lease of another holder. The engines of both stages serve v1; the table
// requires v2.
struct Successor {
    explicit Successor(OrderMutations mutations)
        : machine({ HostId("b"), 1, DataCentreId("north"), 1 }, mutations)
    {
        auto requiredTable = std::make_shared<Table>(sampleTable());
        for (auto& it : requiredTable->endpoints)
            it.version = it.kind == EndpointKind::Engine ? "v2" : "";
        table = requiredTable;
        applyInput(OrderTableAdopted { table });
        reportStatuses(0, "v1");
        answerLease(applyInput(OrderTick { 1 }), { orderLeaseFormat, HostId("a"), 1, 4, {} });
        now += std::chrono::seconds(20);
        reportStatuses(0, "v1");
        answerLease(applyInput(OrderTick { 2 }), { orderLeaseFormat, HostId("a"), 1, 4, {} });
    }

    std::vector<OrderOutput> applyInput(const OrderInput& input) { return machine.apply(now, input); }
    void reportStatuses(uint64_t clockAtRequest, const std::string& version)
    {
        for (const auto& it : table->endpoints)
            applyInput(EngineSeen { it.endpoint, true, true, version, {}, it.layers, clockAtRequest });
    }
    // Answers reads with the lease and commits writes until the machine sends an order or returns no output.
    void answerLease(std::vector<OrderOutput> outputs, const OrderLease& lease)
    {
        while (!outputs.empty()) {
            const auto output = outputs.back();
            if (const auto* read = std::get_if<ReadLease>(&output))
                outputs = applyInput(LeaseRead { read->step, ReadOutcome::Found, lease, 9 });
            else if (const auto* write = std::get_if<WriteLease>(&output))
                outputs = applyInput(LeaseWriteAnswered { write->step, CommitOutcome::Committed });
            else {
                sent = std::get<SendOrder>(output);
                return;
            }
        }
    }

    Instant now { std::chrono::seconds(1000) };
    std::shared_ptr<const Table> table;
    OrderMachine machine;
    std::optional<SendOrder> sent;
};

} // namespace

// Guards against unloading the last copy of a layer. This happens if the new holder relies on statuses that do not show
// the orders of the previous holder yet.
TEST_CASE("a new holder sends no order before it has requested a status from the engines")
{
    for (bool useOldStatus : { false, true }) {
        OrderMutations injected;
        injected.useOldStatus = useOldStatus;
        Successor successor(injected);
        CHECK(successor.machine.isHolder());
        CHECK(successor.sent.has_value() == useOldStatus);
        successor.reportStatuses(successor.machine.logicalClock(), "v1");
        successor.answerLease(successor.applyInput(OrderTick { 3 }), {});
        CHECK(successor.sent);
    }
}

// Guards against counting an engine that is still loading as in service. This happens if a status requested before the
// order was answered confirms the order.
TEST_CASE("an order is confirmed only by a status requested after its answer")
{
    for (bool confirmByOldStatus : { false, true }) {
        OrderMutations injected;
        injected.confirmByOldStatus = confirmByOldStatus;
        Successor successor(injected);
        auto before = successor.machine.logicalClock();
        successor.reportStatuses(before, "v1");
        successor.answerLease(successor.applyInput(OrderTick { 3 }), {});
        REQUIRE(successor.sent);
        auto endpoint = successor.sent->order.endpoint;
        successor.answerLease(successor.applyInput(OrderAnswered { successor.sent->step, OrderOutcome::Accepted }), {});
        successor.applyInput(EngineSeen { endpoint, true, true, "v2", {}, { 0, 4 }, before });
        successor.answerLease(successor.applyInput(OrderTick { 4 }), {});
        const auto& outstanding = successor.machine.outstanding();
        bool isListed = std::any_of(
            outstanding.begin(), outstanding.end(), [&](const auto& it) { return it.endpoint == endpoint; });
        CHECK(isListed == !confirmByOldStatus);
    }
}
