// Memory and processor time of one daemon's control state.

#include "capacity/Fleet.h"
#include "capacity/Measure.h"
#include "capacity/Slope.h"

#include <functional>

namespace jacinthspindle::bench {

namespace {

    constexpr double megabyte = 1e6;
    const size_t memberSizes[] = { 55, 110, 220, 440, 880 };
    const size_t workerSizes[] = { 369, 738, 1475, 2950, 5900 };
    const size_t workspaceSizes[] = { 169, 338, 675, 1350, 2700 };
    const Instant start { std::chrono::seconds(10) };

    HostListSeen hosts(size_t n)
    {
        HostListSeen list;
        for (size_t i = 0; i < n; ++i) {
            list.hosts.push_back(
                { HostKind::Entry, hostOf(i).value(), dataCentreOf(i), "10.1.100.100:7400", "10.1.100.100:80", false });
        }
        return list;
    }

    // The three machines of one daemon among n members, with a table.
    struct ControlState {
        ControlState(size_t members, size_t workers, size_t workspaces)
            : membership(membershipConfig())
            , replica(replicaConfig())
            , limits(limitConfig())
        {
            std::vector<MembershipOutput> out;
            membership.apply(start, hosts(members), out);
            std::vector<ReplicaOutput> replicaOut;
            auto all = membership.members();
            replica.apply(start, ReplicaMembers { all }, replicaOut);
            for (const auto& it : all)
                replica.apply(start, PeerTableSeen { it.host, { { 1, 2, 3 }, {} } }, replicaOut);
            auto table = sampleTable(workers, workspaces);
            auto delta = diffTables(Table {}, table);
            delta.digest = deltaDigest(delta);
            replica.apply(start, ChangesFetched { { delta } }, replicaOut);
            std::vector<LimitOutput> limitOut;
            LimitMembers known;
            for (const auto& it : all)
                known.members.push_back({ it.host, it.dataCentre, it.address, true });
            limits.apply(start, known, limitOut);
            limits.apply(start, LimitTable { replica.table() }, limitOut);
            for (const auto& it : table.workspaces)
                limits.apply(start, DemandSeen { it.workspace, 100, 0, 0 }, limitOut);
        }

        static MembershipConfig membershipConfig()
        {
            MembershipConfig config;
            config.self = HostId("entry-0");
            config.incarnation = 1;
            config.dataCentre = dataCentreOf(0);
            config.address = "10.1.0.0:7400";
            return config;
        }
        static TableReplicaConfig replicaConfig()
        {
            TableReplicaConfig config;
            config.self = HostId("entry-0");
            config.dataCentre = dataCentreOf(0);
            return config;
        }
        static LimitSharesConfig limitConfig()
        {
            LimitSharesConfig config;
            config.self = HostId("entry-0");
            config.dataCentre = dataCentreOf(0);
            return config;
        }

        Membership membership;
        TableReplica replica;
        LimitShares limits;
    };

    double heapOf(size_t members, size_t workers, size_t workspaces)
    {
        double before = heapBytes();
        ControlState state(members, workers, workspaces);
        return (heapBytes() - before) / megabyte;
    }

    // A decision core with a table and the streams of one daemon at the peak.
    double decisionHeap(size_t workers)
    {
        constexpr size_t streams = 550;
        auto table = std::make_shared<const Table>(sampleTable(workers, 2700));
        double before = heapBytes();
        CoreConfig config;
        config.dataCentre = dataCentreOf(0);
        config.host = HostId("entry-0");
        DecisionCore core(config);
        std::vector<CoreDecision> out;
        core.apply(start, TableAdopted { table }, out);
        for (size_t i = 0; i < streams; ++i) {
            RequestArrived request { RequestId("request-" + std::to_string(i)), table->workspaces[i].workspace,
                table->routes[i % 5].route, 400, 300, 0, { i, i + 1, i + 2 }, std::chrono::seconds(30) };
            core.apply(start, request, out);
        }
        return (heapBytes() - before) / megabyte;
    }

    // Processor seconds per run of an action.
    double secondsPer(const std::function<void()>& action)
    {
        size_t n = 0;
        double from = processorSeconds();
        double spent = 0;
        while (spent < 0.3 || n < 5) {
            action();
            ++n;
            spent = processorSeconds() - from;
        }
        return spent / static_cast<double>(n);
    }

    Slope slope(const char* name, const char* sizeUnit, const char* valueUnit)
    {
        return { name, sizeUnit, valueUnit, 0, {}, {} };
    }

} // namespace

void measureMemory()
{
    heapOf(55, 100, 100);
    auto members = slope("control memory by members", "members", "MB");
    for (size_t n : memberSizes)
        members.add(static_cast<double>(n), heapOf(n, 20, 1));
    report(members);
    auto workers = slope("control memory by workers", "workers", "MB");
    for (size_t n : workerSizes)
        workers.add(static_cast<double>(n), heapOf(880, n, 2700));
    report(workers);
    auto workspaces = slope("control memory by workspaces", "workspaces", "MB");
    for (size_t n : workspaceSizes)
        workspaces.add(static_cast<double>(n), heapOf(880, 5900, n));
    report(workspaces);
    auto decisions = slope("decision core memory by workers", "workers", "MB");
    for (size_t n : workerSizes)
        decisions.add(static_cast<double>(n), decisionHeap(n));
    report(decisions);
}

void measureAdoption()
{
    auto change = slope("adoption of a change by workers", "workers", "ms");
    auto digest = slope("content digest by workers", "workers", "ms");
    auto rules = slope("rules of the table by workers", "workers", "ms");
    for (size_t n : workerSizes) {
        ControlState state(880, n, 2700);
        uint32_t weight = 2;
        auto latest = state.replica.table();
        double making = secondsPer([&] { sampleChange(*latest, ++weight); });
        double both = secondsPer([&] {
            std::vector<ReplicaOutput> out;
            auto delta = sampleChange(*state.replica.table(), ++weight);
            state.replica.apply(start, ChangesFetched { { delta } }, out);
        });
        change.add(static_cast<double>(n), (both - making) * 1e3);
        digest.add(static_cast<double>(n), secondsPer([&] { tableContentDigest(*latest); }) * 1e3);
        rules.add(static_cast<double>(n), secondsPer([&] { checkTable(*latest); }) * 1e3);
    }
    report(change);
    report(digest);
    report(rules);
    auto ticks = slope("limit shares, processor time by workspaces", "workspaces", "ms per s");
    for (size_t n : workspaceSizes) {
        ControlState state(880, 100, n);
        Instant now = start;
        std::vector<LimitOutput> out;
        ticks.add(static_cast<double>(n), 10 * 1e3 * secondsPer([&] {
            now += std::chrono::milliseconds(100);
            out.clear();
            state.limits.apply(now, LimitTick {}, out);
        }));
    }
    report(ticks);
    auto members = slope("membership change, processor time by members", "members", "ms");
    for (size_t n : memberSizes) {
        ControlState state(n, 100, 2700);
        auto all = state.membership.members();
        LimitMembers known;
        for (const auto& it : all)
            known.members.push_back({ it.host, it.dataCentre, it.address, true });
        members.add(static_cast<double>(n), 1e3 * secondsPer([&] {
            std::vector<ReplicaOutput> out;
            std::vector<LimitOutput> limitOut;
            state.replica.apply(start, ReplicaMembers { all }, out);
            state.limits.apply(start, known, limitOut);
        }));
    }
    report(members);
}

} // namespace jacinthspindle::bench
