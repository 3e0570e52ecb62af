// Simulates two daemons that send orders to engines through a shared table service, and injects faults at chosen steps.
// Time advances in rounds of one second.

#pragma once

#include "support/FaultyTable.h"
#include "support/SampleTable.h"

#include <deque>
#include <functional>

namespace jacinthspindle::test {

constexpr uint32_t orderLayers = 6; // Three stages of two layers; each stage runs on two engines.
constexpr uint32_t maxLoads = 2;
constexpr uint32_t loadRounds = 2;

struct FakeEngine {
    std::string version = "v1";
    std::string loadingVersion;
    LayerRange layers;
    bool checksFence = true;
    uint64_t highestFence = 0;
    uint32_t loadedAt = 0;
    uint32_t downUntil = 0;
    bool isLoading = false;

    bool isServing(uint32_t round) const { return !isLoading && round >= downUntil; }
};

struct OrderScenario {
    std::vector<std::string> versions; // The versions that the table requires, one after the other.
    uint32_t delay = 6; // Duration of a pause, a restart or a message delay, in rounds.
    bool checksFence = true;
    uint32_t lastEngineDownUntil = 0;
    uint32_t changeEvery = 5; // Rounds between changes of the table.
    uint32_t statusLag = 1; // Rounds until a status reaches B; it reaches A after one.
    std::vector<FaultPoint> faults {};

    std::string name() const
    {
        std::string text = "delay " + std::to_string(delay) + (checksFence ? "" : " no-fencing")
            + (lastEngineDownUntil ? " engine-down" : "") + " lag " + std::to_string(statusLag);
        for (const auto& it : versions)
            text += " " + it;
        for (const auto& it : faults)
            text += std::string(" | ") + it.party + std::to_string(it.step) + " " + faultName(it.fault);
        return text;
    }
};

class OrderSimulation {
public:
    OrderSimulation(OrderScenario scenario, internal::OrderMutations mutations)
        : m_scenario(std::move(scenario))
        , m_mutations(mutations)
    {
        for (uint32_t i = 0; i < orderLayers; ++i) {
            auto& engine = m_engines[EndpointId("engine-" + std::to_string(i))];
            engine.layers = { i / 2 * 2, i / 2 * 2 + 2 };
            engine.checksFence = m_scenario.checksFence;
        }
        m_engines.rbegin()->second.downUntil = m_scenario.lastEngineDownUntil;
        for (char name : { 'A', 'B' })
            restart(m_parties[name], name, 0);
    }

    // Returns a description of the violated safety invariant, or an empty string.
    std::string run()
    {
        constexpr uint32_t rounds = 90;
        for (m_round = 0; m_round < rounds && m_violation.empty() && !isSettled(); ++m_round) {
            finishLoads();
            deliverLateMessages();
            for (auto& [name, it] : m_parties)
                runRound(it);
        }
        for (const auto& [id, it] : m_engines) {
            if (it.version != m_scenario.versions.back())
                unfinished = id.value() + " remains at version " + it.version;
        }
        return m_violation;
    }

    uint32_t faultsApplied = 0;
    std::map<char, uint32_t> steps;
    std::string unfinished; // Names an engine that did not reach the last version of the table.
    FakeTable table;

private:
    struct Party {
        char name = 'A';
        uint64_t incarnation = 0;
        std::optional<OrderMachine> machine;
        std::deque<std::vector<EngineSeen>> pendingStatuses; // Sent but not yet delivered, by round.
        std::deque<std::function<void()>> deferredSteps; // Steps that a paused daemon runs when it resumes.
        uint32_t stoppedUntil = 0;
        bool hasCrashed = false;
    };

    void restart(Party& party, char name, uint64_t incarnation)
    {
        party = {};
        party.name = name;
        party.incarnation = incarnation;
        OrderConfig config { HostId(std::string(1, name)), incarnation, DataCentreId("north"), maxLoads };
        config.takeoverAfter = std::chrono::seconds(3);
        config.readEvery = config.renewEvery = config.retryEvery = std::chrono::seconds(1);
        party.machine.emplace(config, m_mutations);
    }

    Instant now() const { return Instant(std::chrono::seconds(1000 + m_round)); }

    // A change of the table reaches B one round after A.
    std::shared_ptr<const Table> tableFor(const Party& party)
    {
        uint32_t visibleRound = party.name == 'A' ? m_round : std::max(m_round, 1u) - 1;
        const auto& version
            = m_scenario
                  .versions[std::min<size_t>(visibleRound / m_scenario.changeEvery, m_scenario.versions.size() - 1)];
        auto& table = m_tables[version];
        if (!table)
            table = std::make_shared<const Table>(requiredTable(version));
        return table;
    }
    Table requiredTable(const std::string& version) const
    {
        Table wanted;
        RouteRow route;
        route.route = RouteId("assistant");
        route.target = "assistant-llm";
        route.version = version;
        route.layers = orderLayers;
        wanted.routes = { route };
        for (const auto& [id, it] : m_engines) {
            auto row = engineRow(id.value(), it.layers);
            row.version = version;
            row.capabilities.fencing = it.checksFence;
            wanted.endpoints.push_back(row);
        }
        return wanted;
    }

    void runRound(Party& party)
    {
        if (m_round < party.stoppedUntil)
            return;
        if (party.hasCrashed)
            restart(party, party.name, party.incarnation + 1);
        for (auto& it : std::exchange(party.deferredSteps, {}))
            it();
        applyInput(party, OrderTableAdopted { tableFor(party) });
        if (party.pendingStatuses.size() >= (party.name == 'A' ? 1 : m_scenario.statusLag)) {
            for (const auto& it : party.pendingStatuses.front())
                applyInput(party, it);
            party.pendingStatuses.pop_front();
        }
        auto& pendingStatuses = party.pendingStatuses.emplace_back();
        for (const auto& [id, it] : m_engines)
            pendingStatuses.push_back({ id, m_round >= it.downUntil, it.isServing(m_round), it.version, {}, it.layers,
                party.machine->logicalClock() });
        applyInput(party, OrderTick { m_round });
    }

    void applyInput(Party& party, const OrderInput& input)
    {
        if (m_round < party.stoppedUntil)
            return;
        for (const auto& it : party.machine->apply(now(), input)) {
            if (!std::holds_alternative<OrderWithheld>(it))
                carryOut(party, it);
        }
    }

    Fault faultAt(const Party& party)
    {
        for (const auto& it : m_scenario.faults) {
            if (it.party == party.name && it.step == steps[party.name]) {
                ++faultsApplied;
                return it.fault;
            }
        }
        return Fault::None;
    }

    void carryOut(Party& party, const OrderOutput& output)
    {
        Fault fault = faultAt(party);
        ++steps[party.name];
        auto act = [this, output] { return perform(output); };
        auto stop = [&] { party.stoppedUntil = m_round + m_scenario.delay; };
        switch (fault) {
        case Fault::Pause:
            stop();
            party.deferredSteps.emplace_back([this, &party, act] { applyInput(party, act()); });
            return;
        case Fault::PauseAfter:
            stop();
            party.deferredSteps.emplace_back([this, &party, input = act()] { applyInput(party, input); });
            return;
        case Fault::CrashAfter:
            act();
            [[fallthrough]];
        case Fault::Crash:
            stop();
            party.hasCrashed = true;
            return;
        case Fault::LostAnswer:
            act();
            [[fallthrough]];
        case Fault::LostRequest:
        case Fault::Refused:
            applyInput(party, failure(output, fault));
            return;
        case Fault::Late:
            m_late.emplace_back(m_round + m_scenario.delay, act);
            applyInput(party, failure(output, fault));
            return;
        case Fault::Doubled:
            m_late.emplace_back(m_round + m_scenario.delay, act);
            [[fallthrough]];
        default: {
            auto input = act();
            applyInput(party, input);
            if (fault == Fault::Doubled)
                applyInput(party, input);
        }
        }
    }

    OrderInput perform(const OrderOutput& output)
    {
        Reason reason;
        if (const auto* read = std::get_if<ReadLease>(&output))
            return toLeaseRead(*read, table.read(read->key), reason);
        if (const auto* write = std::get_if<WriteLease>(&output)) {
            bool isCommitted = table.commit(toTransaction(*write));
            return LeaseWriteAnswered { write->step, isCommitted ? CommitOutcome::Committed : CommitOutcome::Conflict };
        }
        const auto& send = std::get<SendOrder>(output);
        return OrderAnswered { send.step, carryOutOrder(send) };
    }

    OrderOutcome carryOutOrder(const SendOrder& send)
    {
        auto& engine = m_engines.at(send.order.endpoint);
        if (m_round < engine.downUntil)
            return OrderOutcome::Unknown;
        if (engine.checksFence && send.fence < engine.highestFence)
            return OrderOutcome::RefusedFence;
        engine.highestFence = std::max(engine.highestFence, send.fence);
        const auto& current = engine.isLoading ? engine.loadingVersion : engine.version;
        if (current == send.order.value)
            return OrderOutcome::Accepted;
        bool hadFullCoverage = hasFullCoverage();
        engine.isLoading = true;
        engine.loadingVersion = send.order.value;
        engine.loadedAt = m_round + loadRounds;
        if (hadFullCoverage && !hasFullCoverage())
            m_violation = "an order to " + send.order.endpoint.value() + " left a layer without service";
        auto loads
            = std::count_if(m_engines.begin(), m_engines.end(), [](const auto& it) { return it.second.isLoading; });
        if (loads > maxLoads)
            m_violation = std::to_string(loads) + " engines load at once";
        return OrderOutcome::Accepted;
    }

    // Returns whether some version is in service with all layers.
    bool hasFullCoverage() const
    {
        std::map<std::string, std::map<uint32_t, bool>> covered;
        for (const auto& [id, it] : m_engines) {
            if (it.isServing(m_round))
                covered[it.version][it.layers.first] = true;
        }
        return std::any_of(covered.begin(), covered.end(), [](const auto& it) { return it.second.size() == 3; });
    }

    static OrderInput failure(const OrderOutput& output, Fault fault)
    {
        bool isRefused = fault == Fault::Refused;
        if (const auto* read = std::get_if<ReadLease>(&output))
            return LeaseRead { read->step, ReadOutcome::Unavailable, std::nullopt, 0 };
        if (const auto* write = std::get_if<WriteLease>(&output))
            return LeaseWriteAnswered { write->step, isRefused ? CommitOutcome::Unavailable : CommitOutcome::Unknown };
        return OrderAnswered { std::get<SendOrder>(output).step,
            isRefused ? OrderOutcome::Failed : OrderOutcome::Unknown };
    }

    // Returns whether no message is delayed, no daemon is stopped, and all engines serve the last version of the table.
    bool isSettled() const
    {
        const auto lastChangeVisible = m_scenario.versions.size() * m_scenario.changeEvery;
        bool isQuiet = m_round > lastChangeVisible
            && std::all_of(m_late.begin(), m_late.end(), [&](const auto& it) { return it.first < m_round; })
            && std::all_of(
                m_parties.begin(), m_parties.end(), [&](const auto& it) { return it.second.stoppedUntil < m_round; });
        return isQuiet && std::all_of(m_engines.begin(), m_engines.end(), [&](const auto& it) {
            return it.second.isServing(m_round) && it.second.version == m_scenario.versions.back();
        });
    }
    void finishLoads()
    {
        for (auto& [id, it] : m_engines) {
            if (!it.isLoading || m_round < it.loadedAt)
                continue;
            it.isLoading = false;
            it.version = it.loadingVersion;
        }
    }
    void deliverLateMessages()
    {
        for (auto& [round, act] : m_late) {
            if (round == m_round)
                act();
        }
    }

    OrderScenario m_scenario;
    internal::OrderMutations m_mutations;
    std::map<EndpointId, FakeEngine> m_engines;
    std::map<char, Party> m_parties;
    std::map<std::string, std::shared_ptr<const Table>> m_tables;
    std::vector<std::pair<uint32_t, std::function<OrderInput()>>> m_late;
    std::string m_violation;
    uint32_t m_round = 0;
};

} // namespace jacinthspindle::test
