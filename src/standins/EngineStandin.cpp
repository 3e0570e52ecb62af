// Streams, faults, status and orders of an engine.

#include "standins/EngineStandin.h"

#include "spindlecore/internal/PromptBlocks.h"
#include "standins/TokenText.h"

#include <algorithm>

namespace jacinthspindle::standins {

namespace {

    using Monotonic = std::chrono::steady_clock;

    constexpr size_t maxCachedPrefixes = 64;
    constexpr milliseconds sleepStep { 10 };
    // A stage reports a silent successor before the stage in front of it, and long before the daemon's stall limit, so
    // that the fault line names the right one.
    constexpr milliseconds lastStageStallLimit { 400 };
    constexpr milliseconds stallLimitPerStage { 100 };

    std::string streamName(const RequestId& request, uint32_t attempt)
    {
        return request.value() + "/" + std::to_string(attempt);
    }

    std::string streamName(const GenerationCall& call)
    {
        return streamName(call.request, call.attempt);
    }

} // namespace

struct EngineStandin::Stream {
    GenerationCall call;
    std::string name;
    std::function<bool(const std::string&)> write;
    std::function<bool()> isWritable;
    uint64_t delivered = 0;
};

EngineStandin::EngineStandin(const EndpointRow& row, EnginePace pace)
    : m_name(row.endpoint.value())
    , m_model(row.target)
    , m_pace(pace)
    , m_checksFence(row.capabilities.fencing)
    , m_slots(row.slots)
    , m_version(row.version)
    , m_adapters(row.adapters.begin(), row.adapters.end())
    , m_layers(row.layers)
    , m_server(row.address, [this](httplib::Server& server) { install(server); })
{
}

void EngineStandin::install(httplib::Server& server)
{
    server.Post("/v1/stages/run", [this](const auto& request, auto& response) { handleRun(request, response); });
    server.Post("/v1/stages/cancel", [this](const auto& request, auto& response) { handleCancel(request, response); });
    server.Post(
        "/v1/stages/priority", [this](const auto& request, auto& response) { handlePriority(request, response); });
    server.Get("/v1/stages/status", [this](const auto&, auto& response) { handleStatus(response); });
    server.Post("/v1/orders", [this](const auto& request, auto& response) { handleOrder(request, response); });
}

std::string EngineStandin::refusal(const GenerationCall& call) const
{
    if (call.chain.empty() || call.chain.front().stage.endpoint.value() != m_name)
        return "the chain does not start here";
    const auto& layers = call.chain.front().stage.layers;
    std::lock_guard lock(m_mutex);
    if (m_faults.refuse)
        return "the engine refuses work";
    if (call.model != m_model || call.version != m_version)
        return "the engine holds " + m_model + " " + m_version;
    if (!layers.count() || layers.first < m_layers.first || layers.end > m_layers.end)
        return "the engine holds other layers";
    if (!call.adapter.empty() && !m_adapters.contains(call.adapter))
        return "the adapter is not loaded";
    return {};
}

void EngineStandin::handleRun(const httplib::Request& request, httplib::Response& response)
{
    auto call = internal::decodeGenerationCall(request.body);
    if (!call)
        return answerError(response, 400, "the call is malformed");
    if (auto reason = refusal(*call); !reason.empty())
        return answerError(response, 503, reason);
    response.set_chunked_content_provider(
        "application/x-ndjson", [this, call = *call](size_t, httplib::DataSink& sink) {
            Stream stream { call, streamName(call), {}, [&] { return sink.is_writable(); }, 0 };
            stream.write = [&](const std::string& line) { return sink.write(line.data(), line.size()); };
            if (!runStream(stream))
                return false;
            sink.done();
            return true;
        });
}

bool EngineStandin::isWanted(const Stream& stream) const
{
    if (m_server.isDown() || !stream.isWritable())
        return false;
    std::lock_guard lock(m_mutex);
    return !m_cancelled.contains(stream.name);
}

bool EngineStandin::sleep(const Stream& stream, milliseconds time) const
{
    auto end = Monotonic::now() + time;
    while (isWanted(stream)) {
        auto left = end - Monotonic::now();
        if (left <= Monotonic::duration::zero())
            return true;
        std::this_thread::sleep_for(std::min<Monotonic::duration>(left, sleepStep));
    }
    return false;
}

bool EngineStandin::runStream(Stream& stream)
{
    {
        std::lock_guard lock(m_mutex);
        ++m_started;
        m_streams.insert(stream.name);
    }
    bool isDone = false;
    if (m_slots.acquire(stream.name, stream.call.priority, [&] { return isWanted(stream); })) {
        isDone = sleep(stream, m_pace.prefill) && (stream.call.chain.size() > 1 ? relay(stream) : generate(stream));
        m_slots.release();
    }
    noteCached(stream.call);
    std::lock_guard lock(m_mutex);
    ++m_ended;
    m_streams.extract(stream.name);
    if (!m_streams.contains(stream.name))
        m_cancelled.erase(stream.name);
    return isDone;
}

bool EngineStandin::generate(Stream& stream)
{
    const auto& call = stream.call;
    for (uint32_t position = call.firstPosition; position < call.maxTokens; ++position) {
        TokenEvent event { call.request, call.attempt, position, tokenText(call, position),
            position + 1 == call.maxTokens, {} };
        if (!deliver(stream, std::move(event)))
            return false;
    }
    return true;
}

bool EngineStandin::relay(Stream& stream)
{
    auto rest = stream.call;
    rest.chain.erase(rest.chain.begin());
    bool isCallerGone = false;
    auto end = m_next.run(
        rest,
        [&](const TokenEvent& event) {
            isCallerGone = !deliver(stream, event);
            return isCallerGone ? StreamControl::Stop : StreamControl::Continue;
        },
        lastStageStallLimit + stallLimitPerStage * rest.chain.size(), nullptr);
    if (end.outcome == GenerationOutcome::Complete)
        return true;
    if (isCallerGone || m_server.isDown())
        return false;
    auto atFault = end.endpoint.isEmpty() ? rest.chain.front().stage.endpoint : end.endpoint;
    auto line = internal::encodeStreamLine(internal::StreamFault { atFault, end.outcome, end.text });
    return line && stream.write(*line + "\n");
}

// Adds the own proof and sends the token, with the faults that are due.
bool EngineStandin::deliver(Stream& stream, TokenEvent event)
{
    uint32_t delay = 0;
    bool skipsProof = false;
    StageProof proof { EndpointId(m_name), stream.call.chain.front().stage.layers, {}, stream.call.attempt };
    ++stream.delivered;
    {
        std::lock_guard lock(m_mutex);
        proof.version = m_version;
        delay = m_faults.delayMs;
        skipsProof = m_faults.skipLayerEvery && stream.delivered % m_faults.skipLayerEvery == 0;
    }
    if (!sleep(stream, m_pace.perToken + milliseconds(delay)))
        return false;
    milliseconds stall {};
    auto cut = countToken(stall);
    if (cut == Cut::Die)
        m_server.goDown();
    if (cut != Cut::None || !sleep(stream, stall))
        return false;
    if (!skipsProof)
        event.proof.insert(event.proof.begin(), std::move(proof));
    return writeFaultyTokens(stream, event) && writeToken(stream, event);
}

EngineStandin::Cut EngineStandin::countToken(milliseconds& stall)
{
    std::lock_guard lock(m_mutex);
    ++m_tokens;
    if (countDown(m_faults.dieAfterTokens))
        return Cut::Die;
    if (countDown(m_faults.breakAfterTokens))
        return Cut::Break;
    if (countDown(m_faults.stallAfterTokens))
        stall = milliseconds(m_faults.stallMs);
    return Cut::None;
}

bool EngineStandin::writeToken(Stream& stream, const TokenEvent& event)
{
    auto line = internal::encodeStreamLine(event);
    return line && stream.write(*line + "\n");
}

bool EngineStandin::writeFaultyTokens(Stream& stream, const TokenEvent& event)
{
    EngineFaults faults;
    {
        std::lock_guard lock(m_mutex);
        faults = m_faults;
    }
    auto isDue = [&](uint32_t every) { return every && stream.delivered % every == 0; };
    if (isDue(faults.crossEvery)) {
        auto crossed = event;
        crossed.request = RequestId(event.request.value() + "-other");
        crossed.text = " crossed";
        if (!writeToken(stream, crossed))
            return false;
    }
    if (isDue(faults.lateEvery)) {
        auto late = event;
        late.attempt -= 1;
        late.text = " late";
        for (auto& it : late.proof)
            it.attempt = late.attempt;
        if (!writeToken(stream, late))
            return false;
    }
    return !isDue(faults.doubleEvery) || writeToken(stream, event);
}

void EngineStandin::handleCancel(const httplib::Request& request, httplib::Response& response)
{
    auto call = internal::decodeAttemptCall(request.body);
    if (!call)
        return answerError(response, 400, "the call is malformed");
    auto name = streamName(call->request, call->attempt);
    std::lock_guard lock(m_mutex);
    if (!m_streams.contains(name))
        return answerError(response, 404, "no such stream");
    m_cancelled.insert(name);
    answerJson(response, "{}");
}

void EngineStandin::handlePriority(const httplib::Request& request, httplib::Response& response)
{
    auto call = internal::decodeAttemptCall(request.body);
    if (!call)
        return answerError(response, 400, "the call is malformed");
    auto name = streamName(call->request, call->attempt);
    std::lock_guard lock(m_mutex);
    if (!m_streams.contains(name))
        return answerError(response, 404, "no such stream");
    m_slots.setPriority(name, call->priority);
    answerJson(response, "{}");
}

// The lock is held.
EngineStatus EngineStandin::snapshot() const
{
    EngineStatus status;
    status.running = m_slots.running();
    status.waiting = m_slots.waiting();
    status.version = m_version;
    status.cacheSequence = m_cacheSequence;
    status.cachedPrefixes = m_cached;
    return status;
}

void EngineStandin::handleStatus(httplib::Response& response)
{
    std::lock_guard lock(m_mutex);
    auto now = Monotonic::now();
    if (now - m_statusAt >= m_pace.statusLag + milliseconds(m_faults.statusLagMs)) {
        m_status = snapshot();
        m_statusAt = now;
    }
    if (now - m_cacheStatusAt >= milliseconds(m_faults.cacheLagMs)) {
        m_cacheStatus = snapshot();
        m_cacheStatusAt = now;
    }
    auto status = m_status;
    status.leaving = m_faults.leaving;
    status.cacheSequence = m_cacheStatus.cacheSequence;
    status.cachedPrefixes = m_cacheStatus.cachedPrefixes;
    status.age = now - m_statusAt;
    auto json = internal::encodeEngineStatus(status);
    answerJson(response, json.value_or("{}"));
}

void EngineStandin::noteCached(const GenerationCall& call)
{
    std::lock_guard lock(m_mutex);
    for (auto digest : internal::promptBlockDigests(call.prompt)) {
        if (std::find(m_cached.begin(), m_cached.end(), digest) != m_cached.end())
            continue;
        ++m_cacheSequence;
        if (m_faults.cacheGapEvery && m_cacheSequence % m_faults.cacheGapEvery == 0)
            continue;
        m_cached.push_back(digest);
        if (m_cached.size() > maxCachedPrefixes)
            m_cached.erase(m_cached.begin());
    }
}

// The lock is held.
bool EngineStandin::takeFence(uint64_t fence)
{
    bool isStale = fence < m_fence;
    m_fence = std::max(m_fence, fence);
    return !isStale || !m_checksFence || m_faults.ignoreFence;
}

void EngineStandin::handleOrder(const httplib::Request& request, httplib::Response& response)
{
    auto order = internal::decodeEngineOrder(request.body);
    if (!order || order->endpoint.value() != m_name)
        return answerError(response, 400, "the order is malformed or for another endpoint");
    {
        std::lock_guard lock(m_mutex);
        if (!takeFence(order->fence))
            return answerError(response, 409, "the fencing token is stale");
    }
    m_server.sleep(m_pace.loading);
    std::lock_guard lock(m_mutex);
    ++m_orders;
    if (order->kind == OrderKind::LoadVersion)
        m_version = order->value;
    else if (order->kind == OrderKind::LoadAdapter)
        m_adapters.insert(order->value);
    else
        m_layers = order->layers;
    answerJson(response, "{}");
}

bool EngineStandin::setFaults(const Json& json)
{
    auto faults = decodeFaults<EngineFaults>(json);
    if (!faults)
        return false;
    {
        std::lock_guard lock(m_mutex);
        m_faults = *faults;
    }
    if (faults->down)
        m_server.stop();
    else
        m_server.start();
    return true;
}

Json EngineStandin::counters() const
{
    std::lock_guard lock(m_mutex);
    return { { "tokens", m_tokens }, { "started", m_started }, { "ended", m_ended }, { "orders", m_orders },
        { "fence", m_fence }, { "isDown", m_server.isDown() } };
}

} // namespace jacinthspindle::standins
