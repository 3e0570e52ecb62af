// Tests of the planner's lease: mutual exclusion, takeover after a failure, lost answers and outages of the store.

#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <spindlecore/PlannerLease.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const Instant start { 1h };

PlannerLeaseConfig configOf(const std::string& holder, Duration firstClaimDelay = 0ms)
{
    PlannerLeaseConfig config;
    config.holder = holder;
    config.firstClaimDelay = firstClaimDelay;
    return config;
}

// The lease row in the platform's table service.
struct Row {
    uint64_t version = 0;
    std::string holder;
};

// Outcome of the calls that one daemon makes to the store.
enum class CallOutcome : uint8_t { Succeeds, Unreachable, AnswerLost };

// Carries out the action that is due, if any, and reports its result.
void step(
    PlannerLease& lease, const std::string& holder, Row& row, Instant now, CallOutcome outcome = CallOutcome::Succeeds)
{
    auto action = lease.next(now);
    if (std::holds_alternative<PlannerLease::Read>(action)) {
        if (outcome == CallOutcome::Succeeds)
            lease.wasRead(now, row.version, row.holder);
        else
            lease.readFailed(now);
        return;
    }
    const auto* write = std::get_if<PlannerLease::Write>(&action);
    if (!write)
        return;
    bool takesEffect = outcome != CallOutcome::Unreachable && write->expectedVersion == row.version;
    if (takesEffect)
        row = { row.version + 1, holder };
    if (outcome != CallOutcome::Succeeds)
        lease.writeFailed(now);
    else if (takesEffect)
        lease.wasWritten(now, row.version);
    else
        lease.wasRejected(now);
}

} // namespace

TEST_CASE("the preferred daemon claims an absent row and keeps the lease")
{
    Row row;
    PlannerLease first(configOf("a"));
    PlannerLease second(configOf("b", 1500ms));
    for (auto now = start; now < start + 20s; now += 100ms) {
        step(first, "a", row, now);
        step(second, "b", row, now);
        if (now > start + 200ms)
            CHECK(first.isHolder(now));
        CHECK_FALSE(second.isHolder(now));
    }
    CHECK(first.terms() == 1);
}

TEST_CASE("a failed holder is replaced within five seconds, and not before its lease has expired")
{
    Row row;
    PlannerLease first(configOf("a"));
    PlannerLease second(configOf("b", 1500ms));
    auto stoppedAt = start + 10s;
    for (auto now = start; now < stoppedAt; now += 100ms) {
        step(first, "a", row, now);
        step(second, "b", row, now);
    }
    std::optional<Instant> gained;
    for (auto now = stoppedAt; now < stoppedAt + 20s && !gained; now += 100ms) {
        step(second, "b", row, now);
        if (second.isHolder(now))
            gained = now;
    }
    REQUIRE(gained);
    CHECK_FALSE(first.isHolder(*gained));
    CHECK(*gained - stoppedAt <= 5s);
}

TEST_CASE("a holder that shuts down releases the lease, and another daemon claims it at its next read")
{
    Row row;
    PlannerLease first(configOf("a"));
    PlannerLease second(configOf("b", 1500ms));
    for (auto now = start; now < start + 5s; now += 100ms) {
        step(first, "a", row, now);
        step(second, "b", row, now);
    }
    first.resign();
    auto action = first.next(start + 5s);
    REQUIRE(std::holds_alternative<PlannerLease::Release>(action));
    REQUIRE(std::get<PlannerLease::Release>(action).expectedVersion == row.version);
    row = { row.version + 1, "" };
    CHECK_FALSE(first.isHolder(start + 5s));
    CHECK(std::holds_alternative<std::monostate>(first.next(start + 6s)));
    auto latest = start + 5s + configOf("b").watchEvery + 200ms;
    for (auto now = start + 5s; now < latest; now += 100ms)
        step(second, "b", row, now);
    CHECK(second.isHolder(latest - 100ms));
}

TEST_CASE("a daemon whose claim took effect without an answer acquires the lease after reading the row")
{
    Row row;
    PlannerLease lease(configOf("a"));
    step(lease, "a", row, start);
    step(lease, "a", row, start, CallOutcome::AnswerLost);
    CHECK(row.holder == "a");
    CHECK_FALSE(lease.isHolder(start));
    for (auto now = start; now < start + 2s; now += 100ms)
        step(lease, "a", row, now);
    CHECK(lease.isHolder(start + 2s));
}

TEST_CASE("the lease of a holder without access to the store expires before another daemon may claim it")
{
    Row row;
    PlannerLease lease(configOf("a"));
    for (auto now = start; now < start + 2s; now += 100ms)
        step(lease, "a", row, now);
    REQUIRE(lease.isHolder(start + 2s));
    for (auto now = start + 2s; now < start + 10s; now += 100ms)
        step(lease, "a", row, now, CallOutcome::Unreachable);
    CHECK_FALSE(lease.isHolder(start + 2s + configOf("a").validFor));
    CHECK(configOf("a").validFor < configOf("a").takeoverAfter);
}

TEST_CASE("a running holder regains the lease after an outage of the store, and no other daemon takes it")
{
    Row row;
    PlannerLease first(configOf("a"));
    PlannerLease second(configOf("b", 1500ms));
    for (auto now = start; now < start + 30s; now += 100ms) {
        auto outcome = now >= start + 8s && now < start + 16s ? CallOutcome::Unreachable : CallOutcome::Succeeds;
        step(first, "a", row, now, outcome);
        step(second, "b", row, now, outcome);
        CHECK_FALSE(second.isHolder(now));
    }
    CHECK(first.isHolder(start + 30s - 100ms));
}

// Guards against a late takeover: after an outage during which the planner failed, gaps stayed open for three seconds.
TEST_CASE("a holder that fails during an outage of the store is replaced within 1.5 s after the outage")
{
    Row row;
    PlannerLease first(configOf("a"));
    PlannerLease second(configOf("b", 1500ms));
    auto returned = start + 16s;
    std::optional<Instant> gained;
    for (auto now = start; now < start + 30s && !gained; now += 50ms) {
        auto outcome = now >= start + 8s && now < returned ? CallOutcome::Unreachable : CallOutcome::Succeeds;
        if (now < start + 10s)
            step(first, "a", row, now, outcome);
        step(second, "b", row, now, outcome);
        if (second.isHolder(now))
            gained = now;
    }
    REQUIRE(gained);
    CHECK(*gained >= returned);
    CHECK(*gained - returned <= 1500ms);
}

// The calls of each daemon succeed, fail or lose their answers at random.
TEST_CASE("two daemons never hold the lease at the same time under random call failures")
{
    std::mt19937 random(11);
    int held = 0;
    for (int round = 0; round < 200; ++round) {
        CAPTURE(round);
        Row row;
        PlannerLease first(configOf("a"));
        PlannerLease second(configOf("b", 500ms));
        CallOutcome outcomes[2] = { CallOutcome::Succeeds, CallOutcome::Succeeds };
        for (auto now = start; now < start + 60s; now += 50ms) {
            if (random() % 40 == 0)
                outcomes[random() % 2] = static_cast<CallOutcome>(random() % 3);
            step(first, "a", row, now, outcomes[0]);
            step(second, "b", row, now, outcomes[1]);
            CHECK_FALSE((first.isHolder(now) && second.isHolder(now)));
            held += first.isHolder(now) || second.isHolder(now);
        }
    }
    CHECK(held > 1000);
}

namespace {

// A store that can be restored from an older copy.
struct Store {
    Row row;
    uint64_t era = 1;
};

// One daemon with its lease.
class Daemon {
public:
    explicit Daemon(std::string name)
        : m_name(std::move(name))
        , m_lease(configOf(m_name))
    {
    }

    // Carries out the action that is due, if any, and reports the era of the store before the result, as the planner
    // does.
    void step(Store& store, Instant now, CallOutcome outcome)
    {
        auto action = m_lease.next(now);
        if (std::holds_alternative<PlannerLease::Read>(action)) {
            if (outcome != CallOutcome::Succeeds)
                return m_lease.readFailed(now);
            m_lease.updateEra(now, store.era);
            return m_lease.wasRead(now, store.row.version, store.row.holder);
        }
        const auto* write = std::get_if<PlannerLease::Write>(&action);
        if (!write)
            return;
        bool applies = outcome != CallOutcome::Unreachable && write->expectedVersion == store.row.version;
        if (applies)
            store.row = { store.row.version + 1, m_name };
        if (outcome != CallOutcome::Succeeds)
            return m_lease.writeFailed(now);
        if (m_lease.updateEra(now, store.era))
            return;
        if (applies)
            m_lease.wasWritten(now, store.row.version);
        else
            m_lease.wasRejected(now);
    }

    bool isHolder(Instant now) const { return m_lease.isHolder(now); }

private:
    std::string m_name;
    PlannerLease m_lease;
};

} // namespace

// Guards against two holders after a restore: the store assigns row versions again, so a holder's renewal found the
// expected version although another daemon had written the row since the restore.
TEST_CASE("two daemons never hold the lease at the same time when the store is restored from older copies")
{
    int terms = 0;
    for (uint32_t seed = 0; seed < 400; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        Store store;
        std::vector<Row> copies { store.row };
        Daemon daemons[] { Daemon("a"), Daemon("b"), Daemon("c") };
        CallOutcome outcomes[] { CallOutcome::Succeeds, CallOutcome::Succeeds, CallOutcome::Succeeds };
        auto now = start;
        for (int cycle = 0; cycle < 400; ++cycle, now += 100ms) {
            if (random() % 60 == 0)
                outcomes[random() % 3] = static_cast<CallOutcome>(random() % 3);
            if (random() % 40 == 0) {
                // Restore a copy that is up to four seconds old.
                store.row = copies[copies.size() - 1 - random() % std::min<size_t>(copies.size(), 40)];
                ++store.era;
            }
            auto first = random() % 3;
            for (size_t i = 0; i < 3; ++i) {
                auto n = (first + i) % 3;
                daemons[n].step(store, now, outcomes[n]);
            }
            copies.push_back(store.row);
            auto holders = std::count_if(
                std::begin(daemons), std::end(daemons), [&](const auto& it) { return it.isHolder(now); });
            REQUIRE(holders <= 1);
            terms += static_cast<int>(holders);
        }
    }
    // The lease is held in a good part of the cycles, though the store is restored about every four seconds.
    MESSAGE("cycles with a holder: " << terms << " of 160000");
    CHECK(terms > 16000);
}

TEST_CASE("only a change between two stated eras invalidates the lease")
{
    PlannerLease lease(configOf("a"));
    CHECK_FALSE(lease.updateEra(start, 0));
    CHECK_FALSE(lease.updateEra(start, 3));
    CHECK_FALSE(lease.updateEra(start, 0));
    CHECK_FALSE(lease.updateEra(start, 3));
    CHECK(lease.updateEra(start, 4));
}
