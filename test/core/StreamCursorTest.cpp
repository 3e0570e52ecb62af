// Tests that forged, damaged and foreign cursors are refused, and that regenerated prefixes are verified.

#include <doctest/doctest.h>
#include <spindlecore/spindlecore.h>

using namespace jacinthspindle;

namespace {

StreamCursor sampleCursor(uint32_t position = 2)
{
    TextDigest digest;
    for (uint32_t i = 0; i < position; ++i)
        digest.add("t" + std::to_string(i));
    return { RequestId("r/1.x\n"), position, digest.value(), 0xfedcba9876543210, "v1.2", 99, 3 };
}

} // namespace

TEST_CASE("a formatted cursor parses to the same value and is a valid event id")
{
    CursorCodec codec("key");
    auto text = codec.format(sampleCursor(), "binding");
    Reason reason;
    auto cursor = codec.parse(text, "binding", reason);
    REQUIRE_MESSAGE(cursor, reason.text);
    CHECK(*cursor == sampleCursor());
    CHECK(text.find_first_of(" \r\n") == std::string::npos);
}

TEST_CASE("a cursor with a changed or inserted character or a truncated end is refused")
{
    CursorCodec codec("key");
    const auto text = codec.format(sampleCursor(), "binding");
    for (size_t i = 0; i <= text.size(); ++i) {
        auto longer = text;
        longer.insert(i, 1, '0');
        Reason reason;
        CHECK_MESSAGE(!codec.parse(longer, "binding", reason), longer);
        CHECK(reason.code == ResultCode::CursorInvalid);
        if (i == text.size())
            break;
        auto changed = text;
        changed[i] = changed[i] == '1' ? '2' : '1';
        CHECK_MESSAGE(!codec.parse(changed, "binding", reason), changed);
        CHECK_MESSAGE(!codec.parse(text.substr(0, i), "binding", reason), text.substr(0, i));
    }
}

TEST_CASE("a cursor with another key or binding or of excessive length is refused")
{
    CursorCodec codec("key");
    auto text = codec.format(sampleCursor(), "school/prompt 1");
    Reason reason;
    CHECK_FALSE(CursorCodec("other key").parse(text, "school/prompt 1", reason));
    CHECK_FALSE(codec.parse(text, "school/prompt 2", reason));
    // Moving a character from the cursor to the binding must not yield the same authenticated bytes.
    CHECK_FALSE(codec.parse(text.substr(1), "school/prompt 1c", reason));
    CHECK_FALSE(codec.parse(std::string(maxCursorBytes + 1, 'c'), "school/prompt 1", reason));
    CHECK(reason.text == "the cursor is too long");
}

TEST_CASE("a regenerated prefix is verified only if every token is identical")
{
    struct Row {
        std::vector<std::string> tokens;
        PrefixState expected;
    };
    const std::vector<Row> rows {
        { { "t0", "t1" }, PrefixState::Verified }, { { "t0", "t1", "t2" }, PrefixState::Verified },
        { { "t0", "tX" }, PrefixState::Mismatch },
        { { "t0t", "1" }, PrefixState::Mismatch }, // The same text split into other tokens: positions would shift.
        { { "t0" }, PrefixState::Mismatch }, // Ends before the cursor's position: the last token has isLast set.
    };
    for (const auto& it : rows) {
        PrefixChecker checker(sampleCursor());
        for (uint32_t i = 0; i < it.tokens.size(); ++i)
            checker.add(i, it.tokens[i], i + 1 == it.tokens.size());
        CHECK_MESSAGE(checker.state() == it.expected, it.tokens.back());
    }
    CHECK(PrefixChecker(sampleCursor(0)).state() == PrefixState::Verified);
    CHECK(PrefixChecker(sampleCursor()).add(1, "t1", false) == PrefixState::Mismatch);
}
