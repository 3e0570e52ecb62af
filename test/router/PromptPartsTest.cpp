// Tests of the suspicion of parts of prompts: which parts are blocked, and which ends of engines put none out of
// service.

#include "router/PartSharing.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;
using namespace jacinthspindle::router;
using namespace std::chrono_literals;

namespace {

const PromptPart first = promptPartOf("f1");
const PromptPart bad = promptPartOf("bad");
const PromptPart good = promptPartOf("good");

// Daemons that see engines end. Times are milliseconds of one clock.
class Watch {
public:
    static Instant at(int time) { return Instant(std::chrono::hours(1) + std::chrono::milliseconds(time)); }

    // The engine ended at endedAt under requests with these parts, in the order of the prompt.
    void end(const std::string& engine, int sentAt, int endedAt, const std::vector<PromptPart>& parts,
        const std::string& witness = "host-1", uint32_t depth = 0)
    {
        m_now = std::max(m_now, endedAt);
        auto ageOf = [this](int time) { return std::chrono::milliseconds(m_now - time); };
        std::vector<PartEnd> ends;
        ends.reserve(parts.size());
        for (auto it : parts)
            ends.push_back({ it, depth++, EndpointId(engine), HostId(witness), ageOf(sentAt), ageOf(endedAt) });
        m_parts.recordEnds(at(m_now), ends);
    }
    // Once the other daemons would have told what they saw.
    bool isBlocked(PromptPart part)
    {
        auto now = at(m_now) + PromptParts::settleTime;
        m_parts.update(now);
        return m_parts.isBlocked(now, { part });
    }
    PromptParts& parts() { return m_parts; }
    int now() const { return m_now; }
    void pass(int time) { m_now += time; }

private:
    PromptParts m_parts;
    int m_now = 0;
};

} // namespace

TEST_CASE("a part is blocked after three engines ended under it one after the other")
{
    Watch watch;
    watch.end("e1", 0, 100, { bad });
    watch.end("e2", 105, 300, { bad });
    CHECK_FALSE(watch.isBlocked(bad));
    watch.end("e3", 400, 500, { bad });
    CHECK(watch.isBlocked(bad));
}

TEST_CASE("a part that a request began with is never blocked")
{
    Watch watch;
    watch.parts().recordBegin(Watch::at(0), { first });
    for (int i = 0; i < 6; ++i)
        watch.end("e" + std::to_string(i), 1000 * i, 1000 * i + 100, { first, bad });
    CHECK_FALSE(watch.isBlocked(first));
    CHECK(watch.isBlocked(bad));
}

TEST_CASE("a begin takes a blocked part back")
{
    Watch watch;
    for (int i = 0; i < 3; ++i)
        watch.end("e" + std::to_string(i), 1000 * i, 1000 * i + 100, { good });
    CHECK(watch.isBlocked(good));
    watch.parts().recordBegin(Watch::at(watch.now()), { good });
    CHECK_FALSE(watch.isBlocked(good));
}

// A rack takes all its engines with it, and each has many requests that have not begun.
TEST_CASE("engines that end together block no part")
{
    for (const char* other : { "host-1", "host-2" }) {
        CAPTURE(other);
        Watch watch;
        for (int i = 0; i < 12; ++i)
            watch.end("e" + std::to_string(i), 10 * i, 1000 + i / 4, { first, good }, i % 2 ? "host-1" : other);
        CHECK_FALSE(watch.isBlocked(first));
        CHECK_FALSE(watch.isBlocked(good));
    }
}

TEST_CASE("a single engine that ends under many new prompts blocks none of their parts")
{
    Watch watch;
    for (int i = 0; i < 192; ++i)
        watch.end("e1", i, 1000, { first, promptPartOf(std::to_string(i)) });
    watch.parts().update(Watch::at(watch.now()) + PromptParts::settleTime);
    CHECK(watch.parts().blocked(Watch::at(watch.now())) == 0);
}

// A daemon that has just started has seen no part begin. All requests share their first part.
TEST_CASE("of parts that saw the same ends the deeper one is blocked")
{
    Watch watch;
    watch.end("e0", 0, 10, { first });
    for (int i = 1; i <= 4; ++i)
        watch.end("e" + std::to_string(i), 1000 * i, 1000 * i + 100, { first, bad });
    CHECK(watch.isBlocked(bad));
    CHECK_FALSE(watch.isBlocked(first));
}

// Sound requests that lost the first engine with the faulty one are repeated at the same engines.
TEST_CASE("a part that was at the same engines by chance is not blocked")
{
    Watch watch;
    for (int i = 0; i < 3; ++i) {
        watch.end("e" + std::to_string(i), 1000 * i, 1000 * i + 100, { bad }, "host-1", 1);
        watch.end("e" + std::to_string(i), 1000 * i, 1000 * i + 100, { good }, "host-2", 1);
    }
    CHECK_FALSE(watch.isBlocked(good));
    CHECK_FALSE(watch.isBlocked(bad));
    watch.end("e9", 9000, 9100, { bad }, "host-1", 1);
    watch.pass(400);
    CHECK(watch.isBlocked(bad));
    CHECK_FALSE(watch.isBlocked(good));
    // Ends that are explained do not count later either.
    watch.end("e9", 9000, 9100, { good }, "host-2", 1);
    watch.end("e10", 10000, 10100, { good }, "host-2", 1);
    CHECK_FALSE(watch.isBlocked(good));
}

TEST_CASE("a blocked part is tried again after a while, and one more end blocks it")
{
    Watch watch;
    for (int i = 0; i < 3; ++i)
        watch.end("e" + std::to_string(i), 1000 * i, 1000 * i + 100, { bad });
    CHECK(watch.isBlocked(bad));
    watch.pass(10 * 60 * 1000);
    CHECK_FALSE(watch.isBlocked(bad));
    watch.end("e9", watch.now(), watch.now() + 100, { bad });
    CHECK(watch.isBlocked(bad));
}

TEST_CASE("what daemons told each other blocks a part at a daemon that saw no end")
{
    Watch south;
    Watch west;
    south.parts().recordBegin(Watch::at(0), { first });
    west.parts().recordBegin(Watch::at(0), { first });
    south.end("e1", 0, 100, { first, bad }, "south");
    south.end("e2", 105, 200, { first, bad }, "south");
    west.end("e3", 1000, 1100, { first, bad }, "west");
    PromptParts fresh;
    auto now = Watch::at(1500);
    CHECK(fresh.adopt(now, south.parts().news(now, false)));
    fresh.update(now);
    CHECK_FALSE(fresh.isBlocked(now, { bad }));
    CHECK(fresh.adopt(now, west.parts().news(now, false)));
    fresh.update(now);
    CHECK(fresh.isBlocked(now, { bad }));
    CHECK_FALSE(fresh.isBlocked(now, { first }));
    CHECK_FALSE(fresh.adopt(now, west.parts().news(now, false)));
}

TEST_CASE("a daemon that saw a part begin refutes the suspicion of others")
{
    Watch suspicious;
    for (int i = 0; i < 3; ++i)
        suspicious.end("e" + std::to_string(i), 1000 * i, 1000 * i + 100, { good });
    CHECK(suspicious.isBlocked(good));
    suspicious.pass(400);
    PromptParts other;
    auto now = Watch::at(suspicious.now());
    other.recordBegin(now, { good });
    CHECK(other.adopt(now, suspicious.parts().news(now, false)));
    CHECK(suspicious.parts().adopt(now, other.news(now, false)));
    CHECK_FALSE(suspicious.isBlocked(good));
}

TEST_CASE("a daemon that has just started learns which parts are sound")
{
    PromptParts known;
    known.recordBegin(Watch::at(0), { first });
    PromptParts fresh;
    fresh.adopt(Watch::at(1), known.news(Watch::at(1), true));
    for (int i = 1; i <= 6; ++i)
        fresh.recordEnds(Watch::at(1000 * i), { { first, 0, EndpointId(std::to_string(i)), HostId("h"), 100ms, 0ms } });
    fresh.update(Watch::at(7000));
    CHECK_FALSE(fresh.isBlocked(Watch::at(7000), { first }));
}

TEST_CASE("hostile prompts of thousands of parts do not grow the memory or displace a blocked part")
{
    Watch watch;
    for (int i = 0; i < 3; ++i)
        watch.end("e" + std::to_string(i), 1000 * i, 1000 * i + 100, { bad });
    std::vector<PromptPart> many(5000);
    for (size_t i = 0; i < many.size(); ++i)
        many[i] = promptPartOf("x" + std::to_string(i));
    watch.end("e7", 5000, 5100, many);
    watch.parts().recordBegin(Watch::at(watch.now()), many);
    CHECK(watch.parts().suspects() <= PromptParts::maxSuspects);
    CHECK(watch.isBlocked(bad));
    CHECK(watch.parts().news(Watch::at(watch.now()), true).sound.size() <= PromptParts::maxNews);
}

TEST_CASE("a message about parts is read as it was written, and refused when it is malformed or too long")
{
    PartMessage message;
    message.sender = { HostId("host-1"), DataCentreId("north"), "127.0.0.1:9000", 0 };
    message.news.ends = { { bad, 1, EndpointId("e1@5"), HostId("host-2"), 150ms, 20ms } };
    message.news.sound = { good };
    auto text = encodePartMessage(message);
    CHECK(decodePartMessage(text) == message);
    for (const char* wrong : { "", "{}", "[]", R"({"host":"h","data_centre":"d","address":"x","ends":[],"sound":[]})",
             R"({"host":"h","data_centre":"d","address":"127.0.0.1:1","ends":[[1]],"sound":[]})",
             R"({"host":"h","data_centre":"d","address":"127.0.0.1:1","ends":[],"sound":[-1]})" }) {
        CAPTURE(wrong);
        CHECK_FALSE(decodePartMessage(wrong));
    }
    message.news.sound.assign(PromptParts::maxNews + 1, good);
    CHECK_FALSE(decodePartMessage(encodePartMessage(message)));
}
