// Tests of the choice of the daemon from which another one learns what the platform says.

#include <doctest/doctest.h>
#include <spindlecore/FactSources.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;

namespace {

const Instant start { 1h };
const DataCentreId north { "north" };
const DataCentreId south { "south" };

std::vector<PeerHost> hosts()
{
    return { { HostId("n1"), north, "10.1.0.1:7340", 100 }, { HostId("n2"), north, "10.1.0.2:7340", 700 },
        { HostId("n3"), north, "10.1.0.3:7340", 100 }, { HostId("s1"), south, "10.2.0.1:7340", 700 } };
}

std::string nameOf(const PeerHost* source)
{
    return source ? source->host.value() : "itself";
}

} // namespace

TEST_CASE("the host with the fastest link of the data centre reads, and the others ask it")
{
    for (const auto& it : hosts()) {
        FactSources sources(it.host, it.dataCentre);
        sources.adopt(hosts());
        CAPTURE(it.host.value());
        CHECK(nameOf(sources.current(start)) == (it.dataCentre == north && it.host != HostId("n2") ? "n2" : "itself"));
    }
}

TEST_CASE("a daemon that knows no other one reads for itself")
{
    FactSources sources(HostId("n1"), north);
    CHECK(nameOf(sources.current(start)) == "itself");
}

// Between the loss of a source and the answer of the next one, a change must still be seen within two seconds.
TEST_CASE("after its source failed, a daemon asks the next host, and reads for itself when none answers in time")
{
    FactSources sources(HostId("n3"), north);
    sources.adopt(hosts());
    sources.failed(start, HostId("n2"));
    CHECK(nameOf(sources.current(start)) == "n1");
    CHECK(sources.searchTimeLeft(start) == FactSources::shortestSearch);
    sources.failed(start + FactSources::shortestSearch, HostId("n1"));
    CHECK(nameOf(sources.current(start + FactSources::shortestSearch)) == "itself");
    auto later = start + FactSources::ownReadingTime;
    CHECK(nameOf(sources.current(later)) == "itself");
    later += FactSources::shortestSearch;

    SUBCASE("the first host is asked again after its pause")
    {
        CHECK(nameOf(sources.current(start + FactSources::shortestPause)) == "n2");
    }
    SUBCASE("a host that fails again and again is left alone for longer each time, up to a bound")
    {
        auto now = later;
        for (int i = 0; i < 10; ++i)
            sources.failed(now, HostId("n2"));
        CHECK(nameOf(sources.current(now + FactSources::longestPause - 1ms)) == "n1");
        CHECK(nameOf(sources.current(now + FactSources::longestPause)) == "n2");
    }
    SUBCASE("an answer ends the row of failures")
    {
        sources.answered(HostId("n2"));
        CHECK(!sources.searchTimeLeft(later));
        CHECK(nameOf(sources.current(later)) == "n2");
    }
}

// Two daemons that asked each other served from facts that nobody read.
TEST_CASE("a host that does not read the platform itself is passed over at once")
{
    FactSources sources(HostId("n3"), north);
    sources.adopt(hosts());
    sources.declined(start, HostId("n2"));
    CHECK(nameOf(sources.current(start)) == "n1");
    sources.declined(start, HostId("n1"));
    CHECK(nameOf(sources.current(start)) == "itself");
    CHECK(nameOf(sources.current(start + FactSources::shortestPause)) == "n2");
}

// Where the platform turns a third of the hosts away, a daemon asked one of them after the other, for 0.35 s each, and
// followed a change too late.
TEST_CASE("a daemon that is declined by one host after the other reads for itself after a bounded time")
{
    std::vector<PeerHost> many;
    for (int i = 10; i < 40; ++i)
        many.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    FactSources sources(HostId("n39"), north);
    sources.adopt(many);
    auto now = start;
    const auto* source = sources.current(now);
    while (source && now < start + 10s) {
        now += 350ms;
        sources.declined(now, source->host);
        source = sources.current(now);
    }
    CHECK(now - start <= 1s);
    SUBCASE("then it asks those that have not declined")
    {
        CHECK(nameOf(sources.current(now + FactSources::ownReadingTime)) == "n12");
    }
    SUBCASE("an answer starts the time anew")
    {
        sources.answered(HostId("n12"));
        auto later = now + FactSources::ownReadingTime;
        sources.declined(later, HostId("n12"));
        CHECK(nameOf(sources.current(later)) == "n13");
    }
}

// The platform's store may turn some hosts away while it serves others.
TEST_CASE("a daemon that the platform turns away asks its data centre, then the others, and then tries for itself")
{
    FactSources sources(HostId("n2"), north);
    sources.adopt(hosts());
    sources.ownRead(start, FactKind::Endpoints, false);
    CHECK(nameOf(sources.current(start)) == "n1");
    sources.failed(start, HostId("n1"));
    CHECK(nameOf(sources.current(start)) == "n3");
    sources.failed(start, HostId("n3"));
    CHECK(nameOf(sources.current(start)) == "s1");
    sources.failed(start, HostId("s1"));
    CHECK(nameOf(sources.current(start)) == "itself");

    SUBCASE("it tries again after a pause, though other daemons answer")
    {
        sources.answered(HostId("n1"));
        CHECK(nameOf(sources.current(start + FactSources::ownPause)) == "itself");
    }
    SUBCASE("it reads again once the platform answers")
    {
        sources.ownRead(start + 1ms, FactKind::Endpoints, true);
        CHECK(nameOf(sources.current(start + 1ms)) == "itself");
    }
    // The answered configuration hid that the list of endpoints was refused, and the daemon went on as a reader.
    SUBCASE("an answer of the other kind does not end it")
    {
        sources.answered(HostId("n1"));
        sources.ownRead(start + 1ms, FactKind::Configuration, true);
        CHECK(sources.isTurnedAway(start + 1ms));
        CHECK(nameOf(sources.current(start + FactSources::shortestPause)) == "itself");
    }
}

// During an outage of the store 119 daemons sent eight calls a second each.
TEST_CASE("the first hosts of a data centre try a failing platform again soon, and the others rarely")
{
    std::vector<PeerHost> many;
    for (int i = 10; i < 70; ++i)
        many.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    double tries = 0;
    for (const auto& it : many) {
        FactSources sources(it.host, north);
        CHECK(sources.retryPause() == FactSources::shortestRetry);
        sources.adopt(many);
        auto pause = sources.retryPause();
        CHECK(pause >= FactSources::shortestRetry);
        CHECK(pause <= FactSources::longestRetry);
        bool isSoon = it.host <= HostId("n11");
        CHECK(isSoon == (pause == FactSources::shortestRetry));
        tries += std::chrono::duration<double>(1s) / pause;
    }
    CHECK_MESSAGE(tries < 60, "less than one each second and daemon");
}

TEST_CASE("a host that declines names the one that it asks, which is asked next")
{
    std::vector<PeerHost> many;
    for (int i = 10; i < 40; ++i)
        many.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    FactSources sources(HostId("n39"), north);
    sources.adopt(many);
    sources.declined(start, HostId("n10"), HostId("n25"));
    CHECK(nameOf(sources.current(start)) == "n25");
    SUBCASE("it declines as well")
    {
        sources.declined(start, HostId("n25"), HostId("n10"));
        CHECK(nameOf(sources.current(start)) == "n11");
    }
    SUBCASE("it fails")
    {
        sources.failed(start, HostId("n25"));
        CHECK(nameOf(sources.current(start)) == "n11");
    }
    SUBCASE("it is not in the list")
    {
        sources.declined(start, HostId("n25"), HostId("n99"));
        CHECK(nameOf(sources.current(start)) == "n11");
    }
    SUBCASE("it is the asking daemon itself")
    {
        sources.declined(start, HostId("n25"), HostId("n39"));
        CHECK(nameOf(sources.current(start)) == "n11");
    }
}

namespace {

// Daemons of one data centre whose first host stops answering without a word: each notices it when its own question
// runs out of time.
struct FrozenReader {
    static constexpr int daemons = 60;
    static constexpr Duration askTimeout = 900ms;
    static constexpr Duration step = 10ms;

    struct Daemon {
        FactSources sources;
        Instant busyUntil {}; // A question is under way until then.
        std::string asked;
        bool isReading = false;
    };

    explicit FrozenReader(Duration searchTime)
    {
        std::vector<PeerHost> all;
        all.reserve(daemons);
        for (int i = 0; i < daemons; ++i)
            all.push_back({ HostId("n" + std::to_string(100 + i)), north, "10.1.0.1:7340", 100 });
        for (int i = 0; i < daemons; ++i) {
            list.push_back({ FactSources(all[static_cast<size_t>(i)].host, north, searchTime), {}, {} });
            list.back().sources.adopt(all);
            // The questions in flight were sent over the last half second.
            list.back().busyUntil = start + askTimeout - 8ms * i;
            list.back().asked = "n100";
        }
    }

    // Runs until the time is over; returns the longest time that a daemon went without facts.
    Duration run(Duration time)
    {
        Duration longest {};
        std::vector<Instant> lastFacts(list.size(), start);
        for (auto now = start; now < start + time; now += step) {
            for (size_t i = 1; i < list.size(); ++i) {
                auto& it = list[i];
                if (now >= it.busyUntil)
                    proceed(now, it);
                readerSteps += it.isReading;
                if (it.isReading || (it.asked != "n100" && isReading(it.asked)))
                    lastFacts[i] = now;
                longest = std::max(longest, now - lastFacts[i]);
            }
        }
        return longest;
    }

    bool isReading(const std::string& name) const
    {
        return name != "n100" && list[std::stoul(name.substr(1)) - 100].isReading;
    }

    void proceed(Instant now, Daemon& it)
    {
        if (!it.asked.empty()) {
            HostId asked(it.asked);
            if (it.asked == "n100")
                it.sources.failed(now, asked);
            else if (isReading(it.asked))
                it.sources.answered(asked);
            else
                it.sources.declined(now, asked, HostId(list[std::stoul(it.asked.substr(1)) - 100].asked));
        }
        const auto* next = it.sources.current(now);
        it.isReading = !next;
        it.asked = next ? next->host.value() : "";
        // A host that does not read waits a moment for it before it declines.
        Duration takes = !next ? 100ms : it.asked == "n100" ? askTimeout : isReading(it.asked) ? 500ms : 150ms;
        it.busyUntil = now + takes;
    }

    std::vector<Daemon> list;
    int readerSteps = 0; // Sum over the steps of the daemons that read the platform.
};

} // namespace

// The reader of 60 daemons froze, and each of them read the platform for two seconds: most of the calls of a day.
TEST_CASE("when the reader of many daemons freezes, few others read the platform and none goes long without facts")
{
    constexpr Duration played = 3s;
    constexpr Duration changeBound = 4s;
    FrozenReader loss(changeBound - 1700ms);
    auto longest = loss.run(played);
    CHECK(longest < changeBound - 1s);
    double readers = static_cast<double>(loss.readerSteps) * (FrozenReader::step / 1ms) / (played / 1ms);
    CAPTURE(readers);
    CHECK(readers < FrozenReader::daemons / 10.0);
}
