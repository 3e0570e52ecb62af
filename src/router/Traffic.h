// The traffic thread: accepts callers, runs their requests and looks after silent endpoints.

#pragma once

#include "router/ClientSession.h"
#include "router/EventLoop.h"
#include "router/LoopWatch.h"
#include "router/RoutingView.h"
#include "router/SilentEngines.h"

#include <functional>
#include <set>

namespace jacinthspindle::router {

// What the traffic thread tells the control thread. The functions are thread-safe and do not block.
struct ControlPort {
    std::function<void(CoreInput)> postInput;
    std::function<void(const EndpointId&)> reportSilent; // An engine names this endpoint as not answering.
    std::function<void(EndpointNotice)> postNotice;
    std::function<void()> postPartNews; // This daemon knows more about parts of prompts; see PromptParts.
};

// Except where stated otherwise, functions are called on the thread that runs the loop.
class Traffic {
public:
    Traffic(EventLoop&, const Clock&, Journal&, daemon::Metrics&, const RouterSettings&, ControlPort, EngineControl&);

    // Opens the addresses; nothing is served before. Returns why one cannot be opened.
    std::optional<Reason> open();

    // Thread-safe.
    void publish(std::shared_ptr<const RoutingView>);
    // The platform vouched at this moment for the configuration of the view that was published last. Takes the same way
    // as the view, so that no request finds an older configuration confirmed.
    void confirm(Instant at);
    void deliver(std::vector<CoreDecision>);
    // Stops taking new connections after the balancer has noticed, and calls onIdle once nothing is in progress or the
    // grace is over.
    void drain(std::function<void()> onIdle);

    // For sessions.
    const ExchangeContext& context() const { return m_context; }
    const std::shared_ptr<const RoutingView>& view() const { return m_view; }
    bool isDraining() const { return m_drainedAt.has_value(); }
    // False when the process may end before a request with this deadline that arrives now.
    bool canOutlast(Instant deadline) const;
    // Time since the platform last vouched for the configuration; Duration::max() before the first time.
    Duration configurationAge() const
    {
        return m_confirmedAt ? m_context.clock.now() - *m_confirmedAt : Duration::max();
    }
    // Registers a request under an identifier that no other one in progress has.
    RequestId uniqueId(const std::string& wireId) const;
    void enter(const std::shared_ptr<Exchange>&);
    void leave(const RequestId&);
    void leave(const std::shared_ptr<ClientSession>&);

    bool isReady() const;
    // Thread-safe.
    PromptParts& parts() { return m_parts; }
    const MemoryBudget& requestMemory() const { return m_requestMemory; }
    const MemoryBudget& answerMemory() const { return m_answerMemory; }

private:
    net::awaitable<void> acceptCallers();
    void acceptWaiting();
    void serve(tcp::socket);
    // The task of the session has failed.
    void abandon(const std::shared_ptr<ClientSession>&);
    net::awaitable<void> sweep();
    net::awaitable<void> inquire(EndpointSighting head);
    void beginInquiry(Instant now, const EndpointSighting& head);
    // An endpoint that has left the list may be at work, since some leave without a word. It has ended, or is cut off,
    // if it has besides answered no inquiry for longer than a sound one is silent.
    bool isLost(const EndpointId&) const;
    void noteLoss(UnbegunLoss);
    net::awaitable<void> confirmEnd(EndpointSighting engine);
    net::awaitable<const char*> findProofOfEnd(EndpointSighting engine);
    net::awaitable<void> finishDrain(std::function<void()> onIdle);
    // Last moment of the grace at which answers can be expected; valid while draining.
    Instant drainEnd() const;
    void inquireSilent(Instant now);
    void moveAll(const EndpointId& silent, const std::string& headAddress, const std::vector<std::string>& wireIds);
    void noteReadiness();
    void noteDelay(Duration);
    void noteBlockedParts();

    EventLoop& m_loop;
    Journal& m_journal;
    const RouterSettings& m_settings;
    ControlPort m_control;
    EngineControl& m_engines;
    EndpointPool m_pool;
    PromptParts m_parts;
    MemoryBudget m_requestMemory;
    MemoryBudget m_answerMemory;
    ExchangeContext m_context;
    tcp::acceptor m_acceptor;
    std::shared_ptr<const RoutingView> m_view; // Null before the first configuration.
    std::optional<Instant> m_confirmedAt; // When the platform last vouched for the configuration of m_view.
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> m_exchanges;
    std::set<std::shared_ptr<ClientSession>> m_sessions;
    std::unordered_map<std::string, Instant> m_inquiries; // By address of the head: when it was last asked.
    SilentEngines m_silentHeads; // Asked until they answer or are forgotten.
    std::map<EndpointId, std::vector<UnbegunLoss>> m_losses; // Whose engines are asked whether they ended.
    LoopWatch m_loopWatch;
    std::optional<Instant> m_drainedAt;
    std::optional<bool> m_wasReady; // As last logged.
    size_t m_blockedParts = 0; // As last logged.
};

} // namespace jacinthspindle::router
