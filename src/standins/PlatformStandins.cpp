// The platform's HTTP interfaces of docs/design.md 2.5, kept in memory.

#include "standins/PlatformStandins.h"

#include "adapters/JsonFields.h"
#include "spindleadapters/internal/Base64.h"

#include <algorithm>

namespace jacinthspindle::standins {

namespace {

    constexpr size_t maxScanRows = 10'000;

    Json rowJson(const StoredRow& row)
    {
        return { { "key", row.key }, { "value", internal::encodeBase64(row.value) }, { "version", row.version } };
    }

    Transaction transactionOf(const Json& json)
    {
        Transaction result;
        for (const auto& it : internal::listOf(json, "preconditions"))
            result.preconditions.push_back(
                { internal::textOf(it, "key"), internal::numberOf<uint64_t>(it, "version") });
        for (const auto& it : internal::listOf(json, "writes")) {
            auto value = internal::decodeBase64(internal::textOf(it, "value"));
            if (!value)
                throw internal::JsonError("the value is not base64");
            result.writes.push_back({ internal::textOf(it, "key"), std::move(*value) });
        }
        return result;
    }

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    Json hostJson(const HostEntry& host)
    {
        Json json { { "kind", host.kind == HostKind::Entry ? "entry" : "endpoint" }, { "name", host.name },
            { "dataCentre", host.dataCentre.value() }, { "leaving", host.leaving } };
        if (host.kind == HostKind::Entry) {
            json["peerAddress"] = host.peerAddress;
            json["httpAddress"] = host.httpAddress;
        }
        return json;
    }

    // Brings the server into the state that the faults name.
    void applyDown(StandinServer& server, bool isDown)
    {
        if (isDown)
            server.stop();
        else
            server.start();
    }

} // namespace

TableStandin::TableStandin(std::string address)
    : m_server(std::move(address), [this](httplib::Server& server) { install(server); })
{
}

TableStandin::~TableStandin()
{
    m_server.stop();
    for (auto& it : m_lateCommits)
        it.join();
}

void TableStandin::install(httplib::Server& server)
{
    server.Get("/table/row", [this](const auto& request, auto& response) { handleRow(request, response); });
    server.Get("/table/scan", [this](const auto& request, auto& response) { handleScan(request, response); });
    server.Post("/table/commit", [this](const auto& request, auto& response) { handleCommit(request, response); });
}

void TableStandin::delay()
{
    milliseconds time {};
    {
        std::lock_guard lock(m_mutex);
        time = milliseconds(m_faults.delayMs);
    }
    m_server.sleep(time);
}

void TableStandin::handleRow(const httplib::Request& request, httplib::Response& response)
{
    delay();
    std::lock_guard lock(m_mutex);
    ++m_reads;
    auto it = m_rows.find(request.get_param_value("key"));
    if (it == m_rows.end())
        return answerError(response, 404, "no such row");
    answerJson(response, rowJson(it->second).dump());
}

void TableStandin::handleScan(const httplib::Request& request, httplib::Response& response)
{
    delay();
    auto prefix = request.get_param_value("prefix");
    auto after = request.get_param_value("after");
    auto limit = std::min<size_t>(std::strtoul(request.get_param_value("limit").c_str(), nullptr, 10), maxScanRows);
    Json rows = Json::array();
    std::lock_guard lock(m_mutex);
    ++m_reads;
    auto it = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    for (; it != m_rows.end() && it->first.starts_with(prefix) && rows.size() < limit; ++it)
        rows.push_back(rowJson(it->second));
    answerJson(response, Json { { "rows", std::move(rows) } }.dump());
}

void TableStandin::handleCommit(const httplib::Request& request, httplib::Response& response)
{
    auto transaction = internal::decodeJson(request.body, transactionOf);
    if (!transaction)
        return answerError(response, 400, "the transaction is malformed");
    delay();
    milliseconds lateBy {};
    auto fault = takeFault(*transaction, lateBy);
    if (fault == CommitFault::Late)
        commitLate(*transaction, lateBy);
    bool isCommitted = (fault == CommitFault::None || fault == CommitFault::LoseAnswer) && commit(*transaction);
    if (fault != CommitFault::None)
        StandinServer::dropConnection(request);
    answerJson(response, "{}", isCommitted ? 200 : 409);
}

TableStandin::CommitFault TableStandin::takeFault(const Transaction& transaction, milliseconds& delay)
{
    std::lock_guard lock(m_mutex);
    bool isMeant = std::any_of(transaction.writes.begin(), transaction.writes.end(),
        [&](const RowWrite& it) { return it.key.starts_with(m_faults.keyPrefix); });
    if (!isMeant)
        return CommitFault::None;
    delay = milliseconds(m_faults.lateMs);
    if (takeOne(m_faults.loseAnswers))
        return CommitFault::LoseAnswer;
    if (takeOne(m_faults.dropCommits))
        return CommitFault::Drop;
    return takeOne(m_faults.lateCommits) ? CommitFault::Late : CommitFault::None;
}

bool TableStandin::commit(const Transaction& transaction)
{
    std::lock_guard lock(m_mutex);
    for (const auto& it : transaction.preconditions) {
        auto row = m_rows.find(it.key);
        if ((row == m_rows.end() ? 0 : row->second.version) != it.version) {
            ++m_conflicts;
            return false;
        }
    }
    for (const auto& it : transaction.writes) {
        auto& row = m_rows[it.key];
        row = { it.key, it.value, row.version + 1 };
    }
    ++m_commits;
    return true;
}

void TableStandin::commitLate(const Transaction& transaction, milliseconds delay)
{
    std::lock_guard lock(m_mutex);
    m_lateCommits.emplace_back([this, transaction, delay] {
        if (m_server.sleep(delay))
            commit(transaction);
    });
}

bool TableStandin::setFaults(const Json& json)
{
    auto faults = decodeFaults<TableFaults>(json);
    if (!faults)
        return false;
    {
        std::lock_guard lock(m_mutex);
        m_faults = *faults;
    }
    applyDown(m_server, faults->down);
    return true;
}

Json TableStandin::counters() const
{
    std::lock_guard lock(m_mutex);
    return { { "reads", m_reads }, { "commits", m_commits }, { "conflicts", m_conflicts }, { "rows", m_rows.size() } };
}

ObjectStandin::ObjectStandin(std::string address)
    : m_server(std::move(address), [this](httplib::Server& server) { install(server); })
{
}

void ObjectStandin::delay()
{
    milliseconds time {};
    {
        std::lock_guard lock(m_mutex);
        time = milliseconds(m_faults.delayMs);
    }
    m_server.sleep(time);
}

void ObjectStandin::install(httplib::Server& server)
{
    server.Put("/objects/(.+)", [this](const httplib::Request& request, httplib::Response& response) {
        delay();
        std::lock_guard lock(m_mutex);
        ++m_puts;
        m_objects[request.matches[1]] = request.body;
        answerJson(response, "{}");
    });
    server.Get("/objects/(.+)", [this](const httplib::Request& request, httplib::Response& response) {
        delay();
        std::lock_guard lock(m_mutex);
        auto it = m_objects.find(request.matches[1]);
        if (it == m_objects.end())
            return answerError(response, 404, "no such object");
        response.set_content(it->second, "application/octet-stream");
    });
    server.Get("/objects", [this](const httplib::Request& request, httplib::Response& response) {
        delay();
        auto prefix = request.get_param_value("prefix");
        Json names = Json::array();
        std::lock_guard lock(m_mutex);
        for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.starts_with(prefix); ++it)
            names.push_back(it->first);
        answerJson(response, Json { { "names", std::move(names) } }.dump());
    });
}

bool ObjectStandin::setFaults(const Json& json)
{
    auto faults = decodeFaults<ObjectFaults>(json);
    if (!faults)
        return false;
    {
        std::lock_guard lock(m_mutex);
        m_faults = *faults;
    }
    applyDown(m_server, faults->down);
    return true;
}

Json ObjectStandin::counters() const
{
    std::lock_guard lock(m_mutex);
    return { { "puts", m_puts }, { "objects", m_objects.size() } };
}

HostListStandin::HostListStandin(std::string address, std::vector<HostEntry> hosts)
    : m_hosts(std::move(hosts))
    , m_server(std::move(address), [this](httplib::Server& server) { install(server); })
{
}

void HostListStandin::install(httplib::Server& server)
{
    server.Get("/hosts", [this](const httplib::Request&, httplib::Response& response) {
        std::unique_lock lock(m_mutex);
        auto time = milliseconds(m_faults.delayMs);
        auto hosts = m_faults.stale ? m_frozen : current();
        lock.unlock();
        m_server.sleep(time);
        Json list = Json::array();
        for (const auto& it : hosts)
            list.push_back(hostJson(it));
        answerJson(response, Json { { "hosts", std::move(list) } }.dump());
    });
}

// The lock is held.
std::vector<HostEntry> HostListStandin::current() const
{
    std::vector<HostEntry> hosts;
    for (auto it : m_hosts) {
        it.leaving = it.leaving || contains(m_faults.leaving, it.name);
        if (!contains(m_faults.missing, it.name))
            hosts.push_back(std::move(it));
    }
    return hosts;
}

bool HostListStandin::setFaults(const Json& json)
{
    auto faults = decodeFaults<HostFaults>(json);
    if (!faults)
        return false;
    {
        std::lock_guard lock(m_mutex);
        if (!m_faults.stale)
            m_frozen = current();
        m_faults = *faults;
    }
    applyDown(m_server, faults->down);
    return true;
}

Json HostListStandin::counters() const
{
    std::lock_guard lock(m_mutex);
    return { { "hosts", m_hosts.size() } };
}

} // namespace jacinthspindle::standins
