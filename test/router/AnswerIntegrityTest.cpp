// Tests of answers that break off, are written twice, or do not belong to the stream that has begun.

#include "support/PausingEngine.h"
#include "support/RouterFixture.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::test;

namespace {

std::string identityOf(const std::string& request)
{
    return "X-Request-Id: " + headerOf(request, "X-Request-Id") + "\r\nX-Signature: s\r\n";
}

std::string streamHead(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\n" + identityOf(request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string wholeStream(const std::string& request)
{
    return streamHead(request) + chunk(PausingEngine::event(1)) + "0\r\n\r\n";
}

} // namespace

// ORDER and MIXED: the next engine's error or other answer was joined to the stream, or ended it as a whole one.
TEST_CASE("an answer that is no stream neither joins nor ends a stream that has begun")
{
    const std::string body(200000, 'x');
    const std::pair<const char*, std::string> answers[]
        = { { "409 Conflict", "error text" }, { "504 Gateway Timeout", "error text" },
              { "500 Internal Server Error", "error text" }, { "200 OK", "short" }, { "200 OK", body } };
    for (const auto& [status, text] : answers) {
        CAPTURE(status);
        CAPTURE(text.size());
        auto engine = [&](const std::string& request) {
            if (headerOf(request, "Last-Event-ID").empty())
                return streamHead(request) + chunk(PausingEngine::event(1));
            return ownAnswer(request, status, text);
        };
        ScriptedServer first(engine);
        ScriptedServer second(engine);
        RouterFixture router;
        router.start(
            { endpointAt("e1", "assistant", first.address()), endpointAt("e2", "assistant", second.address()) });
        auto answer = router.send(requestText("POST", "/ask/1", "r1", "question"));
        CHECK(statusOf(answer) == 200);
        CHECK(first.connections() + second.connections() == 2);
        auto received = answer.substr(answer.find("\r\n\r\n") + 4);
        CHECK(received == chunk(PausingEngine::event(1)));
    }
}

// MIXED and ORDER: an endpoint stops in the middle of its answer's head.
TEST_CASE("an answer whose head is cut anywhere becomes no success")
{
    for (auto after : { AfterAnswer::Close, AfterAnswer::Reset }) {
        for (const char* path : { "/loans/7", "/ask/1" }) {
            for (size_t cut : { 5U, 12U, 15U, 17U, 30U, 45U, 70U }) {
                CAPTURE(static_cast<int>(after));
                CAPTURE(path);
                CAPTURE(cut);
                ScriptedServer server(
                    [cut](const std::string& request) { return wholeStream(request).substr(0, cut); }, after);
                RouterFixture router;
                router.start({ endpointAt("c1", "catalogue", server.address()),
                    endpointAt("e1", "assistant", server.address()) });
                auto answer = router.send(requestText("POST", path, "r1", "question"));
                CHECK(statusOf(answer) == 502);
                CHECK(server.connections() == 1);
            }
        }
    }
}

// MIXED: an answer without a length is whole only when its connection ends without a reset.
TEST_CASE("an answer without a length is whole after an end and never after a reset")
{
    auto answerOf = [](AfterAnswer after) {
        ScriptedServer server(
            [](const std::string& request) { return "HTTP/1.1 200 OK\r\n" + identityOf(request) + "\r\nbooked"; },
            after);
        RouterFixture router;
        router.start({ endpointAt("c1", "catalogue", server.address()) });
        return router.send(requestText("POST", "/loans/7", "r1", "flags"));
    };
    auto ended = answerOf(AfterAnswer::Close);
    CHECK(statusOf(ended) == 200);
    CHECK(ended.ends_with("booked"));
    CHECK(statusOf(answerOf(AfterAnswer::Reset)) == 502);
}
