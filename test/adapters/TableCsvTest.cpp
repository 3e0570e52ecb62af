// Tests of the CSV form of the table: round trip, faults by file, line and column, hostile files.

#include "support/SampleTable.h"

#include <doctest/doctest.h>
#include <spindleadapters/spindleadapters.h>

using namespace jacinthspindle;

namespace {

std::string faultsText(const TableCsv& csv)
{
    std::string text;
    for (const auto& it : csv.faults())
        text += it.toString() + "\n";
    return text;
}

} // namespace

TEST_CASE("a table written as CSV is read back unchanged")
{
    auto table = test::sampleTable();
    TableCsv csv;
    auto result = csv.parse(TableCsv::format(table));
    REQUIRE_MESSAGE(result, faultsText(csv));
    CHECK(*result == table);
}

TEST_CASE("each fault names its file, line and column")
{
    auto files = TableCsv::format(test::sampleTable());
    files.workspaces = "workspace,weight,requests_per_s,tokens_per_s,concurrency\nschool,heavy,,,\nschool,1,-2,,\n";
    TableCsv csv;
    CHECK_FALSE(csv.parse(files));
    auto text = faultsText(csv);
    CAPTURE(text);
    CHECK(text.find("workspaces.csv:2 [weight]: 'heavy'") != std::string::npos);
    CHECK(text.find("workspaces.csv:3 [workspace]: 'school' already stands in line 2") != std::string::npos);
    CHECK(text.find("workspaces.csv:3 [requests_per_s]: '-2'") != std::string::npos);
}

TEST_CASE("a rule that spans rows names the line of its row")
{
    auto table = test::sampleTable();
    std::erase_if(table.endpoints, [](const EndpointRow& row) { return row.layers.first == 8; });
    TableCsv csv;
    CHECK_FALSE(csv.parse(TableCsv::format(table)));
    CHECK(
        faultsText(csv).find("routes.csv:2 [layers]: endpoints of assistant-llm v1 do not cover") != std::string::npos);
}

TEST_CASE("missing columns, open quotes and binary bytes are faults and never a table")
{
    auto files = TableCsv::format(test::sampleTable());
    for (const std::string& bad : { std::string(), std::string("workspace,weight\nschool,1\n"),
             std::string("workspace,weight,requests_per_s,tokens_per_s,concurrency\n\"school,1,,,\n"),
             std::string("workspace,weight,requests_per_s,tokens_per_s,concurrency\nschool,1,,,,,\n"),
             std::string("workspace,weight,requests_per_s,tokens_per_s,concurrency\na\x01\xff,1,,,\n"),
             std::string(1 << 20, ',') }) {
        CAPTURE(bad.substr(0, 80));
        auto damaged = files;
        damaged.workspaces = bad;
        TableCsv csv;
        CHECK_FALSE(csv.parse(damaged));
        CHECK_FALSE(csv.faults().empty());
    }
}
