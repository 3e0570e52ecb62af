// The sample tables of both users must pass every rule.

#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <spindleadapters/spindleadapters.h>

using namespace jacinthspindle;

namespace {

std::string readSample(const std::string& name)
{
    std::ifstream file(JACINTHSPINDLE_SOURCE_DIR "/samples/" + name, std::ios::binary);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace

TEST_CASE("the sample tables have no fault and the users' sizes")
{
    for (const std::string& user : { std::string("authority"), std::string("tinig-kamay") }) {
        CAPTURE(user);
        TableCsv csv;
        auto table = csv.parse({ readSample(user + "/workspaces.csv"), readSample(user + "/routes.csv"),
            readSample(user + "/endpoints.csv") });
        for (const auto& it : csv.faults())
            MESSAGE(it.toString());
        REQUIRE(table);
        CHECK(table->workspaces.size() == 10);
        CHECK(table->endpoints.size() == 45);
    }
}
