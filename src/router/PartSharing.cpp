// Messages about parts of prompts.

#include "router/PartSharing.h"

#include "adapters/JsonFields.h"

namespace jacinthspindle::router {

namespace {

    using internal::Json;
    using std::chrono::milliseconds;

    // A daemon that was cut off or stood still is reached again within two seconds: three more requests may reach
    // engines 3 s after the fifth end.
    constexpr milliseconds exchangeInterval { 500 };
    constexpr milliseconds callTimeout { 300 };
    // A longer turn means that this process stood still and may have missed news.
    constexpr milliseconds longestTurn { 1200 };
    // Connections on which news is sent at the same time.
    constexpr size_t concurrentPushes = 16;
    constexpr size_t maxSenders = 2000;
    constexpr size_t maxMessageBytes = size_t { 256 } << 10;

    uint32_t encodeAge(milliseconds age)
    {
        return static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, std::numeric_limits<uint32_t>::max()));
    }

    PartNews decodeNews(const Json& json)
    {
        constexpr size_t members = 6;
        PartNews news;
        for (const auto& it : internal::listOf(json, "ends")) {
            if (!it.is_array() || it.size() != members || news.ends.size() == PromptParts::maxNews)
                throw internal::JsonError("expected an end");
            news.ends.push_back({ PromptPart { internal::toNumber<uint64_t>(it[0]) },
                internal::toNumber<uint32_t>(it[1]), EndpointId(it[2].get<std::string>()),
                HostId(it[3].get<std::string>()), milliseconds(internal::toNumber<uint32_t>(it[4])),
                milliseconds(internal::toNumber<uint32_t>(it[5])) });
        }
        for (const auto& it : internal::listOf(json, "sound")) {
            if (news.sound.size() == PromptParts::maxNews)
                throw internal::JsonError("too many parts");
            news.sound.push_back(PromptPart { internal::toNumber<uint64_t>(it) });
        }
        return news;
    }

    // Rotates through the candidates, from another place at each daemon.
    const PeerHost& pick(const std::vector<PeerHost>& candidates, const HostId& self, size_t turn)
    {
        return candidates[(std::hash<std::string>()(self.value()) + turn) % candidates.size()];
    }

} // namespace

std::string encodePartMessage(const PartMessage& message)
{
    auto ends = Json::array();
    for (const auto& it : message.news.ends)
        ends.push_back(Json::array({ static_cast<uint64_t>(it.part), it.depth, it.endpoint.value(), it.witness.value(),
            encodeAge(it.sentAge), encodeAge(it.endedAge) }));
    auto sound = Json::array();
    for (auto it : message.news.sound)
        sound.push_back(static_cast<uint64_t>(it));
    return Json {
        { "host", message.sender.host.value() }, { "data_centre", message.sender.dataCentre.value() },
        { "address", message.sender.address }, { "ends", std::move(ends) }, { "sound", std::move(sound) }
    }.dump();
}

std::optional<PartMessage> decodePartMessage(std::string_view text)
{
    if (text.size() > maxMessageBytes)
        return std::nullopt;
    return internal::decodeJson(text, [](const Json& json) {
        PartMessage message;
        message.sender.host = HostId(internal::textOf(json, "host"));
        message.sender.dataCentre = DataCentreId(internal::textOf(json, "data_centre"));
        message.sender.address = internal::textOf(json, "address");
        if (!parseAddress(message.sender.address))
            throw internal::JsonError("expected an address");
        message.news = decodeNews(json);
        return message;
    });
}

PartSharing::PartSharing(EventLoop& loop, const Clock& clock, Journal& journal, daemon::Metrics& metrics, PeerHost self,
    std::function<std::vector<PeerHost>()> hosts)
    : m_loop(loop)
    , m_clock(clock)
    , m_journal(journal)
    , m_metrics(metrics)
    , m_self(std::move(self))
    , m_hosts(std::move(hosts))
    , m_change(loop.io())
{
}

void PartSharing::start(PromptParts& parts)
{
    m_parts = &parts;
    if (m_self.address.empty())
        return;
    m_loop.keepRunning("parts-push", [this] { return pushNews(); });
    m_loop.keepRunning("parts-source", [this] { return followOthers(); });
}

void PartSharing::noteNews()
{
    m_hasNews = true;
    m_change.notify();
}

std::vector<PeerHost> PartSharing::others() const
{
    auto known = m_senders;
    for (auto& it : m_hosts())
        known.insert_or_assign(it.host, std::move(it));
    known.erase(m_self.host);
    std::vector<PeerHost> others;
    others.reserve(known.size());
    for (auto& [host, peer] : known)
        others.push_back(std::move(peer));
    return others;
}

net::awaitable<void> PartSharing::pushNews()
{
    while (true) {
        while (!m_hasNews)
            co_await m_change.wait();
        m_hasNews = false;
        auto left = std::make_shared<std::vector<PeerHost>>(others());
        auto pushes = std::min(concurrentPushes, left->size());
        for (size_t i = 0; i < pushes; ++i)
            m_loop.spawn("parts-push-peers", push(left));
        // Ends that follow at once are told together.
        net::steady_timer timer(m_loop.io(), callTimeout / 3);
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
    }
}

net::awaitable<void> PartSharing::push(std::shared_ptr<std::vector<PeerHost>> left)
{
    while (!left->empty()) {
        auto peer = std::move(left->back());
        left->pop_back();
        co_await exchangeWith(std::move(peer), partsTarget);
    }
}

// Asks another daemon once after the start, and again and again while some part is suspected.
net::awaitable<void> PartSharing::followOthers()
{
    bool needsAll = true;
    while (true) {
        auto began = m_clock.now();
        net::steady_timer timer(m_loop.io(), exchangeInterval);
        ErrorCode ec;
        co_await timer.async_wait(awaitInto(ec));
        needsAll = needsAll || m_clock.now() - began >= longestTurn;
        auto peer = needsAll || m_parts->isWatching(m_clock.now()) ? nextPeer() : std::nullopt;
        if (!peer)
            continue;
        bool isTold = co_await exchangeWith(*peer, needsAll ? allPartsTarget : partsTarget);
        needsAll = needsAll && !isTold;
    }
}

// Daemons of other data centres and of the own one take turns.
std::optional<PeerHost> PartSharing::nextPeer()
{
    auto all = others();
    if (all.empty())
        return std::nullopt;
    bool isLocal = ++m_turn % 2;
    std::vector<PeerHost> candidates;
    std::copy_if(all.begin(), all.end(), std::back_inserter(candidates),
        [&](const auto& it) { return (it.dataCentre == m_self.dataCentre) == isLocal; });
    return pick(candidates.empty() ? all : candidates, m_self.host, m_turn / 2);
}

net::awaitable<bool> PartSharing::exchangeWith(PeerHost peer, std::string_view target)
{
    HttpCaller caller(m_loop.io().get_executor(), peer.address, maxMessageBytes);
    auto body = encodePartMessage({ m_self, m_parts->news(m_clock.now(), false) });
    auto reply = co_await caller.call(http::verb::post, std::string(target), std::move(body), callTimeout);
    // Daemons of earlier releases do not know the target.
    if (!reply || reply->status != 200)
        co_return false;
    auto message = decodePartMessage(reply->body);
    if (message)
        adopt(message->news, message->sender.host);
    co_return message.has_value();
}

void PartSharing::adopt(const PartNews& news, const HostId& sender)
{
    if (!m_parts->adopt(m_clock.now(), news))
        return;
    m_journal.write(LineKind::Info, "parts-adopted",
        { { "sender", sender.value() }, { "ends", news.ends.size() }, { "sound", news.sound.size() } });
}

TextAnswer PartSharing::answer(const TextRequest& request)
{
    auto message = decodePartMessage(request.body);
    m_metrics.add(message ? daemon::Counter::PeerMessagesReceived : daemon::Counter::PeerMessagesRejected);
    if (!message || !m_parts)
        return { 400, {} };
    if (m_senders.size() < maxSenders || m_senders.contains(message->sender.host))
        m_senders.insert_or_assign(message->sender.host, message->sender);
    adopt(message->news, message->sender.host);
    bool wantsAll = request.target == allPartsTarget;
    return { 200, encodePartMessage({ m_self, m_parts->news(m_clock.now(), wantsAll) }) };
}

} // namespace jacinthspindle::router
