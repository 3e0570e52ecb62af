// Revisions of a daemon's list of endpoints, so that another daemon receives what changed since its copy in place of
// the whole list.

#pragma once

#include "router/Ports.h"

#include <map>
#include <optional>
#include <vector>

namespace jacinthspindle::router {

// The difference between two revisions of a list of endpoints.
struct EndpointChanges {
    uint64_t since = 0; // Revision of the list that the changes apply to.
    std::vector<EndpointSighting> updated; // Added or changed endpoints, complete.
    std::vector<EndpointId> removed;
    bool operator==(const EndpointChanges&) const = default;
};

// Keeps the revision of the last change of each endpoint. Deterministic and without I/O. Not thread-safe.
class EndpointHistory {
public:
    // Removals that are kept; a copy that misses an older one needs the whole list.
    static constexpr size_t maxRemovals = 4096;

    // Starts a revision. The changes recorded until the next call belong to it.
    void beginRevision() { ++m_revision; }
    void recordUpdate(const EndpointId&);
    void recordRemoval(const EndpointId&);

    // Revision of the list; 0 before the first one.
    uint64_t revision() const { return m_revision; }

    // Returns the changes that lead from a copy of that revision to the list, or nothing when only the whole list does:
    // the copy is empty, from a later revision, or older than the removals that are kept.
    std::optional<EndpointChanges> changesSince(
        uint64_t revision, const std::map<EndpointId, EndpointSighting>& list) const;

private:
    void dropOldRemovals();

    uint64_t m_revision = 0;
    uint64_t m_oldestBase = 1; // Changes are complete for copies of this revision and later ones.
    std::map<EndpointId, uint64_t> m_updatedAt; // By endpoint of the list.
    std::map<EndpointId, uint64_t> m_removedAt; // Contains no endpoint of the list.
};

// Order-independent digest of what the daemons must agree on: identities, addresses and layers. Heartbeats, paces and
// leaving are left out, since a daemon may know them better than its source.
uint64_t digestOf(const std::map<EndpointId, EndpointSighting>&);

} // namespace jacinthspindle::router
