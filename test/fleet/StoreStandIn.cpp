// Calls of the store.

#include "fleet/StoreStandIn.h"

#include <nlohmann/json.hpp>
#include <spindleadapters/internal/Base64.h>

namespace jacinthspindle::fleet {

namespace {

    using router::TextAnswer;
    using std::chrono::milliseconds;
    using Json = nlohmann::json;

    constexpr milliseconds feedStep { 5 };
    constexpr size_t pageRows = 500;

    std::string decodePercent(const std::string& text)
    {
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%' || i + 2 >= text.size()) {
                decoded += text[i];
                continue;
            }
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        return decoded;
    }

    std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> query;
        auto at = target.find('?');
        while (at != std::string::npos) {
            auto end = target.find('&', at + 1);
            auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            auto equals = part.find('=');
            if (equals != std::string::npos)
                query[part.substr(0, equals)] = decodePercent(part.substr(equals + 1));
            at = end;
        }
        return query;
    }

} // namespace

StoreStandIn::StoreStandIn(const std::string& address)
    : m_server(m_loop, [this](router::TextRequest request) { return answer(std::move(request)); })
{
    if (auto reason = m_server.open(address))
        m_problem = reason->text;
    m_thread = std::thread([this] { m_loop.run(); });
}

StoreStandIn::~StoreStandIn()
{
    m_loop.stop();
    m_thread.join();
}

void StoreStandIn::put(const std::string& table, const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    m_rows[{ table, key }] = { value, ++m_version };
}

void StoreStandIn::remove(const std::string& table, const std::string& key)
{
    std::lock_guard lock(m_mutex);
    m_rows.erase({ table, key });
    ++m_version;
}

router::net::awaitable<TextAnswer> StoreStandIn::answer(router::TextRequest request)
{
    if (m_isAway)
        co_return TextAnswer { 503, {} };
    if (request.target.starts_with("/jacinthspindle/rows-tx"))
        co_return commit(request.body);
    auto query = queryOf(request.target);
    if (!request.target.starts_with("/jacinthspindle/rows-feed"))
        co_return list(query);
    auto changes = co_await feed(std::move(query));
    co_return changes;
}

bool StoreStandIn::hasChanged(const std::string& table, uint64_t since)
{
    std::lock_guard lock(m_mutex);
    for (const auto& [key, row] : m_rows) {
        if (key.first == table && row.version > since)
            return true;
    }
    return false;
}

router::net::awaitable<TextAnswer> StoreStandIn::feed(Query query)
{
    auto table = query["table"];
    uint64_t since = std::stoull("0" + query["sinceRev"]);
    auto end = std::chrono::steady_clock::now() + milliseconds(std::stoull("0" + query["waitMs"]));
    router::net::steady_timer timer(m_loop.io());
    while (std::chrono::steady_clock::now() < end && !hasChanged(table, since) && !m_isAway) {
        timer.expires_after(feedStep);
        router::ErrorCode ec;
        co_await timer.async_wait(router::awaitInto(ec));
    }
    if (m_isAway)
        co_return TextAnswer { 503, {} };
    co_return rowsOf(table, since, {});
}

TextAnswer StoreStandIn::list(const Query& query)
{
    auto table = query.find("table");
    auto from = query.find("from");
    if (table == query.end())
        return { 400, {} };
    return rowsOf(table->second, 0, from == query.end() ? std::string() : from->second);
}

TextAnswer StoreStandIn::rowsOf(const std::string& table, uint64_t since, const std::string& from)
{
    std::lock_guard lock(m_mutex);
    auto rows = Json::array();
    bool hasMore = false;
    for (auto it = m_rows.lower_bound({ table, from }); it != m_rows.end() && it->first.first == table; ++it) {
        if (it->second.version <= since)
            continue;
        hasMore = rows.size() >= pageRows;
        if (hasMore)
            break;
        rows.push_back({ { "table", table }, { "part", "" }, { "key", it->first.second },
            { "value", internal::encodeBase64(it->second.value) }, { "rowVersion", it->second.version } });
    }
    return { 200,
        Json { { "rows", rows }, { "rowVersion", m_version }, { "nowMs", 1 }, { "hasMore", hasMore } }.dump() };
}

TextAnswer StoreStandIn::commit(const std::string& body)
{
    auto call = Json::parse(body, nullptr, false);
    if (call.is_discarded())
        return { 400, {} };
    std::lock_guard lock(m_mutex);
    for (const auto& it : call["expected"]) {
        auto found = m_rows.find({ it["table"], it["key"] });
        if ((found == m_rows.end() ? 0 : found->second.version) != it["rowVersion"].get<uint64_t>())
            return { 412, R"({"rows":[]})" };
    }
    ++m_version;
    for (const auto& it : call["puts"])
        m_rows[{ it["table"], it["key"] }]
            = { internal::decodeBase64(it["value"].get<std::string>()).value_or(""), m_version };
    return { 200, Json { { "rowVersion", m_version } }.dump() };
}

} // namespace jacinthspindle::fleet
