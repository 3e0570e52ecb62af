// Accepting callers, silent endpoints and draining.

#include "router/Traffic.h"

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds sweepInterval { 100 };
    // An engine stalls for 3 s on a dead stage and callers leave after 2 s without an event. The head is asked early
    // enough for the work to go on elsewhere before that; usual pauses are far shorter.
    constexpr milliseconds silenceBeforeInquiry { 450 };
    constexpr milliseconds inquiryInterval { 300 };
    constexpr milliseconds inquiryTimeout { 350 };
    // Without an answer to an inquiry, the head itself counts as silent for work that has waited this long.
    constexpr milliseconds silenceOfHead { 800 };
    // The balancer asks every second and takes a daemon out after two misses.
    constexpr milliseconds balancerLag { 2500 };
    // Time to write the last answers before SIGKILL.
    constexpr milliseconds drainMargin { 400 };
    // Of it, what the answers take to those requests that are given up.
    constexpr milliseconds lastAnswerTime { 200 };
    constexpr milliseconds lastAnswerPoll { 10 };
    // A daemon that cannot check keys for much longer is better left out by the balancer.
    constexpr milliseconds readyConfigurationAge { 3500 };
    constexpr milliseconds acceptPause { 50 };
    // Requests that lose an engine together notice it within a few milliseconds.
    constexpr milliseconds lossCollectionTime { 10 };
    // Between two answers that do not come: the pause, a connection and a report, which connects as well.
    constexpr milliseconds longestProofTurn = inquiryInterval + 3 * inquiryTimeout + milliseconds(100);
    // The end of an engine is not known afterwards, if this process was held up again and again.
    constexpr std::chrono::seconds longestProof { 10 };
    // Part of the silence after which an endpoint is asked.
    constexpr milliseconds loggedDelay = silenceBeforeInquiry / 2;

} // namespace

Traffic::Traffic(EventLoop& loop, const Clock& clock, Journal& journal, daemon::Metrics& metrics,
    const RouterSettings& settings, ControlPort control, EngineControl& engines)
    : m_loop(loop)
    , m_journal(journal)
    , m_settings(settings)
    , m_control(std::move(control))
    , m_engines(engines)
    , m_pool(loop.io().get_executor(), clock)
    , m_requestMemory(settings.mostHeldBytes)
    , m_answerMemory(settings.mostHeldBytes)
    , m_context { loop.io().get_executor(), clock, journal, metrics, m_pool, settings, m_control.postInput,
        m_control.postNotice, [this] { return m_view; }, [this](const EndpointId& id) { return isLost(id); },
        [this] { return m_loopWatch.longestDelay(m_context.clock.now()); }, m_parts,
        [this](UnbegunLoss loss) { noteLoss(std::move(loss)); }, m_answerMemory,
        [this](const EndpointId& id) { m_silentHeads.noteAnswer(id); } }
    , m_acceptor(loop.io())
    , m_loopWatch(sweepInterval)
{
}

std::optional<Reason> Traffic::open()
{
    if (auto reason = listenOn(m_acceptor, m_settings.frontAddress))
        return reason;
    m_loop.keepRunning("acceptor", [this] { return acceptCallers(); });
    m_loop.keepRunning("sweep", [this] { return sweep(); });
    return std::nullopt;
}

net::awaitable<void> Traffic::acceptCallers()
{
    net::steady_timer pause(m_loop.io());
    while (m_acceptor.is_open()) {
        ErrorCode ec;
        tcp::socket socket(m_loop.io());
        co_await m_acceptor.async_accept(socket, awaitInto(ec));
        if (!ec) {
            serve(std::move(socket));
            continue;
        }
        if (ec == net::error::operation_aborted)
            co_return;
        // Out of descriptors, mostly: connections that end make room.
        m_journal.write(LineKind::Warning, "accept-failed", { { "reason", ec.message() } });
        pause.expires_after(acceptPause);
        co_await pause.async_wait(awaitInto(ec));
    }
}

void Traffic::serve(tcp::socket socket)
{
    auto session = std::make_shared<ClientSession>(*this, std::move(socket));
    m_sessions.insert(session);
    m_loop.spawn("client-session", session->run(), [this, session] { abandon(session); });
}

// A request that was in progress is answered in a task of its own, since the session's own task is gone.
void Traffic::abandon(const std::shared_ptr<ClientSession>& session)
{
    m_loop.spawn("failed-session", session->finishAbandoned(), [this, session] { leave(session); });
}

// Takes the connections that wait to be accepted: closing the address would reset them, and with them requests that
// have been sent.
void Traffic::acceptWaiting()
{
    ErrorCode ec;
    m_acceptor.cancel(ec);
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(m_loop.io());
        m_acceptor.accept(socket, ec);
        if (!ec)
            serve(std::move(socket));
    }
}

void Traffic::publish(std::shared_ptr<const RoutingView> view)
{
    net::post(m_loop.io(), [this, view = std::move(view)] { m_view = view; });
}

void Traffic::confirm(Instant at)
{
    net::post(m_loop.io(), [this, at] { m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at; });
}

void Traffic::deliver(std::vector<CoreDecision> decisions)
{
    net::post(m_loop.io(), [this, decisions = std::move(decisions)] {
        for (const auto& decision : decisions) {
            const auto& id = std::visit([](const auto& it) -> const RequestId& { return it.request; }, decision);
            auto found = m_exchanges.find(id);
            if (found != m_exchanges.end()) {
                found->second->decide(decision);
                continue;
            }
            // The caller left while the decision was on its way.
            if (const auto* dispatch = std::get_if<Dispatch>(&decision))
                m_control.postInput(CallerGone { dispatch->request });
        }
    });
}

RequestId Traffic::uniqueId(const std::string& wireId) const
{
    RequestId id(wireId);
    for (int n = 2; m_exchanges.contains(id); ++n)
        id = RequestId(wireId + '#' + std::to_string(n));
    return id;
}

void Traffic::enter(const std::shared_ptr<Exchange>& exchange)
{
    m_exchanges.emplace(exchange->id(), exchange);
}

void Traffic::leave(const RequestId& id)
{
    m_exchanges.erase(id);
}

void Traffic::leave(const std::shared_ptr<ClientSession>& session)
{
    m_sessions.erase(session);
}

bool Traffic::isReady() const
{
    return m_view && !m_view->endpoints.empty() && !isDraining() && configurationAge() <= readyConfigurationAge;
}

void Traffic::noteReadiness()
{
    bool isNow = isReady();
    if (m_wasReady == isNow)
        return;
    m_wasReady = isNow;
    auto age = configurationAge();
    m_journal.write(LineKind::Info, isNow ? "ready" : "not-ready",
        { { "configuration_version", m_view ? m_view->configuration->version : 0 },
            { "configuration_age_ms", age == Duration::max() ? -1 : millisecondsOf(age) },
            { "endpoints", m_view ? m_view->endpoints.size() : 0 }, { "draining", isDraining() } });
}

void Traffic::noteBlockedParts()
{
    auto now = m_context.clock.now();
    m_parts.update(now);
    auto blocked = m_parts.blocked(now);
    if (blocked == m_blockedParts)
        return;
    m_blockedParts = blocked;
    m_journal.write(LineKind::Warning, "parts-blocked", { { "parts", blocked }, { "suspects", m_parts.suspects() } });
}

void Traffic::noteDelay(Duration delay)
{
    m_context.metrics.observe(daemon::Distribution::LoopDelay, delay);
    if (delay < loggedDelay)
        return;
    m_journal.write(LineKind::Warning, "held-up",
        { { "late_ms", millisecondsOf(delay) }, { "requests", m_exchanges.size() },
            { "configuration_version", m_view ? m_view->configuration->version : 0 } });
}

net::awaitable<void> Traffic::sweep()
{
    net::steady_timer timer(m_loop.io());
    while (true) {
        timer.expires_after(sweepInterval);
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
        if (ec)
            co_return;
        auto delay = m_loopWatch.tick(m_context.clock.now());
        noteDelay(delay);
        for (const auto& [id, exchange] : m_exchanges)
            exchange->excuse(delay);
        noteReadiness();
        noteBlockedParts();
        m_pool.sweep();
        if (!m_exchanges.empty())
            inquireSilent(m_context.clock.now());
    }
}

void Traffic::inquireSilent(Instant now)
{
    for (const auto& [id, exchange] : m_exchanges) {
        exchange->followStandby();
        if (!exchange->head() || !exchange->isSilentFor(silenceBeforeInquiry))
            continue;
        if (exchange->isStalled()) {
            // The head lives and names no silent stage, but the caller is about to leave.
            exchange->moveAway(exchange->head()->endpoint);
        }
        beginInquiry(now, *exchange->head());
    }
    for (const auto& it : m_silentHeads.update(now))
        beginInquiry(now, it);
    std::erase_if(m_inquiries, [&](const auto& it) { return now - it.second > std::chrono::seconds(10); });
}

void Traffic::beginInquiry(Instant now, const EndpointSighting& head)
{
    auto& askedAt = m_inquiries[head.address];
    if (now - askedAt < inquiryInterval + inquiryTimeout)
        return;
    askedAt = now;
    m_loop.spawn("inquiry", inquire(head));
}

bool Traffic::isLost(const EndpointId& id) const
{
    return m_silentHeads.silenceOf(id, m_context.clock.now()) >= longestSoundSilence && !m_view->findEndpoint(id);
}

// Asks the head of chains which endpoints it waits for.
net::awaitable<void> Traffic::inquire(EndpointSighting head)
{
    auto askedAt = m_context.clock.now();
    auto report = co_await m_engines.report(head.address, inquiryTimeout);
    auto endedAt = m_context.clock.now();
    // After a delay of this process the answer may lie unread.
    if (!report && endedAt - askedAt >= inquiryTimeout + LoopWatch::leastDelay)
        co_return;
    if (report && isSameStart(head, *report))
        m_silentHeads.noteAnswer(head.endpoint);
    else
        m_silentHeads.noteSilence(head, askedAt, endedAt);
    if (!report) {
        std::vector<std::string> waiting;
        for (const auto& [id, exchange] : m_exchanges) {
            if (exchange->head() && exchange->head()->endpoint == head.endpoint && exchange->isSilentFor(silenceOfHead))
                waiting.push_back(exchange->wireId());
        }
        if (!waiting.empty())
            moveAll(head.endpoint, head.address, waiting);
        co_return;
    }
    std::unordered_map<std::string, std::vector<std::string>> byAddress;
    for (const auto& it : report->stalled)
        byAddress[it.address].push_back(it.request.value());
    for (const auto& [address, wireIds] : byAddress) {
        const auto* silent = m_view->findAddress(address);
        moveAll(silent ? silent->endpoint : EndpointId(address), head.address, wireIds);
    }
}

void Traffic::noteLoss(UnbegunLoss loss)
{
    auto engine = loss.engine;
    // An engine that leaves ends as well. Some leave the list without a word before that.
    const auto* listed = m_view->findEndpoint(engine.endpoint);
    if (!listed || listed->isLeaving)
        return;
    auto& losses = m_losses[engine.endpoint];
    losses.push_back(std::move(loss));
    if (losses.size() == 1) {
        auto id = engine.endpoint;
        m_loop.spawn("proof-of-end", confirmEnd(std::move(engine)), [this, id] { m_losses.erase(id); });
    }
}

// Returns what proves that the engine has ended, or null. A lost connection proves nothing, since it may have been
// reset on the way, nor does an inquiry without an answer: a sound engine may be silent.
net::awaitable<const char*> Traffic::findProofOfEnd(EndpointSighting engine)
{
    net::steady_timer timer(m_loop.io());
    auto begin = m_context.clock.now();
    auto turnedAt = begin;
    auto end = begin + longestSoundSilence;
    bool isSilent = true; // It has not accepted a connection in all this time.
    while (true) {
        auto report = co_await m_engines.report(engine.address, inquiryTimeout);
        if (report)
            co_return isSameStart(engine, *report) ? nullptr : "restarted";
        beast::tcp_stream stream(m_loop.io());
        auto ec = co_await connectTo(stream, engine.address, inquiryTimeout);
        if (ec == net::error::connection_refused)
            co_return "refused";
        isSilent = isSilent && ec == beast::error::timeout;
        auto now = m_context.clock.now();
        // While this process was held up, nobody asked the engine.
        if (now - turnedAt > longestProofTurn) {
            end = now + longestSoundSilence;
            isSilent = true;
        }
        turnedAt = now;
        if (now >= end)
            co_return isSilent ? "silent" : nullptr;
        if (now - begin > longestProof)
            co_return nullptr;
        timer.expires_after(inquiryInterval);
        co_await timer.async_wait(awaitInto(ec));
    }
}

net::awaitable<void> Traffic::confirmEnd(EndpointSighting engine)
{
    net::steady_timer timer(m_loop.io(), lossCollectionTime);
    ErrorCode ec;
    co_await timer.async_wait(awaitInto(ec));
    const char* proof = co_await findProofOfEnd(engine);
    auto losses = std::move(m_losses.extract(engine.endpoint).mapped());
    if (!proof)
        co_return;
    auto now = m_context.clock.now();
    auto ageOf = [now](Instant at) { return std::chrono::ceil<milliseconds>(now - at); };
    std::vector<PartEnd> ends;
    for (const auto& loss : losses) {
        for (uint32_t i = 0; i < loss.parts.size(); ++i)
            ends.push_back(
                { loss.parts[i], i, engine.endpoint, m_settings.host, ageOf(loss.sentAt), ageOf(loss.lostAt) });
    }
    bool isNew = m_parts.recordEnds(now, ends);
    m_journal.write(LineKind::Warning, "engine-ended",
        { { "endpoint", engine.endpoint.value() }, { "proof", proof }, { "unbegun", losses.size() },
            { "parts", ends.size() }, { "suspects", m_parts.suspects() }, { "is_news", isNew } });
    if (isNew && m_control.postPartNews)
        m_control.postPartNews();
}

void Traffic::moveAll(const EndpointId& silent, const std::string& headAddress, const std::vector<std::string>& wireIds)
{
    m_journal.write(LineKind::Warning, "endpoint-silent",
        { { "endpoint", silent.value() }, { "head", headAddress }, { "requests", wireIds.size() },
            { "held_up_ms", millisecondsOf(m_loopWatch.longestDelay(m_context.clock.now())) } });
    m_control.reportSilent(silent);
    for (const auto& [id, exchange] : m_exchanges) {
        bool isNamed = std::find(wireIds.begin(), wireIds.end(), exchange->wireId()) != wireIds.end();
        // The report is some hundred milliseconds old; work that has moved on since is left alone.
        if (isNamed && exchange->head() && exchange->head()->address == headAddress
            && exchange->isSilentFor(silenceBeforeInquiry / 2))
            exchange->moveAway(silent);
    }
}

void Traffic::drain(std::function<void()> onIdle)
{
    net::post(m_loop.io(), [this, onIdle = std::move(onIdle)]() mutable {
        if (isDraining())
            return;
        m_drainedAt = m_context.clock.now();
        m_loop.keepRunning("drain", [this, onIdle = std::move(onIdle)] { return finishDrain(onIdle); });
    });
}

Instant Traffic::drainEnd() const
{
    return *m_drainedAt + m_settings.shutdownGrace - drainMargin;
}

// Until the balancer has noticed, callers have nowhere else to go.
bool Traffic::canOutlast(Instant deadline) const
{
    return !isDraining() || m_context.clock.now() - *m_drainedAt < balancerLag || deadline <= drainEnd();
}

net::awaitable<void> Traffic::finishDrain(std::function<void()> onIdle)
{
    net::steady_timer timer(m_loop.io());
    ErrorCode ec;
    timer.expires_after(balancerLag);
    co_await timer.async_wait(awaitInto(ec));
    acceptWaiting();
    m_acceptor.close(ec);
    while (m_context.clock.now() < drainEnd()) {
        // A session leaves the set while its coroutine ends, so that the set is copied.
        auto sessions = m_sessions;
        for (const auto& it : sessions)
            it->closeIfIdle(m_context.clock.now());
        if (m_exchanges.empty() && m_sessions.empty())
            break;
        timer.expires_after(sweepInterval);
        co_await timer.async_wait(awaitInto(ec));
    }
    auto exchanges = m_exchanges;
    for (const auto& [id, exchange] : exchanges)
        exchange->expire();
    for (auto time = milliseconds(0); !m_exchanges.empty() && time < lastAnswerTime; time += lastAnswerPoll) {
        timer.expires_after(lastAnswerPoll);
        co_await timer.async_wait(awaitInto(ec));
    }
    m_journal.write(LineKind::Info, "drained",
        { { "in_progress", exchanges.size() }, { "took_ms", millisecondsOf(m_context.clock.now() - *m_drainedAt) } });
    onIdle();
}

} // namespace jacinthspindle::router
