// Following the platform and running the decision core.

#include "router/Control.h"

#include "spindlecore/internal/RetryBudget.h"

#include <set>

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    // While there is no configuration or no endpoint yet, so that the layout is made well before the first caller.
    constexpr milliseconds firstListInterval { 250 };
    constexpr milliseconds tickInterval { 100 };
    // Of the reports of chains' heads.
    constexpr milliseconds headInterval { 500 };
    constexpr milliseconds headTimeout { 300 };
    // The other engines of the own data centre report their pace this many head intervals apart.
    constexpr uint32_t paceIntervals = 2;
    // Older reports say nothing about the present.
    constexpr milliseconds longestHeadAge { 1500 };
    // A daemon that reads the platform itself takes over the load that others told it every this many ticks.
    constexpr uint32_t loadTicks = 3;

    // Part of the deadline that a request may wait for a slot: 0.8 s of a stream's 20 s. Callers leave a stream after 2
    // s without an event, and a refusal before that lets them come back.
    constexpr uint32_t queueSharePercent = 4;

    // A longer adoption delays decisions by more than a tick.
    constexpr milliseconds loggedAdoption = tickInterval;

    // Daemons that have started since the list of hosts was read share the allowed repetitions as well.
    constexpr double retryMargin = 0.85;

    // The budget of the core counts in windows of its own length; returns the platform's in those.
    double windowRatio(const RouterSettings& settings)
    {
        return std::chrono::duration<double>(settings.retryWindow) / internal::RetryBudget::window;
    }

    double retryShareOf(const RouterSettings& settings)
    {
        return settings.retryShare * std::min(1.0, windowRatio(settings));
    }

    uint32_t retryReserveOf(const RouterSettings& settings, size_t hosts)
    {
        double extra = settings.extraRetries / std::max(1.0, windowRatio(settings));
        return static_cast<uint32_t>(extra * retryMargin / static_cast<double>(std::max<size_t>(1, hosts)));
    }

    CoreConfig coreConfigOf(const RouterSettings& settings)
    {
        CoreConfig config;
        config.dataCentre = settings.dataCentre;
        config.host = settings.host;
        config.queueSharePercent = queueSharePercent;
        config.retryPercent = static_cast<uint32_t>(retryShareOf(settings) * 100);
        return config;
    }

} // namespace

Control::Control(EventLoop& loop, const Clock& clock, Journal& journal, daemon::Metrics& metrics,
    const RouterSettings& settings, ControlPorts ports, const PlannerLeaseConfig& lease)
    : m_loop(loop)
    , m_clock(clock)
    , m_journal(journal)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_ports(ports)
    , m_core(coreConfigOf(settings))
    , m_planner(loop, clock, journal, ports.lease, ports.engines, m_directory, lease)
    , m_sharing(loop, clock, journal, metrics, settings, ports.hosts, lease.holder,
          { [this](const FactQuestion& question) { return tell(question); },
              [this] {
                  FactQuestion question;
                  question.configurationVersion = m_configuration ? m_configuration->version : 0;
                  question.heartbeatsOf = m_directory.silentEndpoints();
                  question.wantsHeartbeats = !question.heartbeatsOf.empty();
                  question.load = m_core.ownLoad();
                  question.pressure = m_core.ownPressure();
                  return question;
              },
              [this](const Facts& facts, Instant askedAt) { return adoptFacts(facts, askedAt); },
              [this] { return m_directory.digest(); },
              [this](const EndpointId& id) { return m_directory.find(id) != nullptr; },
              [this](const EndpointObservation& it) { pauseFailed(it.endpoint, it.witness); },
              [this](std::vector<EndpointLoad> load) { return withReports(std::move(load)); } })
    , m_partSharing(loop, clock, journal, metrics,
          { settings.host, settings.dataCentre, settings.peerAddress, settings.linkMbps },
          [this] { return m_sharing.listedHosts(); })
    , m_timing(settings.changeBound)
{
}

void Control::start(Traffic& traffic)
{
    m_traffic = &traffic;
    if (m_settings.changeBound < FactTiming::minChangeBound)
        m_journal.write(LineKind::Warning, "change-bound-short",
            { { "bound_ms", m_settings.changeBound.count() },
                { "shortest_ms", millisecondsOf(FactTiming::minChangeBound) } });
    m_sharing.start();
    m_partSharing.start(traffic.parts());
    m_loop.keepRunning("configuration", [this] { return followConfiguration(); });
    m_loop.keepRunning("endpoint-list", [this] { return followEndpoints(); });
    m_loop.keepRunning("tick", [this] { return tick(); });
    m_loop.keepRunning("engine-reports", [this] { return followHeads(); });
    m_loop.keepRunning("planner", [this] { return m_planner.run(); });
}

void Control::resign()
{
    m_planner.resign();
    m_sharing.resign();
}

void Control::postInput(CoreInput input)
{
    net::post(m_loop.io(), [this, input = std::move(input)] {
        if (const auto* failed = std::get_if<AttemptFailed>(&input))
            pauseAfter(*failed);
        apply(input);
    });
}

// Leaves an endpoint alone that could not be reached or refused its part of a chain, so that not each request has to
// find out by itself, nor each daemon.
void Control::pauseAfter(const AttemptFailed& failed)
{
    bool isUnavailable = failed.kind == FailureKind::ConnectFailed;
    if (isUnavailable && pauseFailed(failed.endpoint, m_settings.host))
        m_sharing.observe(failed.endpoint);
}

bool Control::pauseFailed(const EndpointId& id, const HostId& witness)
{
    auto isOut = [this](const EndpointId& other) { return m_pauses.isPaused(other) || m_directory.isSilent(other); };
    if (!m_directory.isReplaceable(id, isOut) || !m_pauses.recordFailure(m_clock.now(), id))
        return false;
    m_journal.write(LineKind::Info, "endpoint-paused", { { "endpoint", id.value() }, { "witness", witness.value() } });
    apply(EndpointStateReported { id, EndpointStateSource::Health, EndpointAvailability::Down });
    return true;
}

void Control::reportSilent(const EndpointId& id)
{
    net::post(m_loop.io(), [this, id] {
        m_directory.markSilent(m_clock.now(), id);
        apply(EndpointStateReported { id, EndpointStateSource::Engine, EndpointAvailability::Down });
        m_sharing.observe(id);
    });
}

void Control::postNotice(EndpointNotice notice)
{
    net::post(m_loop.io(), [this, notice = std::move(notice)] {
        if (notice.isLeaving)
            noteLeaving(notice.endpoint);
        if (notice.pause)
            pauseFor(notice.endpoint, *notice.pause);
    });
}

void Control::postPartNews()
{
    net::post(m_loop.io(), [this] { m_partSharing.noteNews(); });
}

net::awaitable<TextAnswer> Control::answerPeer(TextRequest request)
{
    if (request.target.starts_with(partsTarget))
        co_return m_partSharing.answer(request);
    co_return co_await m_sharing.answer(std::move(request));
}

void Control::noteLeaving(const EndpointId& id)
{
    if (!m_directory.noteLeaving(id))
        return;
    m_journal.write(LineKind::Info, "endpoint-leaving", { { "endpoint", id.value() } });
    adoptEndpoints(true);
}

// Also the last endpoint that can do its work is left alone when it asks for it; its requests are refused meanwhile.
void Control::pauseFor(const EndpointId& id, Duration pause)
{
    if (!m_pauses.applyRequestedPause(m_clock.now(), id, pause))
        return;
    m_journal.write(
        LineKind::Info, "endpoint-paused", { { "endpoint", id.value() }, { "asked_ms", millisecondsOf(pause) } });
    apply(EndpointStateReported { id, EndpointStateSource::Health, EndpointAvailability::Down });
}

void Control::apply(const CoreInput& input) noexcept
{
    std::vector<CoreDecision> decisions;
    auto began = m_clock.now();
    m_core.apply(began, input, decisions);
    m_metrics.add(daemon::Counter::ControlInputs);
    m_metrics.observe(daemon::Distribution::DecisionTime, m_clock.now() - began);
    if (!decisions.empty())
        m_traffic->deliver(std::move(decisions));
}

void Control::noteDependency(bool& isUp, bool isUpNow, const char* name, const Reason& reason)
{
    if (!isUpNow)
        m_metrics.add(daemon::Counter::PlatformFailures);
    if (isUp == isUpNow)
        return;
    isUp = isUpNow;
    if (isUpNow) {
        m_journal.write(LineKind::Info, "dependency-regained", { { "dependency", name } });
        return;
    }
    m_journal.write(LineKind::Warning, "dependency-lost",
        { { "dependency", name }, { "code", static_cast<int>(reason.code) }, { "reason", reason.text } });
}

net::awaitable<void> Control::followConfiguration()
{
    net::steady_timer timer(m_loop.io());
    while (true) {
        co_await m_sharing.untilReading();
        auto sighting = co_await m_ports.configurations.next();
        noteDependency(
            m_areConfigurationsUp, sighting.has_value(), "configuration", m_ports.configurations.lastReason());
        if (sighting) {
            adopt(sighting->configuration, sighting->document);
            confirm(sighting->confirmedAt);
        }
        m_sharing.recordPlatformRead(FactKind::Configuration, sighting.has_value());
        if (sighting && m_configuration)
            continue;
        timer.expires_after(sighting ? Duration(firstListInterval) : m_sharing.retryPause());
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
    }
}

void Control::confirm(Instant at)
{
    m_confirmedAt = std::max(m_confirmedAt, at);
    // Without a configuration there is nothing whose age counts.
    if (!m_configuration)
        return;
    // A failure may have come between the adoption and the publication.
    if (m_publishedVersion != m_configuration->version)
        publish();
    m_traffic->confirm(m_confirmedAt);
}

Facts Control::tell(const FactQuestion& question) const
{
    auto now = m_clock.now();
    auto ageOf = [now](Instant at) { return std::chrono::ceil<milliseconds>(now - at); };
    Facts facts;
    facts.configurationVersion = m_configuration ? m_configuration->version : 0;
    facts.configurationAge = ageOf(m_confirmedAt);
    if (m_document && question.configurationVersion != facts.configurationVersion)
        facts.configurationDocument = *m_document;
    facts.endpointsRevision = m_directory.revision();
    facts.endpointsAge = ageOf(m_directory.updatedAt());
    facts.endpointsDigest = m_directory.digest();
    if (question.acceptsChanges)
        facts.changes = m_directory.changesSince(question.endpointsRevision, question.heartbeatsOf);
    bool hasOtherList = question.endpointsRevision != m_directory.revision();
    if (!facts.changes && (question.wantsHeartbeats || hasOtherList))
        facts.endpoints = m_directory.endpoints();
    if (auto returnedAt = m_directory.returnedAt(now))
        facts.returnedSince = ageOf(*returnedAt);
    return facts;
}

bool Control::adoptFacts(const Facts& facts, Instant askedAt)
{
    auto version = m_configuration ? m_configuration->version : 0;
    if (facts.configurationVersion < version)
        return false;
    if (facts.configurationDocument)
        adopt(m_ports.configurations.decode(*facts.configurationDocument),
            std::make_shared<const std::string>(*facts.configurationDocument));
    version = m_configuration ? m_configuration->version : 0;
    if (version != facts.configurationVersion)
        return false;
    // The ages were taken at this moment or later, so that the times are not too late.
    auto answeredAt = askedAt + facts.waited.value_or(milliseconds::zero());
    confirm(answeredAt - facts.configurationAge);
    auto updatedAt = answeredAt - facts.endpointsAge;
    std::optional<Instant> returnedAt;
    if (facts.returnedSince)
        returnedAt = answeredAt - *facts.returnedSince;
    if (facts.endpoints)
        adoptEndpoints(m_directory.adopt(updatedAt, *facts.endpoints, returnedAt));
    else if (facts.changes)
        adoptEndpoints(m_directory.adoptChanges(updatedAt, *facts.changes, returnedAt));
    else
        m_directory.confirm(updatedAt);
    // The answer counts this daemon's attempts as they were when it asked.
    if (facts.load)
        adoptLoad(*facts.load, askedAt);
    if (!facts.pressure.empty())
        apply(PressureReported { facts.pressure, m_clock.now() - askedAt });
    return true;
}

void Control::adopt(const std::shared_ptr<const RoutingConfiguration>& configuration,
    const std::shared_ptr<const std::string>& document)
{
    // Versions never go back within the life of a process.
    if (!configuration || (m_configuration && configuration->version <= m_configuration->version))
        return;
    auto began = m_clock.now();
    auto routes = std::make_shared<const RouteIndex>(*configuration);
    auto ranks = std::make_shared<const RequestRanks>(*configuration);
    m_configuration = configuration;
    m_document = document;
    m_routes = std::move(routes);
    m_ranks = std::move(ranks);
    m_planner.adopt(m_configuration);
    declareAccelerators();
    m_metrics.add(daemon::Counter::TablesAdopted);
    m_journal.write(LineKind::Info, "configuration-adopted",
        { { "version", m_configuration->version }, { "routes", m_configuration->routes.size() },
            { "services", m_configuration->services.size() }, { "keys", m_configuration->workspaceByKey.size() },
            { "ranked_models", m_ranks->models() } });
    publish();
    noteAdoption(began);
}

void Control::noteAdoption(Instant began)
{
    auto took = m_clock.now() - began;
    if (took < loggedAdoption)
        return;
    m_journal.write(LineKind::Warning, "table-adoption-slow",
        { { "took_ms", millisecondsOf(took) },
            { "configuration_version", m_configuration ? m_configuration->version : 0 },
            { "table_revision", m_revision } });
}

void Control::publish()
{
    if (!m_configuration)
        return;
    auto endpoints = m_directory.endpoints();
    auto view = std::make_shared<RoutingView>();
    view->configuration = m_configuration;
    view->routes = m_routes;
    view->ranks = m_ranks;
    for (const auto& it : endpoints)
        view->endpoints.emplace(it.endpoint, it);
    // The traffic thread receives the endpoints' addresses before the decisions that name them.
    m_traffic->publish(view);
    m_publishedVersion = m_configuration->version;
    auto table = std::make_shared<const Table>(buildTable(*m_configuration, endpoints, ++m_revision));
    apply(TableAdopted { table });
    std::map<EndpointId, uint32_t> paces;
    for (const auto& it : endpoints) {
        constexpr uint32_t usual = 100;
        auto known = m_paces.find(it.endpoint);
        if (it.pacePercent != (known == m_paces.end() ? usual : known->second))
            apply(PaceReported { it.endpoint, it.pacePercent });
        paces.emplace(it.endpoint, it.pacePercent);
    }
    m_paces = std::move(paces);
}

net::awaitable<void> Control::followEndpoints()
{
    net::steady_timer timer(m_loop.io());
    while (true) {
        co_await m_sharing.untilReading();
        // The list may be as old as the question for it.
        auto askedAt = m_clock.now();
        auto listed = co_await m_ports.endpoints.list();
        noteDependency(m_areEndpointsUp, listed.has_value(), "endpoint-list", m_ports.endpoints.lastReason());
        if (listed)
            adoptEndpoints(m_directory.update(askedAt, *listed));
        else
            m_directory.missed();
        m_sharing.recordPlatformRead(FactKind::Endpoints, listed.has_value());
        bool hasSome = listed && !listed->empty();
        timer.expires_after(!listed ? m_sharing.retryPause()
                : hasSome           ? m_timing.listInterval
                                    : Duration(firstListInterval));
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
    }
}

void Control::adoptEndpoints(bool hasChanged)
{
    if (hasChanged) {
        m_journal.write(LineKind::Info, "endpoints-changed",
            { { "endpoints", m_directory.size() }, { "table_revision", m_revision + 1 } });
        auto began = m_clock.now();
        publish();
        noteAdoption(began);
    }
    for (const auto& it : m_directory.takeRecovered()) {
        m_journal.write(LineKind::Info, "endpoint-recovered", { { "endpoint", it.value() } });
        apply(EndpointStateReported { it, EndpointStateSource::Engine, EndpointAvailability::Serving });
    }
}

// Divides the repetitions that all daemons together may send by the number of daemons.
void Control::shareRetries()
{
    auto hosts = m_sharing.hosts();
    if (!hosts || hosts == m_retryHosts)
        return;
    m_retryHosts = hosts;
    auto reserve = retryReserveOf(m_settings, hosts);
    m_journal.write(LineKind::Info, "retry-reserve", { { "hosts", hosts }, { "repetitions", reserve } });
    apply(RetryReserveChanged { reserve });
}

void Control::countPeers()
{
    auto peers = m_sharing.peers();
    if (!peers || peers == m_peers)
        return;
    m_peers = peers;
    m_journal.write(LineKind::Info, "peers-counted", { { "daemons", peers } });
    apply(PeersCounted { static_cast<uint32_t>(peers) });
}

void Control::adoptLoad(const std::vector<EndpointLoad>& load, Instant measuredAt)
{
    std::unordered_map<EndpointId, uint32_t> running;
    for (const auto& it : load)
        running.emplace(it.endpoint, it.running);
    auto age = m_clock.now() - measuredAt;
    for (const auto& it : m_directory.endpoints()) {
        auto found = running.find(it.endpoint);
        // What the daemons of other data centres send to their own engines is known of heads alone.
        bool isKnown = it.dataCentre == m_settings.dataCentre || (found != running.end() && !it.layers.first);
        if (!isKnown || !it.layers.count())
            continue;
        apply(LoadReported { it.endpoint, found == running.end() ? 0 : found->second, 0, age });
    }
}

net::awaitable<void> Control::followHeads()
{
    net::steady_timer timer(m_loop.io());
    for (uint32_t number = 0;; ++number) {
        co_await m_sharing.untilReading();
        for (const auto& it : m_directory.endpoints()) {
            bool isHead = !it.layers.first;
            bool isDue = isHead || (number % paceIntervals == 0 && it.dataCentre == m_settings.dataCentre);
            if (it.layers.count() && isDue && !it.isLeaving && !m_directory.isSilent(it.endpoint))
                m_loop.spawn("engine-report", askEngine(it));
        }
        timer.expires_after(headInterval);
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
        auto now = m_clock.now();
        std::erase_if(m_headLoad, [now](const auto& it) { return now - it.second.reportedAt > longestHeadAge; });
    }
}

net::awaitable<void> Control::askEngine(EndpointSighting engine)
{
    auto report = co_await m_ports.engines.report(engine.address, headTimeout);
    // Without a report the head's load is what daemons tell; a silent head is found by the requests that wait for it.
    if (!report || !isSameStart(engine, *report))
        co_return;
    if (report->isLeaving)
        noteLeaving(engine.endpoint);
    if (m_directory.notePace(engine.endpoint, report->pacePercent)) {
        m_journal.write(LineKind::Info, "endpoint-pace",
            { { "endpoint", engine.endpoint.value() }, { "percent", report->pacePercent } });
        adoptEndpoints(true);
    }
    if (engine.layers.first)
        co_return;
    m_headLoad[engine.endpoint] = { report->running + report->waiting, m_clock.now() };
    // For the planner, which may send no requests to that data centre. Chains avoid an endpoint once own requests wait.
    std::set<std::string> silent;
    for (const auto& it : report->stalled)
        silent.insert(it.address);
    for (const auto& it : silent)
        noteSilent(it, engine);
}

void Control::noteSilent(const std::string& address, const EndpointSighting& head)
{
    for (const auto& it : m_directory.endpoints()) {
        if (it.address != address || m_directory.isSilent(it.endpoint))
            continue;
        m_journal.write(LineKind::Warning, "endpoint-silent",
            { { "endpoint", it.endpoint.value() }, { "head", head.address }, { "requests", 0 } });
        m_directory.markSilent(m_clock.now(), it.endpoint);
    }
}

std::vector<EndpointLoad> Control::withReports(std::vector<EndpointLoad> load) const
{
    std::map<EndpointId, uint32_t> all;
    for (const auto& it : load)
        all[it.endpoint] = it.running;
    // Daemons of other data centres send here as well, and a report lags behind what daemons tell.
    for (const auto& [endpoint, reported] : m_headLoad)
        all[endpoint] = std::max(all[endpoint], reported.requests);
    load.clear();
    for (const auto& [endpoint, running] : all)
        load.push_back({ endpoint, running });
    return load;
}

void Control::declareAccelerators()
{
    AcceleratorsDeclared declared;
    for (const auto& service : m_configuration->services) {
        if (!service.model || !service.model->layers || service.model->times.step.count() <= 0)
            continue;
        const auto& times = service.model->times;
        double layers = service.model->layers;
        for (const auto& [name, kind] : service.model->kinds)
            declared.accelerators.push_back({ name, times.perPromptToken.count() * kind.promptTimeRatio / layers,
                times.step.count() * kind.stepTimeRatio / layers,
                times.perSequence.count() * kind.stepTimeRatio / layers });
    }
    if (!declared.accelerators.empty())
        apply(declared);
}

// Logs when a rank begins or ends to be refused, and when its last requests but those of the floor are.
void Control::noteAdmission()
{
    for (const auto& model : m_core.admission()) {
        for (const auto& it : model.levels) {
            auto level = it.admitted >= 1 ? Admission::Full : it.admitted > 0 ? Admission::Partial : Admission::None;
            auto& logged = m_loggedAdmission[{ model.model, it.priority }];
            if (logged == level)
                continue;
            logged = level;
            m_journal.write(LineKind::Info, "pressure-changed",
                { { "service", model.model.value() }, { "rank", it.priority },
                    { "admitted_percent", static_cast<int>(it.admitted * 100) }, { "wait_ms", millisecondsOf(it.wait) },
                    { "overload", it.overload }, { "of_all_daemons", it.isShared } });
        }
    }
}

net::awaitable<void> Control::tick()
{
    net::steady_timer timer(m_loop.io());
    for (uint32_t number = 0;; ++number) {
        timer.expires_after(tickInterval);
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
        shareRetries();
        countPeers();
        if (number % loadTicks == 0) {
            if (auto load = m_sharing.load())
                adoptLoad(withReports(*load), m_clock.now());
            auto pressure = m_sharing.pressure();
            if (!pressure.empty())
                apply(PressureReported { std::move(pressure), Duration::zero() });
        }
        m_planner.setCandidate(m_sharing.isLastingReader() || m_settings.isPreferredPlanner);
        for (const auto& it : m_pauses.takeEnded(m_clock.now()))
            apply(EndpointStateReported { it, EndpointStateSource::Health, EndpointAvailability::Serving });
        apply(Tick { number });
        noteAdmission();
    }
}

} // namespace jacinthspindle::router
