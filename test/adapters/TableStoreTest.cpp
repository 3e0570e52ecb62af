// Tests of the acceptance of table changes: racing operators, lost answers, outages, damaged rows and snapshots.

#include "support/FakePlatform.h"
#include "support/SampleTable.h"

#include <doctest/doctest.h>
#include <spindleadapters/spindleadapters.h>

using namespace jacinthspindle;
using test::CommitFault;

namespace {

constexpr std::chrono::milliseconds timeout { 100 };

struct Fixture {
    test::FakeTableService tables;
    test::FakeObjectStore objects;
    TableStore store { tables, objects, timeout };

    Table accept(const Table& base, const Table& wanted, const std::string& changeId)
    {
        auto answer = store.apply(base, wanted, "operator", changeId);
        REQUIRE_MESSAGE(answer.outcome == ApplyOutcome::Accepted, store.lastReason().text);
        auto table = store.load();
        REQUIRE_MESSAGE(table, store.lastReason().text);
        return *table;
    }
};

Table withWeight(Table table, uint32_t weight)
{
    table.workspaces.front().weight = weight;
    return table;
}

} // namespace

TEST_CASE("an accepted change can be loaded at its own revision and at the last one")
{
    Fixture fixture;
    auto first = fixture.accept(Table {}, test::sampleTable(), "c1");
    auto second = fixture.accept(first, withWeight(first, 9), "c2");
    CHECK(second.revision == 2);
    CHECK(second.workspaces.front().weight == 9);
    CHECK(*fixture.store.load(1) == first);
    CHECK_FALSE(fixture.store.load(3));
    CHECK(fixture.store.lastReason().code == ResultCode::TableRevisionUnknown);
}

TEST_CASE("of two operators with one base, the second gets a conflict that shows the first change")
{
    Fixture fixture;
    auto base = fixture.accept(Table {}, test::sampleTable(), "c1");
    fixture.accept(base, withWeight(base, 5), "c2");
    auto answer = fixture.store.apply(base, withWeight(base, 6), "second", "c3");
    CHECK(answer.outcome == ApplyOutcome::Conflict);
    REQUIRE(answer.newer.size() == 1);
    CHECK(answer.newer.front().changeId == "c2");
    CHECK(fixture.store.load()->workspaces.front().weight == 5);
}

TEST_CASE("any pair of commit faults leaves a change accepted once or not at all, and the answer says which")
{
    const std::vector faults { CommitFault::None, CommitFault::LostRequest, CommitFault::LostAnswer,
        CommitFault::Unavailable };
    for (auto first : faults) {
        for (auto second : faults) {
            CAPTURE(static_cast<int>(first));
            CAPTURE(static_cast<int>(second));
            Fixture fixture;
            auto base = fixture.accept(Table {}, test::sampleTable(), "c1");
            fixture.tables.faults = { first, second };
            auto answer = fixture.store.apply(base, withWeight(base, 5), "operator", "c2");
            CHECK(answer.outcome == ApplyOutcome::Accepted);
            CHECK(fixture.store.head()->revision == 2);
            auto again = fixture.store.apply(base, withWeight(base, 5), "operator", "c2");
            CHECK(again.outcome == ApplyOutcome::Accepted);
            CHECK(fixture.store.head()->revision == 2);
        }
    }
}

TEST_CASE("an outage before the commit is reported as not accepted")
{
    Fixture fixture;
    auto base = fixture.accept(Table {}, test::sampleTable(), "c1");
    fixture.tables.faults.assign(4, CommitFault::Unavailable);
    CHECK(fixture.store.apply(base, withWeight(base, 5), "operator", "c2").outcome == ApplyOutcome::Unavailable);
    fixture.tables.isDown = true;
    CHECK(fixture.store.apply(base, withWeight(base, 5), "operator", "c2").outcome == ApplyOutcome::Unavailable);
    fixture.tables.isDown = false;
    CHECK(fixture.store.head()->revision == 1);
}

TEST_CASE("requests lost on every attempt are reported as unknown with the change id")
{
    Fixture fixture;
    auto base = fixture.accept(Table {}, test::sampleTable(), "c1");
    fixture.tables.faults.assign(4, CommitFault::LostRequest);
    CHECK(fixture.store.apply(base, withWeight(base, 5), "operator", "c2").outcome == ApplyOutcome::Unknown);
    CHECK(fixture.store.lastReason().text.find("c2") != std::string::npos);
}

TEST_CASE("a damaged snapshot is passed over and the changes give the same table")
{
    Fixture fixture;
    auto table = fixture.accept(Table {}, test::sampleTable(), "c1");
    REQUIRE(fixture.store.saveSnapshot(table));
    CHECK(*fixture.store.load() == table);
    for (auto& [name, bytes] : fixture.objects.objects)
        bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
    CHECK(*fixture.store.load() == table);
}

TEST_CASE("a damaged head or change row gives a numbered reason and no table")
{
    Fixture fixture;
    auto table = fixture.accept(Table {}, test::sampleTable(), "c1");
    auto saved = fixture.tables.rows;
    fixture.tables.rows[tableHeadKey].value = "\xdd\xff\xff\xff\xff";
    CHECK_FALSE(fixture.store.load());
    CHECK(fixture.store.lastReason().code == ResultCode::PlatformAnswerMalformed);
    fixture.tables.rows = saved;
    auto& value = fixture.tables.rows[tableChangeKey(1)].value;
    value[value.size() / 2] = static_cast<char>(value[value.size() / 2] ^ 1);
    CHECK_FALSE(fixture.store.load());
}
