// Tests of result codes.

#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <spindlecore/spindlecore.h>

using namespace jacinthspindle;

TEST_CASE("a conflict of operators has its own exit status, so that a script can retry")
{
    CHECK(exitStatus(ResultCode::TableConflict) != exitStatus(ResultCode::TableInvalid));
    CHECK(exitStatus(ResultCode::Ok) == 0);
}

TEST_CASE("the execution states have the names that callers see")
{
    CHECK(std::string(executionName(Execution::NotRun)) == "not run");
    CHECK(std::string(executionName(Execution::Ran)) == "ran");
    CHECK(std::string(executionName(Execution::Unknown)) == "unknown");
}

TEST_CASE("the table in the documents lists every code with its name, HTTP status and exit status")
{
    std::ifstream file(JACINTHSPINDLE_SOURCE_DIR "/docs/errors.md");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    REQUIRE_FALSE(text.empty());
    constexpr int largestCode = 999;
    int known = 0;
    for (int number = 0; number <= largestCode; ++number) {
        auto code = static_cast<ResultCode>(number);
        std::string name = resultName(code);
        if (number && name == resultName(ResultCode::Ok))
            continue;
        CAPTURE(name);
        auto start = text.find("| " + std::to_string(number) + " | " + name + " |");
        REQUIRE(start != std::string::npos);
        auto end = " | " + std::to_string(httpStatus(code)) + " | " + std::to_string(exitStatus(code)) + " |";
        CHECK(text.substr(start, text.find('\n', start) - start).find(end) != std::string::npos);
        ++known;
    }
    CHECK(known == 36);
}
