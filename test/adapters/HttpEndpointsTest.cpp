// Tests of the engine and service adapters against streams and answers that stall, break, lie or never end.

#include "support/ScriptedServer.h"

#include <doctest/doctest.h>
#include <spindleadapters/internal/EndpointJson.h>
#include <spindleadapters/spindleadapters.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::AfterAnswer;
using test::chunk;
using test::chunkedHead;
using test::httpAnswer;
using test::ScriptedServer;

namespace {

constexpr auto generous = 20000ms;
constexpr auto shortLimit = 200ms;

GenerationCall sampleCall(const std::string& address)
{
    GenerationCall call;
    call.request = RequestId("r1");
    call.attempt = 2;
    call.model = "m";
    call.version = "v1";
    call.prompt = "hello";
    call.maxTokens = 3;
    call.chain
        = { { { EndpointId("front"), { 0, 4 } }, address }, { { EndpointId("back"), { 4, 8 } }, "127.0.0.1:1" } };
    return call;
}

std::string tokenLine(uint32_t position, bool isLast = false, const std::string& request = "r1", uint32_t attempt = 2)
{
    TokenEvent event { RequestId(request), attempt, position, "word", isLast,
        { { EndpointId("front"), { 0, 4 }, "v1", attempt }, { EndpointId("back"), { 4, 8 }, "v1", attempt } } };
    return *internal::encodeStreamLine(event) + "\n";
}

const std::string endChunk = "0\r\n\r\n";

struct RunResult {
    GenerationEnd end;
    std::vector<TokenEvent> tokens;
};

RunResult runAgainst(const ScriptedServer& server, std::chrono::milliseconds stallLimit = generous,
    size_t stopAfter = SIZE_MAX, const SilenceHandler& onSilence = nullptr)
{
    RunResult result;
    HttpModelEngine engine;
    result.end = engine.run(
        sampleCall(server.address()),
        [&](const TokenEvent& event) {
            result.tokens.push_back(event);
            return result.tokens.size() >= stopAfter ? StreamControl::Stop : StreamControl::Continue;
        },
        stallLimit, onSilence);
    return result;
}

GenerationEnd endAgainst(const std::string& answer)
{
    ScriptedServer server(answer);
    return runAgainst(server).end;
}

ServiceCall sampleServiceCall(const std::string& address)
{
    ServiceCall call;
    call.address = address;
    call.method = "POST";
    call.path = "/bookings?x=%41+b";
    call.contentType = "application/json";
    call.body = "{}";
    call.idempotencyKey = "k 1";
    call.fence = 3;
    return call;
}

ServiceAnswer callAgainst(const std::string& answer)
{
    ScriptedServer server(answer);
    return HttpPlainService().call(sampleServiceCall(server.address()), generous);
}

LookupAnswer lookupAgainst(const std::string& answer)
{
    ScriptedServer server(answer);
    return HttpPlainService().lookup(sampleServiceCall(server.address()), generous);
}

} // namespace

TEST_CASE("a whole stream hands on each token with its proof, whatever the chunks are")
{
    auto lines = tokenLine(0) + tokenLine(1) + tokenLine(2, true);
    std::string single;
    for (char c : lines)
        single += chunk({ c });
    for (const auto& body : { chunk(lines), chunk(lines.substr(0, 50)) + chunk(lines.substr(50)), single }) {
        auto answer = chunkedHead();
        answer += body;
        answer += endChunk;
        ScriptedServer server(answer);
        auto result = runAgainst(server);
        CHECK(result.end.outcome == GenerationOutcome::Complete);
        REQUIRE(result.tokens.size() == 3);
        CHECK(result.tokens[2].isLast);
        CHECK(result.tokens[1].proof[1] == StageProof { EndpointId("back"), { 4, 8 }, "v1", 2 });
    }
}

TEST_CASE("the call of a chain is decoded as it was encoded")
{
    auto call = sampleCall("127.0.0.1:7");
    call.seed = UINT64_MAX;
    call.prefix = "line\n\"quoted\"";
    auto json = internal::encodeGenerationCall(call);
    REQUIRE(json);
    auto decoded = internal::decodeGenerationCall(*json);
    REQUIRE(decoded);
    CHECK(decoded->seed == call.seed);
    CHECK(decoded->prefix == call.prefix);
    CHECK(decoded->chain[1].stage == call.chain[1].stage);
    CHECK(decoded->chain[1].address == call.chain[1].address);
}

TEST_CASE("a stream that ends before its last token is broken, also when the end is marked")
{
    for (const auto& it : { chunkedHead() + chunk(tokenLine(0)) + endChunk, chunkedHead() + chunk(tokenLine(0)),
             chunkedHead() + chunk(tokenLine(0).substr(0, 30)), chunkedHead(), std::string("HTTP/1.1 200 OK\r\n"),
             std::string(), "HTTP/1.1 200 OK\r\n\r\n" + tokenLine(0) }) {
        CAPTURE(it);
        auto end = endAgainst(it);
        CHECK(end.outcome == GenerationOutcome::StreamBroken);
        CHECK(end.endpoint == EndpointId("front"));
    }
}

TEST_CASE("a last token of another request or attempt does not complete the stream")
{
    for (const auto& it : { tokenLine(2, true, "r2"), tokenLine(2, true, "r1", 1) }) {
        CAPTURE(it);
        CHECK(endAgainst(chunkedHead() + chunk(it) + endChunk).outcome == GenerationOutcome::StreamBroken);
    }
}

TEST_CASE("a fault line names the endpoint at fault")
{
    auto line = *internal::encodeStreamLine(
        internal::StreamFault { EndpointId("back"), GenerationOutcome::ConnectFailed, "refused" });
    auto end = endAgainst(chunkedHead() + chunk(tokenLine(0) + line + "\n") + endChunk);
    CHECK(end.outcome == GenerationOutcome::ConnectFailed);
    CHECK(end.endpoint == EndpointId("back"));
    CHECK(end.text == "refused");
}

TEST_CASE("malformed and oversized lines break the stream off")
{
    auto valid = tokenLine(0);
    std::vector<std::string> lines { "\n", "{}\n", "[]\n", "null\n", "{\"fault\":{}}\n", "{\"fault\":null}\n",
        "{\"fault\":{\"endpoint\":\"a\",\"kind\":\"stopped\",\"text\":\"\"}}\n", "\xff\xfe\n", "{\"position\":1}\n",
        valid.substr(0, valid.size() - 2) + "\n", std::string(100000, '[') + "\n", std::string(3 << 20, 'x') };
    auto negative = valid;
    negative.replace(negative.find("\"position\":0"), 12, "\"position\":-1");
    lines.push_back(negative);
    auto large = valid;
    large.replace(large.find("\"position\":0"), 12, "\"position\":4294967296");
    lines.push_back(large);
    for (const auto& it : lines) {
        CAPTURE(it.substr(0, 100));
        auto end = endAgainst(chunkedHead() + chunk(it) + endChunk);
        CHECK(end.outcome == GenerationOutcome::StreamBroken);
    }
}

TEST_CASE("the verdict Stop ends the stream at once although the engine goes on")
{
    ScriptedServer server(chunkedHead() + chunk(tokenLine(0) + tokenLine(1)), AfterAnswer::Hold);
    auto result = runAgainst(server, generous, 1);
    CHECK(result.end.outcome == GenerationOutcome::Stopped);
    CHECK(result.tokens.size() == 1);
}

TEST_CASE("no token within the stall limit ends the call as stalled, also when other bytes arrive")
{
    ScriptedServer silent("", AfterAnswer::Hold);
    ScriptedServer headOnly(chunkedHead(), AfterAnswer::Hold);
    ScriptedServer oneToken(chunkedHead() + chunk(tokenLine(0)), AfterAnswer::Hold);
    ScriptedServer slow(chunkedHead() + chunk(std::string(5000, ' ')), AfterAnswer::Close, 20ms);
    for (const auto* it : { &silent, &headOnly, &oneToken, &slow }) {
        auto start = std::chrono::steady_clock::now();
        auto end = runAgainst(*it, shortLimit).end;
        CHECK(end.outcome == GenerationOutcome::Stalled);
        CHECK(end.endpoint.isEmpty());
        CHECK(std::chrono::steady_clock::now() - start < generous);
    }
}

TEST_CASE("a silent engine is left when the handler says so, and a stream that goes on is read on")
{
    ScriptedServer silent("", AfterAnswer::Hold);
    ScriptedServer oneToken(chunkedHead() + chunk(tokenLine(0)), AfterAnswer::Hold);
    for (const auto* it : { &silent, &oneToken }) {
        int asked = 0;
        auto result = runAgainst(
            *it, shortLimit, SIZE_MAX, [&] { return ++asked < 5 ? StreamControl::Continue : StreamControl::Stop; });
        CHECK(result.end.outcome == GenerationOutcome::Stalled);
        CHECK(asked == 5);
    }
    // The second token comes only after the handler was asked three times, however slow the machine is.
    ScriptedServer server(chunkedHead() + chunk(tokenLine(0)), AfterAnswer::Hold);
    int asked = 0;
    auto result = runAgainst(server, shortLimit, SIZE_MAX, [&] {
        if (++asked == 3)
            server.goOn(chunk(tokenLine(1, true)) + endChunk);
        return StreamControl::Continue;
    });
    CHECK(result.end.outcome == GenerationOutcome::Complete);
    CHECK(result.tokens.size() == 2);
    CHECK(asked >= 3);
}

TEST_CASE("a stream may last longer than the stall limit while tokens arrive")
{
    // 12 tokens of 300 ms each, against a limit that leaves 2 s for the delays of a busy machine.
    std::string body;
    for (uint32_t i = 0; i < 12; ++i)
        body += chunk(tokenLine(i, i == 11));
    ScriptedServer server(chunkedHead() + body + endChunk, AfterAnswer::Close, 300ms, body.size() / 12);
    auto start = std::chrono::steady_clock::now();
    CHECK(runAgainst(server, 2500ms).end.outcome == GenerationOutcome::Complete);
    CHECK(std::chrono::steady_clock::now() - start > 2500ms);
}

TEST_CASE("a chain whose first hop cannot be reached has not started")
{
    HttpModelEngine engine;
    auto onToken = [](const TokenEvent&) { return StreamControl::Continue; };
    auto end = engine.run(sampleCall(test::closedAddress()), onToken, generous, nullptr);
    CHECK(end.outcome == GenerationOutcome::ConnectFailed);
    CHECK(end.endpoint == EndpointId("front"));
    CHECK(endAgainst(httpAnswer("503 Busy", "no slot")).outcome == GenerationOutcome::Refused);
    CHECK(endAgainst(httpAnswer("503 Busy", std::string(1 << 20, 'x'))).outcome == GenerationOutcome::Refused);
    auto call = sampleCall(test::closedAddress());
    call.prompt = "\xff";
    CHECK(engine.run(call, onToken, generous, nullptr).outcome == GenerationOutcome::Refused);
    call.chain.clear();
    CHECK(engine.run(call, onToken, generous, nullptr).outcome == GenerationOutcome::ConnectFailed);
}

TEST_CASE("a status is read as a whole or not at all")
{
    EngineStatus status;
    status.waiting = 7;
    status.cachedPrefixes = { UINT64_MAX };
    status.age = 250ms;
    auto json = *internal::encodeEngineStatus(status);
    ScriptedServer server(httpAnswer("200 OK", json));
    auto read = HttpModelEngine().status(server.address(), generous);
    REQUIRE(read);
    CHECK(read->waiting == 7);
    CHECK(read->cachedPrefixes == status.cachedPrefixes);
    CHECK(read->age == 250ms);
    for (size_t n = 0; n < json.size(); ++n) {
        CAPTURE(n);
        CHECK_FALSE(internal::decodeEngineStatus(json.substr(0, n)));
    }
}

TEST_CASE("an order that was sent and not answered whole is unknown")
{
    auto order = [](const std::string& answer) {
        ScriptedServer server(answer);
        EngineOrder call;
        call.address = server.address();
        return HttpModelEngine().order(call, generous);
    };
    CHECK(order(httpAnswer("200 OK", "{}")) == OrderOutcome::Accepted);
    CHECK(order(httpAnswer("409 Conflict", "")) == OrderOutcome::RefusedFence);
    CHECK(order(httpAnswer("400 Bad", "")) == OrderOutcome::Failed);
    CHECK(order("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n") == OrderOutcome::Unknown);
    EngineOrder unsent;
    unsent.address = test::closedAddress();
    CHECK(HttpModelEngine().order(unsent, generous) == OrderOutcome::Failed);
}

TEST_CASE("a service call passes path, key and fencing token on unchanged")
{
    ScriptedServer server(httpAnswer("201 Created", "{\"booking\":1}", "Content-Type: application/json\r\n"));
    auto answer = HttpPlainService().call(sampleServiceCall(server.address()), generous);
    CHECK(answer == ServiceAnswer { ServiceOutcome::Answered, 201, "application/json", "{\"booking\":1}" });
    auto request = server.lastRequest();
    CAPTURE(request);
    CHECK(request.starts_with("POST /bookings?x=%41+b HTTP/1.1\r\n"));
    CHECK(request.find("Idempotency-Key: k 1\r\n") != std::string::npos);
    CHECK(request.find("X-Fencing-Token: 3\r\n") != std::string::npos);
}

// TWICE: an action by PUT was sent again when the server closed the kept connection.
TEST_CASE("an action takes no kept connection and is never sent again")
{
    // The server closes a connection when its second request arrives, and accepts no other one before.
    ScriptedServer server(httpAnswer("200 OK", "{}"), AfterAnswer::Hold);
    auto call = sampleServiceCall(server.address());
    call.method = "PUT";
    REQUIRE(HttpPlainService().lookup(call, generous).outcome == LookupOutcome::Found);
    CHECK(HttpPlainService().call(call, shortLimit).outcome == ServiceOutcome::Unknown);
    CHECK(server.lastRequest().starts_with("GET "));
}

// A second copy of a refusal, late on the kept connection, answered an action that ran.
TEST_CASE("each action has a connection of its own")
{
    for (const char* status : { "503 Busy", "201 Created" }) {
        CAPTURE(status);
        ScriptedServer server(httpAnswer(status, "{}"), AfterAnswer::Hold);
        for (uint32_t n = 1; n <= 2; ++n) {
            CHECK(HttpPlainService().call(sampleServiceCall(server.address()), generous).outcome
                == ServiceOutcome::Answered);
            CHECK(server.connections() == n);
        }
    }
}

TEST_CASE("a service call that cannot be sent as it is was not sent")
{
    CHECK(
        HttpPlainService().call(sampleServiceCall(test::closedAddress()), generous).outcome == ServiceOutcome::NotSent);
    ScriptedServer server(httpAnswer("200 OK", ""));
    auto refused = [&](auto change) {
        auto call = sampleServiceCall(server.address());
        change(call);
        return HttpPlainService().call(call, generous).outcome == ServiceOutcome::NotSent;
    };
    CHECK(refused([](ServiceCall& it) { it.idempotencyKey = "k\r\nX-Fencing-Token: 9"; }));
    CHECK(refused([](ServiceCall& it) { it.path = "/a HTTP/1.1\r\nX: y"; }));
    CHECK(refused([](ServiceCall& it) { it.path = "a"; }));
    CHECK(refused([](ServiceCall& it) { it.method = "GET /x"; }));
    CHECK(refused([](ServiceCall& it) { it.method.clear(); }));
    CHECK(refused([](ServiceCall& it) { it.contentType = "a\nb"; }));
    CHECK(refused([](ServiceCall& it) { it.traceParent = "a\nb"; }));
    CHECK(server.connections() == 0);
}

TEST_CASE("a service call without a whole answer is unknown")
{
    for (const auto& it : { std::string(), std::string("HTTP/1.1 201 Created\r\n\r\n{\"booking\""),
             std::string("HTTP/1.1 201 Created\r\nContent-Length: 20\r\n\r\n{\"booking\""),
             std::string("garbage\r\n\r\n") }) {
        CAPTURE(it);
        CHECK(callAgainst(it).outcome == ServiceOutcome::Unknown);
    }
    ScriptedServer silent("", AfterAnswer::Hold);
    CHECK(HttpPlainService().call(sampleServiceCall(silent.address()), shortLimit).outcome == ServiceOutcome::Unknown);
    CHECK(callAgainst(httpAnswer("500 Error", "x")).status == 500);
}

// MIXED: workers in trouble wrote answers whose status was 000, which were taken for answers.
TEST_CASE("a service answer with a status that does not exist is unknown")
{
    for (const char* status : { "000 Nothing", "001 Low", "099 Low", "101 Switching Protocols", "600 High", "999 High",
             "+20 Sign", "-20 Sign", "20 Short", "2000 Long", "20x Letter", "x", "" }) {
        CAPTURE(status);
        auto answer = callAgainst(httpAnswer(status, "text"));
        CHECK(answer.outcome == ServiceOutcome::Unknown);
    }
    CHECK(callAgainst(httpAnswer("200 ", "text")).outcome == ServiceOutcome::Answered);
    CHECK(callAgainst(httpAnswer("599 Odd", "text")).outcome == ServiceOutcome::Answered);
}

TEST_CASE("only a marked 412 is a refused fencing token")
{
    CHECK(callAgainst(httpAnswer("412 No", "", "X-Fencing-Refused: true\r\n")).outcome == ServiceOutcome::RefusedFence);
    CHECK(callAgainst(httpAnswer("412 No", "")).outcome == ServiceOutcome::Answered);
}

TEST_CASE("a lookup says found or not found only by a whole answer")
{
    auto found = lookupAgainst(httpAnswer("200 OK", "{}", "X-Action-Status: 201\r\n"));
    CHECK(found.outcome == LookupOutcome::Found);
    CHECK(found.recorded.status == 201);
    CHECK(lookupAgainst(httpAnswer("200 OK", "{}", "X-Action-Status: 9999\r\n")).recorded.status == 200);
    CHECK(lookupAgainst(httpAnswer("404 None", "")).outcome == LookupOutcome::NotFound);
    for (const auto& it : { std::string(), std::string("HTTP/1.1 404 None\r\n\r\n"), httpAnswer("500 Error", ""),
             httpAnswer("412 No", "", "X-Fencing-Refused: true\r\n") }) {
        CAPTURE(it);
        CHECK(lookupAgainst(it).outcome == LookupOutcome::Unavailable);
    }
}
