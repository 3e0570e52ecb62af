// Tests of result codes.

#include <doctest/doctest.h>
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
