// A simulated cluster of daemons that share the limit of one workspace. It records by how much and for how long the sum
// of the shares of the running daemons exceeded the limit.

#pragma once

#include "support/PeerNet.h"

namespace jacinthspindle::test {

class LimitCluster {
public:
    // The first letter of a daemon's name is the name of its data centre.
    explicit LimitCluster(const std::vector<std::string>& names, LimitFault fault = LimitFault::None)
        : m_fault(fault)
    {
        WorkspaceRow row;
        row.workspace = workspace;
        row.requestsPerSecond = 1'000'000; // One request per second is one part per million.
        Table table;
        table.revision = 1;
        table.workspaces = { row };
        m_table = std::make_shared<const Table>(table);
        for (const auto& it : names)
            m_reachable[it] = true;
        for (const auto& it : names)
            start(it);
    }

    void start(const std::string& name)
    {
        LimitSharesConfig config;
        config.self = HostId(name);
        config.dataCentre = DataCentreId(name.substr(0, 1));
        m_running.insert_or_assign(name, LimitShares(config, m_fault));
        ++m_incarnations[name];
        m_reachable[name] = true;
        input(name, LimitTable { m_table });
        updateMembers();
    }
    // Stops the daemon. The other daemons treat it as reachable until setReachable() is called.
    void crash(const std::string& name) { m_running.erase(name); }
    void setReachable(const std::string& name, bool value)
    {
        m_reachable[name] = value;
        updateMembers();
    }
    // The demand in parts per million of the limit, which the daemon measures every 100 ms.
    void setDemand(const std::string& name, uint32_t parts) { m_demand[name] = parts; }

    void input(const std::string& name, const LimitInput& value)
    {
        std::vector<LimitOutput> out;
        m_running.at(name).apply(m_clock.now(), value, out);
        for (const auto& it : out) {
            if (const auto* message = std::get_if<SendToPeer>(&it))
                net.send(m_clock.now(), HostId(name), m_incarnations[name], *message);
        }
    }

    void run(std::chrono::milliseconds span)
    {
        for (auto end = m_clock.now() + span; m_clock.now() < end; m_clock.advance(step)) {
            for (auto& it : net.takeDue(m_clock.now())) {
                if (m_running.contains(it.to))
                    input(it.to, it.received);
            }
            if (++m_steps % 5 == 0) {
                for (auto& [name, shares] : m_running) {
                    input(name, LimitTick {});
                    if (m_demand[name] && m_steps % 10 == 0)
                        input(name, DemandSeen { workspace, static_cast<double>(m_demand[name]), 0, 0 });
                }
            }
            uint64_t total = sum();
            if (total <= wholeShare)
                continue;
            overTime += step;
            overshoot = std::max(overshoot, total - wholeShare);
        }
    }

    uint32_t share(const std::string& name) const { return m_running.at(name).share(m_clock.now(), workspace); }
    uint64_t sum() const
    {
        uint64_t total = 0;
        for (const auto& [name, shares] : m_running)
            total += share(name);
        return total;
    }
    std::string coordinator() const
    {
        const auto& any = m_running.begin()->second;
        return any.coordinatorOf(any.groupOf(workspace))->value();
    }
    void resetOvershoot()
    {
        overshoot = 0;
        overTime = {};
    }

    const WorkspaceId workspace { "school" };
    PeerNet net;
    uint64_t overshoot = 0; // The largest excess, in parts per million of the limit.
    std::chrono::milliseconds overTime {}; // Total time for which the sum exceeded the limit.

private:
    static constexpr std::chrono::milliseconds step { 10 };

    void updateMembers()
    {
        for (auto& [name, shares] : m_running) {
            LimitMembers members;
            for (const auto& [it, isReachable] : m_reachable) {
                if (it != name)
                    members.members.push_back({ HostId(it), DataCentreId(it.substr(0, 1)), it, isReachable });
            }
            input(name, members);
        }
    }

    LimitFault m_fault;
    ManualClock m_clock;
    uint64_t m_steps = 0;
    std::shared_ptr<const Table> m_table;
    std::map<std::string, LimitShares> m_running;
    std::map<std::string, uint64_t> m_incarnations;
    std::map<std::string, bool> m_reachable; // Whether the other daemons treat the host as reachable.
    std::map<std::string, uint32_t> m_demand;
};

} // namespace jacinthspindle::test
