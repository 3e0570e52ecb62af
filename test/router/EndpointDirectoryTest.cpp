// Tests of the directory of endpoints: gaps after an outage of the store, restarts, and silent endpoints.

#include "router/EndpointDirectory.h"

#include <doctest/doctest.h>
#include <random>

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

// DRAIN: the platform came back from an older copy, which named an endpoint that had left as serving.
TEST_CASE("an endpoint that said itself that it leaves is not taken back from an older copy of the list")
{
    EndpointDirectory directory;
    directory.update(start, { a, b });
    directory.noteLeaving(a.endpoint);
    directory.update(start + 1s, { b });
    CHECK_FALSE(directory.find(a.endpoint));
    directory.update(start + 4s, { a, b });
    CHECK(directory.find(a.endpoint)->isLeaving);
    directory.update(start + 5s, { b });
    directory.adopt(start + 6s, { a, b }, std::nullopt);
    CHECK(directory.find(a.endpoint)->isLeaving);
    // What is remembered is bounded in time.
    directory.update(start + 7s, { b });
    directory.update(start + 7s + EndpointDirectory::leavingTime, { b });
    directory.update(start + 8s + EndpointDirectory::leavingTime, { a, b });
    CHECK_FALSE(directory.find(a.endpoint)->isLeaving);
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
    directory.markSilent(start, EndpointId("a@1"));
    directory.markSilent(start, EndpointId("unknown"));
    CHECK(directory.takeRecovered().empty());
    directory.update(start + 1s, { endpoint("a@1", "10.0.0.1:80", 8) });
    CHECK(directory.takeRecovered().empty());
    directory.update(start + 2s, { endpoint("a@1", "10.0.0.1:80", 9) });
    CHECK(directory.takeRecovered() == std::vector { EndpointId("a@1") });
    CHECK(directory.takeRecovered().empty());
}

// A follower receives the heartbeats of an endpoint only while it takes the endpoint for silent. Compared with a count
// from before, the heartbeats that a lost endpoint had sent until then would count as recovery.
TEST_CASE("heartbeats that an endpoint sent before it was marked as silent are no recovery")
{
    EndpointDirectory directory;
    directory.adopt(start, { endpoint("a@1", "10.0.0.1:80", 7) }, std::nullopt);
    directory.confirm(start + 20s);
    directory.markSilent(start + 21s, EndpointId("a@1"));
    CHECK(directory.silentEndpoints() == std::vector { EndpointId("a@1") });
    auto adopt = [&](Duration at, uint64_t heartbeats) {
        directory.adoptChanges(
            start + at, { directory.revision(), { endpoint("a@1", "10.0.0.1:80", heartbeats) }, {} }, std::nullopt);
        return directory.takeRecovered();
    };
    CHECK(adopt(20500ms, 24).empty());
    CHECK(adopt(21500ms, 25).empty());
    CHECK(adopt(22s, 25).empty());
    CHECK(adopt(23s, 27) == std::vector { EndpointId("a@1") });
    CHECK(directory.silentEndpoints().empty());
}

namespace {

// A copy that receives the changes of a directory, or its whole list where there are none.
struct Copy {
    EndpointDirectory directory;
    uint64_t base = 0; // Revision of the source that the copy shows.
    int wholeLists = 0;

    void follow(Instant now, const EndpointDirectory& source)
    {
        if (auto changes = source.changesSince(base)) {
            directory.adoptChanges(now, *changes, std::nullopt);
        } else {
            directory.adopt(now, source.endpoints(), std::nullopt);
            ++wholeLists;
        }
        base = source.revision();
    }
};

} // namespace

// A reader sent all of its 106 endpoints to 45 followers whenever one of them changed.
TEST_CASE("a copy that receives changes equals the list after any of them, and needs the whole list once")
{
    std::mt19937 random { 7 };
    EndpointDirectory source;
    Copy copy;
    for (int step = 1; step <= 500; ++step) {
        std::vector<EndpointSighting> listed;
        for (int i = 0; i < 20; ++i) {
            // Each endpoint is absent, restarted or given other layers now and then.
            if (random() % 10 == 0)
                continue;
            auto start = std::to_string(1 + (random() % 15 == 0));
            listed.push_back(endpoint("e" + std::to_string(i) + '@' + start, "10.0.1." + std::to_string(i) + ":80"));
            listed.back().layers = { 0, 10 + static_cast<uint32_t>(random() % 8 == 0) };
        }
        auto now = start + step * 1s;
        source.update(now, listed);
        if (random() % 3 == 0)
            source.noteLeaving(listed.front().endpoint);
        if (random() % 3 == 0)
            source.notePace(listed.back().endpoint, 100 + static_cast<uint32_t>(random() % 3));
        if (random() % 4 == 0)
            continue; // The copy misses some revisions.
        copy.follow(now, source);
        CAPTURE(step);
        REQUIRE(copy.directory.endpoints() == source.endpoints());
        REQUIRE(copy.directory.digest() == source.digest());
    }
    CHECK(copy.wholeLists == 1);
}

TEST_CASE("changes name what differs, and the endpoints whose heartbeats are wanted")
{
    EndpointDirectory source;
    source.update(start, { a, b, c });
    auto base = source.revision();
    CHECK(source.changesSince(base) == router::EndpointChanges { base, {}, {} });
    source.update(start + 1s, { endpoint("a@1", "10.0.0.1:80", 9), b, d });
    auto changes = source.changesSince(base, { a.endpoint, d.endpoint, EndpointId("unknown") });
    REQUIRE(changes);
    CHECK(changes->removed == std::vector { c.endpoint });
    REQUIRE(changes->updated.size() == 2);
    CHECK(changes->updated[0] == d);
    CHECK(changes->updated[1].heartbeats == 9);
}

TEST_CASE("a copy without a base, of a later revision, or older than the removals that are kept needs the whole list")
{
    EndpointDirectory source;
    CHECK_FALSE(source.changesSince(0));
    source.update(start, { a });
    auto base = source.revision();
    CHECK_FALSE(source.changesSince(0));
    CHECK_FALSE(source.changesSince(base + 1));
    CHECK(source.changesSince(base));
    for (size_t n = 0; n <= router::EndpointHistory::maxRemovals; ++n)
        source.update(start + 1s, { endpoint("e@" + std::to_string(n), "10.0.0.9:80") });
    CHECK_FALSE(source.changesSince(base));
    CHECK(source.changesSince(source.revision() - 1));
}

// A daemon leaves out endpoints that it saw go while its source still waits for their entries.
TEST_CASE("the digest tells a copy that lacks an endpoint of its source's list")
{
    EndpointDirectory source;
    source.update(start, { a, b });
    EndpointDirectory copy;
    copy.update(start, { a, b });
    CHECK(copy.digest() == source.digest());
    copy.update(start + 1s, { a });
    copy.adopt(start + 2s, { a, b }, start + 1500ms);
    CHECK_FALSE(copy.find(b.endpoint));
    CHECK(copy.digest() != source.digest());
    copy.adopt(start + 20s, { a, b }, std::nullopt);
    CHECK(copy.digest() == source.digest());
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
