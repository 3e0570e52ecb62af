// Tests of the validation of tokens before delivery.

#include "support/StreamParts.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::test;

namespace {

TokenDrop dropReason(const StreamOutput& output)
{
    const auto* dropped = std::get_if<Dropped>(&output);
    REQUIRE(dropped);
    return dropped->reason;
}

} // namespace

TEST_CASE("tokens are accepted once and in order until the last token completes the answer")
{
    auto validator = openStream();
    CHECK(std::get<Accepted>(validator.accept(token(1, 0))).position == 0);
    CHECK(dropReason(validator.accept(token(1, 0))) == TokenDrop::OldPosition);
    CHECK(std::get<Complete>(validator.accept(token(1, 1, true))).tokens == 2);
    CHECK(dropReason(validator.accept(token(1, 2))) == TokenDrop::NotExpected);
    CHECK(validator.droppedTotal() == 2);
}

TEST_CASE("a token that does not match the open attempt is dropped with the matching reason")
{
    struct Row {
        TokenDrop reason;
        std::function<void(TokenEvent&)> change;
    };
    const std::vector<Row> rows {
        { TokenDrop::WrongRequest, [](TokenEvent& it) { it.request = RequestId("other"); } },
        { TokenDrop::WrongAttempt, [](TokenEvent& it) { it.attempt = 2; } },
        { TokenDrop::WrongAttempt, [](TokenEvent& it) { it.proof[1].attempt = 2; } },
        { TokenDrop::Gap, [](TokenEvent& it) { it.position = 1; } },
        { TokenDrop::WrongLayers, [](TokenEvent& it) { it.proof.pop_back(); } },
        { TokenDrop::WrongLayers, [](TokenEvent& it) { it.proof.push_back(it.proof.back()); } },
        { TokenDrop::WrongLayers, [](TokenEvent& it) { it.proof[0].layers.end = 5; } },
        { TokenDrop::WrongEndpoint, [](TokenEvent& it) { std::swap(it.proof[0], it.proof[1]); } },
        { TokenDrop::WrongEndpoint, [](TokenEvent& it) { it.proof[0].endpoint = EndpointId("front-b"); } },
        { TokenDrop::WrongVersion, [](TokenEvent& it) { it.proof[0].version = "v2"; } },
    };
    for (const auto& it : rows) {
        auto validator = openStream();
        auto wrong = token(1, 0);
        it.change(wrong);
        auto reason = dropReason(validator.accept(wrong));
        CHECK_MESSAGE(reason == it.reason, "expected ", std::string(tokenDropName(it.reason)), ", actual ",
            std::string(tokenDropName(reason)));
        CHECK(validator.dropped(it.reason) == 1);
        CHECK(validator.nextPosition() == 0);
    }
}

TEST_CASE("a gap fails the attempt, and the next attempt continues at the next position")
{
    auto validator = openStream();
    validator.accept(token(1, 0));
    CHECK(dropReason(validator.accept(token(1, 2))) == TokenDrop::Gap);
    CHECK(validator.attemptFailed());
    CHECK(dropReason(validator.accept(token(1, 1))) == TokenDrop::AttemptOver);
    CHECK(validator.expect(2, sampleChain(), "v1", 1));
    CHECK_FALSE(validator.attemptFailed());
    CHECK(dropReason(validator.accept(token(1, 1))) == TokenDrop::WrongAttempt);
    CHECK(std::holds_alternative<Accepted>(validator.accept(token(2, 1))));
}

TEST_CASE("an attempt that does not continue the stream is refused and leaves no attempt open")
{
    auto reversed = sampleChain();
    std::swap(reversed[0], reversed[1]);
    auto overlapping = sampleChain();
    overlapping[1].layers.first = 3;
    const std::vector<AttemptExpected> refused {
        { 1, sampleChain(), "v1", 1 }, // Its number is not greater than that of the last attempt.
        { 2, sampleChain(), "v1", 0 }, // Repeats a token.
        { 2, sampleChain(), "v1", 2 }, // Leaves a gap.
        { 2, sampleChain(), "v2", 1 }, // Another model version in the middle of an answer.
        { 2, reversed, "v1", 1 },
        { 2, overlapping, "v1", 1 },
        { 2, { sampleChain()[0] }, "v1", 1 },
        { 2, {}, "v1", 1 },
    };
    for (const auto& it : refused) {
        auto validator = openStream();
        validator.accept(token(1, 0));
        auto output = validator.apply({}, it);
        CHECK_MESSAGE(
            std::holds_alternative<AttemptRefused>(output), it.attempt, " ", it.version, " ", it.firstPosition);
        CHECK(dropReason(validator.accept(token(1, 1))) == TokenDrop::NotExpected);
    }
}
