// Tests of the messages in which daemons tell each other what the platform says.

#include "router/FactRelay.h"

#include <doctest/doctest.h>
#include <random>

using namespace jacinthspindle;
using namespace jacinthspindle::router;
using namespace std::chrono_literals;

namespace {

Facts sampleFacts()
{
    Facts facts;
    facts.source = "host-1/17";
    facts.news = 12;
    facts.isReader = true;
    facts.hosts = 13;
    facts.configurationVersion = 9;
    facts.waited = 120ms;
    facts.configurationAge = 340ms;
    facts.configurationDocument = R"({"version":9,"text":"é\n"})";
    facts.endpointsRevision = 4;
    facts.endpointsAge = 800ms;
    EndpointSighting endpoint;
    endpoint.endpoint = EndpointId("i-1@1700000000000");
    endpoint.instance = "i-1";
    endpoint.service = "assistant";
    endpoint.dataCentre = DataCentreId("north");
    endpoint.address = "10.1.0.9:8080";
    endpoint.accelerator = "l4";
    endpoint.slots = 192;
    endpoint.isLeaving = true;
    endpoint.layers = { 10, 20 };
    endpoint.heartbeats = 77;
    endpoint.pacePercent = 1200;
    facts.endpoints = { endpoint };
    facts.returnedSince = 1500ms;
    facts.reader = "host-4";
    facts.isWaiting = true;
    facts.peers = 5;
    facts.load = { { EndpointId("i-1@1700000000000"), 12 } };
    facts.changes = EndpointChanges { 3, { endpoint }, { EndpointId("i-2@1700000000000") } };
    facts.endpointsDigest = 0xfedcba9876543210;
    facts.observations = { { EndpointId("i-1@1700000000000"), HostId("host-7"), 120ms } };
    facts.observation = 8;
    facts.pressure = { { RouteId("assistant"), { { 0, 700, 12000, 11800 }, { 3, 0, 1, 0 } } }, { RouteId("x"), {} } };
    return facts;
}

} // namespace

TEST_CASE("facts and questions come out as they went in")
{
    auto facts = sampleFacts();
    CHECK(decodeFacts(encodeFacts(facts)) == facts);
    CHECK(decodeFacts(encodeFacts(Facts {})) == Facts {});
    FactQuestion question { "host-1/17", 12, 9, 4, true, "host-2/3", { { EndpointId("i-1@1700000000000"), 2 } }, true,
        HostId("host-2"), true, 5, { EndpointId("i-3@1700000000000") },
        { { RouteId("assistant"), { { 2, 5, 6, 7 } } } } };
    CHECK(decodeQuestion(encodeQuestion(question), encodeOwnLoad(question)) == question);
    CHECK(decodeQuestion(encodeQuestion({})) == FactQuestion {});
}

TEST_CASE("what is not a question or not facts is refused")
{
    for (const char* target : { "", "/", "/facts/", "/facts/1/2/3", "/facts/1/2/x/0/s", "/facts/-1/2/3/0/s",
             "/facts/1//3/0/s", "/facts/99999999999999999999/2/3/0/s", "/metrics" }) {
        CAPTURE(target);
        CHECK(!decodeQuestion(target));
    }
    auto target = encodeQuestion({});
    for (const char* body : { "{", R"({"asker":"a"})", R"({"asker":"a","load":[["e",-1]]})",
             R"({"asker":"a","load":[["e"]]})", R"({"asker":"a","load":[],"pressure":[["m",[[0,-1,0,0]]]]})",
             R"({"asker":"a","load":[],"pressure":[["m",[[0,1e300,0,0]]]]})",
             R"({"asker":"a","load":[],"pressure":[["m",[[256,0,0,0]]]]})",
             R"({"asker":"a","load":[],"pressure":[["m",[[0,0,0]]]]})", R"({"asker":"a","load":[],"pressure":[["m"]]})",
             R"({"asker":7,"load":[]})", R"({"asker":"a","load":[["e",1e9]]})" }) {
        CAPTURE(body);
        CHECK(!decodeQuestion(target, body));
    }
    for (const char* body :
        { R"({"asker":"a","load":[],"accepts_changes":1,"host":"h","is_reader":true,"observation":0,"heartbeats_of":[]})",
            R"({"asker":"a","load":[],"accepts_changes":true})",
            R"({"asker":"a","load":[],"accepts_changes":true,"host":"h","is_reader":true,"observation":0,"heartbeats_of":[7]})" }) {
        CAPTURE(body);
        CHECK(!decodeQuestion(target, body));
    }
    auto text = encodeFacts(sampleFacts());
    for (const char* bad : { "", "{}", "[]", "null", "{\"source\":1}" }) {
        CAPTURE(bad);
        CHECK(!decodeFacts(bad));
    }
    for (size_t n = 0; n < text.size(); ++n)
        CHECK(!decodeFacts(text.substr(0, n)));
}

TEST_CASE("observations come out as they went in, and others are refused")
{
    std::vector<EndpointObservation> observations { { EndpointId("i-1@17"), HostId("host-7"), 120ms },
        { EndpointId("i-2@17"), HostId("host-7"), 0ms } };
    CHECK(decodeObservations(encodeObservations(observations)) == observations);
    for (const char* body : { "", "{}", "[]", R"({"observations":[["e","h"]]})", R"({"observations":[["e","h",-1]]})",
             R"({"observations":[["e",7,1]]})", R"({"observations":[["e","h",1e9]]})",
             R"({"observations":[["e","h",99999999999]]})" }) {
        CAPTURE(body);
        CHECK(!decodeObservations(body));
    }
}

// Bytes of release 991feb1, which knows neither changes nor digests. Daemons of both releases run side by side during
// an upgrade.
TEST_CASE("questions and facts of the release before changes are readable")
{
    auto question
        = decodeQuestion("/facts/12/9/4/1/host-1/17", R"({"asker":"host-2/3","load":[["i-1@1700000000000",2]]})");
    REQUIRE(question);
    CHECK(*question
        == FactQuestion { "host-1/17", 12, 9, 4, true, "host-2/3", { { EndpointId("i-1@1700000000000"), 2 } }, false,
            {}, false, 0, {} });
    auto facts
        = decodeFacts(R"({"configuration_age_ms":340,"configuration_version":9,"endpoints":[["i-1@1700000000000",)"
                      R"("i-1","assistant","north","10.1.0.9:8080","l4",192,true,10,20,77,1200]],)"
                      R"("endpoints_age_ms":800,"endpoints_revision":4,"hosts":13,"is_reader":true,)"
                      R"("load":[["i-1@1700000000000",12]],"news":12,"peers":5,"reader":"host-4",)"
                      R"("returned_since_ms":1500,"source":"host-1/17"})");
    REQUIRE(facts);
    auto expected = sampleFacts();
    expected.waited.reset();
    expected.configurationDocument.reset();
    expected.changes.reset();
    expected.endpointsDigest.reset();
    expected.isWaiting = false;
    expected.observations.clear();
    expected.observation = 0;
    expected.pressure.clear();
    CHECK(*facts == expected);
}

TEST_CASE("a daemon of the release before changes is sent the same bytes as before")
{
    FactQuestion question { "host-1/17", 12, 9, 4, true, "host-2/3", { { EndpointId("i-1@1700000000000"), 2 } }, false,
        {}, false, {} };
    CHECK(encodeQuestion(question) == "/facts/12/9/4/1/host-1/17");
    CHECK(encodeOwnLoad(question) == R"({"asker":"host-2/3","load":[["i-1@1700000000000",2]]})");
}

// A peer of another release or a broken one must not bring a daemon down.
TEST_CASE("facts with changed bytes are refused or decoded, and never do harm")
{
    auto text = encodeFacts(sampleFacts());
    std::mt19937 random { 5 };
    for (int i = 0; i < 20000; ++i) {
        auto changed = text;
        for (int k = 0; k < 3; ++k)
            changed[random() % changed.size()] = static_cast<char>(random());
        auto facts = decodeFacts(changed);
        if (facts && facts->endpoints)
            CHECK(facts->endpoints->size() == 1);
    }
}
