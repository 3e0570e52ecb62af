// Questions and answers between daemons.

#include "router/FactSharing.h"

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    // An answer without news is sent after this time, so that the asking daemon knows that this one lives.
    constexpr milliseconds longestAnswerWait { 500 };
    // Daemons that lose a common source turn to the next host at the same time as it begins to read.
    constexpr milliseconds longestReaderWait { 100 };
    // Daemons that wait for the platform with this one ask again after this time, so that each can test the platform
    // itself at its time.
    constexpr milliseconds longestWaitForPlatform { 200 };
    // At the first start of all hosts they enter themselves within 0.3 s of each other.
    constexpr milliseconds entryTime { 500 };
    constexpr milliseconds registryRetry { 1000 };
    // A daemon that reads the platform itself looks for a host that it could ask instead.
    constexpr milliseconds registryInterval { 3000 };
    constexpr milliseconds longestRegistryInterval { 30000 };
    constexpr milliseconds sourceCheckInterval { 100 };
    // Each daemon of the data centre has told its load after this time: an answer takes 0.5 s at most.
    constexpr milliseconds loadCollectionTime { 700 };
    // Hosts of each data centre that may plan the layout, and the time after which any other reader may.
    constexpr size_t lastingReaders = 2;
    constexpr milliseconds lastingTime { 4000 };
    // Between two questions, so that a source that always has news is not asked all the time.
    constexpr milliseconds shortestAskInterval { 50 };
    // For the report of an observation, which says nothing about the present later.
    constexpr milliseconds observationTimeout { 300 };
    // Between two requests for the whole list because the own copy differs. It differs for a while without damage when
    // this daemon leaves out endpoints that it saw go.
    constexpr milliseconds wholeListInterval { 3000 };

} // namespace

FactSharing::FactSharing(EventLoop& loop, const Clock& clock, Journal& journal, daemon::Metrics& metrics,
    const RouterSettings& settings, HostRegistry& registry, std::string name, FactPort port)
    : m_loop(loop)
    , m_clock(clock)
    , m_journal(journal)
    , m_metrics(metrics)
    , m_registry(registry)
    , m_port(std::move(port))
    , m_self { settings.host, settings.dataCentre, settings.peerAddress, settings.linkMbps }
    , m_name(std::move(name))
    , m_timing(settings.changeBound)
    , m_sourceSelector(settings.host, settings.dataCentre, m_timing.searchTime)
    , m_change(loop.io())
    , m_loadPace(settings.linkMbps)
{
}

void FactSharing::start()
{
    if (m_self.address.empty()) {
        m_isReading = true;
        return;
    }
    m_loop.keepRunning("host-registry", [this] { return followHosts(); });
}

net::awaitable<void> FactSharing::sleep(Duration time)
{
    net::steady_timer timer(m_loop.io(), time);
    ErrorCode ec;
    co_await timer.async_wait(awaitInto(ec));
}

net::awaitable<void> FactSharing::untilReading()
{
    while (!m_isReading)
        co_await m_change.wait();
}

void FactSharing::recordPlatformRead(FactKind kind, bool didAnswer)
{
    m_sourceSelector.recordPlatformRead(m_clock.now(), kind, didAnswer);
    m_hasRead[static_cast<size_t>(kind)] = didAnswer;
    if (didAnswer)
        noteNews();
}

bool FactSharing::isReadingWell() const
{
    return m_isReading && m_hasRead[0] && m_hasRead[1];
}

bool FactSharing::isLastingReader() const
{
    auto rank = m_sourceSelector.rankInDataCentre();
    if (!m_isReading)
        return false;
    bool isAmongFirst = !rank || *rank < lastingReaders;
    return isAmongFirst || (isReadingWell() && m_clock.now() - m_readingSince >= lastingTime);
}

void FactSharing::noteNews()
{
    ++m_news;
    m_change.notify();
}

// Reads the list of hosts and enters this daemon if its entry is missing or has changed.
net::awaitable<bool> FactSharing::enterHosts()
{
    auto hosts = co_await m_registry.list();
    if (!hosts)
        co_return false;
    bool isEntered = std::find(hosts->begin(), hosts->end(), m_self) != hosts->end();
    if (!isEntered) {
        isEntered = co_await m_registry.enter(m_self);
        co_await sleep(entryTime);
        auto later = co_await m_registry.list();
        if (later)
            hosts = std::move(later);
    }
    m_sourceSelector.setHosts(*hosts);
    m_listedHosts = *hosts;
    m_journal.write(LineKind::Info, "hosts-listed", { { "hosts", hosts->size() }, { "is_entered", isEntered } });
    co_return isEntered;
}

net::awaitable<void> FactSharing::followHosts()
{
    bool isEntered = co_await enterHosts();
    if (!std::exchange(m_isFollowingPeers, true))
        m_loop.keepRunning("facts-source", [this] { return followPeers(); });
    Duration interval = registryInterval;
    while (true) {
        co_await sleep(isEntered ? interval : Duration(registryRetry));
        if (isEntered && !m_isReading)
            continue;
        interval = std::min<Duration>(interval * 2, longestRegistryInterval);
        // A list that cannot be read does not take away the entry.
        isEntered = co_await enterHosts() || isEntered;
    }
}

void FactSharing::setReading(bool isReading)
{
    m_isReading = isReading;
    m_readingSince = m_clock.now();
    m_hasRead = {};
    // Own reads may change the list, so that the source has to send it again.
    m_last.endpointsRevision = 0;
    if (isReading)
        m_factsAt.reset();
    m_change.notify();
}

void FactSharing::setSource(const std::string& source)
{
    m_source = source;
    auto name = source.empty() ? std::string("platform") : source;
    if (name == m_loggedSource)
        return;
    m_loggedSource = name;
    m_journal.write(LineKind::Info, "facts-source", { { "source", name }, { "hosts", m_sourceSelector.hosts() } });
    m_change.notify();
}

// A daemon that reads with success goes on while it asks another one, until that one proves to be a reader.
net::awaitable<void> FactSharing::followPeers()
{
    while (true) {
        const auto* current = m_sourceSelector.currentSource(m_clock.now());
        if (!current) {
            if (!m_isReading)
                setReading(true);
            setSource({});
            co_await sleep(sourceCheckInterval);
            continue;
        }
        auto peer = *current;
        if (m_asked != peer.host.value() || !m_caller) {
            m_asked = peer.host.value();
            m_caller.emplace(m_loop.io().get_executor(), peer.address);
        }
        if (m_isReading && !isReadingWell())
            setReading(false);
        auto outcome = co_await askPeer(peer);
        recordAnswer(peer, outcome);
        co_await sleep(shortestAskInterval);
    }
}

void FactSharing::recordAnswer(const PeerHost& peer, PeerAnswer answer)
{
    auto now = m_clock.now();
    bool isReading = isReadingWell();
    if (answer != PeerAnswer::Useful)
        m_factsAt.reset();
    if (answer == PeerAnswer::Failed) {
        m_sourceSelector.recordFailure(now, peer.host);
    } else if (answer == PeerAnswer::Declined || (answer == PeerAnswer::Waiting && isReading)) {
        m_sourceSelector.recordDecline(now, peer.host, m_namedReader);
    } else if (answer == PeerAnswer::Waiting) {
        m_sourceSelector.recordWaiting(now, peer.host);
    } else {
        m_sourceSelector.recordResponse(peer.host);
        if (m_isReading)
            setReading(false);
        setSource(peer.host.value());
        m_sourceAddress = peer.address;
    }
}

std::string FactSharing::namedReader() const
{
    auto now = m_clock.now();
    if (m_isResigned)
        return m_sourceSelector.successor(now).value();
    if (m_sourceSelector.isInCharge(now))
        return {};
    return m_sourceSelector.currentSource(now) ? m_source : std::string();
}

void FactSharing::resign()
{
    m_isResigned = true;
    m_change.notify();
}

net::awaitable<FactSharing::PeerAnswer> FactSharing::askPeer(const PeerHost& peer)
{
    auto question = m_port.ask();
    question.source = m_last.source;
    question.news = m_last.news;
    question.endpointsRevision = m_last.endpointsRevision;
    question.asker = m_name;
    question.acceptsChanges = true;
    question.host = m_self.host;
    question.isReader = isReadingWell();
    question.observation = m_last.observation;
    auto askedAt = m_clock.now();
    auto timeout = m_timing.answerTimeout(askedAt, m_factsAt, m_sourceSelector.searchTimeLeft(askedAt));
    auto reply = co_await m_caller->call(
        http::verb::post, encodeQuestion(question), encodeOwnLoad(question), std::chrono::ceil<milliseconds>(timeout));
    std::optional<Facts> facts;
    if (reply && reply->status == 200)
        facts = decodeFacts(reply->body);
    auto fail = [&](const std::string& reason) {
        m_journal.write(LineKind::Warning, "facts-source-failed",
            { { "source", peer.host.value() }, { "reason", reason },
                { "configuration_age_ms", facts ? facts->configurationAge.count() : -1 },
                { "endpoints_age_ms", facts ? facts->endpointsAge.count() : -1 },
                { "known_age_ms", m_factsAt ? millisecondsOf(m_clock.now() - *m_factsAt) : -1 } });
        return PeerAnswer::Failed;
    };
    if (!reply)
        co_return fail(m_caller->lastReason().text);
    if (!facts) {
        m_metrics.add(daemon::Counter::PeerMessagesRejected);
        co_return fail("status " + std::to_string(reply->status) + " or malformed");
    }
    if (facts->waited)
        facts->waited = std::min(*facts->waited, std::chrono::floor<milliseconds>(m_clock.now() - askedAt));
    m_namedReader = HostId(facts->reader);
    if (!facts->isReader)
        co_return facts->isWaiting ? PeerAnswer::Waiting : PeerAnswer::Declined;
    auto age = std::max(facts->configurationAge, facts->endpointsAge);
    // Facts that the next answer could not renew in time: the source has lost the platform.
    if (age + FactTiming::minAnswerTime > m_timing.maxFactAge)
        co_return fail("old facts");
    if (facts->changes && (facts->source != question.source || facts->changes->since != question.endpointsRevision)) {
        m_last.endpointsRevision = 0;
        co_return fail("changes of another list");
    }
    if (!m_port.adopt(*facts, askedAt))
        co_return fail("facts of no use");
    m_relayedHosts = facts->hosts;
    m_relayedPeers = facts->peers;
    // Without the time that the source waited, the facts would seem older than they are.
    m_factsAt = facts->waited ? std::optional(askedAt + *facts->waited - age) : std::nullopt;
    m_last.source = facts->source;
    m_last.news = facts->news;
    m_last.endpointsRevision = facts->endpointsRevision;
    checkEndpoints(*facts);
    m_takesObservations = facts->endpointsDigest.has_value();
    m_last.observation = facts->observation;
    for (const auto& it : facts->observations) {
        if (it.witness != m_self.host && isAcceptable(it))
            m_port.adoptObservation(it);
    }
    noteNews();
    co_return PeerAnswer::Useful;
}

void FactSharing::observe(const EndpointId& endpoint)
{
    auto now = m_clock.now();
    if (isReadingWell()) {
        if (m_observations.add(now, { endpoint, m_self.host, {} }))
            noteNews();
    } else if (m_takesObservations && !m_source.empty()) {
        m_loop.spawn("observation-report", reportObservation(endpoint, now));
    }
}

// Observations are rare, so that each report has a connection of its own; the kept one waits for news.
net::awaitable<void> FactSharing::reportObservation(EndpointId endpoint, Instant seenAt)
{
    HttpCaller caller(m_loop.io().get_executor(), m_sourceAddress);
    auto age = std::chrono::ceil<milliseconds>(m_clock.now() - seenAt);
    std::vector<EndpointObservation> observations;
    observations.push_back({ std::move(endpoint), m_self.host, age });
    // The next failure is reported again, and a lost report costs others an attempt of their own.
    co_await caller.call(
        http::verb::post, std::string(observationsTarget), encodeObservations(observations), observationTimeout);
}

TextAnswer FactSharing::answerObservations(const std::string& body)
{
    auto observations = decodeObservations(body);
    m_metrics.add(observations ? daemon::Counter::PeerMessagesReceived : daemon::Counter::PeerMessagesRejected);
    if (!observations)
        return { 400, {} };
    auto before = m_observations.last();
    for (const auto& it : *observations) {
        if (isAcceptable(it) && m_observations.add(m_clock.now(), it))
            m_port.adoptObservation(it);
    }
    if (m_observations.last() != before)
        noteNews();
    return {};
}

bool FactSharing::isAcceptable(const EndpointObservation& observation)
{
    if (observation.age <= ObservationLog::validity && m_port.isKnown(observation.endpoint))
        return true;
    m_metrics.add(daemon::Counter::PeerMessagesRejected);
    m_journal.write(LineKind::Info, "observation-refused",
        { { "endpoint", observation.endpoint.value() }, { "witness", observation.witness.value() },
            { "age_ms", observation.age.count() } });
    return false;
}

// Requests the whole list if the copy that the changes were applied to differs from the source's list.
void FactSharing::checkEndpoints(const Facts& facts)
{
    auto now = m_clock.now();
    if (facts.endpoints)
        m_wholeListAt = now;
    bool isSame = !facts.endpointsDigest || *facts.endpointsDigest == m_port.digest();
    if (isSame || now - m_wholeListAt < wholeListInterval)
        return;
    m_journal.write(LineKind::Warning, "endpoints-differ", { { "source", m_source } });
    m_last.endpointsRevision = 0;
}

bool FactSharing::knowsLoad()
{
    auto now = m_clock.now();
    if (!isReadingWell() || now - m_readingSince < loadCollectionTime)
        return false;
    auto own = m_port.ask();
    m_loadAggregator.updateReport(now, m_name, own.load);
    m_pressureAggregator.updateReport(now, m_name, std::move(own.pressure));
    return m_loadAggregator.reportingDaemons(now) * 2 >= m_sourceSelector.localHosts();
}

std::optional<std::vector<EndpointLoad>> FactSharing::load()
{
    if (!knowsLoad())
        return std::nullopt;
    return m_loadAggregator.sum(m_clock.now());
}

std::vector<ModelPressure> FactSharing::pressure()
{
    if (!knowsLoad())
        return {};
    return m_pressureAggregator.sum(m_clock.now());
}

std::optional<FactQuestion> FactSharing::receive(const TextRequest& request)
{
    auto question = decodeQuestion(request.target, request.body);
    m_metrics.add(question ? daemon::Counter::PeerMessagesReceived : daemon::Counter::PeerMessagesRejected);
    if (question && !question->asker.empty()) {
        m_loadAggregator.updateReport(m_clock.now(), question->asker, question->load);
        m_pressureAggregator.updateReport(m_clock.now(), question->asker, question->pressure);
    }
    if (question && question->isReader && !question->host.isEmpty() && !isReadingWell()) {
        m_sourceSelector.recordReader(question->host);
        m_change.notify();
    }
    return question;
}

net::awaitable<TextAnswer> FactSharing::answer(TextRequest request)
{
    if (request.target == observationsTarget)
        co_return answerObservations(request.body);
    auto question = receive(request);
    if (!question)
        co_return TextAnswer { 404, {} };
    bool isOwnAnswer = question->source == m_name;
    auto askedAt = m_clock.now();
    auto isReader = [this] { return isReadingWell() && !m_isResigned; };
    // Daemons that wait for the platform with this one are answered as soon as another one is known to read it.
    while (!isReader() && isInCharge() && !m_isResigned && m_clock.now() < askedAt + longestWaitForPlatform)
        co_await m_change.wait();
    while (!isReader() && !isInCharge() && !m_isResigned && m_clock.now() < askedAt + longestReaderWait)
        co_await m_change.wait();
    auto until = askedAt + longestAnswerWait;
    // A daemon that has just started has nothing to tell yet.
    auto hasNews = [&] { return m_news && (!isOwnAnswer || question->news != m_news); };
    while (isReader() && !hasNews() && m_clock.now() < until)
        co_await m_change.wait();
    if (!isOwnAnswer) {
        question->endpointsRevision = 0;
        question->observation = 0;
    }
    // Measured before the ages are, so that nothing seems younger than it is.
    auto waited = std::chrono::floor<milliseconds>(m_clock.now() - askedAt);
    auto facts = m_port.tell(*question);
    facts.waited = waited;
    facts.source = m_name;
    facts.news = m_news;
    facts.isReader = isReader();
    facts.reader = namedReader();
    facts.isWaiting = !facts.isReader && !m_isResigned && isInCharge();
    facts.hosts = static_cast<uint32_t>(hosts());
    facts.peers = static_cast<uint32_t>(peers());
    if (question->acceptsChanges) {
        facts.observation = m_observations.last();
        facts.observations = m_observations.since(m_clock.now(), question->observation);
    }
    if (auto told = load()) {
        facts.pressure = m_pressureAggregator.sum(m_clock.now());
        auto all = m_port.withReports(std::move(*told));
        if (m_loadPace.takeTurn(
                m_clock.now(), question->asker, m_loadAggregator.reportingDaemons(m_clock.now()), all.size()))
            facts.load = std::move(all);
    }
    co_return TextAnswer { 200, encodeFacts(facts) };
}

} // namespace jacinthspindle::router
