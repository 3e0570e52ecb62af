// Tests of the directory of endpoints: gaps after an outage of the store, restarts, and silent endpoints.

#include "router/EndpointDirectory.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using router::EndpointDirectory;
using router::EndpointSighting;

namespace {

const Instant start { 1h };

EndpointSighting endpoint(const std::string& id, const std::string& address, uint64_t heartbeats = 1)
{
    EndpointSighting sighting;
    sighting.endpoint = EndpointId(id);
    sighting.address = address;
    sighting.heartbeats = heartbeats;
    return sighting;
}

const EndpointSighting a = endpoint("a@1", "10.0.0.1:80");
const EndpointSighting b = endpoint("b@1", "10.0.0.2:80");
const EndpointSighting c = endpoint("c@1", "10.0.0.3:80");
const EndpointSighting d = endpoint("d@1", "10.0.0.4:80");

} // namespace

// The platform's list shows a leaving endpoint later than its own answers, and not at all while the platform is away.
TEST_CASE("an endpoint that said itself that it leaves is not taken back from any list while it is listed")
{
    EndpointDirectory directory;
    directory.update(start, { a, b });
    CHECK(directory.noteLeaving(a.endpoint));
    CHECK_FALSE(directory.noteLeaving(a.endpoint));
    CHECK_FALSE(directory.noteLeaving(EndpointId("unknown")));
    CHECK(directory.find(a.endpoint)->isLeaving);
    CHECK_FALSE(directory.find(b.endpoint)->isLeaving);
    directory.update(start + 1s, { a, b });
    CHECK(directory.find(a.endpoint)->isLeaving);
    directory.adopt(start + 2s, { a, b }, std::nullopt);
    CHECK(directory.find(a.endpoint)->isLeaving);
    // Its successor at the same address is another endpoint.
    auto successor = endpoint("a@2", "10.0.0.1:80");
    directory.update(start + 3s, { successor, b });
    CHECK_FALSE(directory.find(successor.endpoint)->isLeaving);
}

TEST_CASE("a reported pace outlives the lists of the platform, and goes with the endpoint")
{
    EndpointDirectory directory;
    directory.update(start, { a });
    CHECK(directory.notePace(a.endpoint, 1200));
    CHECK_FALSE(directory.notePace(a.endpoint, 1200));
    CHECK_FALSE(directory.notePace(EndpointId("unknown"), 1200));
    CHECK_FALSE(directory.update(start + 1s, { a }));
    CHECK(directory.find(a.endpoint)->pacePercent == 1200);
    directory.update(start + 2s, { b });
    directory.update(start + 3s, { a });
    CHECK(directory.find(a.endpoint)->pacePercent == 100);
}

TEST_CASE("an endpoint that is no longer listed has gone, and heartbeats alone change nothing")
{
    EndpointDirectory directory;
    CHECK(directory.update(start, { a, b }));
    CHECK_FALSE(directory.update(start + 1s, { endpoint("a@1", "10.0.0.1:80", 2), b }));
    CHECK(directory.update(start + 2s, { a }));
    CHECK(directory.find(b.endpoint) == nullptr);
}

// Entries lapse while the store is away and return some time after it.
TEST_CASE("entries that are missing just after an outage of the store are kept until their time to return has passed")
{
    EndpointDirectory directory;
    directory.update(start, { a, b });
    directory.missed();
    CHECK_FALSE(directory.update(start + 5s, {}));
    CHECK(directory.endpoints().size() == 2);
    CHECK_FALSE(directory.update(start + 6s, { a }));
    CHECK(directory.update(start + 5s + EndpointDirectory::returnTime, { a }));
    CHECK(directory.find(b.endpoint) == nullptr);
    CHECK(directory.find(a.endpoint) != nullptr);
}

TEST_CASE("an endpoint that restarted during the outage replaces its former self at once")
{
    EndpointDirectory directory;
    directory.update(start, { a, b });
    directory.missed();
    CHECK(directory.update(start + 5s, { endpoint("a@2", "10.0.0.1:80"), b }));
    CHECK(directory.find(a.endpoint) == nullptr);
    CHECK(directory.find(EndpointId("a@2")) != nullptr);
}

TEST_CASE("a silent endpoint recovers by heartbeats that were sent after it was marked")
{
    EndpointDirectory directory;
    directory.update(start, { endpoint("a@1", "10.0.0.1:80", 7) });
    directory.markSilent(EndpointId("a@1"));
    directory.markSilent(EndpointId("unknown"));
    CHECK(directory.takeRecovered().empty());
    directory.update(start + 1s, { endpoint("a@1", "10.0.0.1:80", 8) });
    CHECK(directory.takeRecovered().empty());
    directory.update(start + 2s, { endpoint("a@1", "10.0.0.1:80", 9) });
    CHECK(directory.takeRecovered() == std::vector { EndpointId("a@1") });
    CHECK(directory.takeRecovered().empty());
}

// A reader that the store had turned away for a moment kept an endpoint that had left, and the daemons of its data
// centre took the endpoint back from it.
TEST_CASE("a daemon that others told about the endpoints while its own read failed keeps no entry that is missing")
{
    EndpointDirectory directory;
    directory.update(start, { a, b });
    directory.missed();
    directory.adopt(start + 3s, { a, b }, std::nullopt);
    directory.missed();
    CHECK(directory.update(start + 3500ms, { a }));
    CHECK_FALSE(directory.find(b.endpoint));
    CHECK_FALSE(directory.returnedAt(start + 3500ms));
}

TEST_CASE("an endpoint that was seen to go or to leave is not taken back from a daemon that waits for entries")
{
    EndpointDirectory directory;
    auto leaving = b;
    leaving.isLeaving = true;
    directory.update(start, { a, b, c });
    directory.update(start + 1s, { a, leaving });
    auto returnedAt = start + 1500ms;
    directory.adopt(start + 2s, { a, b, c, d }, returnedAt);
    CHECK_FALSE(directory.find(c.endpoint));
    REQUIRE(directory.find(b.endpoint));
    CHECK(directory.find(b.endpoint)->isLeaving);
    CHECK_MESSAGE(directory.find(d.endpoint), "an endpoint that was not known before may be new");
    SUBCASE("a daemon that waits for nothing is believed")
    {
        directory.adopt(start + 3s, { a, b, c }, std::nullopt);
        CHECK(directory.find(c.endpoint));
    }
}
