// The platform's ports over HTTP.

#include "spindleadapters/HttpPlatform.h"

#include "HttpExchange.h"
#include "JsonFields.h"
#include "spindleadapters/internal/Base64.h"

namespace jacinthspindle {

namespace {

    using internal::exchange;
    using internal::HttpAnswer;
    using internal::HttpCall;
    using internal::Json;
    using std::chrono::milliseconds;

    constexpr const char* jsonType = "application/json";
    constexpr const char* bytesType = "application/octet-stream";

    HttpAnswer get(const std::string& address, const std::string& path, milliseconds timeout)
    {
        HttpCall call;
        call.address = address;
        call.method = "GET";
        call.path = path;
        call.timeout = timeout;
        call.isIdempotent = true;
        return exchange(call);
    }

    StoredRow rowOf(const Json& json)
    {
        StoredRow row;
        row.key = internal::textOf(json, "key");
        auto value = internal::decodeBase64(internal::textOf(json, "value"));
        if (!value)
            throw internal::JsonError("the value is not base64");
        row.value = std::move(*value);
        row.version = internal::numberOf<uint64_t>(json, "version");
        if (!row.version)
            throw internal::JsonError("a stored row has a version above 0");
        return row;
    }

    std::optional<StoredRow> decodeRow(const std::string& body)
    {
        return internal::decodeJson(body, rowOf);
    }

    std::optional<std::vector<StoredRow>> decodeRows(const std::string& body)
    {
        return internal::decodeJson(body, [](const Json& json) {
            std::vector<StoredRow> rows;
            for (const auto& it : internal::listOf(json, "rows"))
                rows.push_back(rowOf(it));
            return rows;
        });
    }

    // Whether the rows are an answer to the scan.
    bool isScanAnswer(
        const std::vector<StoredRow>& rows, const std::string& prefix, const std::string& after, uint32_t limit)
    {
        const std::string* previous = &after;
        for (const auto& it : rows) {
            if (!it.key.starts_with(prefix) || it.key <= *previous)
                return false;
            previous = &it.key;
        }
        return rows.size() <= limit;
    }

    std::optional<std::string> encodeTransaction(const Transaction& transaction)
    {
        Json preconditions = Json::array();
        for (const auto& it : transaction.preconditions)
            preconditions.push_back({ { "key", it.key }, { "version", it.version } });
        Json writes = Json::array();
        for (const auto& it : transaction.writes)
            writes.push_back({ { "key", it.key }, { "value", internal::encodeBase64(it.value) } });
        return internal::dumpJson({ { "preconditions", std::move(preconditions) }, { "writes", std::move(writes) } });
    }

    HostKind hostKindOf(const std::string& name)
    {
        if (name == "entry")
            return HostKind::Entry;
        if (name == "endpoint")
            return HostKind::Endpoint;
        throw internal::JsonError("unknown kind of host");
    }

    HostEntry hostOf(const Json& json)
    {
        HostEntry host;
        host.kind = hostKindOf(internal::textOf(json, "kind"));
        host.name = internal::textOf(json, "name");
        host.dataCentre = DataCentreId(internal::textOf(json, "dataCentre"));
        if (host.kind == HostKind::Entry) {
            host.peerAddress = internal::textOf(json, "peerAddress");
            host.httpAddress = internal::textOf(json, "httpAddress");
        }
        host.leaving = internal::flagOf(json, "leaving");
        return host;
    }

} // namespace

ReadAnswer HttpTableService::read(const std::string& key, milliseconds timeout)
{
    auto answer = get(m_address, internal::withQuery("/table/row", { { "key", key } }), timeout);
    if (answer.isWhole(404))
        return { ReadOutcome::Absent, { key, {}, 0 } };
    if (!answer.isWhole(200))
        return {};
    auto row = decodeRow(answer.body);
    if (!row || row->key != key)
        return {};
    return { ReadOutcome::Found, std::move(*row) };
}

std::optional<std::vector<StoredRow>> HttpTableService::scan(
    const std::string& prefix, const std::string& after, uint32_t limit, milliseconds timeout)
{
    auto path = internal::withQuery(
        "/table/scan", { { "prefix", prefix }, { "after", after }, { "limit", std::to_string(limit) } });
    auto answer = get(m_address, path, timeout);
    if (!answer.isWhole(200))
        return std::nullopt;
    auto rows = decodeRows(answer.body);
    if (!rows || !isScanAnswer(*rows, prefix, after, limit))
        return std::nullopt;
    return rows;
}

CommitOutcome HttpTableService::commit(const Transaction& transaction, milliseconds timeout)
{
    auto body = encodeTransaction(transaction);
    if (!body)
        return CommitOutcome::Unavailable;
    HttpCall call;
    call.address = m_address;
    call.method = "POST";
    call.path = "/table/commit";
    call.contentType = jsonType;
    call.body = std::move(*body);
    call.timeout = timeout;
    auto answer = exchange(call);
    if (answer.delivery == internal::Delivery::NotSent)
        return CommitOutcome::Unavailable;
    if (answer.isWhole(200))
        return CommitOutcome::Committed;
    return answer.isWhole(409) ? CommitOutcome::Conflict : CommitOutcome::Unknown;
}

bool HttpObjectStore::put(const std::string& name, const std::string& bytes, milliseconds timeout)
{
    HttpCall call;
    call.address = m_address;
    call.method = "PUT";
    call.path = "/objects/" + internal::encodePathSegment(name);
    call.contentType = bytesType;
    call.body = bytes;
    call.timeout = timeout;
    call.isIdempotent = true;
    return exchange(call).isWhole(200);
}

std::optional<std::string> HttpObjectStore::get(const std::string& name, milliseconds timeout)
{
    auto answer = jacinthspindle::get(m_address, "/objects/" + internal::encodePathSegment(name), timeout);
    if (!answer.isWhole(200))
        return std::nullopt;
    return std::move(answer.body);
}

std::optional<std::vector<std::string>> HttpObjectStore::list(const std::string& prefix, milliseconds timeout)
{
    auto answer = jacinthspindle::get(m_address, internal::withQuery("/objects", { { "prefix", prefix } }), timeout);
    if (!answer.isWhole(200))
        return std::nullopt;
    return internal::decodeJson(answer.body, [&](const Json& json) {
        std::vector<std::string> names;
        for (const auto& it : internal::listOf(json, "names")) {
            names.push_back(it.get<std::string>());
            if (!names.back().starts_with(prefix))
                throw internal::JsonError("the name has another prefix");
        }
        return names;
    });
}

std::optional<std::vector<HostEntry>> HttpHostList::hosts(milliseconds timeout)
{
    auto answer = get(m_address, "/hosts", timeout);
    if (!answer.isWhole(200))
        return std::nullopt;
    return internal::decodeJson(answer.body, [](const Json& json) {
        std::vector<HostEntry> hosts;
        for (const auto& it : internal::listOf(json, "hosts"))
            hosts.push_back(hostOf(it));
        return hosts;
    });
}

} // namespace jacinthspindle
