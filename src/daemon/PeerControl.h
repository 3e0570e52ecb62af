// The machines that daemons share their state with, on the control thread: members, table and limit shares.

#pragma once

#include "daemon/ControlLoop.h"
#include "daemon/DemandMeter.h"
#include "daemon/Settings.h"
#include "spindlecore/LimitShares.h"
#include "spindlecore/Membership.h"
#include "spindlecore/TableReplica.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace jacinthspindle::daemon {

// Fetches from the platform that the table replica asks for.
using PlatformFetch = std::variant<FetchHead, FetchChanges, FetchSnapshot>;

class PeerControl final : public ControlCompanion {
public:
    // Both are called on the control thread and must not block.
    using Sender = std::function<void(const SendToPeer&)>;
    using Fetcher = std::function<void(const PlatformFetch&)>;

    PeerControl(const Settings&, uint64_t incarnation, uint64_t seed, TraceRecorder&, Sender, Fetcher);

    void start(Instant) override;
    void apply(Instant, const PeerInput&, std::vector<CoreInput>&) override;
    void tick(Instant, std::vector<CoreInput>&) override;
    void observe(Instant, const CoreInput&, const std::vector<CoreDecision>&) override;

    // Thread-safe. Returns the members that were known at the last change.
    std::shared_ptr<const std::vector<MemberUpdate>> members() const;
    // Thread-safe. A later life of this host's name exists.
    bool isSuperseded() const { return m_isSuperseded; }
    // Thread-safe. Age of the table's last confirmation by the platform, in milliseconds.
    int64_t tableAge() const { return m_tableAge; }
    bool isPoller() const { return m_isPoller; }
    // The daemon has had the time to learn of the others, so its shares of limits are right.
    bool hasJoined() const { return m_hasJoined; }
    uint64_t rejectedTables() const { return m_rejectedTables; }

private:
    void applyMembership(Instant, const MembershipInput&);
    void applyReplica(Instant, const ReplicaInput&, std::vector<CoreInput>&);
    void applyShares(Instant, const LimitInput&, std::vector<CoreInput>&);
    // Passes what the membership has put out to the other machines.
    void settle(Instant, std::vector<CoreInput>&);
    void publishMembers(Instant, std::vector<CoreInput>&);
    void publishTableStatus(Instant);
    void record(TraceKind, std::string payload, Instant, const std::string& subject = {});

    const MembershipConfig m_membershipConfig;
    const TableReplicaConfig m_replicaConfig;
    const LimitSharesConfig m_sharesConfig;
    TraceRecorder& m_trace;
    Sender m_send;
    Fetcher m_fetch;
    Membership m_membership;
    TableReplica m_replica;
    LimitShares m_shares;
    DemandMeter m_demand;
    std::vector<PeerTableSeen> m_seenTables;
    bool m_haveMembersChanged = false;
    Instant m_nextTick {};
    Instant m_nextStatus {};
    PeerTableHead m_publishedHead;

    mutable std::mutex m_memberMutex;
    std::shared_ptr<const std::vector<MemberUpdate>> m_members;
    std::atomic<bool> m_isSuperseded { false };
    std::atomic<int64_t> m_tableAge { 0 };
    std::atomic<bool> m_isPoller { false };
    std::atomic<bool> m_hasJoined { false };
    std::atomic<uint64_t> m_rejectedTables { 0 };
};

} // namespace jacinthspindle::daemon
