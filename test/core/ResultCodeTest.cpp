// Tests of the names, HTTP statuses and exit statuses of the result codes.

#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <spindlecore/spindlecore.h>

using namespace jacinthspindle;

TEST_CASE("a table conflict has another exit status than an invalid table, so that scripts can retry")
{
    CHECK(exitStatus(ResultCode::TableConflict) != exitStatus(ResultCode::TableInvalid));
    CHECK(exitStatus(ResultCode::Ok) == 0);
}

TEST_CASE("executionName returns the names that appear in responses")
{
    CHECK(std::string(executionName(Execution::NotRun)) == "not run");
    CHECK(std::string(executionName(Execution::Ran)) == "ran");
    CHECK(std::string(executionName(Execution::Unknown)) == "unknown");
}

TEST_CASE("docs/errors.md lists every code with its name, HTTP status and exit status")
{
    std::ifstream file(JACINTHSPINDLE_SOURCE_DIR "/docs/errors.md");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    REQUIRE_FALSE(text.empty());
    constexpr int largestCode = 999;
    int listed = 0;
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
        ++listed;
    }
    CHECK(listed == 38);
}
