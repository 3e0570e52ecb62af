// Tests of the HTTP front over an engine and a service in memory: streams, failures, resumption, actions, bad input,
// bounds and the replay of what was decided.

#include "spindleadapters/Replayer.h"
#include "spindleadapters/TraceCodec.h"
#include "support/DaemonFixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace jacinthspindle;
using namespace jacinthspindle::test;

namespace {

const char* const chatPath = "/v1/chat/completions";

std::vector<std::string> eventIds(const std::string& body)
{
    std::vector<std::string> ids;
    for (size_t pos = body.find("id: "); pos != std::string::npos; pos = body.find("\nid: ", pos + 1)) {
        size_t start = body.find(' ', pos) + 1;
        ids.push_back(body.substr(start, body.find('\n', start) - start));
    }
    return ids;
}

std::string textOf(const std::string& body)
{
    std::string text;
    const std::string mark = "\"content\":\"";
    for (size_t pos = body.find(mark); pos != std::string::npos; pos = body.find(mark, pos + 1))
        text += body.substr(pos + mark.size(), body.find('"', pos + mark.size()) - pos - mark.size());
    return text;
}

bool isWhole(const std::string& body)
{
    return body.size() > 14 && body.substr(body.size() - 14) == "data: [DONE]\n\n";
}

bool hasProblem(const httplib::Result& result, ResultCode code, const char* ran)
{
    return result && result->status == httpStatus(code)
        && result->get_header_value("Content-Type") == "application/problem+json"
        && result->body.find("\"code\":" + std::to_string(static_cast<int>(code)) + ",") != std::string::npos
        && result->body.find("\"ran\":\"" + std::string(ran) + "\"") != std::string::npos;
}

// Sends raw bytes and returns what comes back until the connection closes.
std::string exchangeRaw(uint16_t port, const std::string& bytes)
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    for (size_t sent = 0; sent < bytes.size();) {
        ssize_t n = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            break;
        sent += static_cast<size_t>(n);
    }
    ::shutdown(socket, SHUT_WR);
    std::string answer;
    char buf[4096];
    for (ssize_t n = ::recv(socket, buf, sizeof(buf), 0); n > 0; n = ::recv(socket, buf, sizeof(buf), 0))
        answer.append(buf, static_cast<size_t>(n));
    ::close(socket);
    return answer;
}

} // namespace

TEST_CASE_FIXTURE(DaemonFixture, "a streamed chat carries an id on each event and ends with [DONE]")
{
    auto result = client().Post(chatPath, schoolHeaders, chatBody(4, true), "application/json");
    REQUIRE(result);
    CHECK(result->status == 200);
    CHECK(textOf(result->body) == "t0 t1 t2 t3 ");
    CHECK(isWhole(result->body));
    CHECK(eventIds(result->body).size() == 6);
    CHECK(daemon::parseTraceParent(result->get_header_value("traceparent")));
}

TEST_CASE_FIXTURE(DaemonFixture, "a broken stream continues in the same answer with the next attempt")
{
    engine.breakAt = 2;
    engine.breaks = 1;
    auto result = client().Post(chatPath, schoolHeaders, chatBody(5, true), "application/json");
    REQUIRE(result);
    CHECK(textOf(result->body) == "t0 t1 t2 t3 t4 ");
    CHECK(isWhole(result->body));
    CHECK(engine.runs == 2);
}

TEST_CASE_FIXTURE(DaemonFixture, "attempts that all fail end with a numbered error and without [DONE]")
{
    engine.breakAt = 2;
    engine.breaks = 1000;
    auto result = client().Post(chatPath, schoolHeaders, chatBody(5, true), "application/json");
    REQUIRE(result);
    CHECK(textOf(result->body) == "t0 t1 ");
    CHECK(result->body.find("event: error") != std::string::npos);
    CHECK_FALSE(isWhole(result->body));
    auto whole = client().Post(chatPath, schoolHeaders, chatBody(5, false), "application/json");
    REQUIRE(whole);
    CHECK(whole->status >= 500);
    CHECK(whole->get_header_value("Content-Type") == "application/problem+json");
}

// Guards against the incident 2026-12-04 in this daemon: the engine was left before another attempt was permitted.
TEST_CASE_FIXTURE(DaemonFixture, "a stream is not cut for its engine's silence when no further attempt is permitted")
{
    control.post(RetryReserveChanged { 0 });
    engine.silentAt = 2;
    engine.silence = std::chrono::seconds(5);
    engine.silences = 1;
    auto result = client().Post(chatPath, schoolHeaders, chatBody(5, true), "application/json");
    REQUIRE(result);
    CHECK(textOf(result->body) == "t0 t1 t2 t3 t4 ");
    CHECK(isWhole(result->body));
    CHECK(result->body.find("event: error") == std::string::npos);
}

TEST_CASE("a stream goes on elsewhere when its engine stays silent and another attempt is permitted")
{
    DaemonFixture fixture(4, true);
    fixture.engine.silentAt = 2;
    fixture.engine.silence = std::chrono::hours(1);
    fixture.engine.silences = 1;
    auto client = fixture.client();
    auto result = client.Post(chatPath, schoolHeaders, DaemonFixture::chatBody(5, true), "application/json");
    REQUIRE(result);
    CHECK(textOf(result->body) == "t0 t1 t2 t3 t4 ");
    CHECK(isWhole(result->body));
    CHECK(fixture.engine.runs == 2);
    auto trace = client.Get("/trace");
    REQUIRE(trace);
    Reason reason;
    auto records = decodeRecords(trace->body, reason);
    REQUIRE_MESSAGE(records, reason.text);
    CHECK_FALSE(replayRecords(*records).divergence);
}

TEST_CASE_FIXTURE(
    DaemonFixture, "an engine that stays silent without another permitted attempt is left at the deadline")
{
    control.post(RetryReserveChanged { 0 });
    engine.silentAt = 2;
    engine.silence = std::chrono::hours(1);
    engine.silences = 1;
    auto headers = schoolHeaders;
    headers.emplace("X-Deadline-Ms", "5000");
    auto result = client().Post(chatPath, headers, chatBody(5, true), "application/json");
    REQUIRE(result);
    CHECK(textOf(result->body) == "t0 t1 ");
    CHECK(result->body.find("event: error") != std::string::npos);
    CHECK_FALSE(isWhole(result->body));
    CHECK(engine.runs == 1);
}

TEST_CASE_FIXTURE(DaemonFixture, "no slot stays taken when a stream ends just after another attempt was asked for")
{
    // The core dispatches an attempt that nobody starts. More streams than the route has slots.
    engine.silentAt = 4;
    engine.silence = std::chrono::milliseconds(820);
    for (int i = 0; i < 12; ++i) {
        engine.silences = 1;
        auto result = client().Post(chatPath, schoolHeaders, chatBody(5, true), "application/json");
        REQUIRE(result);
        CHECK(textOf(result->body) == "t0 t1 t2 t3 t4 ");
        CHECK(isWhole(result->body));
    }
}

// Guards against a report of other operators: a begun stream was continued with the text of another engine's error.
TEST_CASE("a begun stream that no engine continues ends with a numbered error and never with an engine's own text")
{
    const EndpointId next("front-b");
    const GenerationEnd ends[] = { { GenerationOutcome::Refused, next, "status 503: {\"error\":\"no slot\"}" },
        { GenerationOutcome::Complete, {}, {} }, { GenerationOutcome::StreamBroken, next, "no slot" },
        { GenerationOutcome::ConnectFailed, next, "no slot" } };
    for (const auto& it : ends) {
        CAPTURE(static_cast<int>(it.outcome));
        DaemonFixture fixture;
        fixture.engine.breakAt = 2;
        fixture.engine.breaks = 1;
        fixture.engine.laterRuns = it;
        auto result
            = fixture.client().Post(chatPath, schoolHeaders, DaemonFixture::chatBody(5, true), "application/json");
        REQUIRE(result);
        CHECK(fixture.engine.runs > 1);
        CHECK(result->status == 200);
        CHECK(textOf(result->body) == "t0 t1 ");
        CHECK(result->body.find("no slot") == std::string::npos);
        CHECK(result->body.find("[DONE]") == std::string::npos);
        auto error = result->body.find("event: error");
        REQUIRE(error != std::string::npos);
        // Two tokens, and the error as the last event.
        CHECK(eventIds(result->body).size() == 3);
        CHECK(result->body.find("\n\n", error) == result->body.size() - 2);
    }
}

TEST_CASE_FIXTURE(DaemonFixture, "a stream resumed at each of its events gives exactly the rest")
{
    auto full = client().Post(chatPath, schoolHeaders, chatBody(4, true), "application/json");
    REQUIRE(full);
    auto ids = eventIds(full->body);
    REQUIRE(ids.size() == 6);
    for (size_t n = 0; n < ids.size(); ++n) {
        CAPTURE(n);
        auto headers = schoolHeaders;
        headers.emplace("Last-Event-ID", ids[n]);
        auto rest = client().Post(chatPath, headers, chatBody(4, true), "application/json");
        REQUIRE(rest);
        std::string expected;
        for (size_t i = n + 1; i < 4; ++i)
            expected += "t" + std::to_string(i) + " ";
        CHECK(textOf(rest->body) == expected);
        CHECK(isWhole(rest->body));
    }
}

TEST_CASE_FIXTURE(DaemonFixture, "a resumed stream never gives other text")
{
    auto full = client().Post(chatPath, schoolHeaders, chatBody(4, true), "application/json");
    REQUIRE(full);
    auto headers = schoolHeaders;
    headers.emplace("Last-Event-ID", eventIds(full->body)[1]);
    engine.otherText = true;
    auto rest = client().Post(chatPath, headers, chatBody(4, true), "application/json");
    REQUIRE(rest);
    CHECK(textOf(rest->body).empty());
    CHECK(rest->body.find("\"code\":403,") != std::string::npos);
    auto otherPrompt = client().Post(chatPath, headers, chatBody(3, true), "application/json");
    CHECK(hasProblem(otherPrompt, ResultCode::CursorInvalid, "not run"));
}

TEST_CASE_FIXTURE(DaemonFixture, "an action runs once and its repetition gets the recorded answer")
{
    auto headers = schoolHeaders;
    CHECK(hasProblem(
        client().Post("/r/loans/book", headers, "flag", "text/plain"), ResultCode::IdempotencyKeyMissing, "not run"));
    headers.emplace("Idempotency-Key", "k1");
    for (int i = 0; i < 3; ++i) {
        auto result = client().Post("/r/loans/book?day=1%202", headers, "flag", "text/plain");
        REQUIRE(result);
        CHECK(result->status == 201);
        CHECK(result->body == "effects 1");
    }
    CHECK(service.lastPath == "/book?day=1%202");
    CHECK(hasProblem(
        client().Post("/r/loans/book", headers, "other", "text/plain"), ResultCode::IdempotencyKeyReused, "not run"));
    CHECK(service.effects == 1);
}

TEST_CASE_FIXTURE(DaemonFixture, "an action with a lost answer is unknown and is not sent again")
{
    service.losesAnswers = true;
    auto headers = schoolHeaders;
    headers.emplace("Idempotency-Key", "k1");
    for (int i = 0; i < 2; ++i) {
        auto result = client().Post("/r/loans/book", headers, "flag", "text/plain");
        REQUIRE(result);
        CHECK(result->body.find("\"ran\":\"unknown\"") != std::string::npos);
    }
    CHECK(service.effects == 1);
}

TEST_CASE_FIXTURE(DaemonFixture, "without the table service an action is refused as not run")
{
    tables.isDown = true;
    auto headers = schoolHeaders;
    headers.emplace("Idempotency-Key", "k1");
    CHECK(hasProblem(
        client().Post("/r/loans/book", headers, "flag", "text/plain"), ResultCode::PlatformUnavailable, "not run"));
    CHECK(service.effects == 0);
}

TEST_CASE_FIXTURE(DaemonFixture, "bad headers, paths and bodies give numbered problems and run nothing")
{
    auto post = [this](const httplib::Headers& headers, const std::string& body, const char* path = chatPath) {
        return client().Post(path, headers, body, "application/json");
    };
    CHECK(hasProblem(post({}, chatBody(3, false)), ResultCode::RequestMalformed, "not run"));
    for (const std::string deadline : { "0", "-1", "600001", "1e3", "x", "99999999999999999999" }) {
        CAPTURE(deadline);
        CHECK(hasProblem(post({ { "X-Workspace", "school" }, { "X-Deadline-Ms", deadline } }, chatBody(3, false)),
            ResultCode::RequestMalformed, "not run"));
    }
    CHECK(hasProblem(post({ { "X-Workspace", std::string(65, 'a') } }, chatBody(3, false)),
        ResultCode::RequestMalformed, "not run"));
    CHECK(
        hasProblem(post({ { "X-Workspace", "nobody" } }, chatBody(3, false)), ResultCode::WorkspaceUnknown, "not run"));
    CHECK(hasProblem(post(schoolHeaders, "{"), ResultCode::RequestMalformed, "not run"));
    CHECK(hasProblem(post(schoolHeaders, R"({"model":"none","prompt":"x"})", "/v1/completions"),
        ResultCode::RouteUnknown, "not run"));
    CHECK(hasProblem(post(schoolHeaders, "x", "/r/none/x"), ResultCode::RouteUnknown, "not run"));
    CHECK(hasProblem(post(schoolHeaders, "x", "/r//x"), ResultCode::RequestMalformed, "not run"));
    CHECK(hasProblem(post(schoolHeaders, "x", "/none"), ResultCode::RouteUnknown, "not run"));
    CHECK(hasProblem(
        post({ { "X-Workspace", "school" }, { "Last-Event-ID", std::string(2000, 'c') } }, chatBody(3, true)),
        ResultCode::CursorInvalid, "not run"));
    CHECK(hasProblem(
        post({ { "X-Workspace", "school" }, { "Idempotency-Key", std::string(256, 'k') } }, "x", "/r/loans/book"),
        ResultCode::RequestMalformed, "not run"));
    CHECK(hasProblem(post({ { "X-Workspace", "school" }, { "Content-Encoding", "gzip" } }, "x"),
        ResultCode::RequestMalformed, "not run"));
    CHECK(hasProblem(post(schoolHeaders, std::string((1 << 20) + 1, 'x')), ResultCode::RequestTooLarge, "not run"));
    CHECK(engine.runs == 0);
    CHECK(service.effects == 0);
}

TEST_CASE_FIXTURE(DaemonFixture, "hostile bytes end a connection and the next request is served")
{
    std::string endlessChunks = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 40; ++i)
        endlessChunks += "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    const std::string cases[] = { "", "\r\n\r\n", std::string(100000, 'A'), "GET / HTTP/9.9\r\n\r\n",
        "GET /healthz HTTP/1.1\r\nX: " + std::string(70000, 'x') + "\r\n\r\n",
        "POST /v1/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\nx",
        "POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nx",
        "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\nx\r\n", std::string(4096, '\0'),
        endlessChunks };
    for (const auto& it : cases) {
        CAPTURE(it.substr(0, 60));
        exchangeRaw(front.port(), it);
        auto result = client().Get("/healthz");
        REQUIRE(result);
        CHECK(result->status == 200);
    }
    CHECK(engine.runs == 0);
}

TEST_CASE_FIXTURE(DaemonFixture, "an address that another daemon serves is refused")
{
    DaemonFixture other;
    daemon::HttpFront second({ other.traffic, other.ledger, other.lifecycle, other.trace, [] { return true; },
                                 [] { return true; }, [] { return std::string(); }, [] {} },
        1);
    Reason reason;
    CHECK_FALSE(second.bind({ "127.0.0.1", front.port() }, reason));
    CHECK(reason.code == ResultCode::SettingsInvalid);
}

TEST_CASE("requests beyond threads and queue are refused at once as not run while operators are answered")
{
    DaemonFixture fixture(1);
    fixture.engine.hold(true);
    std::vector<std::thread> callers;
    constexpr int taken = 9;
    callers.reserve(taken);
    std::atomic<int> whole { 0 };
    // One runs and eight wait, as many as the queue of the smallest server takes.
    for (int i = 0; i < taken; ++i) {
        callers.emplace_back([&] {
            auto client = fixture.client();
            auto result = client.Post(chatPath, schoolHeaders, DaemonFixture::chatBody(3, true), "application/json");
            whole += result && isWhole(result->body) ? 1 : 0;
        });
    }
    // The engine is held, so only a refusal can answer; a request that is queued instead times out and is repeated.
    httplib::Result refused(nullptr, httplib::Error::Unknown);
    while (!refused) {
        auto client = fixture.client();
        client.set_read_timeout(0, 200000);
        refused = client.Post(chatPath, schoolHeaders, "{}", "application/json");
    }
    CHECK(hasProblem(refused, ResultCode::QueueFull, "not run"));
    CHECK(refused->has_header("Retry-After"));
    auto health = fixture.client().Get("/healthz");
    REQUIRE(health);
    CHECK(health->status == 200);
    fixture.engine.hold(false);
    for (auto& it : callers)
        it.join();
    CHECK(whole >= 1);
}

TEST_CASE_FIXTURE(DaemonFixture, "stopping the front lets requests in progress end whole")
{
    engine.hold(true);
    std::string body;
    std::thread caller([&] {
        auto result = client().Post(chatPath, schoolHeaders, chatBody(3, true), "application/json");
        body = result ? result->body : "";
    });
    while (engine.runs == 0)
        std::this_thread::yield();
    std::thread stopper([&] { front.stop(); });
    engine.hold(false);
    stopper.join();
    caller.join();
    CHECK(isWhole(body));
    CHECK(textOf(body) == "t0 t1 t2 ");
}

TEST_CASE("the trace from /trace replays without divergence")
{
    DaemonFixture fixture(4, true);
    auto client = [&] { return fixture.client(); };
    fixture.engine.breakAt = 1;
    fixture.engine.breaks = 1;
    REQUIRE(client().Post(chatPath, schoolHeaders, DaemonFixture::chatBody(40, true), "application/json"));
    auto headers = schoolHeaders;
    headers.emplace("Idempotency-Key", "k1");
    REQUIRE(client().Post("/r/loans/book", headers, "flag", "text/plain"));
    auto answer = client().Get("/trace");
    REQUIRE(answer);
    Reason reason;
    auto records = decodeRecords(answer->body, reason);
    REQUIRE_MESSAGE(records, reason.text);
    CHECK(records->front().kind == TraceKind::CoreConfig);
    auto report = replayRecords(*records);
    CHECK(report.decisions >= 3);
    CHECK(report.gaps == 0);
    CHECK_FALSE(report.divergence);
    auto last = records->back().sequence;
    auto rest = client().Get("/trace?after=" + std::to_string(last));
    REQUIRE(rest);
    auto newer = decodeRecords(rest->body, reason);
    REQUIRE(newer);
    CHECK((newer->empty() || newer->front().sequence == last + 1));
    CHECK(hasProblem(client().Get("/trace?after=x"), ResultCode::RequestMalformed, "not run"));
}
