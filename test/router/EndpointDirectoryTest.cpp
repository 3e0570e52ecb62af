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

} // namespace

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
