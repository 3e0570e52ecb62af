// Tests of the trace ring: order, gaps, logical time, concurrent writers and the flush.

#include "daemon/TraceRecorder.h"
#include "spindleadapters/TraceCodec.h"
#include "support/FakePlatform.h"

#include <doctest/doctest.h>
#include <thread>

using namespace jacinthspindle;
using namespace jacinthspindle::daemon;

namespace {

constexpr size_t manyBytes = 1 << 20;

struct RecorderFixture {
    SystemClock clock;
    Metrics metrics;
    TraceRecorder recorder { { HostId("entry-1"), 7 }, clock, metrics, 256 };

    void record(const std::string& payload)
    {
        TraceRecord record;
        record.payload = payload;
        recorder.record(std::move(record));
    }

    std::vector<TraceRecord> read(uint64_t from)
    {
        Reason reason;
        auto records = decodeRecords(recorder.read(from, manyBytes).bytes, reason);
        REQUIRE_MESSAGE(records, reason.text);
        return *records;
    }
};

} // namespace

TEST_CASE_FIXTURE(RecorderFixture, "records are numbered without gaps and logical time rises past what was observed")
{
    record("a");
    recorder.observe(100);
    record("b");
    recorder.observe(50);
    record("c");
    auto records = read(0);
    REQUIRE(records.size() == 3);
    CHECK(records[0].sequence == 0);
    CHECK(records[2].sequence == 2);
    CHECK(records[1].logicalTime == 101);
    CHECK(records[2].logicalTime == 102);
    CHECK(records[0].host == HostId("entry-1"));
    CHECK(records[0].incarnation == 7);
}

TEST_CASE_FIXTURE(RecorderFixture, "overwritten records appear as one Gap record that takes the last lost number")
{
    for (int i = 0; i < 300; ++i)
        record(std::to_string(i));
    auto records = read(0);
    REQUIRE(records.size() == 257);
    CHECK(records[0].kind == TraceKind::Gap);
    CHECK(records[0].payload == "44");
    CHECK(records[0].sequence == 43);
    CHECK(records[1].sequence == 44);
    CHECK(records[1].payload == "44");
    CHECK(read(299).size() == 1);
    CHECK(read(300).empty());
    CHECK(read(5000).empty());
}

TEST_CASE_FIXTURE(RecorderFixture, "a reader with a byte limit continues where it stopped")
{
    for (int i = 0; i < 200; ++i)
        record(std::to_string(i));
    uint64_t next = 0;
    size_t n = 0;
    while (next < recorder.nextSequence()) {
        auto batch = recorder.read(next, 500);
        Reason reason;
        auto records = decodeRecords(batch.bytes, reason);
        REQUIRE_MESSAGE(records, reason.text);
        REQUIRE(batch.next > next);
        CHECK(records->front().sequence == next);
        n += records->size();
        next = batch.next;
    }
    CHECK(n == 200);
}

TEST_CASE_FIXTURE(RecorderFixture, "concurrent writers lose nothing that a reader does not see as a gap")
{
    std::vector<std::thread> writers;
    writers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        writers.emplace_back([this] {
            for (int n = 0; n < 2000; ++n)
                record("x");
        });
    }
    uint64_t next = 0;
    uint64_t seen = 0;
    auto readAll = [&] {
        auto batch = recorder.read(next, manyBytes);
        Reason reason;
        auto records = decodeRecords(batch.bytes, reason);
        REQUIRE_MESSAGE(records, reason.text);
        for (const auto& it : *records)
            seen += it.kind == TraceKind::Gap ? std::stoull(it.payload) : 1;
        next = batch.next;
    };
    while (recorder.nextSequence() < 8000)
        readAll();
    for (auto& it : writers)
        it.join();
    while (next < 8000)
        readAll();
    CHECK(seen == 8000);
}

TEST_CASE_FIXTURE(RecorderFixture, "the flusher stores every record under its first number, also after an outage")
{
    test::FakeObjectStore store;
    store.isDown = true;
    TraceFlusher flusher(recorder, store, metrics, 256);
    flusher.start();
    for (int i = 0; i < 100; ++i)
        record(std::to_string(i));
    flusher.stop(std::chrono::milliseconds(0));
    CHECK(store.objects.empty());
    store.isDown = false;
    TraceFlusher second(recorder, store, metrics, 256);
    second.start();
    second.stop(std::chrono::seconds(10));
    REQUIRE(store.objects.size() == 1);
    CHECK(store.objects.begin()->first == "trace/entry-1/7/000000000000");
    Reason reason;
    auto records = decodeRecords(store.objects.begin()->second, reason);
    REQUIRE_MESSAGE(records, reason.text);
    CHECK(records->size() == 100);
}
