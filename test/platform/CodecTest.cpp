// Tests of the platform adapter's decoding: the texts of the users' pages, and texts that are wrong.

#include "platform/Codec.h"
#include "platform/Settings.h"

#include <doctest/doctest.h>
#include <spindleadapters/internal/Base64.h>

using namespace jacinthspindle;

namespace {

const std::string configurationText = R"({"version":7,"routes":[
{"name":"r-1","host":"h.example","prefix":"/a/","routeKind":"stream","timeoutMs":20000,"targetLatencyMs":500,
 "priority":1,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,
 "public":false,"sticky":true,"resumable":true,"gapAimMs":200},
{"name":"r-2","host":"h.example","prefix":"/b/","routeKind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":150,
 "priority":2,"service":"s2","maxAttempts":1,"public":true}],
"services":[{"name":"s1","healthPath":"/healthz","maxConnections":2444,"engine":{"slots":192,"tokenKvBytes":590000,
 "models":[{"name":"m","pace":1.0,"loadS":14.0,"warmS":1.0}],"loads_at_once":6,"step_ms":0.85,"per_seq_ms":0.002,
 "context_per_k":0.004,"read_per_s":272000.0,"usual":{"prompt":800,"answer":100},"layers":80,"layerMb":1750.0,
 "kinds":[{"name":"h100","mb":72000.0,"pace":1.4,"readX":1.0}]}},
 {"name":"s2","healthPath":"/healthz","maxConnections":208}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1}]})";

const std::string workerText = R"({"service":"s1","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":192,
"state":"ready","coldRemainingMs":0,"stage":"hybrid","models":[],"routeKind":"l4",
"layers":{"from":20,"to":31,"version":1},"sequence":4,"born":1785417659206})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a configuration is decoded into routes, services, limits and keys")
{
    auto configuration = platform::decodeConfiguration(configurationText);
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    REQUIRE(configuration->routes.size() == 2);
    const auto& stream = configuration->routes[0];
    CHECK(stream.repeatability == Repeatability::ResumableStream);
    CHECK(stream.shares.size() == 2);
    CHECK(stream.timeout == std::chrono::seconds(20));
    CHECK(stream.priority == 1);
    CHECK(configuration->workspacePriorities.at(WorkspaceId("t1")) == 1);
    const auto& action = configuration->routes[1];
    CHECK(action.repeatability == Repeatability::AtMostOnce);
    CHECK(action.isPublic);
    CHECK(action.shares.front().service == "s2");
    REQUIRE(configuration->services[0].model);
    CHECK(configuration->services[0].model->layers == 80);
    CHECK(configuration->services[0].model->loadTime == std::chrono::seconds(14));
    CHECK(configuration->services[0].model->kinds.at("h100").memoryMb == 72000);
    const auto& times = configuration->services[0].model->times;
    CHECK(times.step == std::chrono::duration<double>(0.00085));
    CHECK(times.perPromptToken.count() == doctest::Approx(1 / 272000.0));
    // 0.002 ms for each sequence, and 0.004 ms for each thousand tokens of its context.
    CHECK(times.perSequence.count() == doctest::Approx(0.000002 + 0.000004 * 0.850));
    CHECK(configuration->services[0].model->typicalTokens == 900);
    CHECK(configuration->services[0].model->headSlots == 192);
    CHECK_FALSE(configuration->services[1].model);
    CHECK(configuration->limits.idleTimeout == std::chrono::seconds(15));
    CHECK(configuration->workspaceByKey.at("k2") == WorkspaceId("t1"));
    CHECK(configuration->workspaceByKey.size() == 2);
}

TEST_CASE("a model whose engine times are not declared is decoded without them")
{
    auto text = replaced(configurationText, R"("step_ms":0.85,"per_seq_ms":0.002,)", "");
    text = replaced(text, R"("context_per_k":0.004,"read_per_s":272000.0,"usual":{"prompt":800,"answer":100},)", "");
    auto configuration = platform::decodeConfiguration(text);
    REQUIRE(configuration);
    REQUIRE(configuration->services[0].model);
    CHECK(configuration->services[0].model->times.step.count() == 0);
    CHECK(configuration->services[0].model->typicalTokens == 0);
}

TEST_CASE("a configuration with a missing or wrong member is refused as a whole")
{
    for (const char* member : { "\"version\":7", "\"prefix\":\"/a/\"", "\"maxAttempts\":2", "\"limits\"", "\"layerMb\"",
             "\"timeoutMs\":20000" }) {
        CAPTURE(member);
        CHECK_FALSE(platform::decodeConfiguration(replaced(configurationText, member, "\"other\":1,\"other2\"")));
    }
    CHECK_FALSE(platform::decodeConfiguration("[]"));
    CHECK_FALSE(platform::decodeConfiguration(""));
}

TEST_CASE("a worker's row names one start of it, its layers and its accelerator")
{
    auto worker = platform::decodeWorker("i-1", workerText);
    REQUIRE(worker);
    CHECK(worker->endpoint == EndpointId("i-1@1785417659206"));
    CHECK(worker->instance == "i-1");
    CHECK(worker->accelerator == "l4");
    CHECK(worker->layers.first == 20);
    CHECK(worker->layers.end == 31);
    CHECK(worker->heartbeats == 4);
    CHECK_FALSE(worker->isLeaving);
    auto empty = platform::decodeWorker("i-1", replaced(workerText, R"({"from":20,"to":31,"version":1})", "null"));
    REQUIRE(empty);
    CHECK(empty->layers.count() == 0);
    auto leaving = platform::decodeWorker("i-1", replaced(workerText, "\"ready\"", "\"draining\""));
    REQUIRE(leaving);
    CHECK(leaving->isLeaving);
}

// Rows may come from another writer: they name no worker to use.
TEST_CASE("a worker's row with missing fields, other types or unknown states names no endpoint")
{
    CHECK_FALSE(platform::decodeWorker("i-1", replaced(workerText, "\"ready\"", "\"sleeping\"")));
    CHECK_FALSE(platform::decodeWorker("i-1", replaced(workerText, "\"ready\"", "1")));
    CHECK_FALSE(platform::decodeWorker("i-1", replaced(workerText, "\"service\"", "\"other\"")));
    CHECK_FALSE(platform::decodeWorker("i-1", replaced(workerText, "10.128.0.9:8080", "somewhere")));
    CHECK_FALSE(platform::decodeWorker("i-1", replaced(workerText, "192", "\"many\"")));
    CHECK_FALSE(platform::decodeWorker("i-1", replaced(workerText, "1785417659206", "1.5")));
    CHECK_FALSE(platform::decodeWorker("i-1", "\xff\xfe"));
}

TEST_CASE("a report counts accepted orders and lists the requests that wait for silent endpoints")
{
    auto report = platform::decodeReport(
        R"({"born":12,"stage":"hybrid","models":[],"busy":true,"sequence":2,"queued":1,"running":12,"kvUsed":41000,
            "kvTotal":90000,"handles":0,"layers":{"from":0,"to":9,"version":1},
            "stalled":[{"id":"9c41","address":"10.2.64.3:8080"}]})");
    REQUIRE(report);
    CHECK(report->acceptedOrders == 2);
    CHECK(report->isBusy);
    CHECK(report->running == 12);
    CHECK(report->waiting == 1);
    REQUIRE(report->stalled.size() == 1);
    CHECK(report->stalled[0].request == RequestId("9c41"));
    CHECK(report->stalled[0].address == "10.2.64.3:8080");
    CHECK(report->pacePercent == 100);
}

TEST_CASE("a report's pace is read, and one that is no number leaves the usual pace")
{
    auto paceOf = [](const std::string& pace) {
        auto report = platform::decodeReport(
            R"({"born":12,"busy":false,"sequence":2,"queued":1,"running":12,"layers":null,"pace":)" + pace + '}');
        REQUIRE(report);
        return report->pacePercent;
    };
    CHECK(paceOf("12.0") == 1200);
    CHECK(paceOf("0.5") == 50);
    CHECK(paceOf("-3") == 0);
    CHECK(paceOf("1e30") == 100000);
    CHECK(paceOf("\"slow\"") == 100);
    CHECK(paceOf("null") == 100);
}

TEST_CASE("rows are decoded with their values")
{
    auto value = internal::encodeBase64("hello");
    auto rows = platform::decodeRows(R"({"rows":[{"table":"op","part":"","key":"config","value":")" + value
        + R"(","rowVersion":41},{"table":"op","part":"","key":"old","deleted":true}],"rowVersion":530,"nowMs":1})");
    REQUIRE(rows);
    CHECK(rows->version == 530);
    REQUIRE(rows->rows.size() == 2);
    CHECK(rows->rows[0].value == "hello");
    CHECK(rows->rows[0].version == 41);
    CHECK(rows->rows[1].isDeleted);
}

// One row of another writer ended the reading of its table for as long as it stood there.
TEST_CASE("a row that cannot be read spoils itself alone")
{
    auto value = internal::encodeBase64("hello");
    for (const char* odd : { R"({"key":"odd","value":"***","rowVersion":1})",
             R"({"key":"odd","value":7,"rowVersion":1})", R"({"key":"odd","rowVersion":1})",
             R"({"key":"odd","value":"","rowVersion":-1})", R"({"key":"odd","value":"","rowVersion":1e400})",
             R"({"key":7,"value":"","rowVersion":1})", "7", "null", R"({"key":"odd","value":"","deleted":"yes"})" }) {
        CAPTURE(odd);
        auto rows = platform::decodeRows(R"({"rows":[)" + std::string(odd) + R"(,{"key":"good","value":")" + value
            + R"(","rowVersion":41}],"rowVersion":530})");
        bool isNumberTooLarge = std::string(odd).find("1e400") != std::string::npos;
        REQUIRE(rows.has_value() == !isNumberTooLarge);
        if (!rows)
            continue;
        CHECK(rows->rows.size() + rows->unreadable == 2);
        CHECK(rows->rows.back().key == "good");
        CHECK(rows->rows.back().value == "hello");
    }
}

TEST_CASE("a key of another writer does not change the address of the next page")
{
    CHECK(platform::rowsTarget("servers", "") == "/jacinthspindle/rows-get?table=servers&part=");
    CHECK(
        platform::rowsTarget("servers", "i-7_a.b~") == "/jacinthspindle/rows-get?table=servers&part=&from=i-7_a.b~%01");
    CHECK(platform::rowsTarget("servers", "a&to=b c\r\n#%")
        == "/jacinthspindle/rows-get?table=servers&part=&from=a%26to%3Db%20c%0D%0A%23%25%01");
}

TEST_CASE("a conditional write expects the row's version, and an order the number of accepted ones")
{
    CHECK(platform::encodeConditionalWrite("t", "k", "v", 0)
        == R"({"expected":[{"key":"k","part":"","rowVersion":0,"table":"t"}],)"
           R"("puts":[{"key":"k","part":"","table":"t","value":"dg=="}],"remove":[]})");
    CHECK(platform::encodePlaceOrder({ 20, 31 }, 2)
        == R"({"expected":2,"from":20,"operation":"place","strategy":"queue","to":31})");
}

TEST_CASE("the row of a daemon comes out as it went in, and one without a usable address is refused")
{
    PeerHost host { HostId("front-1"), DataCentreId("z1"), "10.1.0.40:7340", 700 };
    CHECK(platform::decodeHost("front-1", platform::encodeHost(host)) == host);
    CHECK_FALSE(platform::decodeHost("front-1", replaced(platform::encodeHost(host), "10.1.0.40:7340", "nowhere")));
    CHECK_FALSE(platform::decodeHost("front-1", "{}"));
    CHECK_FALSE(platform::decodeHost("front-1", "\xff"));
}

TEST_CASE("settings are decoded, and a missing field is named")
{
    const std::string text = R"({"nodeName":"front-1","ip":"10.1.0.40","zone":"z1",
        "listen":{"front":"10.1.0.40:8227","ready":"10.1.0.40:8220","control":"10.1.0.40:8229"},
        "seeds":["10.1.0.40:8229"],"internalPorts":[7340,7355],"limits":{"linkMbps":14.5},
        "bounds":{"graceS":8,"revokeMs":5000,"budgetRatio":0.2,"extraRetries":425,"budgetWindowS":10},"platform":{"address":"10.200.1.7:8223"},"new":1})";
    Reason reason;
    auto settings = platform::decodeSettings(text, reason);
    REQUIRE_MESSAGE(settings, reason.text);
    CHECK(settings->router.host == HostId("front-1"));
    CHECK(settings->router.dataCentre == DataCentreId("z1"));
    CHECK(settings->router.isPreferredPlanner);
    CHECK(settings->router.peerAddress == "10.1.0.40:7340");
    CHECK(settings->router.linkMbps == 14);
    CHECK(settings->router.extraRetries == 425);
    CHECK(settings->router.retryWindow == std::chrono::seconds(10));
    CHECK_MESSAGE(settings->router.changeBound == std::chrono::seconds(2), "no bound is stated");
    auto bounded = platform::decodeSettings(
        replaced(text, "\"graceS\"", R"("configApplyMs":4000,"drainMs":3000,"graceS")"), reason);
    REQUIRE_MESSAGE(bounded, reason.text);
    CHECK(bounded->router.changeBound == std::chrono::seconds(3));
    CHECK(settings->router.shutdownGrace == std::chrono::seconds(8));
    CHECK(settings->storeAddress == "10.200.1.7:8223");
    CHECK_FALSE(platform::decodeSettings(replaced(text, "\"zone\"", "\"place\""), reason));
    CHECK(reason.code == ResultCode::SettingsInvalid);
    CHECK(reason.text.find("zone") != std::string::npos);
}

// An entry of another writer whose layers have no end kept the control thread busy for minutes.
TEST_CASE("an entry of a worker with odd fields names no worker")
{
    auto with = [](const std::string& from, const std::string& to) { return replaced(workerText, from, to); };
    std::string nested(2'000'000, '[');
    for (const auto& text : { with("\"to\":31", "\"to\":4294967295"), with("\"to\":31", "\"to\":4294967296"),
             with("\"to\":31", "\"to\":19"), with("\"to\":31", "\"to\":1e400"), with(":8080", ":0"),
             with(":8080", ":65536"), with(":8080", ":-1"), with("\"slots\":192", "\"slots\":1e300"),
             with("\"born\":1785417659206", "\"born\":18446744073709551616"),
             with("\"models\":[]", "\"models\":" + nested), nested, std::string("\xff\xfe") }) {
        CAPTURE(text.substr(0, 300));
        CHECK_FALSE(platform::decodeWorker("i-1", text));
    }
    // The key goes into a header of each request to the worker.
    for (const std::string key : { "", "i 1", "i-1\r\nX-Tenant: t2", "i-\xc3\xbc" }) {
        CAPTURE(key);
        CHECK_FALSE(platform::decodeWorker(key, workerText));
    }
}

TEST_CASE("fields that the router does not read may be nested deeply in an entry")
{
    std::string nested = std::string(1'000'000, '[') + std::string(1'000'000, ']');
    CHECK(platform::decodeWorker("i-1", replaced(workerText, "\"models\":[]", "\"models\":" + nested)));
}
