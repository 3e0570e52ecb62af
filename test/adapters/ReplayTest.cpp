// Tests of the time line and of replay: a clean trace, a changed decision, a missing one, a gap, and doubled records.

#include "support/SampleTable.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <spindleadapters/spindleadapters.h>

using namespace jacinthspindle;

namespace {

// Records a core in the same way as the daemon does.
class RecordedCore {
public:
    explicit RecordedCore(const std::string& host)
        : m_host(host)
        , m_core(config())
    {
        add(TraceKind::CoreConfig, encodeConfig(config()), RequestId());
        apply(TableAdopted { std::make_shared<const Table>(test::sampleTable()) });
    }

    void apply(const CoreInput& input, const RequestId& request = RequestId())
    {
        m_clock.advance(std::chrono::milliseconds(1));
        add(TraceKind::CoreInput, encodeInput(input), request);
        std::vector<CoreDecision> decisions;
        m_core.apply(m_clock.now(), input, decisions);
        for (const auto& it : decisions)
            add(TraceKind::CoreDecision, encodeDecision(it), request);
    }

    std::vector<TraceRecord> records;

private:
    static CoreConfig config()
    {
        CoreConfig result;
        result.dataCentre = DataCentreId("north");
        result.seed = 11;
        return result;
    }

    void add(TraceKind kind, std::string payload, const RequestId& request)
    {
        TraceRecord record;
        record.host = m_host;
        record.sequence = records.size();
        record.logicalTime = records.size();
        record.at = m_clock.now();
        record.request = request;
        record.kind = kind;
        record.payload = std::move(payload);
        records.push_back(std::move(record));
    }

    HostId m_host;
    ManualClock m_clock;
    DecisionCore m_core;
};

std::vector<TraceRecord> recordedRequests(const std::string& host, int n)
{
    RecordedCore core(host);
    for (int i = 0; i < n; ++i) {
        RequestId request("r" + std::to_string(i));
        core.apply(RequestArrived { request, WorkspaceId("school"), RouteId("assistant"), 20, 40, 0, {},
                       std::chrono::seconds(20) },
            request);
        core.apply(FirstToken { request, 1 }, request);
        core.apply(RequestFinished { request, 1, 40 }, request);
    }
    return std::move(core.records);
}

} // namespace

TEST_CASE("a recorded run of two daemons replays without divergence, in any order and with doubled records")
{
    auto records = recordedRequests("entry-1", 20);
    auto other = recordedRequests("entry-2", 20);
    records.insert(records.end(), other.rbegin(), other.rend());
    records.insert(records.end(), other.begin(), other.end());
    auto report = replayRecords(records);
    CHECK_FALSE(report.divergence);
    CHECK(report.processes == 2);
    CHECK(report.inputs == 2 * (1 + 3 * 20));
    CHECK(report.decisions >= 2 * 20);
    CHECK(report.gaps == 0);
}

// Guards against a change of the decision code that would decide a recorded run otherwise. A wanted change of policy
// needs a new recording: JACINTHSPINDLE_RECORD=testdata scripts/demo.
TEST_CASE("the recorded run of the demonstration replays to its stated outcomes")
{
    auto read = [](const std::string& name) {
        std::ifstream file(std::string(JACINTHSPINDLE_SOURCE_DIR "/testdata/") + name, std::ios::binary);
        return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    };
    Reason reason;
    auto records = decodeRecords(read("demo.trace"), reason);
    REQUIRE_MESSAGE(records, reason.text);
    auto report = replayRecords(*records);
    CHECK_FALSE(report.divergence);
    CHECK(report.inputs > 1000);
    for (const auto& it : compareOutcomes(report, read("demo.outcomes")))
        FAIL_CHECK(it);
}

TEST_CASE("a changed decision is named as the first divergence")
{
    auto records = recordedRequests("entry-1", 5);
    uint64_t changed = 0;
    for (auto& it : records) {
        Reason reason;
        if (it.kind != TraceKind::CoreDecision)
            continue;
        auto decision = *decodeDecision(it.payload, reason);
        auto* dispatch = std::get_if<Dispatch>(&decision);
        if (!dispatch || it.request != RequestId("r3"))
            continue;
        dispatch->chain.front().endpoint = EndpointId("elsewhere");
        it.payload = encodeDecision(decision);
        changed = it.sequence;
    }
    auto report = replayRecords(records);
    REQUIRE(report.divergence);
    CHECK(report.divergence->sequence == changed);
    CHECK(report.divergence->request == RequestId("r3"));
    CHECK(report.divergence->expected.find("elsewhere") != std::string::npos);
    CHECK(report.divergence->actual.find("dispatch") != std::string::npos);
}

TEST_CASE("a decision that the trace lacks is a divergence at the next input")
{
    auto records = recordedRequests("entry-1", 2);
    auto it = std::find_if(records.begin(), records.end(),
        [](const TraceRecord& record) { return record.kind == TraceKind::CoreDecision; });
    REQUIRE(it != records.end());
    it->kind = TraceKind::StateChanged;
    auto report = replayRecords(records);
    REQUIRE(report.divergence);
    CHECK(report.divergence->expected.empty());
}

TEST_CASE("lost records are counted as a gap and never as a divergence")
{
    auto records = recordedRequests("entry-1", 5);
    records.erase(records.begin() + 6);
    auto report = replayRecords(records);
    CHECK_FALSE(report.divergence);
    CHECK(report.gaps == 1);
}

TEST_CASE("a reference to a table is resolved by the replayed replica, and without the replica it is a gap")
{
    TableReplicaConfig replicaConfig;
    replicaConfig.self = HostId("entry-1");
    replicaConfig.dataCentre = DataCentreId("north");
    TableReplica replica(replicaConfig);
    CoreConfig coreConfig;
    coreConfig.dataCentre = DataCentreId("north");
    auto table = test::sampleTable();
    auto change = diffTables(Table {}, table);
    change.changeId = "c1";
    change.digest = deltaDigest(change);
    std::vector<TraceRecord> records;
    auto add = [&](TraceKind kind, std::string payload, const std::string& subject = {}) {
        TraceRecord record;
        record.host = HostId("entry-1");
        record.sequence = records.size();
        record.kind = kind;
        record.payload = std::move(payload);
        record.subject = subject;
        records.push_back(std::move(record));
    };
    add(TraceKind::CoreConfig, encodeConfig(coreConfig));
    add(TraceKind::ReplicaInput, encodeReplicaConfig(replicaConfig), traceConfigSubject);
    ReplicaInput fetched = ChangesFetched { { change } };
    add(TraceKind::ReplicaInput, encodeReplicaInput(fetched));
    std::vector<ReplicaOutput> outputs;
    replica.apply(Instant {}, fetched, outputs);
    REQUIRE(replica.table());
    for (const auto& it : outputs)
        add(TraceKind::ReplicaOutput, encodeReplicaOutput(withTableReference(it)));
    add(TraceKind::CoreInput, encodeInput(withTableReference(CoreInput(TableAdopted { replica.table() }))));
    CHECK(records.back().payload.size() < 200);
    DecisionCore core(coreConfig);
    std::vector<CoreDecision> decisions;
    core.apply(Instant {}, TableAdopted { replica.table() }, decisions);
    CoreInput arrived = RequestArrived { RequestId("r1"), WorkspaceId("school"), RouteId("assistant"), 5, 5, 0, {},
        std::chrono::seconds(20) };
    core.apply(Instant {}, arrived, decisions);
    add(TraceKind::CoreInput, encodeInput(arrived));
    for (const auto& it : decisions)
        add(TraceKind::CoreDecision, encodeDecision(it));
    auto report = replayRecords(records);
    CHECK_FALSE(report.divergence);
    CHECK(report.gaps == 0);
    CHECK(report.inputs == 3);
    records.erase(records.begin() + 1);
    for (size_t i = 0; i < records.size(); ++i)
        records[i].sequence = i;
    report = replayRecords(records);
    CHECK_FALSE(report.divergence);
    CHECK(report.gaps == 1);
}

TEST_CASE("the steps of an action are replayed, and a changed step is a divergence")
{
    ActionMachine machine;
    ActionStarted started;
    started.request = RequestId("a1");
    started.workspace = WorkspaceId("school");
    started.key = "booking-1";
    started.bodyDigest = "digest";
    started.attempt = { HostId("entry-1"), 1, 1 };
    started.endpoints = { { EndpointId("catalogue-1"), {} } };
    std::vector<TraceRecord> records;
    auto add = [&](TraceKind kind, std::string payload) {
        TraceRecord record;
        record.host = HostId("entry-1");
        record.sequence = records.size();
        record.request = started.request;
        record.kind = kind;
        record.payload = std::move(payload);
        records.push_back(std::move(record));
    };
    for (const ActionInput& input : { ActionInput(started), ActionInput(StoreAnswered { 1, CommitOutcome::Committed }),
             ActionInput(DispatchAnswered { 2, { ServiceOutcome::Answered, 201, "", "booked" } }),
             ActionInput(StoreAnswered { 3, CommitOutcome::Committed }) }) {
        add(TraceKind::ActionInput, encodeActionInput(input));
        add(TraceKind::ActionOutput, encodeActionOutput(machine.apply(Instant {}, input)));
    }
    REQUIRE(machine.isFinished());
    auto report = replayRecords(records);
    CHECK_FALSE(report.divergence);
    CHECK(report.inputs == 4);
    CHECK(report.decisions == 4);
    DispatchAction elsewhere;
    elsewhere.step = 2;
    elsewhere.endpoint = EndpointId("elsewhere");
    records[3].payload = encodeActionOutput(elsewhere);
    report = replayRecords(records);
    REQUIRE(report.divergence);
    CHECK(report.divergence->sequence == 3);
}

TEST_CASE("outcomes that differ from the stated ones are named, also missing and unstated requests")
{
    auto report = replayRecords(recordedRequests("entry-1", 3));
    const std::string stated = "# three requests\nr0 complete ok 40\nr1 complete ok 40\nr2 complete ok 40\n";
    CHECK(compareOutcomes(report, stated).empty());
    auto differences = compareOutcomes(report, "r0 complete ok 41\nr1 complete ok 40\nr9 refused no-chain 0\n");
    REQUIRE(differences.size() == 3);
    CHECK(differences[0].find("r0") != std::string::npos);
    CHECK(differences[1].find("no such request") != std::string::npos);
    CHECK(differences[2].find("not stated, replayed 'r2 complete ok 40'") != std::string::npos);
}

TEST_CASE("the time line follows logical time, not the hosts' clocks")
{
    TraceRecord cause;
    cause.host = HostId("b");
    cause.logicalTime = 4;
    cause.wall = WallTime(std::chrono::milliseconds(9000));
    TraceRecord effect = cause;
    effect.host = HostId("a");
    effect.logicalTime = 5;
    effect.wall = WallTime(std::chrono::milliseconds(1000));
    auto merged = mergeTimeline({ effect, cause, effect }, {});
    REQUIRE(merged.size() == 2);
    CHECK(merged.front() == cause);
    CHECK(merged.back() == effect);
}
