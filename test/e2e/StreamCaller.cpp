// Callers over cpp-httplib.

#include "e2e/StreamCaller.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace jacinthspindle::e2e {

namespace {

    using Json = nlohmann::json;

    httplib::Client clientOf(const std::string& address, milliseconds timeout)
    {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        client.set_tcp_nodelay(true);
        return client;
    }

    CallAnswer answerOf(const httplib::Result& result)
    {
        if (!result)
            return {};
        CallAnswer answer { result->status, result->body, {} };
        auto json = Json::parse(result->body, nullptr, false);
        if (json.is_object() && json.contains("ran"))
            answer.ran = json["ran"].get<std::string>();
        return answer;
    }

} // namespace

StreamCaller::StreamCaller(const std::string& address, StreamQuery query)
    : m_thread([this, address, query = std::move(query)] { run(address, query); })
{
}

StreamCaller::~StreamCaller()
{
    m_thread.join();
}

void StreamCaller::run(const std::string& address, const StreamQuery& query)
{
    Json body { { "model", query.route }, { "prompt", query.prompt }, { "max_tokens", query.tokens },
        { "stream", true } };
    if (query.seed)
        body["seed"] = *query.seed;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body.dump();
    request.headers = { { "Content-Type", "application/json" }, { "X-Workspace", query.workspace } };
    if (!query.lastEventId.empty())
        request.headers.emplace("Last-Event-ID", query.lastEventId);
    request.response_handler = [this](const httplib::Response& response) {
        std::lock_guard lock(m_mutex);
        m_status = response.status;
        return true;
    };
    request.content_receiver = [this](const char* data, size_t n, uint64_t, uint64_t) {
        takeBytes({ data, n });
        return true;
    };
    auto client = clientOf(address, waitLimit);
    client.send(request);
    std::lock_guard lock(m_mutex);
    if (m_status != 200)
        m_problem += m_buffer;
    m_hasEnded = true;
    m_changed.notify_all();
}

void StreamCaller::takeBytes(const std::string& bytes)
{
    std::lock_guard lock(m_mutex);
    m_buffer += bytes;
    for (auto end = m_buffer.find("\n\n"); end != std::string::npos; end = m_buffer.find("\n\n")) {
        takeEvent(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 2);
    }
    m_changed.notify_all();
}

// The lock is held.
void StreamCaller::takeEvent(const std::string& event)
{
    std::string id;
    std::string data;
    for (size_t start = 0; start < event.size();) {
        size_t end = std::min(event.find('\n', start), event.size());
        auto line = event.substr(start, end - start);
        if (line.starts_with("id: "))
            id = line.substr(4);
        if (line.starts_with("data: "))
            data = line.substr(6);
        start = end + 1;
    }
    if (data == "[DONE]") {
        m_isWhole = true;
        return;
    }
    auto json = Json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("choices")) {
        m_problem += event + "\n";
        return;
    }
    auto text = json["choices"][0].value("text", "");
    if (!text.empty())
        m_tokens.push_back({ id, text });
}

bool StreamCaller::waitForTokens(size_t n)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, waitLimit, [&] { return m_tokens.size() >= n; });
}

bool StreamCaller::waitForEnd()
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, waitLimit, [this] { return m_hasEnded; });
}

bool StreamCaller::isWhole() const
{
    std::lock_guard lock(m_mutex);
    return m_isWhole;
}

int StreamCaller::status() const
{
    std::lock_guard lock(m_mutex);
    return m_status;
}

std::vector<ReceivedToken> StreamCaller::tokens() const
{
    std::lock_guard lock(m_mutex);
    return m_tokens;
}

std::string StreamCaller::text() const
{
    std::string text;
    for (const auto& it : tokens())
        text += it.text;
    return text;
}

std::string StreamCaller::lastEventId() const
{
    std::lock_guard lock(m_mutex);
    return m_tokens.empty() ? std::string() : m_tokens.back().id;
}

std::string StreamCaller::problem() const
{
    std::lock_guard lock(m_mutex);
    return m_problem;
}

CallAnswer callAction(const std::string& address, const std::string& key, milliseconds timeout)
{
    auto client = clientOf(address, timeout);
    return answerOf(
        client.Post("/r/loan-actions/bookings", { { "X-Workspace", "schools-board" }, { "Idempotency-Key", key } },
            R"({"item":"canopy kit","card":"1174"})", "application/json"));
}

CallAnswer get(const std::string& address, const std::string& path, milliseconds timeout)
{
    auto client = clientOf(address, timeout);
    return answerOf(client.Get(path, { { "X-Workspace", "schools-board" } }));
}

} // namespace jacinthspindle::e2e
