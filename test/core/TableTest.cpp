// Tests of table changes (difference, digest and application) and of table validation.

#include "support/SampleTable.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;

namespace {

// Returns the change between two tables with all members set, including the digest.
TableDelta changeWithDigest(const Table& from, const Table& to)
{
    auto delta = diffTables(from, to);
    delta.changeId = "change-1";
    delta.author = "operator";
    delta.digest = deltaDigest(delta);
    return delta;
}

} // namespace

TEST_CASE("applying the difference of two tables to the first yields the rows of the second")
{
    auto from = test::sampleTable();
    auto to = from;
    to.workspaces.front().weight = 7;
    to.endpoints.pop_back();
    to.routes.erase(to.routes.begin() + 1);
    Reason reason;
    auto result = applyDelta(from, changeWithDigest(from, to), reason);
    REQUIRE_MESSAGE(result, reason.text);
    CHECK(result->revision == from.revision + 1);
    CHECK(result->workspaces == to.workspaces);
    CHECK(result->routes == to.routes);
    CHECK(result->endpoints == to.endpoints);
}

TEST_CASE("a change with a corrupted cell is rejected with a digest mismatch")
{
    auto from = test::sampleTable();
    auto to = from;
    to.workspaces.front().weight = 7;
    auto delta = changeWithDigest(from, to);
    delta.workspaces.front().weight = 8;
    Reason reason;
    CHECK_FALSE(applyDelta(from, delta, reason));
    CHECK(reason.code == ResultCode::TableDigestMismatch);
}

TEST_CASE("a change with a different base revision is rejected")
{
    auto from = test::sampleTable();
    auto delta = changeWithDigest(from, from);
    auto newer = from;
    newer.revision = 5;
    Reason reason;
    CHECK_FALSE(applyDelta(newer, delta, reason));
    CHECK(reason.code == ResultCode::TableConflict);
}

TEST_CASE("a change that results in an invalid table is rejected")
{
    auto from = test::sampleTable();
    auto to = from;
    std::erase_if(to.endpoints, [](const EndpointRow& row) { return row.layers.first == 4; });
    Reason reason;
    CHECK_FALSE(applyDelta(from, changeWithDigest(from, to), reason));
    CHECK(reason.code == ResultCode::TableInvalid);
    CHECK(reason.text.find("assistant.layers") != std::string::npos);
}

TEST_CASE("validation reports the row and column of each fault")
{
    auto table = test::sampleTable();
    table.workspaces.front().weight = 0;
    table.endpoints.front().slots = 0;
    auto faults = checkTable(table);
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].column == "weight");
    CHECK(faults[1].column == "slots");
    CHECK(faults[1].row == table.endpoints.front().endpoint.value());
}
