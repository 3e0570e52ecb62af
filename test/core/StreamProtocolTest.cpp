// Fault-injection tests of the stream protocol with two callers, failover between chains and daemon crashes. Each fault
// is injected at each token, alone and in pairs.

#include "support/StreamParts.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>

using namespace jacinthspindle;
using namespace jacinthspindle::test;
using internal::StreamMutations;

namespace {

enum class StreamFault : uint8_t {
    None,
    Lost,
    Doubled,
    Late, // Delivered two tokens later.
    LateAttempt, // Delivered after the next attempt has begun.
    Crossed, // Also delivered to the other caller's stream.
    StageFails,
    DaemonCrashes, // The caller resumes at another daemon with the id of its last event.
    WrongVersion,
    WrongStage,
};
constexpr std::array faultNames { "none", "lost", "doubled", "late", "late-attempt", "crossed", "stage-fails",
    "daemon-crashes", "wrong-version", "wrong-stage" };

struct StreamPoint {
    size_t caller = 0;
    uint32_t token = 0; // Counted over all attempts.
    StreamFault fault = StreamFault::None;
};

struct Generated {
    TokenEvent event;
    std::string textBefore; // The text generated before this token.
};

constexpr uint32_t answerTokens = 4;

struct Caller {
    std::string request;
    std::optional<StreamValidator> validator;
    std::optional<PrefixChecker> prefix; // Set while the stream is a resumed one.
    TextDigest digest;
    std::string text; // What the caller has received.
    std::string eventId;
    uint32_t received = 0;
    uint32_t resumePosition = 0; // Start position of a resumed stream; earlier tokens are not delivered again.
    uint32_t attempt = 0;
    std::deque<Generated> stream;
    std::vector<Generated> lateForAttempt;
    std::vector<std::pair<uint32_t, Generated>> late; // With the number of the token after which each is delivered.
    uint32_t tokens = 0;
    bool isComplete = false;
    bool hasPrefixMismatch = false;
};

class StreamSimulation {
public:
    // isDivergent: attempts with the same seed generate different texts.
    StreamSimulation(std::vector<StreamPoint> faults, StreamMutations mutations, bool isDivergent)
        : m_faults(std::move(faults))
        , m_mutations(mutations)
        , m_isDivergent(isDivergent)
    {
    }

    std::string run()
    {
        for (size_t i = 0; i < m_callers.size(); ++i) {
            m_callers[i].request = "r" + std::to_string(i + 1);
            start(m_callers[i]);
        }
        constexpr uint32_t maxTurns = 60;
        for (uint32_t turn = 0; turn < maxTurns && m_violation.empty(); ++turn) {
            for (size_t i = 0; i < m_callers.size(); ++i)
                takeTurn(i);
        }
        for (const auto& it : m_callers) {
            if (m_violation.empty() && !it.isComplete && !(it.hasPrefixMismatch && m_isDivergent))
                m_violation = it.request + " did not receive a complete answer";
        }
        return m_violation;
    }
    uint32_t faultsApplied = 0;

private:
    // Starts the next attempt at the position that the validator expects next.
    void openAttempt(Caller& caller)
    {
        ++caller.attempt;
        std::string copy = caller.attempt % 3 == 0 ? "b" : "a"; // The second attempt uses the same chain.
        uint32_t first = caller.validator->nextPosition();
        caller.validator->expect(caller.attempt, sampleChain(copy), "v1", first);
        std::string text = first == 0 ? "" : m_generated[caller.request + std::to_string(first)];
        caller.stream.clear();
        for (uint32_t i = first; i < answerTokens; ++i) {
            auto event = token(caller.attempt, i, i + 1 == answerTokens, caller.request, copy);
            event.text = "<" + caller.request.substr(0, 2) + std::to_string(i)
                + (m_isDivergent ? "@" + std::to_string(++m_generations) : "") + ">";
            caller.stream.push_back({ event, text });
            text += event.text;
        }
        for (const auto& it : std::exchange(caller.lateForAttempt, {}))
            deliver(caller, it);
    }
    void start(Caller& caller)
    {
        caller.validator.emplace(RequestId(caller.request), sampleLayers, m_mutations);
        openAttempt(caller);
    }
    // Another daemon resumes the stream as a new request and counts attempts from 1.
    void resume(Caller& caller)
    {
        caller.request += "'";
        caller.attempt = 0;
        caller.prefix.reset();
        if (caller.received > 0) {
            Reason reason;
            auto cursor = m_codec.parse(caller.eventId, "binding", reason);
            REQUIRE_MESSAGE(cursor, reason.text);
            caller.prefix.emplace(*cursor);
            caller.resumePosition = cursor->nextPosition;
        }
        start(caller);
    }

    StreamFault faultAt(size_t index)
    {
        for (const auto& it : m_faults) {
            if (it.caller == index && it.token == m_callers[index].tokens) {
                ++faultsApplied;
                return it.fault;
            }
        }
        return StreamFault::None;
    }

    void takeTurn(size_t index)
    {
        auto& caller = m_callers[index];
        if (caller.isComplete || caller.hasPrefixMismatch)
            return;
        if (caller.stream.empty() || caller.validator->attemptFailed()) {
            openAttempt(caller);
            return;
        }
        auto next = caller.stream.front();
        caller.stream.pop_front();
        auto fault = faultAt(index);
        ++caller.tokens;
        switch (fault) {
        case StreamFault::Lost:
            break;
        case StreamFault::Late:
            caller.late.emplace_back(caller.tokens + 2, next);
            break;
        case StreamFault::LateAttempt:
            caller.lateForAttempt.push_back(next);
            break;
        case StreamFault::StageFails:
            caller.stream.clear();
            break;
        case StreamFault::DaemonCrashes:
            resume(caller);
            break;
        case StreamFault::WrongVersion:
            next.event.proof[0].version = "v2";
            deliver(caller, next);
            break;
        case StreamFault::WrongStage:
            next.event.proof.pop_back();
            deliver(caller, next);
            break;
        case StreamFault::Crossed:
            deliver(m_callers[1 - index], next);
            deliver(caller, next);
            break;
        case StreamFault::Doubled:
            deliver(caller, next);
            [[fallthrough]];
        case StreamFault::None:
            deliver(caller, next);
            break;
        }
        for (auto& [after, late] : caller.late) {
            if (after == caller.tokens)
                deliver(caller, late);
        }
    }

    void deliver(Caller& caller, const Generated& generated)
    {
        if (caller.isComplete || caller.hasPrefixMismatch)
            return;
        const auto& event = generated.event;
        auto output = caller.validator->accept(event);
        if (std::holds_alternative<Dropped>(output))
            return;
        if (event.proof.size() != 2 || event.proof[0].version != "v1")
            fail(caller, "a token that skipped a stage or came from another version");
        if (event.request != RequestId(caller.request))
            fail(caller, "a token of another request");
        m_generated[caller.request + std::to_string(event.position + 1)] = generated.textBefore + event.text;
        if (caller.prefix && caller.prefix->add(event.position, event.text, event.isLast) == PrefixState::Mismatch) {
            caller.hasPrefixMismatch = true;
            return;
        }
        caller.isComplete = std::holds_alternative<Complete>(output);
        if (caller.prefix && event.position < caller.resumePosition)
            return;
        if (generated.textBefore != caller.text)
            fail(caller, "a token that does not continue its text");
        caller.text += event.text;
        ++caller.received;
        caller.digest.add(event.text);
        caller.eventId = m_codec.format(
            { event.request, caller.received, caller.digest.value(), 1, "v1", 0, event.attempt }, "binding");
        if (caller.isComplete && caller.received != answerTokens)
            fail(caller, "an end after " + std::to_string(caller.received) + " tokens");
    }
    void fail(const Caller& caller, const std::string& what) { m_violation = caller.request + " received " + what; }

    std::vector<StreamPoint> m_faults;
    StreamMutations m_mutations;
    bool m_isDivergent = false;
    uint32_t m_generations = 0;
    std::array<Caller, 2> m_callers;
    std::map<std::string, std::string>
        m_generated; // Accepted text before each position; the key is the request and the position.
    CursorCodec m_codec { "key" };
    std::string m_violation;
};

struct Exploration {
    uint32_t cases = 0;
    std::string failure;
};

void explore(const std::vector<StreamPoint>& faults, StreamMutations mutations, Exploration& result)
{
    for (bool isDivergent : { false, true }) {
        StreamSimulation simulation(faults, mutations, isDivergent);
        auto violation = simulation.run();
        if (simulation.faultsApplied < faults.size())
            continue;
        ++result.cases;
        if (violation.empty() || !result.failure.empty())
            continue;
        result.failure = isDivergent ? "divergent" : "same text";
        for (const auto& it : faults)
            result.failure += " | r" + std::to_string(it.caller + 1) + " token " + std::to_string(it.token) + " "
                + faultNames[static_cast<size_t>(it.fault)];
        result.failure += " -> " + violation;
    }
}

Exploration exploreAll(StreamMutations mutations)
{
    constexpr uint32_t tokenPoints = 8;
    std::vector<StreamPoint> points;
    for (size_t caller : { 0, 1 }) {
        for (uint32_t i = 0; i < tokenPoints; ++i) {
            for (size_t fault = 1; fault < faultNames.size(); ++fault)
                points.push_back({ caller, i, static_cast<StreamFault>(fault) });
        }
    }
    Exploration result;
    explore({}, mutations, result);
    for (const auto& it : points)
        explore({ it }, mutations, result);
    for (size_t i = 0; i < points.size() && result.failure.empty(); ++i) {
        for (size_t k = i + 1; k < points.size(); ++k)
            explore({ points[i], points[k] }, mutations, result);
    }
    return result;
}

} // namespace

TEST_CASE("each caller receives its own complete answer under each fault and each pair of faults")
{
    auto result = exploreAll({});
    CHECK_MESSAGE(result.failure.empty(), result.failure);
    MESSAGE("cases played: ", result.cases);
    CHECK(result.cases > 5000);
}

TEST_CASE("each injected defect of the stream protocol is detected")
{
    struct Mutation {
        std::string name;
        bool StreamMutations::*flag;
    };
    const std::array mutations {
        Mutation { "wrong request accepted", &StreamMutations::acceptWrongRequest },
        Mutation { "wrong attempt accepted", &StreamMutations::acceptWrongAttempt },
        Mutation { "old position accepted", &StreamMutations::acceptOldPosition },
        Mutation { "gap accepted", &StreamMutations::acceptGap },
        Mutation { "proof not checked", &StreamMutations::acceptWrongProof },
    };
    for (const auto& mutation : mutations) {
        StreamMutations injected;
        injected.*mutation.flag = true;
        auto result = exploreAll(injected);
        MESSAGE(mutation.name, ": ", result.failure);
        CHECK_MESSAGE(!result.failure.empty(), mutation.name, " was not detected");
    }
}
