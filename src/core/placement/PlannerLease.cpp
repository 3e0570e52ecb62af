// Gaining, renewing and losing the planner's lease.

#include "spindlecore/PlannerLease.h"

#include <algorithm>
#include <utility>

namespace jacinthspindle {

PlannerLease::PlannerLease(PlannerLeaseConfig config)
    : m_config(std::move(config))
{
}

void PlannerLease::enter(State state, Instant nextAt)
{
    m_state = state;
    m_nextAt = nextAt;
}

// The result of a release does not matter: without it, the lease runs out.
PlannerLease::Action PlannerLease::resigned()
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
        return resigned();
    if (now < m_nextAt)
        return {};
    if (m_state == State::Claiming || m_state == State::Holding)
        return Write { m_version };
    return Read {};
}

bool PlannerLease::sawEra(Instant now, uint64_t era)
{
    if (!era || era == m_era)
        return false;
    bool isFirst = !m_era;
    m_era = era;
    if (isFirst)
        return false;
    m_confirmedAt.reset();
    m_heldBackUntil = now + m_config.takeoverAfter;
    enter(State::Unknown, now);
    return true;
}

void PlannerLease::wasRead(Instant now, uint64_t version, const std::string& holder)
{
    bool isUnchanged = m_state == State::Watching && version == m_version;
    if (m_isAway)
        m_returnedAt = now;
    m_isAway = false;
    m_version = version;
    if (now < m_heldBackUntil) {
        m_confirmedAt.reset();
        m_versionSeenAt = now;
        return enter(State::Unknown, std::min(now + m_config.watchEvery, m_heldBackUntil));
    }
    if (version && holder == m_config.holder) {
        // A write whose answer was lost took effect. It is renewed at once, since the time of that write is not known.
        return enter(State::Holding, now);
    }
    m_confirmedAt.reset();
    if (!version)
        return enter(State::Claiming, now + m_config.firstClaimDelay);
    if (holder.empty())
        return enter(State::Claiming, now);
    if (!isUnchanged)
        m_versionSeenAt = now;
    // The row has not changed since it was first seen, also if the store was away meanwhile. Its holder could not renew
    // the lease then, and has a moment for it after the return.
    auto claimAt = std::max(m_versionSeenAt + m_config.takeoverAfter, m_returnedAt + m_config.returnGrace);
    if (now >= claimAt)
        return enter(State::Claiming, now);
    enter(State::Watching, std::min(now + m_config.watchEvery, claimAt));
}

void PlannerLease::readFailed(Instant now)
{
    m_isAway = true;
    m_nextAt = now + m_config.retryEvery;
}

void PlannerLease::wasWritten(Instant sentAt, uint64_t version)
{
    if (!isHolder(sentAt))
        ++m_terms;
    m_version = version;
    m_confirmedAt = sentAt;
    enter(State::Holding, sentAt + m_config.renewEvery);
}

void PlannerLease::wasRejected(Instant now)
{
    m_confirmedAt.reset();
    enter(State::Unknown, now);
}

void PlannerLease::writeFailed(Instant now)
{
    // The lost write may have taken effect, so that the version of the row is not known.
    enter(State::Unknown, now + m_config.retryEvery);
}

} // namespace jacinthspindle
