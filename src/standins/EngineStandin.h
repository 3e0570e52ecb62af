// A stand-in of a model engine that holds a range of layers.

#pragma once

#include "spindleadapters/HttpEndpoints.h"
#include "spindleadapters/internal/EndpointJson.h"
#include "standins/Faults.h"
#include "standins/SlotQueue.h"
#include "standins/StandinServer.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace jacinthspindle::standins {

struct EnginePace {
    milliseconds perToken { 5 };
    milliseconds prefill { 10 }; // For each stream.
    milliseconds statusLag { 200 };
    milliseconds loading { 100 }; // Of a version, an adapter or a role.
};

// The text is a function of the prompt, seed, model, version, adapter and position alone, so that any chain that
// regenerates a stream gives the same text. A stream has maxTokens tokens.
std::string tokenText(const GenerationCall&, uint32_t position);

class EngineStandin final : public Standin {
public:
    EngineStandin(const EndpointRow&, EnginePace);

    const std::string& name() const override { return m_name; }
    bool start() override { return m_server.start(); }
    void stop() override { m_server.stop(); }
    bool setFaults(const Json&) override;
    Json counters() const override;

private:
    struct Stream;
    enum class Cut : uint8_t { None, Break, Die };

    void install(httplib::Server&);
    void handleRun(const httplib::Request&, httplib::Response&);
    void handleCancel(const httplib::Request&, httplib::Response&);
    void handlePriority(const httplib::Request&, httplib::Response&);
    void handleStatus(httplib::Response&);
    void handleOrder(const httplib::Request&, httplib::Response&);

    // Returns why the call cannot run here; an empty text when it can.
    std::string refusal(const GenerationCall&) const;
    bool runStream(Stream&);
    bool generate(Stream&);
    bool relay(Stream&);
    bool deliver(Stream&, TokenEvent);
    Cut countToken(milliseconds& stall);
    bool writeToken(Stream&, const TokenEvent&);
    bool writeFaultyTokens(Stream&, const TokenEvent&);
    bool isWanted(const Stream&) const;
    bool sleep(const Stream&, milliseconds) const;
    void noteCached(const GenerationCall&);
    EngineStatus snapshot() const;
    bool takeFence(uint64_t fence);

    const std::string m_name;
    const std::string m_model;
    const EnginePace m_pace;
    const bool m_checksFence;
    HttpModelEngine m_next;
    SlotQueue m_slots;

    mutable std::mutex m_mutex;
    std::string m_version;
    std::set<std::string> m_adapters;
    LayerRange m_layers;
    EngineFaults m_faults;
    std::set<std::string> m_cancelled; // Names of streams; see streamName().
    std::multiset<std::string> m_streams; // Running or waiting.
    std::vector<uint64_t> m_cached;
    uint64_t m_cacheSequence = 0;
    uint64_t m_fence = 0;
    EngineStatus m_status;
    std::chrono::steady_clock::time_point m_statusAt {};
    EngineStatus m_cacheStatus; // Only the cache's members are used.
    std::chrono::steady_clock::time_point m_cacheStatusAt {};
    uint64_t m_tokens = 0;
    uint64_t m_started = 0;
    uint64_t m_ended = 0;
    uint64_t m_orders = 0;

    StandinServer m_server; // The last member: its threads use the others.
};

} // namespace jacinthspindle::standins
