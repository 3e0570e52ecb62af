// Actions, lookups and reads of a plain service.

#include "standins/ServiceStandin.h"

#include <algorithm>
#include <cstdlib>

namespace jacinthspindle::standins {

namespace {

    constexpr const char* keyHeader = "Idempotency-Key";
    constexpr const char* fenceHeader = "X-Fencing-Token";

    void refuseFence(httplib::Response& response)
    {
        response.set_header("X-Fencing-Refused", "true");
        answerError(response, 412, "the fencing token is stale");
    }

} // namespace

ServiceStandin::ServiceStandin(const EndpointRow& row, std::shared_ptr<ServiceRecords> records)
    : m_name(row.endpoint.value())
    , m_capabilities(row.capabilities)
    , m_records(std::move(records))
    , m_server(row.address, [this](httplib::Server& server) { install(server); })
{
}

void ServiceStandin::install(httplib::Server& server)
{
    auto act
        = [this](const httplib::Request& request, httplib::Response& response) { handleAction(request, response); };
    server.Get("/actions/(.+)", [this](const auto& request, auto& response) { handleLookup(request, response); });
    server.Get("/.*", [this](const auto& request, auto& response) { handleRead(request, response); });
    server.Post("/.*", act);
    server.Put("/.*", act);
    server.Patch("/.*", act);
    server.Delete("/.*", act);
}

void ServiceStandin::handleRead(const httplib::Request& request, httplib::Response& response)
{
    auto faults = takeFaults();
    m_server.sleep(milliseconds(faults.delayMs));
    std::lock_guard lock(m_records->mutex);
    ++m_records->reads;
    answerJson(response, Json { { "path", request.path }, { "effects", m_records->effects } }.dump());
}

void ServiceStandin::handleLookup(const httplib::Request& request, httplib::Response& response)
{
    if (!m_capabilities.lookup)
        return answerError(response, 404, "this service keeps no records");
    auto faults = takeFaults();
    std::lock_guard lock(m_records->mutex);
    auto& action = m_records->actions[request.matches[1]];
    if (!takeFence(action, request, faults.ignoreFence))
        return refuseFence(response);
    if (!action.runs)
        return answerError(response, 404, "no such action");
    response.set_header("X-Action-Status", std::to_string(action.status));
    answerJson(response, action.body);
}

bool ServiceStandin::takeFence(ServiceRecords::Action& action, const httplib::Request& request, bool ignoresFence) const
{
    auto fence = std::strtoull(request.get_header_value(fenceHeader).c_str(), nullptr, 10);
    bool isStale = fence < action.fence;
    action.fence = std::max<uint64_t>(action.fence, fence);
    return !isStale || !m_capabilities.fencing || ignoresFence;
}

// The lock of the records is held.
void ServiceStandin::runAction(ServiceRecords::Action& action, const httplib::Request& request)
{
    ++action.runs;
    ++m_records->effects;
    action.status = 201;
    action.body = Json { { "booking", m_records->effects }, { "path", request.path }, { "runs", action.runs } }.dump();
}

void ServiceStandin::handleAction(const httplib::Request& request, httplib::Response& response)
{
    auto faults = takeFaults();
    if (!m_server.sleep(milliseconds(faults.delayMs)))
        return;
    if (faults.dropCalls)
        return StandinServer::dropConnection(request);
    ServiceRecords::Action answer;
    {
        std::lock_guard lock(m_records->mutex);
        // An action without a key cannot be told from others and is recorded under its own name.
        auto key = request.get_header_value(keyHeader);
        auto& action = m_records->actions[key.empty() ? "unnamed-" + std::to_string(m_records->effects) : key];
        if (!takeFence(action, request, faults.ignoreFence))
            return refuseFence(response);
        if (!m_capabilities.dedup || !action.runs)
            runAction(action, request);
        answer = action;
    }
    if (faults.loseAnswers)
        return StandinServer::dropConnection(request);
    if (faults.errorsAfterEffect)
        return answerError(response, 500, "an error after the effect");
    answerJson(response, answer.body, answer.status);
}

// Returns the faults of one call: each count is 1 when the fault is due, else 0.
ServiceFaults ServiceStandin::takeFaults()
{
    std::lock_guard lock(m_mutex);
    auto faults = m_faults;
    faults.dropCalls = takeOne(m_faults.dropCalls);
    faults.loseAnswers = !faults.dropCalls && takeOne(m_faults.loseAnswers);
    faults.errorsAfterEffect = !faults.dropCalls && !faults.loseAnswers && takeOne(m_faults.errorsAfterEffect);
    return faults;
}

bool ServiceStandin::setFaults(const Json& json)
{
    auto faults = decodeFaults<ServiceFaults>(json);
    if (!faults)
        return false;
    {
        std::lock_guard lock(m_mutex);
        m_faults = *faults;
    }
    if (faults->down)
        m_server.stop();
    else
        m_server.start();
    return true;
}

Json ServiceStandin::counters() const
{
    std::lock_guard lock(m_records->mutex);
    Json runs = Json::object();
    for (const auto& [key, action] : m_records->actions) {
        if (action.runs)
            runs[key] = action.runs;
    }
    return { { "effects", m_records->effects }, { "reads", m_records->reads }, { "runs", std::move(runs) } };
}

} // namespace jacinthspindle::standins
