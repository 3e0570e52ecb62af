// The status document.

#include "daemon/StatusText.h"

#include <nlohmann/json.hpp>

namespace jacinthspindle::daemon {

namespace {

    const char* stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return "alive";
        case MemberState::Leaving:
            return "leaving";
        case MemberState::Suspect:
            return "suspect";
        case MemberState::Dead:
            break;
        }
        return "dead";
    }

} // namespace

std::string statusJson(const StatusFigures& figures)
{
    using Json = nlohmann::json;
    Json members = Json::array();
    for (const auto& it : *figures.members) {
        members.push_back({ { "host", it.host.value() }, { "dataCentre", it.dataCentre.value() },
            { "address", it.address }, { "state", stateName(it.state) }, { "incarnation", it.incarnation } });
    }
    Json table = nullptr;
    if (figures.table) {
        table = { { "revision", figures.table->revision }, { "digest", figures.table->digest },
            { "ageMs", figures.tableAgeMs }, { "workspaces", figures.table->workspaces.size() },
            { "routes", figures.table->routes.size() }, { "endpoints", figures.table->endpoints.size() } };
    }
    Json json = { { "host", figures.identity.host.value() }, { "incarnation", figures.identity.incarnation },
        { "dataCentre", figures.dataCentre.value() }, { "phase", phaseName(figures.phase) },
        { "ready", figures.isReady }, { "requestsInProgress", figures.requestsInProgress },
        { "controlQueue", figures.queueLength }, { "table", std::move(table) },
        { "tablePoller", figures.isTablePoller }, { "platformUp", figures.isPlatformUp },
        { "superseded", figures.isSuperseded }, { "members", std::move(members) },
        { "nextTraceSequence", figures.nextTraceSequence } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace jacinthspindle::daemon
