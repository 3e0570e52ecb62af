// Tests of repetitions: the budget, circuit breakers, and the replacement of failed stages.

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

TEST_CASE("a fault that breaks every attempt adds a bounded share of attempts")
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
    // 20 % of the first attempts, the reserve of 10, and the refill of one repetition in two seconds.
    CHECK(status.repeated <= first / 5 + 10 + 10);
}

// The users' platform counts repetitions in any ten seconds: a bucket that had filled up before overdrew a window.
TEST_CASE("in any window the repetitions are bounded by the reserve and the share of the first attempts in it")
{
    std::mt19937_64 random { 11 };
    internal::RetryBudget budget(0.2, 4);
    std::vector<Instant> firsts;
    std::vector<Instant> repetitions;
    Instant now { 1h };
    for (int i = 0; i < 20000; ++i) {
        now += std::chrono::milliseconds(random() % (i % 4000 < 2000 ? 20 : 400));
        if (random() % 3 == 0) {
            budget.earn(now);
            firsts.push_back(now);
        } else if (budget.take(now))
            repetitions.push_back(now);
    }
    auto countIn = [](const std::vector<Instant>& times, Instant from, Instant to) {
        return std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from);
    };
    CHECK(repetitions.size() > 1000);
    for (const auto& first : repetitions) {
        auto end = first + internal::RetryBudget::window;
        auto taken = countIn(repetitions, first, end);
        auto allowed = 4 + 0.2 * static_cast<double>(countIn(firsts, first, end));
        // The platform counts the first attempts of the window before as well.
        auto before = 4 + 0.2 * static_cast<double>(countIn(firsts, first - internal::RetryBudget::window, first));
        REQUIRE(static_cast<double>(taken) <= std::max(allowed, before) + 1);
    }
}

TEST_CASE("the budget earns by first attempts, is spent by repetitions, and is whole again after a window")
{
    internal::RetryBudget budget(0.5, 2);
    Instant now { 1h };
    CHECK(budget.take(now));
    CHECK(budget.take(now));
    CHECK_FALSE(budget.take(now));
    budget.earn(now);
    CHECK_FALSE(budget.take(now));
    budget.earn(now);
    CHECK(budget.take(now));
    CHECK_FALSE(budget.take(now + 9s));
    now += 12s;
    CHECK(budget.take(now));
    CHECK(budget.take(now));
    CHECK_FALSE(budget.take(now));
    budget.setReserve(3);
    CHECK(budget.take(now));
    CHECK_FALSE(budget.take(now));
}

TEST_CASE("a breaker opens after failures, probes once, and closes only after several successes")
{
    internal::CircuitBreaker breaker;
    Instant now { 1h };
    breaker.failed(now, 1);
    CHECK(breaker.mayTry(now));
    breaker.failed(now, 1);
    CHECK_FALSE(breaker.mayTry(now));
    now += 1100ms;
    REQUIRE(breaker.mayTry(now));
    breaker.tried(now);
    CHECK_FALSE(breaker.mayTry(now));
    breaker.failed(now, 1);
    now += 1100ms;
    CHECK_FALSE(breaker.mayTry(now)); // The waiting time has doubled.
    now += 1100ms;
    for (int i = 0; i < 3; ++i) {
        REQUIRE(breaker.mayTry(now));
        CHECK_FALSE(breaker.isClosed());
        breaker.tried(now);
        breaker.succeeded();
    }
    CHECK(breaker.isClosed());
}

TEST_CASE("a probe whose outcome never comes does not keep the breaker open for good")
{
    internal::CircuitBreaker breaker;
    Instant now { 1h };
    breaker.failed(now, 2);
    now += 2s;
    breaker.tried(now);
    CHECK_FALSE(breaker.mayTry(now + 5s));
    CHECK(breaker.mayTry(now + 11s));
}

TEST_CASE("an endpoint that fails again and again gets no first attempts")
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

TEST_CASE("an attempt that must not be repeated is never dispatched again")
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

TEST_CASE("a replacement never moves the position back, and a failure after the deadline ends the request")
{
    CoreDriver driver;
    driver.adopt(test::sampleTable());
    REQUIRE(firstOf<Dispatch>(driver.arrive("r1", "school", "assistant", 20s)));
    auto second = driver.fail("r1", 1, EndpointId(), 33);
    REQUIRE(firstOf<Dispatch>(second));
    CHECK(firstOf<Dispatch>(second)->firstPosition == 33);
    // The failure of the first attempt is reported once more, late.
    CHECK(driver.fail("r1", 1, EndpointId(), 33).empty());
    driver.advance(21s);
    auto decisions = driver.fail("r1", 2, EndpointId(), 40);
    REQUIRE(firstOf<Abandon>(decisions));
    CHECK(firstOf<Abandon>(decisions)->code == ResultCode::DeadlineExceeded);
}

TEST_CASE("the number of attempts of one request is bounded")
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
