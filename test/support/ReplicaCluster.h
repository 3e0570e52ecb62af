// Simulates table replicas, their network and a platform that can be slow or unreachable, and records violated
// invariants.

#pragma once

#include "support/PeerNet.h"
#include "support/SampleTable.h"

namespace jacinthspindle::test {

// The accepted revisions of the table, as stored by the platform.
class TableHistory {
public:
    explicit TableHistory(size_t extraWorkspaces = 0)
    {
        auto first = sampleTable();
        for (size_t i = 0; i < extraWorkspaces; ++i)
            first.workspaces.push_back({ WorkspaceId("w" + std::to_string(1000 + i)), 1, 0, 0, 0 });
        first.normalize();
        m_tables.emplace_back();
        commit(first);
    }

    void commit(const Table& next)
    {
        auto delta = diffTables(m_tables.back(), next);
        delta.changeId = "change-" + std::to_string(m_tables.size());
        delta.author = "operator";
        delta.digest = deltaDigest(delta);
        Reason reason;
        m_tables.push_back(*applyDelta(m_tables.back(), delta, reason));
        m_changes.push_back(delta);
    }
    // Commits a change of one workspace's weight.
    void commitWeight()
    {
        auto next = m_tables.back();
        next.workspaces.front().weight = static_cast<uint32_t>(m_tables.size() + 1);
        commit(next);
    }
    const Table& latest() const { return m_tables.back(); }
    const Table& at(uint64_t revision) const { return m_tables.at(revision); }
    const TableDelta& change(uint64_t revision) const { return m_changes.at(revision - 1); }
    uint64_t revision() const { return m_changes.size(); }
    bool contains(const Table& table) const { return table.revision <= revision() && table == at(table.revision); }

private:
    std::vector<Table> m_tables; // Indexed by revision; revision 0 is the empty table.
    std::vector<TableDelta> m_changes;
};

class ReplicaCluster {
public:
    explicit ReplicaCluster(
        const std::vector<std::string>& names, ReplicaFault fault = ReplicaFault::None, size_t extraWorkspaces = 0)
        : history(extraWorkspaces)
        , m_fault(fault)
    {
        for (const auto& it : names) {
            m_members.push_back({ HostId(it), 1, 0, MemberState::Alive, DataCentreId(it.substr(0, 1)), it });
            start(it);
        }
    }

    // The first letter of a name is the identifier of its data centre.
    void start(const std::string& name)
    {
        TableReplicaConfig config;
        config.self = HostId(name);
        config.dataCentre = DataCentreId(name.substr(0, 1));
        config.seed = ++m_starts;
        config.maxStoredChanges = maxStoredChanges;
        m_running.insert_or_assign(name, TableReplica(config, m_fault));
        m_revisions[name] = 0;
        updateMembers();
    }
    void crash(const std::string& name)
    {
        m_running.erase(name);
        updateMembers();
    }
    // Passes the current members to all replicas, with crashed ones as dead.
    void updateMembers()
    {
        for (const auto& [name, replica] : m_running) {
            ReplicaMembers others;
            for (auto it : m_members) {
                if (it.host.value() == name)
                    continue;
                it.state = m_running.contains(it.host.value()) ? MemberState::Alive : MemberState::Dead;
                others.members.push_back(it);
            }
            input(name, others);
        }
    }

    void input(const std::string& name, const ReplicaInput& value)
    {
        std::vector<ReplicaOutput> out;
        m_running.at(name).apply(m_clock.now(), value, out);
        for (const auto& it : out)
            std::visit([&](const auto& output) { handle(name, output); }, it);
    }

    // Advances the simulation. Replicas are ticked every 50 ms and exchange their heads every 500 ms.
    void run(std::chrono::milliseconds span)
    {
        for (auto end = m_clock.now() + span; m_clock.now() < end; m_clock.advance(step)) {
            for (auto& it : net.takeDue(m_clock.now())) {
                if (m_running.contains(it.to))
                    input(it.to, it.received);
            }
            completeFetches();
            if (++m_steps % 5 == 0) {
                for (auto& [name, replica] : m_running)
                    input(name, ReplicaTick {});
            }
            if (m_steps % 50 == 0)
                exchangeHeads();
        }
    }

    const TableReplica& at(const std::string& name) const { return m_running.at(name); }
    bool isCurrent(const std::string& name) const { return at(name).head().revision == history.revision(); }
    bool allCurrent() const
    {
        return std::all_of(m_running.begin(), m_running.end(), [&](const auto& it) { return isCurrent(it.first); });
    }
    Instant now() const { return m_clock.now(); }

    TableHistory history;
    PeerNet net;
    std::vector<std::string> violations; // Descriptions of violated invariants, with the host.
    std::function<bool(const std::string&)> reachesPlatform = [](const std::string&) { return true; };
    std::chrono::milliseconds platformDelay { 20 };
    bool hasSnapshots = false;
    static constexpr uint32_t maxStoredChanges = 4; // Low, so that a peer needs a snapshot after a few changes.
    uint64_t platformReads = 0;

private:
    static constexpr std::chrono::milliseconds step { 10 };

    void handle(const std::string& name, const SendToPeer& message)
    {
        net.send(m_clock.now(), HostId(name), 1, message);
    }
    void handle(const std::string& name, const Adopted& adopted)
    {
        auto& last = m_revisions[name];
        if (adopted.table->revision <= last)
            violations.push_back(
                name + " adopted an older or equal revision " + std::to_string(adopted.table->revision));
        if (!history.contains(*adopted.table))
            violations.push_back(name + " adopted a table that differs from accepted revision "
                + std::to_string(adopted.table->revision));
        last = adopted.table->revision;
    }
    void handle(const std::string&, const TableRejected&) { }
    void handle(const std::string& name, const FetchHead&) { fetch(name, FetchKind::Head, 0, 0); }
    void handle(const std::string& name, const FetchSnapshot&) { fetch(name, FetchKind::Snapshot, 0, 0); }
    void handle(const std::string& name, const FetchChanges& it)
    {
        fetch(name, FetchKind::Changes, it.after, it.limit);
    }

    struct Fetch {
        std::string name;
        FetchKind kind = FetchKind::Head;
        uint64_t after = 0;
        uint32_t limit = 0;
    };
    void fetch(const std::string& name, FetchKind kind, uint64_t after, uint32_t limit)
    {
        ++platformReads;
        m_fetches.emplace(m_clock.now() + platformDelay, Fetch { name, kind, after, limit });
    }
    void completeFetches()
    {
        auto end = m_fetches.upper_bound(m_clock.now());
        std::multimap<Instant, Fetch> due(m_fetches.begin(), end);
        m_fetches.erase(m_fetches.begin(), end);
        for (const auto& [at, it] : due) {
            if (m_running.contains(it.name))
                input(it.name, fetchResult(it));
        }
    }
    ReplicaInput fetchResult(const Fetch& fetch)
    {
        if (!reachesPlatform(fetch.name) || (fetch.kind == FetchKind::Snapshot && !hasSnapshots))
            return FetchFailed { fetch.kind };
        if (fetch.kind == FetchKind::Head)
            return HeadSeen { history.revision(), history.latest().digest };
        if (fetch.kind == FetchKind::Snapshot)
            return SnapshotFetched { std::make_shared<const Table>(history.latest()) };
        ChangesFetched fetched;
        for (auto n = fetch.after + 1; n <= history.revision() && fetched.changes.size() < fetch.limit; ++n)
            fetched.changes.push_back(history.change(n));
        return fetched;
    }
    // Reports the head of each replica to all others that it can reach, as pings do.
    void exchangeHeads()
    {
        for (const auto& [from, replica] : m_running) {
            for (auto& [to, other] : m_running) {
                if (from != to && !net.isCut(from, to))
                    input(to, PeerTableSeen { HostId(from), replica.status(m_clock.now()) });
            }
        }
    }

    ReplicaFault m_fault;
    ManualClock m_clock;
    uint64_t m_steps = 0;
    uint64_t m_starts = 0;
    std::vector<MemberUpdate> m_members;
    std::map<std::string, TableReplica> m_running;
    std::map<std::string, uint64_t> m_revisions; // Last adopted revision of each replica since its start.
    std::multimap<Instant, Fetch> m_fetches; // Pending platform reads by completion time.
};

} // namespace jacinthspindle::test
