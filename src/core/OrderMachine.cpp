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
    if (mayPlan && m_waiting == Waiting::Nothing)
        proceed(now);
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
    if (seen.asOf < engine.seen.asOf)
        return;
    engine = { seen, now };
}

void OrderMachine::handle(Instant now, const LeaseRead& read)
{
    if (m_waiting != Waiting::Read || read.step != m_step)
        return;
    m_waiting = Waiting::Nothing;
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
        m_holderMark = ++m_mark;
}

void OrderMachine::handle(Instant now, const LeaseAnswered& answered)
{
    bool isWaiting = m_waiting == Waiting::Claim || m_waiting == Waiting::Renewal;
    if (!isWaiting || answered.step != m_step)
        return;
    if (answered.outcome == CommitOutcome::Committed) {
        onWritten(now);
        return;
    }
    m_waiting = Waiting::Nothing;
    m_toSend.reset();
    if (answered.outcome == CommitOutcome::Unavailable)
        m_nextWrite = now + m_config.retryEvery;
    else
        doubtLease(now);
}

void OrderMachine::onWritten(Instant now)
{
    bool isClaim = m_waiting == Waiting::Claim;
    m_waiting = Waiting::Nothing;
    m_lease = std::move(m_writing);
    ++m_leaseVersion;
    m_leaseChangedAt = now;
    m_nextRenewal = now + m_config.renewEvery;
    if (isClaim) {
        m_isHolder = true;
        m_holderMark = ++m_mark;
        m_sent.clear();
    }
    if (m_toSend)
        sendListedOrder(now);
}

void OrderMachine::handle(Instant now, const OrderAnswered& answered)
{
    if (m_waiting != Waiting::Order || answered.step != m_step)
        return;
    m_waiting = Waiting::Nothing;
    m_sent[m_sending] = { ++m_mark, answered.outcome, now };
    if (answered.outcome == OrderOutcome::Failed)
        m_retryAt[m_sending] = now + m_config.retryEvery;
    if (answered.outcome == OrderOutcome::RefusedFence)
        doubtLease(now);
}

void OrderMachine::proceed(Instant now)
{
    if (!m_table || !hasWork())
        return;
    if (m_isHolder) {
        proceedAsHolder(now);
        return;
    }
    if (now >= m_nextRead) {
        readLease(now);
        return;
    }
    bool isOwnEarlierLife = m_lease.holder == m_config.host;
    bool isStill = now - m_leaseChangedAt >= m_config.takeoverAfter;
    if (m_isLeaseKnown && now >= m_nextWrite && (m_leaseVersion == 0 || isOwnEarlierLife || isStill))
        takeOver();
}

void OrderMachine::proceedAsHolder(Instant now)
{
    if (now < m_nextWrite)
        return;
    OrderLease lease = m_lease;
    std::erase_if(lease.outstanding, [this](const auto& it) { return isConfirmed(it); });
    bool hasChanged = lease != m_lease;
    auto order = repeatedOrder(now);
    if (!order && (lease.outstanding.size() < m_config.maxInFlight || m_mutations.unboundedInFlight))
        order = newOrder(now);
    if (!order && !hasChanged && now < m_nextRenewal)
        return;
    if (order) {
        std::erase_if(lease.outstanding, [&](const auto& it) { return it.endpoint == order->endpoint; });
        lease.outstanding.push_back(*order);
        lease.fence += m_mutations.keepFence ? 0 : 1;
    }
    m_toSend = order;
    if (order && m_mutations.sendWithoutLease) {
        m_lease = lease;
        sendListedOrder(now);
        return;
    }
    writeLease(Waiting::Renewal, std::move(lease));
}

void OrderMachine::readLease(Instant now)
{
    m_nextRead = now + m_config.readEvery;
    m_waiting = Waiting::Read;
    m_outputs.emplace_back(ReadLease { ++m_step, orderLeaseKey(m_config.dataCentre) });
}

void OrderMachine::takeOver()
{
    OrderLease lease = m_lease;
    lease.holder = m_config.host;
    lease.incarnation = m_config.incarnation;
    if (!m_mutations.keepFence)
        ++lease.fence;
    if (m_mutations.ignoreOutstanding)
        lease.outstanding.clear();
    writeLease(Waiting::Claim, std::move(lease));
}

void OrderMachine::writeLease(Waiting waiting, OrderLease lease)
{
    m_waiting = waiting;
    m_writing = std::move(lease);
    m_outputs.emplace_back(WriteLease { ++m_step, orderLeaseKey(m_config.dataCentre), m_leaseVersion, m_writing });
}

// Must be called directly after the commit that recorded the order: that commit proves that this machine holds the
// lease.
void OrderMachine::sendListedOrder(Instant now)
{
    OutstandingOrder order = *m_toSend;
    m_toSend.reset();
    const auto* row = m_table->findEndpoint(order.endpoint);
    if (!row)
        return;
    m_sending = order.endpoint;
    m_sent[m_sending] = { 0, OrderOutcome::Unknown, now };
    m_waiting = Waiting::Order;
    m_outputs.emplace_back(SendOrder { ++m_step, order, row->address, m_lease.fence });
}

// Called when another daemon may hold the lease, so that it is read again before anything else is written or sent.
void OrderMachine::doubtLease(Instant nextRead)
{
    m_isHolder = false;
    m_isLeaseKnown = false;
    m_nextRead = nextRead;
    m_sent.clear();
}

} // namespace jacinthspindle
