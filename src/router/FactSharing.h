// Sharing of what the platform says between daemons: answers the questions of others, and asks one of them in place of
// the platform.

#pragma once

#include "daemon/Metrics.h"
#include "router/Broadcast.h"
#include "router/FactRelay.h"
#include "router/HttpCaller.h"
#include "router/Journal.h"
#include "router/LoadPace.h"
#include "router/RouterSettings.h"
#include "router/TextServer.h"

namespace jacinthspindle::router {

// The owner of the facts.
struct FactPort {
    std::function<Facts(const FactQuestion&)> tell; // What this daemon knows; source and news are filled in elsewhere.
    std::function<FactQuestion()>
        ask; // What this daemon has; source, news and endpointsRevision are filled in elsewhere.
    // Another daemon answered a question that was asked at askedAt. False: the answer is of no use.
    std::function<bool(const Facts&, Instant askedAt)> adopt;
    std::function<uint64_t()> digest; // Of the endpoints that this daemon has; see digestOf().
    std::function<bool(const EndpointId&)> isKnown; // This daemon's list has the endpoint.
    // Another daemon of the data centre saw this endpoint fail; it is known.
    std::function<void(const EndpointObservation&)> adoptObservation;
    // Completes what daemons told of their load by what engines reported themselves.
    std::function<std::vector<EndpointLoad>(std::vector<EndpointLoad>)> withReports;
};

// Belongs to the control thread.
class FactSharing {
public:
    FactSharing(EventLoop&, const Clock&, Journal&, daemon::Metrics&, const RouterSettings&, HostRegistry&,
        std::string name, FactPort);

    // Without an address for other daemons, this one reads the platform itself from the start.
    void start();

    // True while this daemon reads the platform itself.
    bool isReading() const { return m_isReading; }
    net::awaitable<void> untilReading();
    // True when this daemon should be ready to plan the layout: it is among the first hosts of its data centre, or has
    // read the platform for a while. Those that read for a moment, as all do in an outage, are not.
    bool isLastingReader() const;
    // Daemons that entered themselves in the platform's list, as this one or its source last read it; 0: unknown.
    size_t hosts() const { return std::max(m_sourceSelector.hosts(), m_relayedHosts); }
    // The daemons in the platform's list, as this one read it last.
    const std::vector<PeerHost>& listedHosts() const { return m_listedHosts; }
    // Pause after a failed read of the platform.
    Duration retryPause() const { return m_sourceSelector.retryPause(); }
    // The platform did or did not answer this daemon.
    void recordPlatformRead(FactKind, bool didAnswer);
    // The process ends soon: daemons that follow this one are sent to another host.
    void resign();
    // What this daemon knows has changed or was confirmed.
    void noteNews();

    // This daemon saw an endpoint fail: reports it to the other daemons of the data centre.
    void observe(const EndpointId&);

    // Daemons of the own data centre, this one included; 0: unknown.
    size_t peers() const { return std::max(m_sourceSelector.localHosts(), m_relayedPeers); }
    // Attempts of all daemons of the data centre, as they told this one. Nothing while this daemon does not read the
    // platform well, or has not heard from most of them.
    std::optional<std::vector<EndpointLoad>> load();
    // The same for the pressure on models; empty where load() has nothing.
    std::vector<ModelPressure> pressure();

    // Answers another daemon as soon as there is news for it, or after a while.
    net::awaitable<TextAnswer> answer(TextRequest);

private:
    // The daemons of the data centre have told this one their load, and it reads the platform well.
    bool knowsLoad();
    net::awaitable<void> followHosts();
    net::awaitable<bool> enterHosts();
    net::awaitable<void> followPeers();
    std::optional<FactQuestion> receive(const TextRequest&);
    enum class PeerAnswer : uint8_t { Useful, Waiting, Declined, Failed };
    net::awaitable<PeerAnswer> askPeer(const PeerHost&);
    void checkEndpoints(const Facts&);
    TextAnswer answerObservations(const std::string& body);
    // Refuses observations that are too old or name no known endpoint.
    bool isAcceptable(const EndpointObservation&);
    net::awaitable<void> reportObservation(EndpointId, Instant seenAt);
    bool isReadingWell() const;
    void setReading(bool isReading);
    void setSource(const std::string& source);
    void recordAnswer(const PeerHost&, PeerAnswer);
    // Host of the data centre that reads the platform in place of this daemon; empty: none is known.
    std::string namedReader() const;
    bool isInCharge() const { return m_sourceSelector.isInCharge(m_clock.now()); }
    net::awaitable<void> sleep(Duration);

    EventLoop& m_loop;
    bool m_isFollowingPeers = false;
    const Clock& m_clock;
    Journal& m_journal;
    daemon::Metrics& m_metrics;
    HostRegistry& m_registry;
    FactPort m_port;
    const PeerHost m_self;
    const std::string m_name; // Unique per start of this daemon.
    const FactTiming m_timing;
    FactSourceSelector m_sourceSelector;
    std::vector<PeerHost> m_listedHosts;
    Broadcast m_change;
    uint64_t m_news = 0;
    bool m_isReading = false;
    std::array<bool, 2> m_hasRead {}; // By kind: the platform has answered since m_isReading was set.
    bool m_isResigned = false;
    std::string m_source; // Host that last sent facts; empty while this daemon reads the platform itself.
    std::string m_loggedSource; // m_source, or "platform", as last logged; empty: nothing was logged yet.
    std::string m_asked; // Host that is asked, which may still have to become the source.
    std::optional<HttpCaller> m_caller; // To m_asked.
    size_t m_relayedHosts = 0; // As the source last told.
    size_t m_relayedPeers = 0; // As the source last told.
    HostId m_namedReader; // That the last answer named as the source of the answering daemon.
    LoadAggregator m_loadAggregator;
    PressureAggregator m_pressureAggregator;
    LoadPace m_loadPace;
    ObservationLog m_observations; // Of the daemons that follow this one, and its own.
    bool m_takesObservations = false; // The source is of a release that does.
    std::string m_sourceAddress; // Of m_source.
    Instant m_readingSince {}; // Valid while m_isReading.
    FactQuestion m_last; // Source, news and revision of the last answer.
    // When the platform vouched for the facts of the last answer; empty when it was of no use, or this is unknown.
    std::optional<Instant> m_factsAt;
    Instant m_wholeListAt {}; // When the source last sent the whole list of endpoints.
};

} // namespace jacinthspindle::router
