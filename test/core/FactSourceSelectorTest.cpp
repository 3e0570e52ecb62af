// Tests of the selection of a daemon's source of facts: another daemon or the platform.

#include <doctest/doctest.h>
#include <spindlecore/FactSourceSelector.h>

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
        FactSourceSelector selector(it.host, it.dataCentre);
        selector.setHosts(hosts());
        CAPTURE(it.host.value());
        CHECK(nameOf(selector.currentSource(start))
            == (it.dataCentre == north && it.host != HostId("n2") ? "n2" : "itself"));
    }
}

TEST_CASE("a daemon without a list of hosts reads the platform itself")
{
    FactSourceSelector selector(HostId("n1"), north);
    CHECK(nameOf(selector.currentSource(start)) == "itself");
}

// While a daemon replaces a failed source, it must still see a change within two seconds.
TEST_CASE("a daemon whose source fails uses the next host, and reads the platform itself when none responds in time")
{
    FactSourceSelector selector(HostId("n3"), north);
    selector.setHosts(hosts());
    selector.recordFailure(start, HostId("n2"));
    CHECK(nameOf(selector.currentSource(start)) == "n1");
    CHECK(selector.searchTimeLeft(start) == FactSourceSelector::minSearchTime);
    selector.recordFailure(start + FactSourceSelector::minSearchTime, HostId("n1"));
    CHECK(nameOf(selector.currentSource(start + FactSourceSelector::minSearchTime)) == "itself");
    auto later = start + FactSourceSelector::directReadTime;
    CHECK(nameOf(selector.currentSource(later)) == "itself");
    later += FactSourceSelector::minSearchTime;

    SUBCASE("the first host is used again after its pause")
    {
        CHECK(nameOf(selector.currentSource(start + FactSourceSelector::minPause)) == "n2");
    }
    SUBCASE("the pause of a host grows with consecutive failures up to a bound")
    {
        auto now = later;
        for (int i = 0; i < 10; ++i)
            selector.recordFailure(now, HostId("n2"));
        CHECK(nameOf(selector.currentSource(now + FactSourceSelector::maxPause - 1ms)) == "n1");
        CHECK(nameOf(selector.currentSource(now + FactSourceSelector::maxPause)) == "n2");
    }
    SUBCASE("a response ends the pause and the search")
    {
        selector.recordResponse(HostId("n2"));
        CHECK(!selector.searchTimeLeft(later));
        CHECK(nameOf(selector.currentSource(later)) == "n2");
    }
}

// Guards against two daemons that use each other as source and serve outdated facts, since neither reads the platform.
TEST_CASE("a host that declines because it is not a reader is skipped at once")
{
    FactSourceSelector selector(HostId("n3"), north);
    selector.setHosts(hosts());
    selector.recordDecline(start, HostId("n2"));
    CHECK(nameOf(selector.currentSource(start)) == "n1");
    selector.recordDecline(start, HostId("n1"));
    CHECK(nameOf(selector.currentSource(start)) == "itself");
    CHECK(nameOf(selector.currentSource(start + FactSourceSelector::minPause)) == "n2");
}

// Guards against late changes when the platform fails for a third of the hosts: a daemon tried these hosts one after
// the other, at 0.35 s each.
TEST_CASE("a daemon reads the platform itself after a bounded time when all hosts that it tries decline")
{
    std::vector<PeerHost> manyHosts;
    for (int i = 10; i < 40; ++i)
        manyHosts.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    FactSourceSelector selector(HostId("n39"), north);
    selector.setHosts(manyHosts);
    auto now = start;
    const auto* source = selector.currentSource(now);
    while (source && now < start + 10s) {
        now += 350ms;
        selector.recordDecline(now, source->host);
        source = selector.currentSource(now);
    }
    CHECK(now - start <= 1s);
    SUBCASE("afterwards it tries the hosts that have not declined")
    {
        CHECK(nameOf(selector.currentSource(now + FactSourceSelector::directReadTime)) == "n12");
    }
    SUBCASE("a response restarts the search time")
    {
        selector.recordResponse(HostId("n12"));
        auto later = now + FactSourceSelector::directReadTime;
        selector.recordDecline(later, HostId("n12"));
        CHECK(nameOf(selector.currentSource(later)) == "n13");
    }
}

// The platform's store may fail for some hosts while it serves others.
TEST_CASE("a daemon whose platform reads fail uses its data centre, then other data centres, then the platform again")
{
    FactSourceSelector selector(HostId("n2"), north);
    selector.setHosts(hosts());
    selector.recordPlatformRead(start, FactKind::Endpoints, false);
    CHECK(nameOf(selector.currentSource(start)) == "n1");
    selector.recordFailure(start, HostId("n1"));
    CHECK(nameOf(selector.currentSource(start)) == "n3");
    selector.recordFailure(start, HostId("n3"));
    CHECK(nameOf(selector.currentSource(start)) == "s1");
    selector.recordFailure(start, HostId("s1"));
    CHECK(nameOf(selector.currentSource(start)) == "itself");

    SUBCASE("it reads the platform again after a pause even if other daemons respond")
    {
        selector.recordResponse(HostId("n1"));
        CHECK(nameOf(selector.currentSource(start + FactSourceSelector::platformRetryPause)) == "itself");
    }
    SUBCASE("it reads the platform as soon as a read succeeds")
    {
        selector.recordPlatformRead(start + 1ms, FactKind::Endpoints, true);
        CHECK(nameOf(selector.currentSource(start + 1ms)) == "itself");
    }
    // Guards against a daemon that stays a reader although its reads of the list of endpoints fail, because those of
    // the configuration succeed.
    SUBCASE("a successful read of the other kind does not clear the failure")
    {
        selector.recordResponse(HostId("n1"));
        selector.recordPlatformRead(start + 1ms, FactKind::Configuration, true);
        CHECK(selector.isPlatformUnavailable(start + 1ms));
        CHECK(nameOf(selector.currentSource(start + FactSourceSelector::minPause)) == "itself");
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
        FactSourceSelector selector(it.host, north);
        CHECK(selector.retryPause() == FactSourceSelector::minRetryPause);
        selector.setHosts(manyHosts);
        auto pause = selector.retryPause();
        CHECK(pause >= FactSourceSelector::minRetryPause);
        CHECK(pause <= FactSourceSelector::maxRetryPause);
        bool isAmongFirst = it.host <= HostId("n11");
        CHECK(isAmongFirst == (pause == FactSourceSelector::minRetryPause));
        totalRetriesPerSecond += std::chrono::duration<double>(1s) / pause;
    }
    CHECK_MESSAGE(totalRetriesPerSecond < 60, "less than one retry per second and daemon");
}

TEST_CASE("the source that a declining host names is used next")
{
    std::vector<PeerHost> manyHosts;
    for (int i = 10; i < 40; ++i)
        manyHosts.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    FactSourceSelector selector(HostId("n39"), north);
    selector.setHosts(manyHosts);
    selector.recordDecline(start, HostId("n10"), HostId("n25"));
    CHECK(nameOf(selector.currentSource(start)) == "n25");
    SUBCASE("the named source declines as well")
    {
        selector.recordDecline(start, HostId("n25"), HostId("n10"));
        CHECK(nameOf(selector.currentSource(start)) == "n11");
    }
    SUBCASE("the named source fails")
    {
        selector.recordFailure(start, HostId("n25"));
        CHECK(nameOf(selector.currentSource(start)) == "n11");
    }
    SUBCASE("the named source is not in the list")
    {
        selector.recordDecline(start, HostId("n25"), HostId("n99"));
        CHECK(nameOf(selector.currentSource(start)) == "n11");
    }
    SUBCASE("the named source is the daemon itself")
    {
        selector.recordDecline(start, HostId("n25"), HostId("n39"));
        CHECK(nameOf(selector.currentSource(start)) == "n11");
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
        FactSourceSelector selector;
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
            list.push_back({ FactSourceSelector(all[static_cast<size_t>(i)].host, north, searchTime), {}, {} });
            list.back().selector.setHosts(all);
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
                it.selector.recordFailure(now, requestedHost);
            else if (isReading(it.requestedHost))
                it.selector.recordResponse(requestedHost);
            else
                it.selector.recordDecline(
                    now, requestedHost, HostId(list[std::stoul(it.requestedHost.substr(1)) - 100].requestedHost));
        }
        const auto* next = it.selector.currentSource(now);
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
