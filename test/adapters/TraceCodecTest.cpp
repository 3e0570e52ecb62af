// Tests of the trace codec with whole, damaged and hostile bytes.

#include "support/SampleTable.h"

#include <doctest/doctest.h>
#include <spindleadapters/spindleadapters.h>

using namespace jacinthspindle;

namespace {

TraceRecord sampleRecord()
{
    TraceRecord record;
    record.host = HostId("entry-1");
    record.sequence = 7;
    record.request = RequestId("r1");
    record.kind = TraceKind::CoreInput;
    record.payload = encodeInput(RequestArrived {
        RequestId("r1"), WorkspaceId("school"), RouteId("assistant"), 10, 20, 0, { 1, 2 }, std::chrono::seconds(3) });
    return record;
}

} // namespace

TEST_CASE("concatenated records are read back unchanged")
{
    auto record = sampleRecord();
    Reason reason;
    auto records = decodeRecords(encodeRecord(record) + encodeRecord(record), reason);
    REQUIRE_MESSAGE(records, reason.text);
    REQUIRE(records->size() == 2);
    CHECK(records->front() == record);
}

TEST_CASE("a table input keeps its whole table")
{
    auto table = std::make_shared<const Table>(test::sampleTable());
    Reason reason;
    auto input = decodeInput(encodeInput(TableAdopted { table }), reason);
    REQUIRE_MESSAGE(input, reason.text);
    CHECK(*std::get<TableAdopted>(*input).table == *table);
}

TEST_CASE("every truncation of a record is refused with the offset")
{
    auto bytes = encodeRecord(sampleRecord());
    for (size_t n = 1; n < bytes.size(); ++n) {
        CAPTURE(n);
        Reason reason;
        CHECK_FALSE(decodeRecords(std::string_view(bytes).substr(0, n), reason));
        CHECK(reason.code == ResultCode::TraceMalformed);
    }
}

TEST_CASE("hostile lengths and nesting are refused without allocation")
{
    Reason reason;
    std::string hugeArray("\xdd\xff\xff\xff\xff", 5);
    std::string deep(10000, '\x91');
    CHECK_FALSE(decodeRecords(hugeArray, reason));
    CHECK_FALSE(decodeRecords(deep, reason));
    CHECK_FALSE(decodeInput(std::string("\x92\xcd\xff\xff\x90", 5), reason));
    CHECK(reason.code == ResultCode::TraceMalformed);
}

TEST_CASE("the settings of the decision core are read back unchanged")
{
    CoreConfig config;
    config.dataCentre = DataCentreId("north");
    config.seed = UINT64_MAX;
    Reason reason;
    auto decoded = decodeConfig(encodeConfig(config), reason);
    REQUIRE_MESSAGE(decoded, reason.text);
    CHECK(*decoded == config);
}

TEST_CASE("a share of whole numbers is read back; the packer stores whole floating-point numbers as integers")
{
    for (double rate : { 0.0, 10.0, 2.5, -3.0 }) {
        CAPTURE(rate);
        Reason reason;
        auto input = decodeInput(encodeInput(ShareChanged { WorkspaceId("school"), rate, 1e18, 0.25 }), reason);
        REQUIRE_MESSAGE(input, reason.text);
        CHECK(std::get<ShareChanged>(*input).requestsPerSecond == rate);
        CHECK(std::get<ShareChanged>(*input).tokensPerSecond == 1e18);
    }
}
