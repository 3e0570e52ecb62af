// The endpoints that a daemon believes in: what the platform lists, kept over gaps that follow an outage of the
// platform's store, and the endpoints that were seen to be silent.

#pragma once

#include "router/EndpointHistory.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace jacinthspindle::router {

// Deterministic and without I/O. Belongs to the control thread.
class EndpointDirectory {
public:
    // After an outage of the store, entries that lapsed meanwhile are back within about two seconds if their endpoints
    // live. Until then a missing entry does not mean that an endpoint has gone.
    static constexpr Duration returnTime = std::chrono::milliseconds(2500);
    // Entries lapse after three heartbeats without a write. A daemon whose knowledge is younger than this has missed no
    // such time, also if the platform has turned this daemon alone away.
    static constexpr Duration shortestOutage = std::chrono::milliseconds(1500);
    // For this long an endpoint that was seen to go is not taken back from another daemon that waits for entries.
    // An endpoint that said that it leaves does so, whatever lists name it for this long after the last one that did.
    static constexpr Duration leavingTime = std::chrono::minutes(5);
    static constexpr Duration goneTime = std::chrono::seconds(10);

    // The platform answered with all its entries. Returns true when anything but heartbeats has changed.
    bool update(Instant now, const std::vector<EndpointSighting>&);
    // The platform did not answer.
    void missed() { m_isAway = true; }

    // Another daemon, whose own directory this is, learned it from the platform at updatedAt. returnedAt: when the
    // platform came back, while entries that lapsed are waited for. Returns true when anything but heartbeats has
    // changed.
    bool adopt(Instant updatedAt, std::vector<EndpointSighting>, std::optional<Instant> returnedAt);
    // Like adopt(), but with the changes of the other daemon's list. The other daemon must have sent the list that the
    // changes apply to; see digest() for what may differ nevertheless.
    bool adoptChanges(Instant updatedAt, EndpointChanges, std::optional<Instant> returnedAt);
    // Another daemon confirmed at updatedAt that the list is still the same.
    void confirm(Instant updatedAt) { m_updatedAt = std::max(m_updatedAt, updatedAt); }

    // The endpoint reported its pace, which stays until it does so again. Returns true when it has changed.
    bool notePace(const EndpointId&, uint32_t percent);

    // The endpoint said that it leaves, which it does not take back. Returns true when that is news.
    bool noteLeaving(const EndpointId&);

    // An engine reported that the endpoint does not answer.
    void markSilent(Instant now, const EndpointId&);
    // Returns the endpoints that have sent a heartbeat since they were marked as silent, and forgets the marks.
    std::vector<EndpointId> takeRecovered();

    bool isSilent(const EndpointId& id) const { return m_silent.contains(id); }

    // True when other endpoints of the service can do all that this one does: each layer that it holds is held by
    // another one that neither leaves nor is out.
    bool isReplaceable(const EndpointId&, const std::function<bool(const EndpointId&)>& isOut) const;

    std::vector<EndpointSighting> endpoints() const;
    // Rises with each change of the list, heartbeats left out.
    uint64_t revision() const { return m_history.revision(); }
    // See digestOf(). It differs from the source's digest while this daemon leaves out endpoints that it saw go.
    uint64_t digest() const { return m_digest; }
    // See EndpointHistory::changesSince(). Includes the endpoints of withHeartbeats whether they have changed or not.
    std::optional<EndpointChanges> changesSince(
        uint64_t revision, const std::vector<EndpointId>& withHeartbeats = {}) const;
    std::vector<EndpointId> silentEndpoints() const;
    size_t size() const { return m_endpoints.size(); }
    const EndpointSighting* find(const EndpointId&) const;
    Instant updatedAt() const { return m_updatedAt; }
    // When the platform came back from an outage, while entries that lapsed are waited for.
    std::optional<Instant> returnedAt(Instant now) const;

private:
    bool replace(std::map<EndpointId, EndpointSighting>);
    bool adoptList(Instant updatedAt, std::map<EndpointId, EndpointSighting>, std::optional<Instant> returnedAt);
    void recordChange(const EndpointId&);
    void countSilentHeartbeats();
    void noteGone(Instant now, const std::map<EndpointId, EndpointSighting>& next);
    // What a daemon that waits for entries tells may be older than what this one has seen.
    void correctByOwn(Instant now, std::map<EndpointId, EndpointSighting>& next) const;
    bool isWithinReturn(Instant now) const { return m_returnedAt != Instant() && now - m_returnedAt < returnTime; }

    std::map<EndpointId, EndpointSighting> m_endpoints;
    EndpointHistory m_history; // Of m_endpoints.
    uint64_t m_digest = 0; // Of m_endpoints.
    struct SilentMark {
        Instant markedAt {};
        // By the first list that is not older than the mark. A daemon that follows another one has counts that are as
        // old as the last change of the endpoint.
        std::optional<uint64_t> heartbeats;
    };

    std::map<EndpointId, SilentMark> m_silent; // All of them are in m_endpoints.
    // Endpoints that said so themselves, with the time of the last list that named them.
    std::map<EndpointId, Instant> m_leaving;
    std::map<EndpointId, Instant> m_goneAt; // Endpoints that were no longer listed while no entry was waited for.
    bool m_isAway = false; // The last read failed.
    Instant m_returnedAt {}; // First answer after a failed read.
    Instant m_updatedAt {};
};

} // namespace jacinthspindle::router
