// Tests of the platform's adapters against servers that answer wrongly, late, in part or not at all.

#include "support/ScriptedServer.h"

#include <doctest/doctest.h>
#include <spindleadapters/spindleadapters.h>
#include <sys/resource.h>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::AfterAnswer;
using test::httpAnswer;
using test::ScriptedServer;

namespace {

// Long enough for a busy machine; only the cases that test a time-out wait for theirs.
constexpr auto generous = 20000ms;
constexpr auto shortTimeout = 200ms;

Transaction sampleTransaction()
{
    return { { { "action/school/k1", 0 } }, { { "action/school/k1", std::string("\0\xff", 2) } } };
}

CommitOutcome commitAgainst(const std::string& answer)
{
    ScriptedServer server(answer);
    return HttpTableService(server.address()).commit(sampleTransaction(), generous);
}

ReadAnswer readAgainst(const std::string& answer)
{
    ScriptedServer server(answer);
    return HttpTableService(server.address()).read("k", generous);
}

std::string row(const std::string& key, const std::string& value = "YQ==", const std::string& version = "1")
{
    return R"({"key":")" + key + R"(","value":")" + value + R"(","version":)" + version + "}";
}

// Answers that are no whole HTTP answer, or none that ends where it says.
const std::vector<std::string> brokenAnswers { "", "\r\n\r\n", "HTTP/1.1 ", "HTTP/1.1 200 OK\r\n", "HTTP/9 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{}", "HTTP/1.1 200 OK\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n{}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", std::string(100000, 'x'),
    std::string("\0\0\0\0", 4), "HTTP/1.1 200 OK\r\n" + std::string(100000, 'h') };

} // namespace

TEST_CASE("a commit that was certainly not sent is unavailable")
{
    CHECK(HttpTableService(test::closedAddress()).commit(sampleTransaction(), generous) == CommitOutcome::Unavailable);
    for (const char* address : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:80x", "localhost:80" }) {
        CAPTURE(address);
        CHECK(HttpTableService(address).commit(sampleTransaction(), generous) == CommitOutcome::Unavailable);
    }
    Transaction notText { {}, { { "\xff\xfe", "value" } } };
    CHECK(HttpTableService(test::closedAddress()).commit(notText, generous) == CommitOutcome::Unavailable);
}

TEST_CASE("a commit that was sent and not answered whole is unknown")
{
    for (const auto& it : brokenAnswers) {
        CAPTURE(it.substr(0, 80));
        CHECK(commitAgainst(it) == CommitOutcome::Unknown);
    }
    for (const char* status : { "500 Error", "503 Busy", "204 Empty", "302 Moved", "400 Bad" }) {
        CAPTURE(status);
        CHECK(commitAgainst(httpAnswer(status, "{}")) == CommitOutcome::Unknown);
    }
}

TEST_CASE("a commit is decided by a whole 200 or 409 and sends its values as base64")
{
    ScriptedServer server(httpAnswer("200 OK", "{}"));
    CHECK(HttpTableService(server.address()).commit(sampleTransaction(), generous) == CommitOutcome::Committed);
    CHECK(server.lastRequest().find(R"("value":"AP8=")") != std::string::npos);
    CHECK(commitAgainst(httpAnswer("409 Conflict", "")) == CommitOutcome::Conflict);
}

TEST_CASE("a time-out covers the whole call, also when the server sends a byte at a time")
{
    ScriptedServer silent("", AfterAnswer::Hold);
    ScriptedServer slow(httpAnswer("200 OK", "{}", std::string(5000, 'h') + ": x\r\n"), AfterAnswer::Close, 20ms);
    for (const auto* it : { &silent, &slow }) {
        auto start = std::chrono::steady_clock::now();
        CHECK(HttpTableService(it->address()).commit(sampleTransaction(), shortTimeout) == CommitOutcome::Unknown);
        CHECK(std::chrono::steady_clock::now() - start < generous);
    }
}

TEST_CASE("a row is found or absent only by a whole answer about the same key")
{
    auto found = readAgainst(httpAnswer("200 OK", row("k", "AP8=", "18446744073709551615")));
    CHECK(found.outcome == ReadOutcome::Found);
    CHECK(found.row.value == std::string("\0\xff", 2));
    CHECK(found.row.version == UINT64_MAX);
    CHECK(readAgainst(httpAnswer("404 None", "")).outcome == ReadOutcome::Absent);
    std::vector<std::string> bodies { row("other"), row("k", "YQ="), row("k", "Y!=="), row("k", " YQ=="),
        row("k", "YQ==", "0"), row("k", "YQ==", "-1"), row("k", "YQ==", "1.5"), row("k", "YQ==", "1e3"),
        row("k", "YQ==", "18446744073709551616"), row("k", "YQ==", "\"1\""), "[]", "null", "{}", "", "\xff",
        row("k") + row("k"), std::string(200000, '['), R"({"key":["k"],"value":"YQ==","version":1})" };
    for (const auto& it : bodies) {
        CAPTURE(it.substr(0, 80));
        CHECK(readAgainst(httpAnswer("200 OK", it)).outcome == ReadOutcome::Unavailable);
    }
    for (const auto& it : brokenAnswers) {
        CAPTURE(it.substr(0, 80));
        CHECK(readAgainst(it).outcome == ReadOutcome::Unavailable);
    }
    CHECK(HttpTableService(test::closedAddress()).read("k", generous).outcome == ReadOutcome::Unavailable);
}

TEST_CASE("a scan with rows out of order, out of range or above the limit is refused")
{
    auto scan = [](const std::string& rows) {
        ScriptedServer server(httpAnswer("200 OK", R"({"rows":[)" + rows + "]}"));
        return HttpTableService(server.address()).scan("a/", "a/1", 2, generous);
    };
    auto rows = scan(row("a/2") + "," + row("a/3"));
    REQUIRE(rows);
    CHECK(rows->back().key == "a/3");
    CHECK(scan("")->empty());
    CHECK_FALSE(scan(row("a/3") + "," + row("a/2")));
    CHECK_FALSE(scan(row("a/1")));
    CHECK_FALSE(scan(row("b/2")));
    CHECK_FALSE(scan(row("a/2") + "," + row("a/3") + "," + row("a/4")));
    CHECK_FALSE(scan(row("a/2") + ",1"));
}

TEST_CASE("keys and names are sent in encoded form")
{
    // The server closes after its answer and says so: the client could otherwise reuse a connection that is closing.
    ScriptedServer server(httpAnswer("404 None", "", "Connection: close\r\n"));
    HttpTableService(server.address()).read("a b&limit=1#\r\nX: y", generous);
    CHECK(server.lastRequest().starts_with("GET /table/row?key=a%20b%26limit%3D1%23%0D%0AX%3A%20y HTTP/1.1\r\n"));
    HttpObjectStore(server.address()).get("trace/h%2E1/7?x", generous);
    CHECK(server.lastRequest().starts_with("GET /objects/trace%2Fh%252E1%2F7%3Fx HTTP/1.1\r\n"));
}

TEST_CASE("objects are stored and read only by whole answers")
{
    ScriptedServer server(httpAnswer("200 OK", std::string("\0bytes", 6)));
    HttpObjectStore store(server.address());
    CHECK(store.get("name", generous) == std::string("\0bytes", 6));
    CHECK(store.put("name", "bytes", generous));
    CHECK_FALSE(store.list("", generous));
    for (const auto& it : brokenAnswers) {
        CAPTURE(it.substr(0, 80));
        ScriptedServer broken(it);
        CHECK_FALSE(HttpObjectStore(broken.address()).get("name", generous));
        CHECK_FALSE(HttpObjectStore(broken.address()).put("name", "bytes", generous));
    }
    ScriptedServer names(httpAnswer("200 OK", R"({"names":["t/1","t/2"]})"));
    CHECK(HttpObjectStore(names.address()).list("t/", generous)->size() == 2);
    CHECK_FALSE(HttpObjectStore(names.address()).list("u/", generous));
}

// A put failed because the server closed the connection that was kept after the get.
TEST_CASE("an idempotent call is sent again over a new connection when the kept one ends before the answer")
{
    // The server closes a connection when its second request arrives.
    ScriptedServer server(httpAnswer("200 OK", "bytes"), AfterAnswer::Hold);
    HttpObjectStore store(server.address());
    REQUIRE(store.get("name", generous));
    CHECK(store.put("name", "bytes", generous));
    CHECK(server.connections() == 2);
    CHECK(store.get("name", generous));
    CHECK(server.connections() == 3);
}

// An answer that was written once more, late, would decide a commit that never ran.
TEST_CASE("a commit takes no connection on which another call was answered")
{
    ScriptedServer server(httpAnswer("200 OK", "{}"), AfterAnswer::Hold);
    HttpTableService table(server.address());
    REQUIRE(table.commit(sampleTransaction(), generous) == CommitOutcome::Committed);
    CHECK(table.commit(sampleTransaction(), generous) == CommitOutcome::Committed);
    CHECK(server.connections() == 2);
}

// A refusal that was written once more, late, was taken for the answer of the next call.
TEST_CASE("no connection is kept after a refusal")
{
    for (const char* status : { "503 Busy", "404 None", "409 Conflict" }) {
        CAPTURE(status);
        ScriptedServer server(httpAnswer(status, "{}"), AfterAnswer::Hold);
        CHECK_FALSE(HttpObjectStore(server.address()).get("name", generous));
        auto end = std::chrono::steady_clock::now() + 5s;
        while (!server.ended() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(5ms);
        CHECK(server.ended() == 1);
    }
}

// A server that stops in the middle of an answer, at each of its bytes.
TEST_CASE("an answer that is cut anywhere is no success")
{
    std::vector<std::string> answers { httpAnswer("200 OK", "body"),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0a\r\n0123456789\r\n0\r\n\r\n" };
    for (const auto& whole : answers) {
        for (auto after : { AfterAnswer::Close, AfterAnswer::Reset }) {
            for (size_t n = 0; n < whole.size(); ++n) {
                CAPTURE(whole.substr(0, n));
                ScriptedServer server(whole.substr(0, n), after);
                CHECK_FALSE(HttpObjectStore(server.address()).get("name", generous));
            }
        }
    }
}

// MIXED: the library does not know 103 and took it for the answer.
TEST_CASE("interim answers are passed over")
{
    for (const char* interim : { "100 Continue", "102 Processing", "103 Early Hints" }) {
        CAPTURE(interim);
        ScriptedServer server(std::string("HTTP/1.1 ") + interim + "\r\n\r\n" + httpAnswer("200 OK", "bytes"));
        CHECK(HttpObjectStore(server.address()).get("name", generous) == "bytes");
    }
}

// Interim answers without end would hold a call of a stream, whose deadline moves, for ever.
TEST_CASE("more than three interim answers end a call")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    ScriptedServer three(interim + interim + interim + httpAnswer("200 OK", "bytes"));
    CHECK(HttpObjectStore(three.address()).get("name", generous) == "bytes");
    ScriptedServer four(interim + interim + interim + interim + httpAnswer("200 OK", "bytes"));
    CHECK_FALSE(HttpObjectStore(four.address()).get("name", generous));
}

// Framing without end was read into memory until the time of the call was over.
TEST_CASE("an answer whose framing has no end is broken off")
{
    ScriptedServer server(test::chunkedHead() + "1;" + std::string(1 << 20, 'x'), AfterAnswer::Hold);
    auto start = std::chrono::steady_clock::now();
    CHECK_FALSE(HttpObjectStore(server.address()).get("name", generous));
    CHECK(std::chrono::steady_clock::now() - start < generous / 2);
}

// The exception of a process without descriptors ended it.
TEST_CASE("a call of a process that is out of descriptors was not sent")
{
    rlimit limit {};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    rlimit none { 0, limit.rlim_max };
    setrlimit(RLIMIT_NOFILE, &none);
    auto outcome = HttpTableService(test::closedAddress()).commit(sampleTransaction(), generous);
    setrlimit(RLIMIT_NOFILE, &limit);
    CHECK(outcome == CommitOutcome::Unavailable);
}

TEST_CASE("an answer above the size limit is broken off")
{
    // 70 MB, more than the 64 MB that an answer may have.
    ScriptedServer server(httpAnswer("200 OK", std::string(70 << 20, 'x')));
    CHECK_FALSE(HttpObjectStore(server.address()).get("name", generous));
}

TEST_CASE("a host list is read as a whole or not at all")
{
    auto hosts = [](const std::string& list) {
        ScriptedServer server(httpAnswer("200 OK", R"({"hosts":[)" + list + "]}"));
        return HttpHostList(server.address()).hosts(generous);
    };
    std::string entry = R"({"kind":"entry","name":"e1","dataCentre":"north","peerAddress":"127.0.0.1:1",)"
                        R"("httpAddress":"127.0.0.1:2","leaving":true})";
    std::string endpoint = R"({"kind":"endpoint","name":"front","dataCentre":"north","leaving":false})";
    auto list = hosts(entry + "," + endpoint);
    REQUIRE(list);
    CHECK(list->front().httpAddress == "127.0.0.1:2");
    CHECK(list->front().leaving);
    CHECK(list->back().kind == HostKind::Endpoint);
    CHECK_FALSE(hosts(entry + R"(,{"kind":"router","name":"x","dataCentre":"north","leaving":false})"));
    CHECK_FALSE(hosts(entry + R"(,{"kind":"endpoint","name":"x","dataCentre":"north","leaving":0})"));
}

TEST_CASE("bytes that a server sends after its answer are not taken for the next answer")
{
    std::string surplus;
    while (surplus.size() < 20000) // More than the client reads at once.
        surplus += httpAnswer("200 OK", row("k"));
    ScriptedServer server(httpAnswer("404 None", "") + surplus, AfterAnswer::Hold);
    HttpTableService service(server.address());
    CHECK(service.read("k", generous).outcome == ReadOutcome::Absent);
    CHECK(service.read("k", generous).outcome == ReadOutcome::Absent);
    CHECK(server.connections() == 2);
}
