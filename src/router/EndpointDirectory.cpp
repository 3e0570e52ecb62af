// Updates of the directory.

#include "router/EndpointDirectory.h"

namespace jacinthspindle::router {

namespace {

    bool isSameButForHeartbeats(EndpointSighting a, const EndpointSighting& b)
    {
        a.heartbeats = b.heartbeats;
        return a == b;
    }

} // namespace

bool EndpointDirectory::update(Instant now, const std::vector<EndpointSighting>& listed)
{
    if (m_isAway && now - m_updatedAt >= shortestOutage)
        m_returnedAt = now;
    m_isAway = false;
    m_updatedAt = now;
    std::map<EndpointId, EndpointSighting> next;
    for (const auto& it : listed) {
        auto& endpoint = next.emplace(it.endpoint, it).first->second;
        // The platform does not list the pace.
        if (const auto* known = find(it.endpoint))
            endpoint.pacePercent = known->pacePercent;
    }
    if (isWithinReturn(now)) {
        // A restarted endpoint has the address of the one that it replaces.
        auto hasAddress = [&](const std::string& address) {
            return std::any_of(listed.begin(), listed.end(), [&](const auto& it) { return it.address == address; });
        };
        for (const auto& [id, endpoint] : m_endpoints) {
            if (!next.contains(id) && !hasAddress(endpoint.address))
                next.emplace(id, endpoint);
        }
    }
    noteGone(now, next);
    return replace(std::move(next));
}

void EndpointDirectory::noteGone(Instant now, const std::map<EndpointId, EndpointSighting>& next)
{
    std::erase_if(m_goneAt, [&](const auto& it) { return now - it.second > goneTime || next.contains(it.first); });
    for (const auto& it : m_endpoints) {
        if (!next.contains(it.first))
            m_goneAt[it.first] = now;
    }
}

void EndpointDirectory::correctByOwn(Instant now, std::map<EndpointId, EndpointSighting>& next) const
{
    std::erase_if(next, [&](const auto& it) {
        auto gone = m_goneAt.find(it.first);
        return gone != m_goneAt.end() && now - gone->second <= goneTime;
    });
    for (auto& [id, endpoint] : next) {
        const auto* known = find(id);
        endpoint.isLeaving = endpoint.isLeaving || (known && known->isLeaving);
    }
}

bool EndpointDirectory::adopt(
    Instant updatedAt, std::vector<EndpointSighting> endpoints, std::optional<Instant> returnedAt)
{
    std::map<EndpointId, EndpointSighting> next;
    for (auto& it : endpoints) {
        auto id = it.endpoint;
        next.emplace(std::move(id), std::move(it));
    }
    return adoptList(updatedAt, std::move(next), returnedAt);
}

bool EndpointDirectory::adoptChanges(Instant updatedAt, EndpointChanges changes, std::optional<Instant> returnedAt)
{
    auto next = m_endpoints;
    for (const auto& it : changes.removed)
        next.erase(it);
    for (auto& it : changes.updated) {
        auto id = it.endpoint;
        next.insert_or_assign(std::move(id), std::move(it));
    }
    return adoptList(updatedAt, std::move(next), returnedAt);
}

bool EndpointDirectory::adoptList(
    Instant updatedAt, std::map<EndpointId, EndpointSighting> next, std::optional<Instant> returnedAt)
{
    m_isAway = false;
    m_updatedAt = updatedAt;
    m_returnedAt = returnedAt.value_or(Instant());
    if (returnedAt)
        correctByOwn(updatedAt, next);
    noteGone(updatedAt, next);
    return replace(std::move(next));
}

std::optional<Instant> EndpointDirectory::returnedAt(Instant now) const
{
    if (!isWithinReturn(now))
        return std::nullopt;
    return m_returnedAt;
}

bool EndpointDirectory::replace(std::map<EndpointId, EndpointSighting> next)
{
    // An older copy of the platform's list, from which the platform was restored, may name it again as serving.
    for (auto& [id, listedAt] : m_leaving) {
        auto listed = next.find(id);
        if (listed == next.end())
            continue;
        listed->second.isLeaving = true;
        listedAt = m_updatedAt;
    }
    std::erase_if(m_leaving, [&](const auto& it) { return m_updatedAt - it.second > leavingTime; });
    bool hasChanged = false;
    auto beginChange = [&] {
        if (!hasChanged)
            m_history.beginRevision();
        hasChanged = true;
    };
    for (const auto& [id, endpoint] : m_endpoints) {
        if (next.contains(id))
            continue;
        beginChange();
        m_history.recordRemoval(id);
    }
    for (const auto& [id, endpoint] : next) {
        const auto* known = find(id);
        if (known && isSameButForHeartbeats(*known, endpoint))
            continue;
        beginChange();
        m_history.recordUpdate(id);
    }
    m_endpoints = std::move(next);
    if (hasChanged)
        m_digest = digestOf(m_endpoints);
    std::erase_if(m_silent, [&](const auto& it) { return !m_endpoints.contains(it.first); });
    countSilentHeartbeats();
    return hasChanged;
}

bool EndpointDirectory::noteLeaving(const EndpointId& id)
{
    auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || !m_leaving.emplace(id, m_updatedAt).second || it->second.isLeaving)
        return false;
    it->second.isLeaving = true;
    recordChange(id);
    return true;
}

void EndpointDirectory::recordChange(const EndpointId& id)
{
    m_history.beginRevision();
    m_history.recordUpdate(id);
}

bool EndpointDirectory::notePace(const EndpointId& id, uint32_t percent)
{
    auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || it->second.pacePercent == percent)
        return false;
    it->second.pacePercent = percent;
    recordChange(id);
    return true;
}

void EndpointDirectory::markSilent(Instant now, const EndpointId& id)
{
    if (!find(id))
        return;
    m_silent[id] = { now, std::nullopt };
    countSilentHeartbeats();
}

void EndpointDirectory::countSilentHeartbeats()
{
    for (auto& [id, mark] : m_silent) {
        if (!mark.heartbeats && m_updatedAt >= mark.markedAt)
            mark.heartbeats = m_endpoints.at(id).heartbeats;
    }
}

std::vector<EndpointId> EndpointDirectory::takeRecovered()
{
    std::vector<EndpointId> recovered;
    for (const auto& [id, mark] : m_silent) {
        // One heartbeat may have been on its way when the endpoint was marked.
        if (mark.heartbeats && m_endpoints.at(id).heartbeats > *mark.heartbeats + 1)
            recovered.push_back(id);
    }
    for (const auto& it : recovered)
        m_silent.erase(it);
    return recovered;
}

bool EndpointDirectory::isReplaceable(const EndpointId& id, const std::function<bool(const EndpointId&)>& isOut) const
{
    const auto* endpoint = find(id);
    if (!endpoint)
        return false;
    std::vector<const EndpointSighting*> others;
    for (const auto& [otherId, other] : m_endpoints) {
        if (otherId != id && other.service == endpoint->service && !other.isLeaving && !isOut(otherId))
            others.push_back(&other);
    }
    for (uint32_t layer = endpoint->layers.first; layer < endpoint->layers.end; ++layer) {
        bool isHeld = std::any_of(
            others.begin(), others.end(), [&](const auto* other) { return other->layers.contains(layer); });
        if (!isHeld)
            return false;
    }
    return !others.empty();
}

std::vector<EndpointSighting> EndpointDirectory::endpoints() const
{
    std::vector<EndpointSighting> all;
    for (const auto& it : m_endpoints)
        all.push_back(it.second);
    return all;
}

std::optional<EndpointChanges> EndpointDirectory::changesSince(
    uint64_t revision, const std::vector<EndpointId>& withHeartbeats) const
{
    auto changes = m_history.changesSince(revision, m_endpoints);
    if (!changes)
        return std::nullopt;
    for (const auto& id : withHeartbeats) {
        const auto* endpoint = find(id);
        bool isIncluded = std::any_of(changes->updated.begin(), changes->updated.end(),
            [&](const EndpointSighting& it) { return it.endpoint == id; });
        if (endpoint && !isIncluded)
            changes->updated.push_back(*endpoint);
    }
    return changes;
}

std::vector<EndpointId> EndpointDirectory::silentEndpoints() const
{
    std::vector<EndpointId> silent;
    for (const auto& it : m_silent)
        silent.push_back(it.first);
    return silent;
}

const EndpointSighting* EndpointDirectory::find(const EndpointId& id) const
{
    auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

} // namespace jacinthspindle::router
