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
TEST_CASE("after its source failed, a daemon reads for itself and then asks the next host")
{
    FactSources sources(HostId("n3"), north);
    sources.adopt(hosts());
    sources.failed(start, HostId("n2"));
    CHECK(nameOf(sources.current(start)) == "itself");
    auto later = start + FactSources::ownReadingTime;
    CHECK(nameOf(sources.current(later)) == "n1");

    SUBCASE("the first host is asked again after its pause")
    {
        CHECK(nameOf(sources.current(start + FactSources::shortestPause)) == "n2");
    }
    SUBCASE("a host that fails again and again is left alone for longer each time, up to a bound")
    {
        auto now = start;
        for (int i = 0; i < 10; ++i)
            sources.failed(now, HostId("n2"));
        CHECK(nameOf(sources.current(now + FactSources::longestPause - 1ms)) == "n1");
        CHECK(nameOf(sources.current(now + FactSources::longestPause)) == "n2");
    }
    SUBCASE("an answer ends the row of failures")
    {
        sources.answered(HostId("n2"));
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
