// Holds and renews the order lease of a data centre and sends the orders that OrderPlan.cpp selects.

#include "spindlecore/OrderMachine.h"

#include "spindlecore/internal/Escape.h"

#include <algorithm>

namespace jacinthspindle {

std::string orderLeaseKey(const DataCentreId& dataCentre)
{
    return "order/" + internal::escape(dataCentre.value());
}

OrderMachine::OrderMachine(OrderConfig config, internal::OrderMutations mutations)
    : m_config(std::move(config))
    , m_mutations(mutations)
{
}

std::vector<OrderOutput> OrderMachine::apply(Instant now, const OrderInput& input)
{
    m_outputs.clear();
    std::visit([&](const auto& it) { handle(now, it); }, input);
    // Statuses arrive in large numbers, so planning waits for the next tick or answer.
    bool mayPlan = !std::holds_alternative<EngineSeen>(input) && !std::holds_alternative<OrderTableAdopted>(input);
    if (mayPlan && m_pendingReply == PendingReply::Nothing)
        runNextStep(now);
    return std::move(m_outputs);
}

void OrderMachine::handle(Instant, const OrderTableAdopted& adopted)
{
    m_table = adopted.table;
}

void OrderMachine::handle(Instant now, const EngineSeen& seen)
{
    auto& engine = m_engines[seen.endpoint];
    // Statuses can arrive out of order; an older one must not overwrite a newer one.
    if (seen.clockAtRequest < engine.seen.clockAtRequest)
        return;
    engine = { seen, now };
}

void OrderMachine::handle(Instant now, const LeaseRead& read)
{
    if (m_pendingReply != PendingReply::Read || read.step != m_step)
        return;
    m_pendingReply = PendingReply::Nothing;
    bool isReadable = read.outcome == ReadOutcome::Absent || (read.outcome == ReadOutcome::Found && read.lease);
    if (!isReadable)
        return;
    if (read.version != m_leaseVersion)
        m_leaseChangedAt = now;
    m_lease = read.lease.value_or(OrderLease {});
    m_leaseVersion = read.version;
    m_isLeaseKnown = true;
    // Only this process writes its incarnation, so the row shows whether a claim took effect whose answer was lost.
    m_isHolder = m_lease.holder == m_config.host && m_lease.incarnation == m_config.incarnation;
    if (m_isHolder)
        m_clockAtClaim = ++m_logicalClock;
}

void OrderMachine::handle(Instant now, const LeaseWriteAnswered& answered)
{
    bool isWaiting = m_pendingReply == PendingReply::Claim || m_pendingReply == PendingReply::Renewal;
    if (!isWaiting || answered.step != m_step)
        return;
    if (answered.outcome == CommitOutcome::Committed) {
        onLeaseWritten(now);
        return;
    }
    m_pendingReply = PendingReply::Nothing;
    m_pendingOrder.reset();
    if (answered.outcome == CommitOutcome::Unavailable)
        m_nextWrite = now + m_config.retryEvery;
    else
        invalidateLease(now);
}

void OrderMachine::onLeaseWritten(Instant now)
{
    bool isClaim = m_pendingReply == PendingReply::Claim;
    m_pendingReply = PendingReply::Nothing;
    m_lease = std::move(m_pendingLease);
    ++m_leaseVersion;
    m_leaseChangedAt = now;
    m_nextRenewal = now + m_config.renewEvery;
    if (isClaim) {
        m_isHolder = true;
        m_clockAtClaim = ++m_logicalClock;
        m_sentOrders.clear();
    }
    if (m_pendingOrder)
        sendRecordedOrder(now);
}

void OrderMachine::handle(Instant now, const OrderAnswered& answered)
{
    if (m_pendingReply != PendingReply::Order || answered.step != m_step)
        return;
    m_pendingReply = PendingReply::Nothing;
    m_sentOrders[m_pendingReceiver] = { ++m_logicalClock, answered.outcome, now };
    if (answered.outcome == OrderOutcome::Failed)
        m_retryAt[m_pendingReceiver] = now + m_config.retryEvery;
    if (answered.outcome == OrderOutcome::RefusedFence)
        invalidateLease(now);
}

void OrderMachine::runNextStep(Instant now)
{
    if (!m_table || !hasWork())
        return;
    if (m_isHolder) {
        runNextHolderStep(now);
        return;
    }
    if (now >= m_nextRead) {
        readLease(now);
        return;
    }
    bool isOwnPreviousIncarnation = m_lease.holder == m_config.host;
    bool isUnchanged = now - m_leaseChangedAt >= m_config.takeoverAfter;
    if (m_isLeaseKnown && now >= m_nextWrite && (m_leaseVersion == 0 || isOwnPreviousIncarnation || isUnchanged))
        claimLease();
}

void OrderMachine::runNextHolderStep(Instant now)
{
    if (now < m_nextWrite)
        return;
    OrderLease lease = m_lease;
    std::erase_if(lease.outstanding, [this](const auto& it) { return isConfirmed(it); });
    bool hasChanged = lease != m_lease;
    auto order = orderToResend(now);
    if (!order && (lease.outstanding.size() < m_config.maxInFlight || m_mutations.unboundedInFlight))
        order = newOrder(now);
    if (!order && !hasChanged && now < m_nextRenewal)
        return;
    if (order) {
        std::erase_if(lease.outstanding, [&](const auto& it) { return it.endpoint == order->endpoint; });
        lease.outstanding.push_back(*order);
        lease.fence += m_mutations.keepFence ? 0 : 1;
    }
    m_pendingOrder = order;
    if (order && m_mutations.sendWithoutLease) {
        m_lease = lease;
        sendRecordedOrder(now);
        return;
    }
    writeLease(PendingReply::Renewal, std::move(lease));
}

void OrderMachine::readLease(Instant now)
{
    m_nextRead = now + m_config.readEvery;
    m_pendingReply = PendingReply::Read;
    m_outputs.emplace_back(ReadLease { ++m_step, orderLeaseKey(m_config.dataCentre) });
}

void OrderMachine::claimLease()
{
    OrderLease lease = m_lease;
    lease.holder = m_config.host;
    lease.incarnation = m_config.incarnation;
    if (!m_mutations.keepFence)
        ++lease.fence;
    if (m_mutations.ignoreOutstanding)
        lease.outstanding.clear();
    writeLease(PendingReply::Claim, std::move(lease));
}

void OrderMachine::writeLease(PendingReply waiting, OrderLease lease)
{
    m_pendingReply = waiting;
    m_pendingLease = std::move(lease);
    m_outputs.emplace_back(WriteLease { ++m_step, orderLeaseKey(m_config.dataCentre), m_leaseVersion, m_pendingLease });
}

// Must be called directly after the commit that recorded the order: that commit proves that this machine holds the
// lease.
void OrderMachine::sendRecordedOrder(Instant now)
{
    OutstandingOrder order = *m_pendingOrder;
    m_pendingOrder.reset();
    const auto* row = m_table->findEndpoint(order.endpoint);
    if (!row)
        return;
    m_pendingReceiver = order.endpoint;
    m_sentOrders[m_pendingReceiver] = { 0, OrderOutcome::Unknown, now };
    m_pendingReply = PendingReply::Order;
    m_outputs.emplace_back(SendOrder { ++m_step, order, row->address, m_lease.fence });
}

// Called when another daemon may hold the lease, so that it is read again before anything else is written or sent.
void OrderMachine::invalidateLease(Instant nextRead)
{
    m_isHolder = false;
    m_isLeaseKnown = false;
    m_nextRead = nextRead;
    m_sentOrders.clear();
}

} // namespace jacinthspindle
