// Tests of the decision core as a whole: inputs in, decisions out.

#include "support/SampleTable.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;

namespace {

std::vector<CoreDecision> applyAll(DecisionCore& core, const std::vector<CoreInput>& inputs)
{
    std::vector<CoreDecision> decisions;
    Instant now {};
    for (const auto& it : inputs)
        core.apply(now += std::chrono::milliseconds(1), it, decisions);
    return decisions;
}

CoreConfig config(uint64_t seed)
{
    CoreConfig config;
    config.dataCentre = DataCentreId("north");
    config.seed = seed;
    return config;
}

CoreInput tableInput()
{
    return TableAdopted { std::make_shared<const Table>(test::sampleTable()) };
}

RequestArrived arrival(const std::string& id, const std::string& route = "assistant")
{
    return { RequestId(id), WorkspaceId("school"), RouteId(route), 100, 50, 0, {}, std::chrono::seconds(30) };
}

} // namespace

TEST_CASE("a request for a model route is dispatched to a chain that covers every layer once")
{
    DecisionCore core(config(1));
    auto decisions = applyAll(core, { tableInput(), arrival("r1") });
    REQUIRE(decisions.size() == 1);
    const auto& dispatch = std::get<Dispatch>(decisions.front());
    CHECK(dispatch.attempt == 1);
    uint32_t reached = 0;
    for (const auto& it : dispatch.chain) {
        CHECK(it.layers.first == reached);
        reached = it.layers.end;
    }
    CHECK(reached == 12);
}

TEST_CASE("a request for a plain service is dispatched to one hop with an empty range")
{
    DecisionCore core(config(1));
    auto decisions = applyAll(core, { tableInput(), arrival("r1", "loans") });
    REQUIRE(decisions.size() == 1);
    const auto& dispatch = std::get<Dispatch>(decisions.front());
    REQUIRE(dispatch.chain.size() == 1);
    CHECK(dispatch.chain.front() == StageHop { EndpointId("catalogue-1"), {} });
}

TEST_CASE("a request before the first table is refused")
{
    DecisionCore core(config(1));
    auto decisions = applyAll(core, { arrival("r1") });
    REQUIRE(decisions.size() == 1);
    CHECK(std::get<Refuse>(decisions.front()).code == ResultCode::TableNotReady);
}

TEST_CASE("a failed stage is replaced at the position reached without the endpoint at fault")
{
    DecisionCore core(config(1));
    auto first = std::get<Dispatch>(applyAll(core, { tableInput(), arrival("r1") }).front());
    auto atFault = first.chain[1].endpoint;
    std::vector<CoreDecision> decisions;
    core.apply(Instant(std::chrono::milliseconds(10)),
        AttemptFailed { RequestId("r1"), 1, atFault, FailureKind::StreamBroken, 7, true }, decisions);
    REQUIRE(decisions.size() == 1);
    const auto& second = std::get<Dispatch>(decisions.front());
    CHECK(second.attempt == 2);
    CHECK(second.firstPosition == 7);
    for (const auto& it : second.chain)
        CHECK(it.endpoint != atFault);
}

TEST_CASE("an attempt that must not be repeated ends the request")
{
    DecisionCore core(config(1));
    auto decisions = applyAll(core,
        { tableInput(), arrival("r1", "loans"),
            AttemptFailed { RequestId("r1"), 1, EndpointId("catalogue-1"), FailureKind::StreamBroken, 0, false } });
    REQUIRE(decisions.size() == 2);
    CHECK(std::get<Abandon>(decisions.back()).code == ResultCode::OutcomeUnknown);
}

TEST_CASE("the same inputs and seed give identical decisions")
{
    std::vector<CoreInput> inputs { arrival("early"), tableInput() };
    for (int i = 0; i < 50; ++i)
        inputs.emplace_back(arrival("r" + std::to_string(i)));
    DecisionCore a(config(9));
    DecisionCore b(config(9));
    CHECK(applyAll(a, inputs) == applyAll(b, inputs));
}
