// SWIM-style membership: direct and indirect probes, suspicion with refutation, and updates piggybacked on messages.

#include "spindlecore/Membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace jacinthspindle {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t indirectProbes = 3;
    constexpr uint32_t retransmitFactor = 3; // Each member sends an update about 3 * log2(members) times.
    constexpr seconds relayTimeout { 2 };
    constexpr seconds joinInterval { 1 };
    // One random dead member is probed per interval, so that the two sides of a healed partition rejoin.
    constexpr seconds deadProbeInterval { 5 };
    // The host list may still contain a host for this long after the host has stopped.
    constexpr seconds hostListLag { 60 };

} // namespace

Membership::Membership(MembershipConfig config, MembershipFault fault)
    : m_config(std::move(config))
    , m_fault(fault)
    , m_random(m_config.seed)
{
}

void Membership::apply(Instant now, const MembershipInput& input, Outputs& out)
{
    if (const auto* it = std::get_if<PeerReceived>(&input))
        onMessage(now, *it, out);
    else if (const auto* list = std::get_if<HostListSeen>(&input))
        onHostList(now, *list, out);
    else if (const auto* status = std::get_if<TableStatusChanged>(&input))
        m_table = status->table;
    else if (std::get_if<LeaveStarted>(&input)) {
        m_isLeaving = true;
        ++m_refutation;
    } else
        onTick(now, out);
}

std::vector<MemberUpdate> Membership::members() const
{
    std::vector<MemberUpdate> result;
    result.reserve(m_members.size());
    for (const auto& [host, entry] : m_members)
        result.push_back(entry.update);
    return result;
}

const MemberUpdate* Membership::find(const HostId& host) const
{
    auto it = m_members.find(host);
    return it == m_members.end() ? nullptr : &it->second.update;
}

MemberUpdate Membership::self() const
{
    return { m_config.self, m_config.incarnation, m_refutation, m_isLeaving ? MemberState::Leaving : MemberState::Alive,
        m_config.dataCentre, m_config.address };
}

// ---- Messages.

void Membership::onMessage(Instant now, const PeerReceived& message, Outputs& out)
{
    if (const auto* ping = std::get_if<Ping>(&message.body))
        onPing(now, message, *ping, out);
    else if (const auto* ack = std::get_if<Ack>(&message.body))
        onAck(now, message, *ack, out);
    else if (const auto* request = std::get_if<PingRequest>(&message.body))
        onPingRequest(now, message, *request, out);
}

void Membership::onPing(Instant now, const PeerReceived& message, const Ping& ping, Outputs& out)
{
    for (const auto& it : ping.updates)
        applyUpdate(now, it, out);
    const auto* sender = find(message.sender);
    if (!sender)
        return;
    out.push_back(PeerTableSeen { message.sender, ping.table });
    Ack ack { ping.probe, m_table, updatesFor(message.sender), std::nullopt };
    std::string address = sender->address;
    if (message.incarnation < sender->incarnation && !ping.updates.empty()) {
        // The sender is an obsolete process of this host, perhaps at another address: report the newer incarnation to
        // it.
        ack.updates.resize(std::min(ack.updates.size(), maxPiggybackedUpdates - 1));
        ack.updates.push_back(*sender);
        address = ping.updates.front().address;
    }
    if (ping.joinAfter) {
        auto it = m_members.upper_bound(*ping.joinAfter);
        for (size_t n = 0; it != m_members.end() && n < maxJoinUpdates; ++it, ++n) {
            ack.updates.push_back(it->second.update);
            ack.joinNext = it->first;
        }
        if (it == m_members.end())
            ack.joinNext.reset();
    }
    out.push_back(SendToPeer { message.sender, std::move(address), std::move(ack) });
}

void Membership::onAck(Instant now, const PeerReceived& message, const Ack& ack, Outputs& out)
{
    for (const auto& it : ack.updates)
        applyUpdate(now, it, out);
    out.push_back(PeerTableSeen { message.sender, ack.table });
    if (!m_isJoined && m_joinAfter && ack.probe == m_joinProbe) {
        m_isJoined = !ack.joinNext;
        m_joinAfter = ack.joinNext;
        m_nextJoin = now;
    }
    if (m_probe.isOpen && ack.probe == m_probe.number)
        m_probe.isOpen = false;
    auto relayed = m_relayedProbes.find(ack.probe);
    if (relayed == m_relayedProbes.end())
        return;
    if (const auto* requester = find(relayed->second.requester)) {
        Ack answer { relayed->second.number, m_table, updatesFor(requester->host), std::nullopt };
        out.push_back(SendToPeer { requester->host, requester->address, std::move(answer) });
    }
    m_relayedProbes.erase(relayed);
}

void Membership::onPingRequest(Instant now, const PeerReceived& message, const PingRequest& request, Outputs& out)
{
    for (const auto& it : request.updates)
        applyUpdate(now, it, out);
    if (!find(message.sender))
        return;
    uint64_t number = ++m_lastProbe;
    m_relayedProbes[number] = { request.probe, message.sender, now };
    out.push_back(SendToPeer {
        request.target, request.address, Ping { number, m_table, updatesFor(request.target), std::nullopt } });
}

// ---- Host list.

void Membership::onHostList(Instant now, const HostListSeen& list, Outputs& out)
{
    m_hostListAt = now;
    for (auto& [host, entry] : m_members)
        entry.isListed = false;
    for (const auto& it : list.hosts) {
        HostId host(it.name);
        bool isOtherEntryHost = it.kind == HostKind::Entry && host != m_config.self && !host.isEmpty();
        if (!isOtherEntryHost || (!find(host) && m_members.size() >= maxMembers))
            continue;
        if (!find(host))
            addMember(now, { host, 0, 0, MemberState::Alive, it.dataCentre, it.peerAddress }, out);
        auto& entry = m_members[host];
        entry.isListed = true;
        if (it.leaving && entry.update.state == MemberState::Alive) {
            entry.update.state = MemberState::Leaving;
            out.push_back(MemberChanged { entry.update });
        }
    }
}

// ---- Time.

void Membership::onTick(Instant now, Outputs& out)
{
    if (m_lastTick == Instant {}) {
        m_nextProbe = now + milliseconds(randomBelow(static_cast<size_t>(m_config.probePeriod.count())));
        m_nextDeadProbe = now + deadProbeInterval;
    } else if (now - m_lastTick > m_config.probePeriod && m_fault != MembershipFault::SuspectAfterPause) {
        // This process was paused, and acknowledgements may still be in its receive queue. Cancel the probe and don't
        // count the pause towards any timeout, so that no member is suspected because of it.
        m_probe.isOpen = false;
        m_nextProbe = now;
        for (auto& [host, entry] : m_members)
            entry.changedAt += now - m_lastTick;
    }
    m_lastTick = now;
    join(now, out);
    if (m_probe.isOpen && !m_probe.sentIndirectProbes && now - m_probe.sentAt >= m_config.ackTimeout)
        sendIndirectProbes(out);
    if (now >= m_nextProbe) {
        finishProbe(now, out);
        startProbe(now, out);
        m_nextProbe = std::max(m_nextProbe + m_config.probePeriod, now);
    }
    expireMembers(now, out);
    std::erase_if(m_relayedProbes, [&](const auto& it) { return now - it.second.sentAt > relayTimeout; });
}

void Membership::join(Instant now, Outputs& out)
{
    if (m_isJoined || now < m_nextJoin)
        return;
    std::string address;
    HostId receiver;
    if (!m_config.contacts.empty())
        address = m_config.contacts[m_nextContact++ % m_config.contacts.size()];
    else if (auto live = pickLiveMembers(1, {}); !live.empty()) {
        receiver = live.front();
        address = find(receiver)->address;
    }
    m_nextJoin = now + joinInterval;
    if (address.empty() || address == m_config.address)
        return;
    if (!m_joinAfter)
        m_joinAfter = HostId();
    m_joinProbe = ++m_lastProbe;
    out.push_back(SendToPeer { receiver, address, Ping { m_joinProbe, m_table, updatesFor(receiver), m_joinAfter } });
}

void Membership::startProbe(Instant now, Outputs& out)
{
    if (now >= m_nextDeadProbe) {
        m_nextDeadProbe = now + deadProbeInterval;
        std::vector<const MemberUpdate*> dead;
        for (const auto& [host, entry] : m_members) {
            if (entry.update.state == MemberState::Dead)
                dead.push_back(&entry.update);
        }
        if (!dead.empty()) {
            const auto& it = *dead[randomBelow(dead.size())];
            out.push_back(
                SendToPeer { it.host, it.address, Ping { ++m_lastProbe, m_table, updatesFor(it.host), std::nullopt } });
        }
    }
    auto target = nextTarget();
    if (!target)
        return;
    m_probe = { ++m_lastProbe, *target, now, false, true };
    out.push_back(SendToPeer {
        *target, find(*target)->address, Ping { m_probe.number, m_table, updatesFor(*target), std::nullopt } });
}

void Membership::sendIndirectProbes(Outputs& out)
{
    m_probe.sentIndirectProbes = true;
    const auto* target = find(m_probe.target);
    if (!target)
        return;
    for (const auto& host : pickLiveMembers(indirectProbes, m_probe.target)) {
        PingRequest request { m_probe.number, target->host, target->address, updatesFor(host) };
        out.push_back(SendToPeer { host, find(host)->address, std::move(request) });
    }
}

void Membership::finishProbe(Instant now, Outputs& out)
{
    if (!m_probe.isOpen)
        return;
    m_probe.isOpen = false;
    auto it = m_members.find(m_probe.target);
    if (it == m_members.end())
        return;
    auto state = it->second.update.state;
    if (state == MemberState::Alive || state == MemberState::Leaving)
        setState(now, it->second, MemberState::Suspect, out);
}

void Membership::expireMembers(Instant now, Outputs& out)
{
    std::vector<HostId> removed;
    for (auto& [host, entry] : m_members) {
        auto age = now - entry.changedAt;
        if (entry.update.state == MemberState::Suspect && age >= m_config.suspicionTimeout) {
            if (m_fault != MembershipFault::NeverExpireSuspicion)
                setState(now, entry, MemberState::Dead, out);
        } else if (entry.update.state == MemberState::Dead) {
            bool isGone = m_hostListAt && !entry.isListed && *m_hostListAt - entry.changedAt >= hostListLag;
            if (isGone || age >= m_config.deadMemberRetention)
                removed.push_back(host);
        }
    }
    for (const auto& host : removed) {
        out.push_back(MemberChanged { m_members[host].update, true });
        m_members.erase(host);
    }
}

// ---- Updates.

bool Membership::supersedes(const MemberUpdate& received, const MemberUpdate& known) const
{
    auto rank = [](const MemberUpdate& it) { return std::tuple(it.incarnation, it.refutation, it.state); };
    if (m_fault == MembershipFault::OldIncarnationWins && received.incarnation != known.incarnation)
        return received.incarnation < known.incarnation;
    return rank(received) > rank(known);
}

void Membership::applyUpdate(Instant now, const MemberUpdate& update, Outputs& out)
{
    if (update.host == m_config.self) {
        applyUpdateAboutSelf(update, out);
        return;
    }
    auto it = m_members.find(update.host);
    if (it == m_members.end()) {
        if (update.state == MemberState::Dead || update.host.isEmpty() || m_members.size() >= maxMembers)
            return;
        addMember(now, update, out);
        queueUpdate(update);
        return;
    }
    if (!supersedes(update, it->second.update))
        return;
    // All daemons receive the host list, so the first contact with a listed member need not be spread.
    bool isNewToOthers = it->second.update.incarnation || update.state != MemberState::Alive || !it->second.isListed;
    it->second.update = update;
    it->second.changedAt = now;
    out.push_back(MemberChanged { update });
    if (isNewToOthers)
        queueUpdate(update);
}

void Membership::addMember(Instant now, const MemberUpdate& update, Outputs& out)
{
    m_members[update.host] = { update, now, false };
    m_probeOrder.insert(
        m_probeOrder.begin() + static_cast<std::ptrdiff_t>(randomBelow(m_probeOrder.size() + 1)), update.host);
    out.push_back(MemberChanged { update });
}

void Membership::applyUpdateAboutSelf(const MemberUpdate& update, Outputs& out)
{
    if (update.incarnation > m_config.incarnation) {
        out.push_back(SelfSuperseded { update.incarnation });
        return;
    }
    bool isAccused = update.state == MemberState::Suspect || update.state == MemberState::Dead;
    if (!isAccused || update.incarnation < m_config.incarnation || m_fault == MembershipFault::NoRefutation)
        return;
    // Every message carries the sender's own state, so the refutation need not be queued as an update.
    if (update.refutation >= m_refutation)
        m_refutation = update.refutation + 1;
}

void Membership::setState(Instant now, Entry& entry, MemberState state, Outputs& out)
{
    entry.update.state = state;
    entry.changedAt = now;
    out.push_back(MemberChanged { entry.update });
    queueUpdate(entry.update);
}

void Membership::queueUpdate(const MemberUpdate& update)
{
    std::erase_if(m_pendingUpdates, [&](const PendingUpdate& it) { return it.update.host == update.host; });
    m_pendingUpdates.push_back({ update, 0 });
}

uint32_t Membership::retransmitLimit() const
{
    return retransmitFactor * static_cast<uint32_t>(std::bit_width(m_members.size() + 1));
}

std::vector<MemberUpdate> Membership::updatesFor(const HostId& receiver)
{
    std::vector<MemberUpdate> updates { self() };
    const auto* known = find(receiver);
    // Tell a suspected or dead member about its state in every message, so that it can refute it at once.
    if (known && (known->state == MemberState::Suspect || known->state == MemberState::Dead))
        updates.push_back(*known);
    auto updateCount = std::min(maxPiggybackedUpdates - updates.size(), m_pendingUpdates.size());
    std::partial_sort(m_pendingUpdates.begin(), m_pendingUpdates.begin() + static_cast<std::ptrdiff_t>(updateCount),
        m_pendingUpdates.end(), [](const PendingUpdate& a, const PendingUpdate& b) {
            return std::tie(a.sends, a.update.host) < std::tie(b.sends, b.update.host);
        });
    for (size_t i = 0; i < updateCount; ++i) {
        updates.push_back(m_pendingUpdates[i].update);
        ++m_pendingUpdates[i].sends;
    }
    std::erase_if(m_pendingUpdates, [&](const PendingUpdate& it) { return it.sends >= retransmitLimit(); });
    return updates;
}

std::optional<HostId> Membership::nextTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            auto host = std::move(m_probeOrder.back());
            m_probeOrder.pop_back();
            const auto* it = find(host);
            if (it && it->state != MemberState::Dead)
                return host;
        }
        for (const auto& [host, entry] : m_members)
            m_probeOrder.push_back(host);
        for (size_t n = m_probeOrder.size(); n > 1; --n)
            std::swap(m_probeOrder[n - 1], m_probeOrder[randomBelow(n)]);
    }
    return std::nullopt;
}

std::vector<HostId> Membership::pickLiveMembers(size_t n, const HostId& except)
{
    std::vector<HostId> live;
    for (const auto& [host, entry] : m_members) {
        bool isLive = entry.update.state == MemberState::Alive || entry.update.state == MemberState::Leaving;
        if (isLive && host != except)
            live.push_back(host);
    }
    for (size_t i = 0; i < std::min(n, live.size()); ++i)
        std::swap(live[i], live[i + randomBelow(live.size() - i)]);
    live.resize(std::min(n, live.size()));
    return live;
}

} // namespace jacinthspindle
