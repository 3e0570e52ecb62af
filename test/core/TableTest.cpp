// Tests of table differences, digests, application and rules.

#include "support/SampleTable.h"

#include <doctest/doctest.h>

using namespace jacinthspindle;

namespace {

TableDelta signedDelta(const Table& from, const Table& to)
{
    auto delta = diffTables(from, to);
    delta.changeId = "change-1";
    delta.author = "operator";
    delta.digest = deltaDigest(delta);
    return delta;
}

} // namespace

TEST_CASE("a difference applied to its base gives the other table's rows")
{
    auto from = test::sampleTable();
    auto to = from;
    to.workspaces.front().weight = 7;
    to.endpoints.pop_back();
    to.routes.erase(to.routes.begin() + 1);
    Reason reason;
    auto result = applyDelta(from, signedDelta(from, to), reason);
    REQUIRE_MESSAGE(result, reason.text);
    CHECK(result->revision == from.revision + 1);
    CHECK(result->workspaces == to.workspaces);
    CHECK(result->routes == to.routes);
    CHECK(result->endpoints == to.endpoints);
}

TEST_CASE("a change with a damaged cell is rejected by its digest")
{
    auto from = test::sampleTable();
    auto to = from;
    to.workspaces.front().weight = 7;
    auto delta = signedDelta(from, to);
    delta.workspaces.front().weight = 8;
    Reason reason;
    CHECK_FALSE(applyDelta(from, delta, reason));
    CHECK(reason.code == ResultCode::TableDigestMismatch);
}

TEST_CASE("a change of another base is rejected")
{
    auto from = test::sampleTable();
    auto delta = signedDelta(from, from);
    auto newer = from;
    newer.revision = 5;
    Reason reason;
    CHECK_FALSE(applyDelta(newer, delta, reason));
    CHECK(reason.code == ResultCode::TableConflict);
}

TEST_CASE("a change that breaks a rule is rejected as a whole")
{
    auto from = test::sampleTable();
    auto to = from;
    std::erase_if(to.endpoints, [](const EndpointRow& row) { return row.layers.first == 4; });
    Reason reason;
    CHECK_FALSE(applyDelta(from, signedDelta(from, to), reason));
    CHECK(reason.code == ResultCode::TableInvalid);
    CHECK(reason.text.find("assistant.layers") != std::string::npos);
}

TEST_CASE("the rules name the row and the column of each fault")
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
