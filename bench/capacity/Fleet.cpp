// The peer machines of many daemons with a plain message queue.

#include "capacity/Fleet.h"

#include <algorithm>

namespace jacinthspindle::bench {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds stepTime { 10 };
    constexpr uint64_t stepsPerTick = 10;

    MessageKind kindOf(const PeerBody& body)
    {
        if (std::get_if<Ping>(&body) || std::get_if<Ack>(&body) || std::get_if<PingRequest>(&body))
            return MessageKind::Membership;
        if (std::get_if<LimitReport>(&body) || std::get_if<LimitGrant>(&body))
            return MessageKind::Limits;
        return MessageKind::Table;
    }

    std::string addressOf(size_t index)
    {
        return "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7400";
    }

    size_t indexOf(const std::string& address)
    {
        auto last = address.rfind('.');
        auto middle = address.rfind('.', last - 1);
        return std::stoul(address.substr(middle + 1)) * 250 + std::stoul(address.substr(last + 1));
    }

} // namespace

Fleet::Fleet(const FleetOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_nodes(options.members)
    , m_table(sampleTable(20, 10))
{
    auto limits = std::make_shared<Table>(sampleTable(20, options.workspaces));
    limits->revision = 1;
    m_limitTable = limits;
    for (size_t i = 0; i < m_nodes.size(); ++i)
        m_hosts.hosts.push_back({ HostKind::Entry, hostOf(i).value(), dataCentreOf(i), addressOf(i), "", false });
    auto first = diffTables(Table {}, m_table);
    first.digest = deltaDigest(first);
    Reason reason;
    m_table = *applyDelta(Table {}, first, reason);
    m_changes.push_back(first);
    m_clock.advance(std::chrono::seconds(10));
    for (size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
}

void Fleet::start(size_t index)
{
    auto& node = m_nodes[index];
    auto seed = m_random();
    node.incarnation += 1;
    node.sequence = 0;
    node.isRunning = true;
    node.areMembersNew = true;
    MembershipConfig membership;
    membership.self = hostOf(index);
    membership.incarnation = node.incarnation;
    membership.dataCentre = dataCentreOf(index);
    membership.address = addressOf(index);
    membership.seed = seed;
    node.membership = std::make_unique<Membership>(membership);
    TableReplicaConfig replica;
    replica.self = membership.self;
    replica.dataCentre = membership.dataCentre;
    replica.seed = seed + 1;
    node.replica = std::make_unique<TableReplica>(replica);
    LimitSharesConfig limits;
    limits.self = membership.self;
    limits.dataCentre = membership.dataCentre;
    node.limits = std::make_unique<LimitShares>(limits);
    node.codec = std::make_unique<PeerCodec>(membership.self, "capacity");
    apply(index, *node.membership, MembershipInput(m_hosts));
    if (m_options.workspaces)
        apply(index, *node.limits, LimitInput(LimitTable { m_limitTable }));
}

void Fleet::restart(size_t index)
{
    start(index);
}

void Fleet::run(milliseconds span)
{
    for (auto end = m_clock.now() + span; m_clock.now() < end;)
        step();
}

void Fleet::step()
{
    m_clock.advance(stepTime);
    for (const auto& it : std::exchange(m_letters, {}))
        deliver(it);
    for (const auto& [index, answer] : std::exchange(m_answers, {})) {
        if (m_nodes[index].isRunning)
            apply(index, *m_nodes[index].replica, answer);
    }
    ++m_steps;
    for (size_t i = m_steps % stepsPerTick; i < m_nodes.size(); i += stepsPerTick) {
        if (m_nodes[i].isRunning)
            tick(i);
    }
}

void Fleet::tick(size_t index)
{
    auto& node = m_nodes[index];
    if (std::exchange(node.areMembersNew, false))
        passMembers(index);
    TableStatusChanged status { node.replica->status(m_clock.now()) };
    apply(index, *node.membership, MembershipInput(status));
    apply(index, *node.membership, MembershipInput(MembershipTick {}));
    apply(index, *node.replica, ReplicaInput(ReplicaTick {}));
    if (!m_options.workspaces)
        return;
    for (size_t i = 0; i < m_options.hotWorkspaces; ++i) {
        const auto& row = m_limitTable->workspaces[i];
        apply(index, *node.limits, LimitInput(DemandSeen { row.workspace, 1.0 * row.requestsPerSecond, 0, 0 }));
    }
    if (node.demand > 0) {
        const auto& row = m_limitTable->workspaces.front();
        apply(index, *node.limits, LimitInput(DemandSeen { row.workspace, node.demand * row.requestsPerSecond, 0, 0 }));
    }
    apply(index, *node.limits, LimitInput(LimitTick {}));
}

void Fleet::passMembers(size_t index)
{
    auto& node = m_nodes[index];
    auto members = node.membership->members();
    LimitMembers limits;
    for (const auto& it : members) {
        bool isReachable = it.state == MemberState::Alive || it.state == MemberState::Leaving;
        limits.members.push_back({ it.host, it.dataCentre, it.address, isReachable });
    }
    apply(index, *node.replica, ReplicaInput(ReplicaMembers { std::move(members) }));
    if (m_options.workspaces)
        apply(index, *node.limits, LimitInput(limits));
}

template <typename Machine, typename Input> void Fleet::apply(size_t index, Machine& machine, const Input& input)
{
    using Output = std::conditional_t<std::is_same_v<Machine, Membership>, MembershipOutput,
        std::conditional_t<std::is_same_v<Machine, TableReplica>, ReplicaOutput, LimitOutput>>;
    std::vector<Output> out;
    machine.apply(m_clock.now(), input, out);
    for (const auto& it : out)
        std::visit([&](const auto& output) { handle(index, output); }, it);
}

void Fleet::handle(size_t index, const SendToPeer& message)
{
    auto& node = m_nodes[index];
    PeerMessage envelope { peerFormatVersion, hostOf(index), node.incarnation, ++node.sequence, node.sequence,
        message.receiver, message.body };
    auto bytes = node.codec->encode(envelope);
    auto& count = m_sent[static_cast<size_t>(kindOf(message.body))];
    ++count.messages;
    count.bytes += bytes.size();
    node.sentBytes += bytes.size();
    auto to = indexOf(message.address);
    bool isLost = m_options.loss > 0 && static_cast<double>(m_random() % 1'000'000) < m_options.loss * 1e6;
    if (!isLost && !node.isCut && !m_nodes[to].isCut)
        m_letters.push_back({ index, to, std::move(bytes) });
}

void Fleet::deliver(const Letter& letter)
{
    auto& node = m_nodes[letter.to];
    if (!node.isRunning)
        return;
    auto message = node.codec->decode(letter.bytes);
    if (!message)
        return;
    PeerReceived received { message->sender, message->incarnation, std::move(message->body) };
    switch (kindOf(received.body)) {
    case MessageKind::Membership:
        apply(letter.to, *node.membership, MembershipInput(std::move(received)));
        break;
    case MessageKind::Table:
        apply(letter.to, *node.replica, ReplicaInput(std::move(received)));
        break;
    case MessageKind::Limits:
        apply(letter.to, *node.limits, LimitInput(std::move(received)));
        break;
    }
}

void Fleet::handle(size_t index, const FetchHead&)
{
    ++m_reads;
    if (m_isPlatformUp && !m_nodes[index].isCut)
        m_answers.emplace_back(index, HeadSeen { m_table.revision, m_table.digest });
    else
        m_answers.emplace_back(index, FetchFailed { FetchKind::Head });
}

void Fleet::handle(size_t index, const FetchChanges& fetch)
{
    ++m_reads;
    ChangesFetched fetched;
    for (auto n = fetch.after; n < m_changes.size() && fetched.changes.size() < fetch.limit; ++n)
        fetched.changes.push_back(m_changes[n]);
    if (m_isPlatformUp && !m_nodes[index].isCut)
        m_answers.emplace_back(index, std::move(fetched));
    else
        m_answers.emplace_back(index, FetchFailed { FetchKind::Changes });
}

void Fleet::handle(size_t index, const FetchSnapshot&)
{
    ++m_reads;
    m_answers.emplace_back(index, FetchFailed { FetchKind::Snapshot });
}

void Fleet::commit()
{
    auto change = sampleChange(m_table, static_cast<uint32_t>(m_table.revision + 10));
    Reason reason;
    m_table = *applyDelta(m_table, change, reason);
    m_changes.push_back(std::move(change));
}

void Fleet::giveChangeTo(size_t index)
{
    apply(index, *m_nodes[index].replica, ReplicaInput(ChangesFetched { { m_changes.back() } }));
}

size_t Fleet::adopted(uint64_t revision) const
{
    return static_cast<size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
        [&](const Node& it) { return it.isRunning && it.replica->head().revision >= revision; }));
}

uint64_t Fleet::greatestSent() const
{
    uint64_t result = 0;
    for (const auto& it : m_nodes)
        result = std::max(result, it.sentBytes);
    return result;
}

void Fleet::resetCounts()
{
    m_sent = {};
    m_reads = 0;
    for (auto& it : m_nodes)
        it.sentBytes = 0;
}

double Fleet::share(size_t index) const
{
    const auto& workspace = m_limitTable->workspaces.front().workspace;
    return static_cast<double>(m_nodes[index].limits->share(m_clock.now(), workspace)) / wholeShare;
}

double Fleet::shareSum() const
{
    double sum = 0;
    for (size_t i = 0; i < m_nodes.size(); ++i)
        sum += m_nodes[i].isRunning ? share(i) : 0;
    return sum;
}

size_t Fleet::seenAs(size_t index, MemberState state) const
{
    size_t n = 0;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        const auto* it = m_nodes[i].isRunning && i != index ? m_nodes[i].membership->find(hostOf(index)) : nullptr;
        n += it && it->state == state;
    }
    return n;
}

} // namespace jacinthspindle::bench
