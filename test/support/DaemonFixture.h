// The traffic path of a daemon in this process: control loop and HTTP front over an engine and a service in memory.

#pragma once

#include "daemon/HttpFront.h"
#include "daemon/PeerControl.h"
#include "support/FakePlatform.h"
#include "support/SampleTable.h"

#include <atomic>
#include <condition_variable>
#include <doctest/doctest.h>
#include <httplib.h>
#include <mutex>

namespace jacinthspindle::test {

// Generates "t0 t1 ..." with whole proofs, and fails on demand.
class ScriptedEngine final : public ModelEngine {
public:
    GenerationEnd run(const GenerationCall& call, const std::function<StreamControl(const TokenEvent&)>& onToken,
        std::chrono::milliseconds stallLimit, const SilenceHandler& onSilence) override
    {
        if (++runs > 1 && laterRuns)
            return *laterRuns;
        for (uint32_t i = call.firstPosition; i < call.maxTokens; ++i) {
            waitWhileHeld();
            if (breaks > 0 && i == breakAt) {
                --breaks;
                return { GenerationOutcome::StreamBroken, call.chain.back().stage.endpoint, {} };
            }
            if (i == silentAt && silences > 0) {
                --silences;
                for (auto passed = stallLimit; passed < silence.load(); passed += silenceStep) {
                    if (!onSilence || onSilence() == StreamControl::Stop)
                        return { GenerationOutcome::Stalled, {}, {} };
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                }
            }
            TokenEvent event { call.request, call.attempt, i, "t" + std::to_string(i) + (otherText ? "x " : " "),
                i + 1 == call.maxTokens, {} };
            for (const auto& it : call.chain)
                event.proof.push_back({ it.stage.endpoint, it.stage.layers, call.version, call.attempt });
            if (onToken(event) == StreamControl::Stop)
                return { GenerationOutcome::Stopped, {}, {} };
        }
        return { GenerationOutcome::Complete, {}, {} };
    }
    bool cancel(const std::string&, const RequestId&, uint32_t, std::chrono::milliseconds) override { return true; }
    bool setPriority(const std::string&, const RequestId&, uint32_t, uint8_t, std::chrono::milliseconds) override
    {
        return true;
    }
    std::optional<EngineStatus> status(const std::string&, std::chrono::milliseconds) override { return std::nullopt; }
    OrderOutcome order(const EngineOrder&, std::chrono::milliseconds) override { return OrderOutcome::Failed; }

    // While held, no engine makes progress.
    void hold(bool isHeld)
    {
        {
            std::lock_guard lock(m_mutex);
            m_isHeld = isHeld;
        }
        m_changed.notify_all();
    }

    std::atomic<int> runs { 0 };
    std::atomic<int> breaks { 0 }; // Attempts that break at breakAt.
    std::atomic<uint32_t> breakAt { 0 };
    std::atomic<bool> otherText { false };
    std::optional<GenerationEnd> laterRuns; // What each run but the first returns at once; set before any request.
    std::atomic<int> silences { 0 }; // Attempts that are silent before silentAt and then go on.
    std::atomic<uint32_t> silentAt { 0 };
    // Counted in steps, not waited for, so that no verdict depends on the machine's speed.
    std::atomic<std::chrono::milliseconds> silence { std::chrono::milliseconds(0) };

private:
    static constexpr std::chrono::milliseconds silenceStep { 20 };

    void waitWhileHeld()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_isHeld; });
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isHeld = false;
};

// Answers each call with the number of effects so far.
class ScriptedService final : public PlainService {
public:
    ServiceAnswer call(const ServiceCall& call, std::chrono::milliseconds) override
    {
        lastPath = call.path;
        if (!call.idempotencyKey.empty())
            ++effects;
        if (losesAnswers)
            return { ServiceOutcome::Unknown, 0, {}, {} };
        return { ServiceOutcome::Answered, 201, "text/plain", "effects " + std::to_string(effects) };
    }
    LookupAnswer lookup(const ServiceCall&, std::chrono::milliseconds) override
    {
        return { LookupOutcome::Unavailable, {} };
    }

    int effects = 0;
    std::string lastPath;
    bool losesAnswers = false;
};

struct DaemonFixture {
    // hasReplica: the table comes through a TableReplica, as a replay of the trace needs it.
    explicit DaemonFixture(uint32_t threads = 4, bool hasReplica = false)
        : front({ traffic, ledger, lifecycle, trace, [] { return true; }, [] { return true; },
                    [] { return std::string("{}"); }, [] {} },
            threads)
    {
        auto table = acceptedTable();
        if (hasReplica)
            addReplica(table);
        control.start();
        if (!hasReplica)
            control.post(TableAdopted { table });
        signals.start();
        ledger.start(nullptr, nullptr);
        Reason reason;
        REQUIRE_MESSAGE(front.bind({ "127.0.0.1", 0 }, reason), reason.text);
        front.start();
        while (!control.table())
            std::this_thread::yield();
    }

    ~DaemonFixture()
    {
        engine.hold(false);
        front.stop();
        ledger.stop();
        control.stop();
        signals.stop();
    }

    static std::shared_ptr<const Table> acceptedTable()
    {
        auto rows = sampleTable();
        auto delta = diffTables(Table {}, rows);
        delta.digest = deltaDigest(delta);
        Reason reason;
        auto table = applyDelta(Table {}, delta, reason);
        REQUIRE_MESSAGE(table, reason.text);
        return std::make_shared<const Table>(std::move(*table));
    }

    void addReplica(const std::shared_ptr<const Table>& table)
    {
        daemon::Settings settings;
        settings.host = HostId("entry-1");
        settings.dataCentre = DataCentreId("north");
        settings.peerAddress = "127.0.0.1:1";
        auto fetch = [this, table](const daemon::PlatformFetch& it) {
            if (std::holds_alternative<FetchHead>(it))
                control.postHint(daemon::PeerInput(HeadSeen { table->revision, table->digest }));
            else
                control.postHint(daemon::PeerInput(SnapshotFetched { table }));
        };
        peers = std::make_unique<daemon::PeerControl>(
            settings, 1, 1, trace, [](const SendToPeer&) {}, fetch);
        control.setCompanion(*peers);
    }

    httplib::Client client() const
    {
        httplib::Client result("127.0.0.1", front.port());
        result.set_read_timeout(30, 0);
        return result;
    }

    static std::string chatBody(int maxTokens, bool isStream)
    {
        return R"({"model":"assistant","max_tokens":)" + std::to_string(maxTokens) + R"(,"stream":)"
            + (isStream ? "true" : "false") + R"(,"messages":[{"role":"user","content":"salaam"}]})";
    }

    SystemClock clock;
    daemon::Metrics metrics;
    daemon::TraceRecorder trace { { HostId("entry-1"), 1 }, clock, metrics, 4096 };
    daemon::ControlLoop control { { DataCentreId("north"), 1, HostId("entry-1") }, clock, trace, metrics, 64 };
    std::unique_ptr<daemon::PeerControl> peers;
    ScriptedEngine engine;
    ScriptedService service;
    FakeTableService tables;
    daemon::EngineSignals signals { engine };
    daemon::Identities identities { HostId("entry-1"), 1, 1 };
    CursorCodec cursors { "0123456789abcdef" };
    daemon::ActionLedger ledger { tables, clock, HostId("entry-1"), 1 };
    daemon::Lifecycle lifecycle { clock, std::chrono::milliseconds(0) };
    daemon::TrafficContext traffic { clock, control, engine, service, signals, identities, metrics, trace, cursors };
    daemon::HttpFront front;
};

const httplib::Headers schoolHeaders { { "X-Workspace", "school" } };

} // namespace jacinthspindle::test
