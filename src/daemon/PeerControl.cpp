// Inputs and outputs of the machines that share state with other daemons.

#include "daemon/PeerControl.h"

#include "daemon/Log.h"
#include "spindleadapters/PeerTraceCodec.h"

namespace jacinthspindle::daemon {

namespace {

    constexpr std::chrono::milliseconds machineTick { 100 };
    constexpr std::chrono::milliseconds statusInterval { 500 };

    MembershipConfig membershipConfig(const Settings& settings, uint64_t incarnation, uint64_t seed)
    {
        MembershipConfig config;
        config.self = settings.host;
        config.incarnation = incarnation;
        config.dataCentre = settings.dataCentre;
        config.address = settings.peerAddress;
        config.contacts = settings.peers;
        config.seed = seed;
        return config;
    }

    TableReplicaConfig replicaConfig(const Settings& settings, uint64_t seed)
    {
        TableReplicaConfig config;
        config.self = settings.host;
        config.dataCentre = settings.dataCentre;
        config.seed = seed;
        return config;
    }

    LimitSharesConfig sharesConfig(const Settings& settings)
    {
        LimitSharesConfig config;
        config.self = settings.host;
        config.dataCentre = settings.dataCentre;
        return config;
    }

    bool isReachable(const MemberUpdate& member)
    {
        return member.state == MemberState::Alive || member.state == MemberState::Leaving;
    }

} // namespace

PeerControl::PeerControl(
    const Settings& settings, uint64_t incarnation, uint64_t seed, TraceRecorder& trace, Sender send, Fetcher fetch)
    : m_membershipConfig(membershipConfig(settings, incarnation, seed))
    , m_replicaConfig(replicaConfig(settings, seed))
    , m_sharesConfig(sharesConfig(settings))
    , m_trace(trace)
    , m_send(std::move(send))
    , m_fetch(std::move(fetch))
    , m_membership(m_membershipConfig)
    , m_replica(m_replicaConfig)
    , m_shares(m_sharesConfig)
    , m_members(std::make_shared<const std::vector<MemberUpdate>>())
{
}

void PeerControl::start(Instant now)
{
    record(TraceKind::MembershipInput, encodeMembershipConfig(m_membershipConfig), now, traceConfigSubject);
    record(TraceKind::ReplicaInput, encodeReplicaConfig(m_replicaConfig), now, traceConfigSubject);
    record(TraceKind::LimitInput, encodeLimitConfig(m_sharesConfig), now, traceConfigSubject);
}

void PeerControl::record(TraceKind kind, std::string payload, Instant at, const std::string& subject)
{
    TraceRecord record;
    record.tableRevision = m_replica.table() ? m_replica.table()->revision : 0;
    record.subject = subject;
    record.kind = kind;
    record.payload = std::move(payload);
    m_trace.recordAt(std::move(record), at);
}

void PeerControl::apply(Instant now, const PeerInput& input, std::vector<CoreInput>& inputs)
{
    if (const auto* received = std::get_if<PeerReceived>(&input)) {
        const auto& body = received->body;
        bool isProbe = std::holds_alternative<Ping>(body) || std::holds_alternative<Ack>(body)
            || std::holds_alternative<PingRequest>(body);
        bool isLimit = std::holds_alternative<LimitReport>(body) || std::holds_alternative<LimitGrant>(body);
        if (isProbe)
            applyMembership(now, *received);
        else if (isLimit)
            applyShares(now, *received, inputs);
        else
            applyReplica(now, *received, inputs);
    } else if (const auto* hosts = std::get_if<HostListSeen>(&input))
        applyMembership(now, *hosts);
    else if (const auto* leave = std::get_if<LeaveStarted>(&input))
        applyMembership(now, *leave);
    else if (const auto* head = std::get_if<HeadSeen>(&input))
        applyReplica(now, *head, inputs);
    else if (const auto* failed = std::get_if<FetchFailed>(&input))
        applyReplica(now, *failed, inputs);
    else if (const auto* changes = std::get_if<ChangesFetched>(&input))
        applyReplica(now, *changes, inputs);
    else if (const auto* snapshot = std::get_if<SnapshotFetched>(&input))
        applyReplica(now, *snapshot, inputs);
    settle(now, inputs);
}

void PeerControl::tick(Instant now, std::vector<CoreInput>& inputs)
{
    if (now < m_nextTick)
        return;
    m_nextTick = now + machineTick;
    publishTableStatus(now);
    applyMembership(now, MembershipTick {});
    settle(now, inputs);
    applyReplica(now, ReplicaTick {}, inputs);
    std::vector<DemandSeen> demands;
    m_demand.collect(now, demands);
    for (const auto& it : demands)
        applyShares(now, it, inputs);
    applyShares(now, LimitTick {}, inputs);
}

void PeerControl::observe(Instant now, const CoreInput& input, const std::vector<CoreDecision>& decisions)
{
    m_demand.observe(now, input, decisions);
}

void PeerControl::publishTableStatus(Instant now)
{
    auto status = m_replica.status(now);
    m_tableAge = status.age.count();
    m_isPoller = m_replica.isPoller();
    m_hasJoined = m_shares.hasJoined();
    m_rejectedTables = m_replica.rejected();
    if (status.head == m_publishedHead && now < m_nextStatus)
        return;
    m_publishedHead = status.head;
    m_nextStatus = now + statusInterval;
    applyMembership(now, TableStatusChanged { status });
}

void PeerControl::settle(Instant now, std::vector<CoreInput>& inputs)
{
    auto seen = std::move(m_seenTables);
    m_seenTables.clear();
    for (const auto& it : seen)
        applyReplica(now, it, inputs);
    if (!m_haveMembersChanged)
        return;
    m_haveMembersChanged = false;
    publishMembers(now, inputs);
}

void PeerControl::publishMembers(Instant now, std::vector<CoreInput>& inputs)
{
    auto members = m_membership.members();
    LimitMembers limitMembers;
    for (const auto& it : members)
        limitMembers.members.push_back({ it.host, it.dataCentre, it.address, isReachable(it) });
    applyReplica(now, ReplicaMembers { members }, inputs);
    applyShares(now, limitMembers, inputs);
    std::lock_guard lock(m_memberMutex);
    m_members = std::make_shared<const std::vector<MemberUpdate>>(std::move(members));
}

std::shared_ptr<const std::vector<MemberUpdate>> PeerControl::members() const
{
    std::lock_guard lock(m_memberMutex);
    return m_members;
}

void PeerControl::applyMembership(Instant now, const MembershipInput& input)
{
    record(TraceKind::MembershipInput, encodeMembershipInput(input), now);
    std::vector<MembershipOutput> outputs;
    m_membership.apply(now, input, outputs);
    for (const auto& it : outputs) {
        record(TraceKind::MembershipOutput, encodeMembershipOutput(it), now);
        if (const auto* send = std::get_if<SendToPeer>(&it))
            m_send(*send);
        else if (std::holds_alternative<MemberChanged>(it))
            m_haveMembersChanged = true;
        else if (const auto* seen = std::get_if<PeerTableSeen>(&it))
            m_seenTables.push_back(*seen);
        else if (const auto* superseded = std::get_if<SelfSuperseded>(&it)) {
            if (!m_isSuperseded.exchange(true))
                logState(LogLevel::Error, "a later process runs under the name of this host",
                    { { "incarnation", std::to_string(superseded->incarnation) } });
        }
    }
}

void PeerControl::applyReplica(Instant now, const ReplicaInput& input, std::vector<CoreInput>& inputs)
{
    record(TraceKind::ReplicaInput, encodeReplicaInput(input), now);
    std::vector<ReplicaOutput> outputs;
    m_replica.apply(now, input, outputs);
    for (const auto& it : outputs) {
        record(TraceKind::ReplicaOutput, encodeReplicaOutput(withTableReference(it)), now);
        if (const auto* send = std::get_if<SendToPeer>(&it))
            m_send(*send);
        else if (const auto* head = std::get_if<FetchHead>(&it))
            m_fetch(*head);
        else if (const auto* changes = std::get_if<FetchChanges>(&it))
            m_fetch(*changes);
        else if (const auto* snapshot = std::get_if<FetchSnapshot>(&it))
            m_fetch(*snapshot);
        else if (const auto* adopted = std::get_if<Adopted>(&it)) {
            logState(LogLevel::Info, "table in force", { { "revision", std::to_string(adopted->table->revision) } });
            inputs.emplace_back(TableAdopted { adopted->table });
            applyShares(now, LimitTable { adopted->table }, inputs);
        }
    }
}

void PeerControl::applyShares(Instant now, const LimitInput& input, std::vector<CoreInput>& inputs)
{
    record(TraceKind::LimitInput, encodeLimitInput(withTableReference(input)), now);
    std::vector<LimitOutput> outputs;
    m_shares.apply(now, input, outputs);
    for (const auto& it : outputs) {
        record(TraceKind::LimitOutput, encodeLimitOutput(it), now);
        if (const auto* send = std::get_if<SendToPeer>(&it))
            m_send(*send);
        else if (const auto* share = std::get_if<ShareChanged>(&it))
            inputs.emplace_back(*share);
    }
}

} // namespace jacinthspindle::daemon
