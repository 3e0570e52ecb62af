// Selects the orders that engines need to match the table, confirms finished ones, and withholds those that would leave
// a layer without an engine in service.

#include "spindlecore/OrderMachine.h"

#include <algorithm>

namespace jacinthspindle {

namespace {

    // Loading an adapter does not interrupt service.
    bool interruptsService(const OutstandingOrder& order)
    {
        return order.kind != OrderKind::LoadAdapter;
    }

    bool hasAdapter(const EngineSeen& seen, const std::string& adapter)
    {
        return std::find(seen.adapters.begin(), seen.adapters.end(), adapter) != seen.adapters.end();
    }

    bool reflectsOrder(const EngineSeen& seen, const OutstandingOrder& order)
    {
        switch (order.kind) {
        case OrderKind::LoadVersion:
            return seen.version == order.value;
        case OrderKind::LoadAdapter:
            return hasAdapter(seen, order.value);
        case OrderKind::ChangeRole:
            break;
        }
        return seen.layers == order.layers;
    }

} // namespace

bool OrderMachine::isManagedEngine(const EndpointRow& row) const
{
    return row.kind == EndpointKind::Engine && row.dataCentre == m_config.dataCentre;
}

bool OrderMachine::hasWork() const
{
    if (m_isHolder && !m_lease.outstanding.empty())
        return true;
    return std::any_of(m_table->endpoints.begin(), m_table->endpoints.end(),
        [this](const auto& it) { return isManagedEngine(it) && requiredOrder(it); });
}

std::optional<OutstandingOrder> OrderMachine::requiredOrder(const EndpointRow& row) const
{
    auto engine = m_engines.find(row.endpoint);
    if (engine == m_engines.end() || !engine->second.seen.isReachable)
        return std::nullopt;
    const auto& seen = engine->second.seen;
    if (seen.layers != row.layers)
        return OutstandingOrder { row.endpoint, OrderKind::ChangeRole, row.target, row.layers };
    if (seen.version != row.version)
        return OutstandingOrder { row.endpoint, OrderKind::LoadVersion, row.version, {} };
    for (const auto& it : row.adapters) {
        if (!hasAdapter(seen, it))
            return OutstandingOrder { row.endpoint, OrderKind::LoadAdapter, it, {} };
    }
    return std::nullopt;
}

// An accepted order is sent again only if the engine serves without its effect, which means that it has restarted or
// lost the order.
bool OrderMachine::mayResend(Instant now, const EndpointId& endpoint) const
{
    auto engine = m_engines.find(endpoint);
    if (engine == m_engines.end() || !engine->second.seen.isReachable || !isFresh(now, endpoint))
        return false;
    auto sent = m_sentOrders.find(endpoint);
    if (sent == m_sentOrders.end())
        return true;
    const auto& seen = engine->second.seen;
    bool isLost = sent->second.outcome != OrderOutcome::Accepted
        || (seen.isServing && seen.clockAtRequest >= sent->second.clockAtAnswer);
    return isLost && now >= sent->second.at + m_config.retryEvery;
}

// Returns an outstanding order that this holder has not sent itself or that may not have taken effect. It is updated to
// the version or layers that the table has now. Its higher fencing token makes the engine refuse the earlier order; if
// the engine has already carried out the earlier order, the new one corrects the result.
std::optional<OutstandingOrder> OrderMachine::orderToResend(Instant now) const
{
    auto inService = coverage(now);
    for (const auto& it : m_lease.outstanding) {
        const auto* row = m_table->findEndpoint(it.endpoint);
        if (!row || isConfirmed(it) || !mayResend(now, it.endpoint))
            continue;
        OutstandingOrder order = it;
        if (it.kind == OrderKind::LoadVersion)
            order.value = row->version;
        if (it.kind == OrderKind::ChangeRole)
            order.layers = row->layers;
        if (!isLastCoverage(*row, order, inService))
            return order;
    }
    return std::nullopt;
}

std::optional<OutstandingOrder> OrderMachine::newOrder(Instant now)
{
    auto inService = coverage(now);
    for (const auto& it : m_table->endpoints) {
        if (!isManagedEngine(it) || findOutstanding(it.endpoint))
            continue;
        auto order = requiredOrder(it);
        if (!order) {
            m_withheld.erase(it.endpoint);
            continue;
        }
        auto retryAt = m_retryAt.find(it.endpoint);
        bool isTooEarly = retryAt != m_retryAt.end() && now < retryAt->second;
        // An engine that was out of service in an old status may be in service by now.
        if (isTooEarly || !isFresh(now, it.endpoint))
            continue;
        auto reason = reasonToWithhold(it, *order, inService);
        if (!reason) {
            m_withheld.erase(it.endpoint);
            return order;
        }
        withhold(*order, *reason);
    }
    return std::nullopt;
}

std::optional<WithheldReason> OrderMachine::reasonToWithhold(
    const EndpointRow& row, const OutstandingOrder& order, const Coverage& inService) const
{
    if (order.kind == OrderKind::ChangeRole && !row.capabilities.fencing)
        return WithheldReason::NotIdempotent;
    if (isLastCoverage(row, order, inService))
        return WithheldReason::LastCoverage;
    return std::nullopt;
}

bool OrderMachine::isLastCoverage(
    const EndpointRow& row, const OutstandingOrder& order, const Coverage& inService) const
{
    const auto& seen = m_engines.at(row.endpoint).seen;
    bool isServing = seen.isServing && row.state == AdminState::Active;
    bool isHarmless = !isServing || !interruptsService(order) || reflectsOrder(seen, order);
    if (isHarmless || m_mutations.ignoreCoverage)
        return false;
    if (!isProtected(row.target, seen.version, inService))
        return false;
    auto counts = inService.find({ row.target, seen.version });
    if (counts == inService.end())
        return true;
    // Coverage leaves out endpoints with an outstanding order that interrupts service.
    const auto* outstanding = findOutstanding(row.endpoint);
    uint32_t ownCount = outstanding && interruptsService(*outstanding) ? 0 : 1;
    for (uint32_t layer = seen.layers.first; layer < seen.layers.end; ++layer) {
        auto count = counts->second.find(layer);
        if (count == counts->second.end() || count->second <= ownCount)
            return true;
    }
    return false;
}

void OrderMachine::withhold(const OutstandingOrder& order, WithheldReason reason)
{
    auto [it, isNew] = m_withheld.try_emplace(order.endpoint, reason);
    if (!isNew && it->second == reason)
        return;
    it->second = reason;
    m_outputs.emplace_back(OrderWithheld { order, reason });
}

// Only a status requested after the order was answered can show its effect.
bool OrderMachine::isConfirmed(const OutstandingOrder& order) const
{
    // An endpoint that was removed from the table is no longer managed, so its order is dropped.
    if (!m_table->findEndpoint(order.endpoint))
        return true;
    auto engine = m_engines.find(order.endpoint);
    auto sent = m_sentOrders.find(order.endpoint);
    if (engine == m_engines.end() || !engine->second.seen.isServing)
        return false;
    const auto& seen = engine->second.seen;
    if (!m_mutations.confirmByOldStatus) {
        if (sent == m_sentOrders.end() || sent->second.clockAtAnswer == 0
            || seen.clockAtRequest < sent->second.clockAtAnswer)
            return false;
        // The engine reported that it did not carry out the order.
        if (sent->second.outcome == OrderOutcome::Failed)
            return true;
    }
    return reflectsOrder(seen, order);
}

const OutstandingOrder* OrderMachine::findOutstanding(const EndpointId& endpoint) const
{
    for (const auto& it : m_lease.outstanding) {
        if (it.endpoint == endpoint)
            return &it;
    }
    return nullptr;
}

bool OrderMachine::isFresh(Instant now, const EndpointId& endpoint) const
{
    const auto& [seen, at] = m_engines.at(endpoint);
    return (seen.clockAtRequest >= m_clockAtClaim || m_mutations.useOldStatus) && now - at < m_config.statusExpires;
}

bool OrderMachine::isInService(Instant now, const EndpointRow& row) const
{
    auto engine = m_engines.find(row.endpoint);
    if (engine == m_engines.end() || row.state != AdminState::Active)
        return false;
    if (!engine->second.seen.isServing || !isFresh(now, row.endpoint))
        return false;
    const auto* order = findOutstanding(row.endpoint);
    return !order || !interruptsService(*order);
}

OrderMachine::Coverage OrderMachine::coverage(Instant now) const
{
    Coverage result;
    for (const auto& it : m_table->endpoints) {
        if (!isManagedEngine(it) || !isInService(now, it))
            continue;
        const auto& seen = m_engines.at(it.endpoint).seen;
        auto& counts = result[{ it.target, seen.version }];
        for (uint32_t layer = seen.layers.first; layer < seen.layers.end; ++layer)
            ++counts[layer];
    }
    return result;
}

// Returns whether the version must stay in service. This holds for each version that a route uses. While none of these
// is in service with all layers, it also holds for the version that covers the most layers.
bool OrderMachine::isProtected(const std::string& target, const std::string& version, const Coverage& inService) const
{
    bool isRoutedVersionComplete = false;
    for (const auto& it : m_table->routes) {
        if (it.kind != RouteKind::Model || it.target != target)
            continue;
        if (it.version == version)
            return true;
        auto counts = inService.find({ target, it.version });
        isRoutedVersionComplete
            = isRoutedVersionComplete || (counts != inService.end() && counts->second.size() >= it.layers);
    }
    if (isRoutedVersionComplete)
        return false;
    const std::string* broadest = nullptr;
    std::pair<size_t, uint32_t> most;
    for (const auto& [key, counts] : inService) {
        if (key.first != target)
            continue;
        uint32_t total = 0;
        for (const auto& [layer, n] : counts)
            total += n;
        auto extent = std::pair(counts.size(), total);
        if (broadest && extent <= most)
            continue;
        broadest = &key.second;
        most = extent;
    }
    return !broadest || *broadest == version;
}

} // namespace jacinthspindle
