// Tests of retries: the retry budget, circuit breakers and the replacement of failed stages.

#include "support/CoreDriver.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <spindlecore/internal/CircuitBreaker.h>
#include <spindlecore/internal/RetryBudget.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::CoreDriver;
using test::firstOf;

TEST_CASE("retries are bounded when every attempt fails")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    constexpr int requests = 1000;
    int attempts = 0;
    for (int i = 0; i < requests; ++i) {
        auto id = "r" + std::to_string(i);
        auto decisions = driver.arrive(id);
        for (uint32_t attempt = 1; firstOf<Dispatch>(decisions); ++attempt) {
            ++attempts;
            decisions = driver.fail(id, attempt, EndpointId(), 0);
        }
        driver.advance(20ms);
    }
    auto status = driver.status();
    CHECK(attempts > 0);
    CHECK(status.running == 0);
    auto first = status.dispatched - status.repeated;
    // 20 % of the first attempts, and the reserve of 10 in each of the two ten-second windows that the requests span.
    CHECK(status.repeated <= first / 5 + 10 + 10);
}

// The platform counts retries in every ten-second window. A token bucket that had filled up
// earlier exceeded the limit of a window.
TEST_CASE("the retries in any window are bounded by the reserve plus a share of its first attempts")
{
    std::mt19937_64 random { 11 };
    internal::RetryBudget budget(0.2, 4);
    std::vector<Instant> firstAttempts;
    std::vector<Instant> retries;
    Instant now { 1h };
    for (int i = 0; i < 20000; ++i) {
        now += std::chrono::milliseconds(random() % (i % 4000 < 2000 ? 20 : 400));
        if (random() % 3 == 0) {
            budget.recordFirstAttempt(now);
            firstAttempts.push_back(now);
        } else if (budget.tryConsume(now))
            retries.push_back(now);
    }
    auto countIn = [](const std::vector<Instant>& times, Instant from, Instant to) {
        return std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from);
    };
    CHECK(retries.size() > 1000);
    for (const auto& begin : retries) {
        auto end = begin + internal::RetryBudget::window;
        auto used = countIn(retries, begin, end);
        auto allowed = 4 + 0.2 * static_cast<double>(countIn(firstAttempts, begin, end));
        // The platform takes the first attempts of the preceding window into account as well.
        auto before
            = 4 + 0.2 * static_cast<double>(countIn(firstAttempts, begin - internal::RetryBudget::window, begin));
        REQUIRE(static_cast<double>(used) <= std::max(allowed, before) + 1);
    }
}

TEST_CASE("the retry budget grows with first attempts, shrinks with retries and recovers after a window")
{
    internal::RetryBudget budget(0.5, 2);
    Instant now { 1h };
    CHECK(budget.tryConsume(now));
    CHECK(budget.tryConsume(now));
    CHECK_FALSE(budget.tryConsume(now));
    budget.recordFirstAttempt(now);
    CHECK_FALSE(budget.tryConsume(now));
    budget.recordFirstAttempt(now);
    CHECK(budget.tryConsume(now));
    CHECK_FALSE(budget.tryConsume(now + 9s));
    now += 12s;
    CHECK(budget.tryConsume(now));
    CHECK(budget.tryConsume(now));
    CHECK_FALSE(budget.tryConsume(now));
    budget.setReserve(3);
    CHECK(budget.tryConsume(now));
    CHECK_FALSE(budget.tryConsume(now));
}

TEST_CASE("a circuit breaker opens after failures, allows one probe at a time and closes after three successes")
{
    internal::CircuitBreaker breaker;
    Instant now { 1h };
    breaker.recordFailure(now, 1);
    CHECK(breaker.allowsRequest(now));
    breaker.recordFailure(now, 1);
    CHECK_FALSE(breaker.allowsRequest(now));
    now += 1100ms;
    REQUIRE(breaker.allowsRequest(now));
    breaker.recordAttempt(now);
    CHECK_FALSE(breaker.allowsRequest(now));
    breaker.recordFailure(now, 1);
    now += 1100ms;
    CHECK_FALSE(breaker.allowsRequest(now)); // The time until the next probe has doubled.
    now += 1100ms;
    for (int i = 0; i < 3; ++i) {
        REQUIRE(breaker.allowsRequest(now));
        CHECK_FALSE(breaker.isClosed());
        breaker.recordAttempt(now);
        breaker.recordSuccess();
    }
    CHECK(breaker.isClosed());
}

TEST_CASE("a circuit breaker allows another probe when the outcome of the last one is missing")
{
    internal::CircuitBreaker breaker;
    Instant now { 1h };
    breaker.recordFailure(now, 2);
    now += 2s;
    breaker.recordAttempt(now);
    CHECK_FALSE(breaker.allowsRequest(now + 5s));
    CHECK(breaker.allowsRequest(now + 11s));
}

TEST_CASE("an endpoint that fails repeatedly gets no first attempts")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    EndpointId broken("middle-a");
    for (int i = 0; i < 10; ++i) {
        auto id = "r" + std::to_string(i);
        auto decisions = driver.arrive(id);
        const auto* dispatch = firstOf<Dispatch>(decisions);
        REQUIRE(dispatch);
        uint32_t attempt = 1;
        if (test::uses(*dispatch, broken)) {
            decisions = driver.fail(id, 1, broken, 0, FailureKind::ConnectFailed);
            REQUIRE(firstOf<Dispatch>(decisions));
            attempt = 2;
        }
        driver.finish(id, attempt);
    }
    CHECK(driver.status().openBreakers == 1);
    for (int i = 0; i < 10; ++i) {
        auto decisions = driver.arrive("s" + std::to_string(i));
        const auto* dispatch = firstOf<Dispatch>(decisions);
        if (dispatch)
            CHECK_FALSE(test::uses(*dispatch, broken));
    }
}

TEST_CASE("a failed attempt that must not be repeated is not retried")
{
    for (auto kind : { FailureKind::ConnectFailed, FailureKind::StreamBroken, FailureKind::Stalled }) {
        CoreDriver driver;
        driver.adopt(test::sampleTable());
        REQUIRE(firstOf<Dispatch>(driver.arrive("r1", "school", "loans")));
        auto decisions = driver.send(AttemptFailed { RequestId("r1"), 1, EndpointId("catalogue-1"), kind, 0, false });
        REQUIRE(decisions.size() == 1);
        auto expected = kind == FailureKind::ConnectFailed ? ResultCode::EndpointFailed : ResultCode::OutcomeUnknown;
        CHECK(std::get<Abandon>(decisions.front()).code == expected);
        CHECK(driver.status().repeated == 0);
    }
}

TEST_CASE("a retry continues at the reached position, and a failure after the deadline ends the request")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    REQUIRE(firstOf<Dispatch>(driver.arrive("r1", "school", "assistant", 20s)));
    auto second = driver.fail("r1", 1, EndpointId(), 33);
    REQUIRE(firstOf<Dispatch>(second));
    CHECK(firstOf<Dispatch>(second)->firstPosition == 33);
    // A second report of the first attempt's failure is ignored.
    CHECK(driver.fail("r1", 1, EndpointId(), 33).empty());
    driver.advance(21s);
    auto decisions = driver.fail("r1", 2, EndpointId(), 40);
    REQUIRE(firstOf<Abandon>(decisions));
    CHECK(firstOf<Abandon>(decisions)->code == ResultCode::DeadlineExceeded);
}

TEST_CASE("a request has at most four attempts")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    auto decisions = driver.arrive("r1");
    uint32_t attempts = 0;
    while (firstOf<Dispatch>(decisions))
        decisions = driver.fail("r1", ++attempts, EndpointId(), 0);
    CHECK(attempts == 4);
    CHECK(firstOf<Abandon>(decisions)->code == ResultCode::AttemptsExhausted);
}

// Guards against streams that are cut because a silent attempt was ended before another one was certain.
TEST_CASE("a silent attempt runs on, and is counted as before, unless another attempt takes its place")
{
    auto config = test::coreConfig();
    config.retryPercent = 0;
    CoreDriver driver(config);
    driver.adopt(test::sampleTable());
    driver.send(RetryReserveChanged { 1 });
    auto first = driver.arrive("r1");
    auto second = driver.arrive("r2");
    REQUIRE(firstOf<Dispatch>(first));
    REQUIRE(firstOf<Dispatch>(second));
    auto silent = firstOf<Dispatch>(first)->chain.front().endpoint;
    auto moved = driver.send(AttemptStalled { RequestId("r1"), 1, silent, 12 });
    REQUIRE(firstOf<Dispatch>(moved));
    CHECK(firstOf<Dispatch>(moved)->attempt == 2);
    CHECK(firstOf<Dispatch>(moved)->firstPosition == 12);
    CHECK_FALSE(test::uses(*firstOf<Dispatch>(moved), silent));
    auto load = driver.ownLoad();
    auto last = firstOf<Dispatch>(second)->chain.front().endpoint;
    CHECK(driver.send(AttemptStalled { RequestId("r2"), 1, last, 12 }).empty());
    CHECK(driver.ownLoad() == load);
    CHECK(driver.status().abandoned == 0);
    CHECK(driver.status().running == 2);
    driver.finish("r2", 1);
    driver.finish("r1", 2);
    CHECK(driver.status().finished == 2);
    CHECK(driver.ownLoad().empty());
}
