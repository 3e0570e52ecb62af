// The planner's cycle.

#include "router/LayoutPlanner.h"

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds cycle { 250 };
    // After a start the engines register over some seconds. A layout that is made while the list still grows puts the
    // whole model on the engines that came first, which leaves them no memory for requests.
    constexpr milliseconds settleTime { 1700 };
    // Engines that register one after the other for longer than this are not waited for.
    constexpr milliseconds longestSettleTime { 6000 };
    constexpr milliseconds callTimeout { 500 };
    // An order is seen in the engine's entry after its loading time, a heartbeat, and a read of the list.
    constexpr milliseconds orderSlack { 3500 };
    // An order without an answer may be carried out this much later.
    constexpr milliseconds unknownOrderTime { 5000 };
    // Orders that failed are planned again after this time.
    constexpr milliseconds failedOrderPause { 800 };
    // An engine that is busy finishes requests, which takes seconds.
    constexpr milliseconds busyPause { 2000 };

} // namespace

LayoutPlanner::LayoutPlanner(EventLoop& loop, const Clock& clock, Journal& journal, LeaseStore& store,
    EngineControl& control, const EndpointDirectory& directory, PlannerLeaseConfig config)
    : m_loop(loop)
    , m_clock(clock)
    , m_journal(journal)
    , m_store(store)
    , m_control(control)
    , m_directory(directory)
    , m_leaseConfig(config)
    , m_lease(std::move(config))
{
}

net::awaitable<void> LayoutPlanner::run()
{
    net::steady_timer timer(m_loop.io());
    while (true) {
        if (m_isCandidate || m_term)
            co_await advanceLease();
        bool holds = m_lease.isHolder(m_clock.now());
        if (holds != (m_term != 0)) {
            m_term = holds ? m_lease.terms() : 0;
            m_ordered.clear();
            m_journal.write(LineKind::Info, holds ? "planner-lease-gained" : "planner-lease-lost",
                { { "terms", m_lease.terms() } });
        }
        bool isSettled = isListSettled(m_clock.now());
        if (holds && m_configuration && isSettled) {
            for (const auto& it : m_configuration->services) {
                if (it.model)
                    co_await plan(it.name, *it.model);
            }
        }
        timer.expires_after(cycle);
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
        if (ec)
            co_return;
    }
}

net::awaitable<void> LayoutPlanner::advanceLease()
{
    auto now = m_clock.now();
    // Another call may have seen it.
    isOfFormerEra(now);
    auto action = m_lease.next(now);
    if (std::holds_alternative<PlannerLease::Read>(action)) {
        auto row = co_await m_store.read();
        // What was read belongs to the new era.
        isOfFormerEra(m_clock.now());
        if (row)
            m_lease.wasRead(m_clock.now(), row->version, row->holder);
        else
            m_lease.readFailed(m_clock.now());
        co_return;
    }
    if (const auto* release = std::get_if<PlannerLease::Release>(&action)) {
        m_journal.write(LineKind::Info, "planner-lease-released");
        co_await m_store.write(release->expectedVersion, {});
        co_return;
    }
    const auto* write = std::get_if<PlannerLease::Write>(&action);
    if (!write)
        co_return;
    auto [outcome, version] = co_await m_store.write(write->expectedVersion, m_leaseConfig.holder);
    if (isOfFormerEra(m_clock.now()))
        co_return;
    if (outcome == CommitOutcome::Committed)
        m_lease.wasWritten(now, version);
    else if (outcome == CommitOutcome::Conflict)
        m_lease.wasRejected(m_clock.now());
    else
        m_lease.writeFailed(m_clock.now());
}

bool LayoutPlanner::isOfFormerEra(Instant now)
{
    bool isFormer = m_lease.updateEra(now, m_store.era());
    if (isFormer)
        m_journal.write(LineKind::Warning, "store-restored", { { "era", m_store.era() } });
    return isFormer;
}

bool LayoutPlanner::isListSettled(Instant now)
{
    auto n = m_directory.size();
    if (m_isSettled || !n)
        return m_isSettled;
    if (!m_listed)
        m_firstListedAt = now;
    if (n != m_listed)
        m_grownAt = now;
    m_listed = n;
    m_isSettled = now - m_grownAt >= settleTime || now - m_firstListedAt >= longestSettleTime;
    return m_isSettled;
}

std::vector<PlacedEngine> LayoutPlanner::enginesOf(const std::string& service, Instant now)
{
    std::vector<PlacedEngine> engines;
    for (const auto& it : m_directory.endpoints()) {
        if (it.service != service)
            continue;
        // The entry of a lost engine stays in the list for three heartbeats; its gap is closed sooner.
        bool isLost = m_directory.isSilent(it.endpoint);
        PlacedEngine engine { it.endpoint, it.dataCentre, it.accelerator, it.layers, false, it.isLeaving || isLost,
            it.pacePercent / 100.0 };
        auto ordered = m_ordered.find(it.endpoint);
        bool isShown = ordered != m_ordered.end() && !ordered->second.isOccupied && ordered->second.layers == it.layers;
        if (isShown || (ordered != m_ordered.end() && now >= ordered->second.until))
            m_ordered.erase(ordered);
        else if (ordered != m_ordered.end()) {
            engine.layers = ordered->second.layers;
            engine.isBusy = true;
        }
        engines.push_back(std::move(engine));
    }
    return engines;
}

net::awaitable<void> LayoutPlanner::plan(const std::string& service, ModelLayout model)
{
    auto now = m_clock.now();
    auto engines = enginesOf(service, now);
    auto scope = m_outageDetectors[service].update(now, engines);
    auto orders = planPlacement(model, engines, scope);
    if (orders.empty())
        co_return;
    m_journal.write(LineKind::Info, "placement-planned",
        { { "service", service }, { "engines", engines.size() }, { "orders", orders.size() },
            { "list_age_ms", millisecondsOf(now - m_directory.updatedAt()) }, { "has_gap", hasGap(model, engines) },
            { "cut_off", scope.cutOff.size() }, { "settled", scope.settled.size() },
            { "tokens_before", placementTokenCapacity(model, engines) } });
    for (const auto& order : orders) {
        const auto* endpoint = m_directory.find(order.endpoint);
        if (!endpoint)
            continue;
        m_ordered[order.endpoint] = { order.layers, now + callTimeout * 2, false };
        m_loop.spawn("placement-order", carryOut(*endpoint, order.layers, model));
    }
}

bool LayoutPlanner::isStillDue(const EndpointSighting& planned, LayerRange layers) const
{
    const auto* listed = m_directory.find(planned.endpoint);
    if (!listed || listed->isLeaving || listed->service != planned.service || listed->accelerator != planned.accelerator
        || listed->address != planned.address)
        return false;
    const auto* service = m_configuration->findService(planned.service);
    if (!service || !service->model)
        return false;
    const auto& model = *service->model;
    auto kind = model.kinds.find(planned.accelerator);
    return kind != model.kinds.end() && layers.end <= model.layers
        && layers.count() * model.layerMb <= kind->second.memoryMb;
}

// Orders one engine, on the condition that it has accepted no order since it was asked.
net::awaitable<void> LayoutPlanner::carryOut(EndpointSighting endpoint, LayerRange layers, ModelLayout model)
{
    auto report = co_await m_control.report(endpoint.address, callTimeout);
    auto now = m_clock.now();
    auto note = [&](const char* outcome, Duration until) {
        m_ordered[endpoint.endpoint] = { layers, m_clock.now() + until, false };
        m_journal.write(LineKind::Info, "placement-order",
            { { "endpoint", endpoint.endpoint.value() }, { "instance", endpoint.instance },
                { "service", endpoint.service }, { "accelerator", endpoint.accelerator },
                { "address", endpoint.address }, { "from", layers.first }, { "to", layers.end },
                { "accepted_orders", report ? report->acceptedOrders : 0 },
                { "reported_start", report ? report->born : std::string() },
                { "report_age_ms", millisecondsOf(m_clock.now() - now) },
                { "list_age_ms", millisecondsOf(m_clock.now() - m_directory.updatedAt()) }, { "outcome", outcome } });
    };
    if (!report)
        co_return note("no report", failedOrderPause);
    if (!isSameStart(endpoint, *report))
        co_return note("another engine has the address", failedOrderPause);
    // An order is in progress, or one was carried out that the list does not show yet.
    if (report->isBusy || report->layers != endpoint.layers) {
        note("has other work", busyPause);
        // The next plan does without it: it may finish requests for seconds before it takes an order.
        m_ordered[endpoint.endpoint] = { report->layers, m_clock.now() + busyPause, true };
        co_return;
    }
    if (!isStillDue(endpoint, layers))
        co_return note("entry or model has changed", failedOrderPause);
    if (!m_lease.isHolder(now))
        co_return note("lease lost", failedOrderPause);
    // The process may be suspended until the order is written.
    auto mayOrder = [this] { return m_lease.isHolder(m_clock.now()); };
    auto outcome = co_await m_control.place(endpoint, layers, report->acceptedOrders, callTimeout, mayOrder);
    auto loading = model.layers ? model.loadTime * layers.count() / model.layers : milliseconds(0);
    if (outcome == OrderOutcome::Accepted)
        note("accepted", loading * 3 + orderSlack);
    else if (outcome == OrderOutcome::Unknown)
        note("unknown", unknownOrderTime);
    else
        note("refused", failedOrderPause);
}

} // namespace jacinthspindle::router
