// Tests of streams whose engine is silent for a while and lives: the caller receives the whole answer.

#include "support/PausingEngine.h"
#include "support/RouterFixture.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::test;

namespace {

std::string eventsOf(const std::string& answer)
{
    std::string events;
    for (auto at = answer.find("id: "); at != std::string::npos; at = answer.find("id: ", at + 1))
        events += answer.substr(at, answer.find("\n\n", at) + 2 - at);
    return events;
}

std::string eventsUpTo(int last)
{
    std::string events;
    for (int id = 1; id <= last; ++id)
        events += PausingEngine::event(id);
    return events;
}

bool isWhole(const std::string& answer)
{
    return answer.ends_with("0\r\n\r\n") && eventsOf(answer) == eventsUpTo(5);
}

std::string ask(RouterFixture& router, int n)
{
    return router.send(requestText("POST", "/ask/1", "r" + std::to_string(n), "question"));
}

} // namespace

// The log names who ended an answer, why nothing followed, and what the process itself was doing.
TEST_CASE("the last line of a request tells who ended it and how long the endpoint and the process were silent")
{
    PausingEngine engine({ 1, 10ms });
    RouterFixture router;
    router.start({ endpointAt("e1", "assistant", engine.address()) });
    CHECK(isWhole(ask(router, 1)));
    auto lines = router.logged("\"request-ended\"");
    REQUIRE(lines.size() == 1);
    for (const char* field : { "\"ended_by\":\"endpoint\"", "\"no_repeat\":\"\"",
             "\"last_byte_ms\":", "\"held_up_ms\":", "\"configuration_began\":3", "\"configuration_ended\":3" }) {
        CAPTURE(field);
        CAPTURE(lines.front());
        CHECK(lines.front().find(field) != std::string::npos);
    }
}
