// Tests of the selection of a daemon's source of facts: another daemon or the platform.

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

TEST_CASE("the host with the fastest link in a data centre reads the platform and is the source of the others")
{
    for (const auto& it : hosts()) {
        FactSources sources(it.host, it.dataCentre);
        sources.adopt(hosts());
        CAPTURE(it.host.value());
        CHECK(nameOf(sources.current(start)) == (it.dataCentre == north && it.host != HostId("n2") ? "n2" : "itself"));
    }
}

TEST_CASE("a daemon without a list of hosts reads the platform itself")
{
    FactSources sources(HostId("n1"), north);
    CHECK(nameOf(sources.current(start)) == "itself");
}

// While a daemon replaces a failed source, it must still see a change within two seconds.
TEST_CASE("a daemon whose source fails uses the next host, and reads the platform itself when none responds in time")
{
    FactSources sources(HostId("n3"), north);
    sources.adopt(hosts());
    sources.failed(start, HostId("n2"));
    CHECK(nameOf(sources.current(start)) == "n1");
    CHECK(sources.searchTimeLeft(start) == FactSources::minSearchTime);
    sources.failed(start + FactSources::minSearchTime, HostId("n1"));
    CHECK(nameOf(sources.current(start + FactSources::minSearchTime)) == "itself");
    auto later = start + FactSources::directReadTime;
    CHECK(nameOf(sources.current(later)) == "itself");
    later += FactSources::minSearchTime;

    SUBCASE("the first host is used again after its pause")
    {
        CHECK(nameOf(sources.current(start + FactSources::minPause)) == "n2");
    }
    SUBCASE("the pause of a host grows with consecutive failures up to a bound")
    {
        auto now = later;
        for (int i = 0; i < 10; ++i)
            sources.failed(now, HostId("n2"));
        CHECK(nameOf(sources.current(now + FactSources::maxPause - 1ms)) == "n1");
        CHECK(nameOf(sources.current(now + FactSources::maxPause)) == "n2");
    }
    SUBCASE("a response ends the pause and the search")
    {
        sources.answered(HostId("n2"));
        CHECK(!sources.searchTimeLeft(later));
        CHECK(nameOf(sources.current(later)) == "n2");
    }
}

// Guards against two daemons that use each other as source and serve outdated facts, since neither reads the platform.
TEST_CASE("a host that declines because it is not a reader is skipped at once")
{
    FactSources sources(HostId("n3"), north);
    sources.adopt(hosts());
    sources.declined(start, HostId("n2"));
    CHECK(nameOf(sources.current(start)) == "n1");
    sources.declined(start, HostId("n1"));
    CHECK(nameOf(sources.current(start)) == "itself");
    CHECK(nameOf(sources.current(start + FactSources::minPause)) == "n2");
}

// Guards against late changes when the platform fails for a third of the hosts: a daemon tried these hosts one after
// the other, at 0.35 s each.
TEST_CASE("a daemon reads the platform itself after a bounded time when all hosts that it tries decline")
{
    std::vector<PeerHost> manyHosts;
    for (int i = 10; i < 40; ++i)
        manyHosts.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    FactSources sources(HostId("n39"), north);
    sources.adopt(manyHosts);
    auto now = start;
    const auto* source = sources.current(now);
    while (source && now < start + 10s) {
        now += 350ms;
        sources.declined(now, source->host);
        source = sources.current(now);
    }
    CHECK(now - start <= 1s);
    SUBCASE("afterwards it tries the hosts that have not declined")
    {
        CHECK(nameOf(sources.current(now + FactSources::directReadTime)) == "n12");
    }
    SUBCASE("a response restarts the search time")
    {
        sources.answered(HostId("n12"));
        auto later = now + FactSources::directReadTime;
        sources.declined(later, HostId("n12"));
        CHECK(nameOf(sources.current(later)) == "n13");
    }
}

// The platform's store may fail for some hosts while it serves others.
TEST_CASE("a daemon whose platform reads fail uses its data centre, then other data centres, then the platform again")
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

    SUBCASE("it reads the platform again after a pause even if other daemons respond")
    {
        sources.answered(HostId("n1"));
        CHECK(nameOf(sources.current(start + FactSources::platformRetryPause)) == "itself");
    }
    SUBCASE("it reads the platform as soon as a read succeeds")
    {
        sources.ownRead(start + 1ms, FactKind::Endpoints, true);
        CHECK(nameOf(sources.current(start + 1ms)) == "itself");
    }
    // Guards against a daemon that stays a reader although its reads of the list of endpoints fail, because those of
    // the configuration succeed.
    SUBCASE("a successful read of the other kind does not clear the failure")
    {
        sources.answered(HostId("n1"));
        sources.ownRead(start + 1ms, FactKind::Configuration, true);
        CHECK(sources.isPlatformUnavailable(start + 1ms));
        CHECK(nameOf(sources.current(start + FactSources::minPause)) == "itself");
    }
}

// Guards against overload of the store during its outage: 119 daemons sent eight calls per second each.
TEST_CASE("the first hosts of a data centre retry a failing platform soon and the others rarely")
{
    std::vector<PeerHost> manyHosts;
    for (int i = 10; i < 70; ++i)
        manyHosts.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    double totalRetriesPerSecond = 0;
    for (const auto& it : manyHosts) {
        FactSources sources(it.host, north);
        CHECK(sources.retryPause() == FactSources::minRetryPause);
        sources.adopt(manyHosts);
        auto pause = sources.retryPause();
        CHECK(pause >= FactSources::minRetryPause);
        CHECK(pause <= FactSources::maxRetryPause);
        bool isAmongFirst = it.host <= HostId("n11");
        CHECK(isAmongFirst == (pause == FactSources::minRetryPause));
        totalRetriesPerSecond += std::chrono::duration<double>(1s) / pause;
    }
    CHECK_MESSAGE(totalRetriesPerSecond < 60, "less than one retry per second and daemon");
}

TEST_CASE("the source that a declining host names is used next")
{
    std::vector<PeerHost> manyHosts;
    for (int i = 10; i < 40; ++i)
        manyHosts.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    FactSources sources(HostId("n39"), north);
    sources.adopt(manyHosts);
    sources.declined(start, HostId("n10"), HostId("n25"));
    CHECK(nameOf(sources.current(start)) == "n25");
    SUBCASE("the named source declines as well")
    {
        sources.declined(start, HostId("n25"), HostId("n10"));
        CHECK(nameOf(sources.current(start)) == "n11");
    }
    SUBCASE("the named source fails")
    {
        sources.failed(start, HostId("n25"));
        CHECK(nameOf(sources.current(start)) == "n11");
    }
    SUBCASE("the named source is not in the list")
    {
        sources.declined(start, HostId("n25"), HostId("n99"));
        CHECK(nameOf(sources.current(start)) == "n11");
    }
    SUBCASE("the named source is the daemon itself")
    {
        sources.declined(start, HostId("n25"), HostId("n39"));
        CHECK(nameOf(sources.current(start)) == "n11");
    }
}

namespace {

// Simulates the daemons of one data centre whose reader, the first host, freezes. Each daemon detects it when its own
// request times out.
struct FrozenReaderSimulation {
    static constexpr int daemons = 60;
    static constexpr Duration requestTimeout = 900ms;
    static constexpr Duration step = 10ms;

    struct Daemon {
        FactSources sources;
        Instant busyUntil {}; // End of the current request or read.
        std::string requestedHost;
        bool isReading = false;
    };

    explicit FrozenReaderSimulation(Duration searchTime)
    {
        std::vector<PeerHost> all;
        all.reserve(daemons);
        for (int i = 0; i < daemons; ++i)
            all.push_back({ HostId("n" + std::to_string(100 + i)), north, "10.1.0.1:7340", 100 });
        for (int i = 0; i < daemons; ++i) {
            list.push_back({ FactSources(all[static_cast<size_t>(i)].host, north, searchTime), {}, {} });
            list.back().sources.adopt(all);
            // The requests in flight were sent over the last half second.
            list.back().busyUntil = start + requestTimeout - 8ms * i;
            list.back().requestedHost = "n100";
        }
    }

    // Simulates this time. Returns the longest time that any daemon was without facts.
    Duration run(Duration time)
    {
        Duration longest {};
        std::vector<Instant> lastFacts(list.size(), start);
        for (auto now = start; now < start + time; now += step) {
            for (size_t i = 1; i < list.size(); ++i) {
                auto& it = list[i];
                if (now >= it.busyUntil)
                    completeRequest(now, it);
                readerSteps += it.isReading;
                if (it.isReading || (it.requestedHost != "n100" && isReading(it.requestedHost)))
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

    void completeRequest(Instant now, Daemon& it)
    {
        if (!it.requestedHost.empty()) {
            HostId requestedHost(it.requestedHost);
            if (it.requestedHost == "n100")
                it.sources.failed(now, requestedHost);
            else if (isReading(it.requestedHost))
                it.sources.answered(requestedHost);
            else
                it.sources.declined(
                    now, requestedHost, HostId(list[std::stoul(it.requestedHost.substr(1)) - 100].requestedHost));
        }
        const auto* next = it.sources.current(now);
        it.isReading = !next;
        it.requestedHost = next ? next->host.value() : "";
        // A host that is not a reader declines after a short wait, since it may become one.
        Duration takes = !next            ? 100ms
            : it.requestedHost == "n100"  ? requestTimeout
            : isReading(it.requestedHost) ? 500ms
                                          : 150ms;
        it.busyUntil = now + takes;
    }

    std::vector<Daemon> list;
    int readerSteps = 0; // Number of readers, summed over the steps.
};

} // namespace

// Guards against a burst of calls after the reader of 60 daemons froze: each of them read the platform for two seconds,
// which made up most of the calls of a day.
TEST_CASE("after the reader of many daemons freezes, few of them read the platform and none is long without facts")
{
    constexpr Duration simulatedTime = 3s;
    constexpr Duration changeBound = 4s;
    FrozenReaderSimulation simulation(changeBound - 1700ms);
    auto longest = simulation.run(simulatedTime);
    CHECK(longest < changeBound - 1s);
    double readers
        = static_cast<double>(simulation.readerSteps) * (FrozenReaderSimulation::step / 1ms) / (simulatedTime / 1ms);
    CAPTURE(readers);
    CHECK(readers < FrozenReaderSimulation::daemons / 10.0);
}
