// Tests of the selection of a daemon's source of facts: another daemon or the platform.

#include <doctest/doctest.h>
#include <functional>
#include <spindlecore/FactSourceSelector.h>
#include <spindlecore/FactTiming.h>

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

// Hosts of one data centre from "n<first>" up to, and without, "n<end>".
std::vector<PeerHost> numberedHosts(size_t first, size_t end)
{
    std::vector<PeerHost> numbered;
    numbered.reserve(end - first);
    for (auto i = first; i < end; ++i)
        numbered.push_back({ HostId("n" + std::to_string(i)), north, "10.1.0.1:7340", 100 });
    return numbered;
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
    auto manyHosts = numberedHosts(10, 40);
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
    auto manyHosts = numberedHosts(10, 70);
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
    auto manyHosts = numberedHosts(10, 40);
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
        auto all = numberedHosts(100, 100 + daemons);
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
    FrozenReaderSimulation simulation(FactTiming(changeBound).searchTime);
    auto longest = simulation.run(simulatedTime);
    CHECK(longest < changeBound - 1s);
    double readers
        = static_cast<double>(simulation.readerSteps) * (FrozenReaderSimulation::step / 1ms) / (simulatedTime / 1ms);
    CAPTURE(readers);
    CHECK(readers < FrozenReaderSimulation::daemons / 10.0);
}

namespace {

// Simulates the daemons of one data centre, of which the first one reads the platform and is the source of the others,
// over an outage of the platform for some or all of them.
class OutageSimulation {
public:
    static constexpr size_t daemons = 45;
    static constexpr Duration step = 10ms;
    static inline const Duration searchTime = FactTiming(3s).searchTime;

    using Serves = std::function<bool(size_t daemon, Duration at)>;

    explicit OutageSimulation(Serves platformServes)
        : m_platformServes(std::move(platformServes))
    {
        auto all = numberedHosts(100, 100 + daemons);
        for (size_t i = 0; i < daemons; ++i) {
            m_list.push_back({ FactSourceSelector(all[i].host, north, searchTime), {}, {}, {}, {}, {} });
            m_list.back().selector.setHosts(all);
            m_list.back().busyUntil = start + i * 10ms;
            m_list.back().factsAt = start;
        }
        for (size_t i = 1; i < daemons; ++i)
            m_list[i].selector.recordResponse(HostId("n100"));
        m_list.front().isReading = true;
        m_list.front().hasRead = true;
    }

    // Simulates this time from the start.
    void run(Duration time)
    {
        for (auto now = start; now < start + time; now += step) {
            for (size_t i = 0; i < daemons; ++i)
                advance(now, i);
        }
    }

    // Returns the longest time since a daemon last had facts.
    Duration longestWithoutFacts(Duration at) const
    {
        Duration longest {};
        for (const auto& it : m_list)
            longest = std::max(longest, start + at - it.factsAt);
        return longest;
    }

    size_t platformReads = 0;
    size_t sourceChanges = 0;

private:
    struct Daemon {
        FactSourceSelector selector;
        Instant busyUntil {}; // End of the current question.
        Instant readAt {}; // Next read of the platform, while it reads.
        Instant factsAt {}; // Last read or answer with facts.
        std::string asked; // Host that is asked; empty: none.
        std::string source; // Host that last returned facts; empty: the platform.
        bool isReading = false;
        bool hasRead = false; // The last read succeeded.
    };

    static size_t indexOf(const std::string& host) { return std::stoul(host.substr(1)) - 100; }

    static bool isReadingWell(const Daemon& it) { return it.isReading && it.hasRead; }

    void setSource(Daemon& it, const std::string& source)
    {
        sourceChanges += it.source != source;
        it.source = source;
    }

    void advance(Instant now, size_t index)
    {
        auto& it = m_list[index];
        if (it.isReading && now >= it.readAt)
            read(now, index);
        if (now < it.busyUntil)
            return;
        if (!it.asked.empty())
            complete(now, index);
        const auto* next = it.selector.currentSource(now);
        it.asked = next ? next->host.value() : "";
        if (!next) {
            it.hasRead = it.hasRead && it.isReading;
            it.isReading = true;
            setSource(it, "");
            it.busyUntil = now + 100ms;
            return;
        }
        if (!isReadingWell(it))
            it.isReading = false;
        auto& other = m_list[indexOf(it.asked)];
        if (isReadingWell(it) && !isReadingWell(other))
            other.selector.recordReader(HostId("n" + std::to_string(100 + index)));
        it.busyUntil = now + timeToAnswer(now, it, other);
    }

    // A reader has news at once for a daemon that did not follow it before.
    static Duration timeToAnswer(Instant now, const Daemon& asking, const Daemon& asked)
    {
        if (isReadingWell(asked))
            return asking.source == asking.asked ? 500ms : 10ms;
        return asked.selector.isInCharge(now) ? 200ms : 150ms;
    }

    void read(Instant now, size_t index)
    {
        auto& it = m_list[index];
        ++platformReads;
        it.hasRead = m_platformServes(index, now - start);
        it.selector.recordPlatformRead(now, FactKind::Configuration, it.hasRead);
        it.selector.recordPlatformRead(now, FactKind::Endpoints, it.hasRead);
        it.readAt = now + (it.hasRead ? Duration(900ms) : it.selector.retryPause());
        if (it.hasRead)
            it.factsAt = now;
    }

    void complete(Instant now, size_t index)
    {
        auto& it = m_list[index];
        auto& other = m_list[indexOf(it.asked)];
        HostId host(it.asked);
        if (isReadingWell(other)) {
            it.selector.recordResponse(host);
            it.isReading = false;
            it.factsAt = now;
            setSource(it, it.asked);
        } else if (other.selector.isInCharge(now) && !isReadingWell(it)) {
            it.selector.recordWaiting(now, host);
        } else {
            it.selector.recordDecline(now, host, HostId(other.source));
        }
    }

    Serves m_platformServes;
    std::vector<Daemon> m_list;
};

} // namespace

// Guards against a burst of calls and of changes of the source: when the platform was away for 8 s, all daemons of a
// data centre asked each other in turn and then turned to the platform themselves, over and over.
TEST_CASE("while the platform is down, daemons wait with their reader and few of them test the platform")
{
    static constexpr Duration outage = 8s;
    OutageSimulation simulation([](size_t, Duration at) { return at < 1s || at >= 1s + outage; });
    simulation.run(outage);
    CAPTURE(simulation.platformReads);
    CAPTURE(simulation.sourceChanges);
    // The bound of changes lets each daemon test the platform once per test interval; the reader retries sooner.
    CHECK(simulation.platformReads < 3 * OutageSimulation::daemons);
    CHECK_MESSAGE(simulation.sourceChanges < 2 * OutageSimulation::daemons, "two changes per daemon");
    SUBCASE("all of them have facts again soon after its return")
    {
        OutageSimulation longer([](size_t, Duration at) { return at < 1s || at >= 1s + outage; });
        longer.run(outage + 4s);
        CHECK(longer.longestWithoutFacts(outage + 4s) < 1500ms);
    }
}

TEST_CASE("when the platform turns away the first hosts of a data centre, the others find a reader that it serves")
{
    constexpr Duration changeBound = 3s;
    for (size_t turnedAway : { 1U, 2U, 4U, 7U }) {
        CAPTURE(turnedAway);
        OutageSimulation simulation([&](size_t daemon, Duration at) { return at < 1s || daemon >= turnedAway; });
        simulation.run(1s + changeBound + 1s);
        CHECK(simulation.longestWithoutFacts(1s + changeBound + 1s) < changeBound);
        simulation.run(8s);
        CAPTURE(simulation.platformReads);
        CHECK(simulation.platformReads < 4 * OutageSimulation::daemons);
    }
}

// Guards against late changes: the platform turned away the first hosts of a data centre, the first one that it served
// was too slow for 45 followers, and the others waited for the reader without reading for themselves.
TEST_CASE("a daemon waits no longer for its reader, and for the one that it names, than a search takes")
{
    constexpr Duration searchTime = 1300ms;
    auto manyHosts = numberedHosts(100, 145);
    FactSourceSelector selector(HostId("n144"), north, searchTime);
    selector.setHosts(manyHosts);
    selector.recordResponse(HostId("n100"));
    selector.recordWaiting(start, HostId("n100"));
    CHECK(nameOf(selector.currentSource(start + 1s)) == "n100");
    SUBCASE("the reader still waits")
    {
        selector.recordWaiting(start + searchTime, HostId("n100"));
        CHECK(nameOf(selector.currentSource(start + searchTime)) == "itself");
    }
    SUBCASE("the reader named another one, which does not answer in time")
    {
        selector.recordWaiting(start + 1s, HostId("n100"));
        selector.recordDecline(start + 1200ms, HostId("n100"), HostId("n112"));
        CHECK(nameOf(selector.currentSource(start + 1200ms)) == "n112");
        CHECK(selector.searchTimeLeft(start + 1200ms) == Duration(100ms));
        selector.recordFailure(start + searchTime, HostId("n112"));
        CHECK(nameOf(selector.currentSource(start + searchTime)) == "itself");
    }
}

TEST_CASE("a source that returns facts is kept although a host before it is usable again")
{
    FactSourceSelector selector(HostId("n3"), north);
    selector.setHosts(hosts());
    selector.recordFailure(start, HostId("n2"));
    selector.recordResponse(HostId("n1"));
    CHECK(nameOf(selector.currentSource(start + FactSourceSelector::maxPause)) == "n1");
    selector.recordDecline(start + FactSourceSelector::maxPause, HostId("n1"), HostId("n2"));
    CHECK(nameOf(selector.currentSource(start + FactSourceSelector::maxPause)) == "n2");
}

// A daemon that stops sends its followers to the next host, which has to find out that it is meant.
TEST_CASE("the host that a stopping reader names reads the platform, and the others try it again soon")
{
    FactSourceSelector reader(HostId("n2"), north);
    reader.setHosts(hosts());
    CHECK(reader.successor(start) == HostId("n1"));
    FactSourceSelector next(HostId("n1"), north);
    next.setHosts(hosts());
    next.recordResponse(HostId("n2"));
    next.recordDecline(start, HostId("n2"), HostId("n1"));
    CHECK(nameOf(next.currentSource(start)) == "itself");
    CHECK(next.isInCharge(start));
    FactSourceSelector other(HostId("n3"), north);
    other.setHosts(hosts());
    other.recordResponse(HostId("n2"));
    other.recordDecline(start, HostId("n2"), HostId("n1"));
    CHECK(nameOf(other.currentSource(start)) == "n1");
    other.recordDecline(start, HostId("n1"));
    CHECK(nameOf(other.currentSource(start + FactSourceSelector::shortDeclinePause)) == "n1");
}
