// State transitions of the planner's lease.

#include "spindlecore/PlannerLease.h"

#include <algorithm>
#include <utility>

namespace jacinthspindle {

PlannerLease::PlannerLease(PlannerLeaseConfig config)
    : m_config(std::move(config))
{
}

void PlannerLease::transitionTo(State state, Instant nextAt)
{
    m_state = state;
    m_nextAt = nextAt;
}

// The result of the release is ignored: if it fails, the lease expires.
PlannerLease::Action PlannerLease::nextWhileResigning()
{
    bool isHeld = m_confirmedAt.has_value() && m_state == State::Holding;
    m_confirmedAt.reset();
    if (!isHeld)
        return {};
    return Release { m_version };
}

PlannerLease::Action PlannerLease::next(Instant now)
{
    if (m_isResigning)
        return nextWhileResigning();
    if (now < m_nextAt)
        return {};
    if (m_state == State::Claiming || m_state == State::Holding)
        return Write { m_version };
    return Read {};
}

bool PlannerLease::updateEra(Instant now, uint64_t era)
{
    if (!era || era == m_era)
        return false;
    bool isFirst = !m_era;
    m_era = era;
    if (isFirst)
        return false;
    m_confirmedAt.reset();
    m_noClaimBefore = now + m_config.takeoverAfter;
    transitionTo(State::Unknown, now);
    return true;
}

void PlannerLease::wasRead(Instant now, uint64_t version, const std::string& holder)
{
    bool isUnchanged = m_state == State::Watching && version == m_version;
    if (m_isStoreUnreachable)
        m_storeReturnedAt = now;
    m_isStoreUnreachable = false;
    m_version = version;
    if (now < m_noClaimBefore) {
        m_confirmedAt.reset();
        m_versionSeenAt = now;
        return transitionTo(State::Unknown, std::min(now + m_config.watchEvery, m_noClaimBefore));
    }
    if (version && holder == m_config.holder) {
        // An earlier write took effect although its answer was lost. The lease is renewed at once, because its validity
        // counts from the send time of a confirmed write.
        return transitionTo(State::Holding, now);
    }
    m_confirmedAt.reset();
    if (!version)
        return transitionTo(State::Claiming, now + m_config.firstClaimDelay);
    if (holder.empty())
        return transitionTo(State::Claiming, now);
    if (!isUnchanged)
        m_versionSeenAt = now;
    // The age of the row includes outages of the store. The holder could not renew the lease during an outage, so it
    // gets storeReturnGrace to do so when the store is reachable again.
    auto claimAt = std::max(m_versionSeenAt + m_config.takeoverAfter, m_storeReturnedAt + m_config.storeReturnGrace);
    if (now >= claimAt)
        return transitionTo(State::Claiming, now);
    transitionTo(State::Watching, std::min(now + m_config.watchEvery, claimAt));
}

void PlannerLease::readFailed(Instant now)
{
    m_isStoreUnreachable = true;
    m_nextAt = now + m_config.retryEvery;
}

void PlannerLease::wasWritten(Instant sentAt, uint64_t version)
{
    if (!isHolder(sentAt))
        ++m_terms;
    m_version = version;
    m_confirmedAt = sentAt;
    transitionTo(State::Holding, sentAt + m_config.renewEvery);
}

void PlannerLease::wasRejected(Instant now)
{
    m_confirmedAt.reset();
    transitionTo(State::Unknown, now);
}

void PlannerLease::writeFailed(Instant now)
{
    // The write may have taken effect, so the version of the row is unknown.
    transitionTo(State::Unknown, now + m_config.retryEvery);
}

} // namespace jacinthspindle
