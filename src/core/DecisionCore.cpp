// Applies inputs to the state of the decision core.

#include "spindlecore/DecisionCore.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace jacinthspindle {

namespace {

    constexpr uint32_t maxAttempts = 4;
    constexpr Duration shortestRetryAfter = std::chrono::milliseconds(500);
    constexpr Duration retryAfterSpread = std::chrono::milliseconds(1500);

    struct ActiveRequest {
        RequestArrived arrival;
        Instant deadline {};
        uint32_t attempt = 0;
        Chain chain;
        std::set<EndpointId> avoid; // Endpoints at fault in earlier attempts.
    };

    struct EndpointState {
        uint32_t inFlight = 0;
        std::map<EndpointStateSource, EndpointLife> seen;
    };

} // namespace

class DecisionCore::Impl {
public:
    explicit Impl(const CoreConfig& config)
        : m_config(config)
        , m_random(config.seed)
    {
    }

    void apply(Instant now, const RequestArrived& input, std::vector<CoreDecision>& decisions)
    {
        if (m_requests.contains(input.request))
            return;
        auto refuse = [&](ResultCode code) {
            uint64_t revision = m_table ? m_table->revision : 0;
            decisions.push_back(Refuse { input.request, code, retryAfter(), revision });
        };
        if (!m_table)
            return refuse(ResultCode::TableNotReady);
        if (m_refuseNew)
            return refuse(ResultCode::ShuttingDown);
        const auto* route = m_table->findRoute(input.route);
        if (!route)
            return refuse(ResultCode::RouteUnknown);
        bool mayUse = route->workspaces.empty()
            || std::find(route->workspaces.begin(), route->workspaces.end(), input.workspace)
                != route->workspaces.end();
        if (!m_table->findWorkspace(input.workspace) || !mayUse)
            return refuse(ResultCode::WorkspaceUnknown);
        ActiveRequest request;
        request.arrival = input;
        request.deadline = now + (input.deadline > Duration::zero() ? input.deadline : Duration(route->deadline));
        if (!planChain(*route, request))
            return refuse(ResultCode::NoChain);
        dispatch(request, input.firstPosition, decisions);
        m_requests.emplace(input.request, std::move(request));
    }

    void apply(Instant now, const AttemptFailed& input, std::vector<CoreDecision>& decisions)
    {
        auto it = m_requests.find(input.request);
        if (it == m_requests.end() || it->second.attempt != input.attempt)
            return;
        auto& request = it->second;
        release(request);
        if (!input.endpoint.isEmpty())
            request.avoid.insert(input.endpoint);
        auto code = ResultCode::Ok;
        const auto* route = m_table->findRoute(request.arrival.route);
        if (!input.mayRepeat)
            code = ResultCode::EndpointFailed;
        else if (now >= request.deadline)
            code = ResultCode::DeadlineExceeded;
        else if (input.attempt >= maxAttempts || !route || !planChain(*route, request))
            code = ResultCode::AttemptsExhausted;
        if (code == ResultCode::Ok)
            return dispatch(request, input.position, decisions);
        decisions.push_back(Abandon { input.request, input.attempt, code, retryAfter() });
        m_requests.erase(it);
    }

    void apply(Instant, const RequestFinished& input, std::vector<CoreDecision>&) { remove(input.request); }
    void apply(Instant, const CallerGone& input, std::vector<CoreDecision>&) { remove(input.request); }
    void apply(Instant, const TableAdopted& input, std::vector<CoreDecision>&) { m_table = input.table; }
    void apply(Instant, const DrainStarted& input, std::vector<CoreDecision>&) { m_refuseNew = input.refuseNew; }
    void apply(Instant, const EndpointStateSeen& input, std::vector<CoreDecision>&)
    {
        m_endpoints[input.endpoint].seen[input.source] = input.life;
    }
    template <typename Input> void apply(Instant, const Input&, std::vector<CoreDecision>&) { }

private:
    Duration retryAfter()
    {
        auto spread = static_cast<uint64_t>(retryAfterSpread.count());
        return shortestRetryAfter + Duration(static_cast<int64_t>(m_random() % spread));
    }

    bool mayServe(const EndpointRow& row, const ActiveRequest& request)
    {
        if (row.state != AdminState::Active || request.avoid.contains(row.endpoint))
            return false;
        const auto& seen = m_endpoints[row.endpoint].seen;
        return std::all_of(seen.begin(), seen.end(), [](const auto& it) { return it.second == EndpointLife::Serving; });
    }

    // Sets the chain of a request; each next stage is the endpoint with the least own work per slot.
    bool planChain(const RouteRow& route, ActiveRequest& request)
    {
        Chain chain;
        uint32_t reached = 0;
        do {
            const EndpointRow* best = nullptr;
            for (const auto& row : m_table->endpoints) {
                if (serves(row, route, reached) && mayServe(row, request) && (!best || isLessLoaded(row, *best)))
                    best = &row;
            }
            if (!best)
                return false;
            LayerRange layers { reached, std::min(best->layers.end, route.layers) };
            chain.push_back({ best->endpoint, layers });
            reached = layers.end;
        } while (reached < route.layers);
        request.chain = std::move(chain);
        return true;
    }

    static bool serves(const EndpointRow& row, const RouteRow& route, uint32_t reached)
    {
        if (row.target != route.target)
            return false;
        if (route.kind == RouteKind::Service)
            return row.kind == EndpointKind::Service;
        bool hasAdapter = route.adapter.empty()
            || std::find(row.adapters.begin(), row.adapters.end(), route.adapter) != row.adapters.end();
        return row.kind == EndpointKind::Engine && row.version == route.version && hasAdapter
            && row.layers.contains(reached);
    }

    bool isLessLoaded(const EndpointRow& a, const EndpointRow& b)
    {
        return uint64_t(m_endpoints[a.endpoint].inFlight) * b.slots
            < uint64_t(m_endpoints[b.endpoint].inFlight) * a.slots;
    }

    void dispatch(ActiveRequest& request, uint32_t position, std::vector<CoreDecision>& decisions)
    {
        ++request.attempt;
        for (const auto& it : request.chain)
            ++m_endpoints[it.endpoint].inFlight;
        decisions.push_back(
            Dispatch { request.arrival.request, request.attempt, request.chain, 0, position, m_table->revision });
    }

    void release(ActiveRequest& request)
    {
        for (const auto& it : request.chain)
            --m_endpoints[it.endpoint].inFlight;
        request.chain.clear();
    }

    void remove(const RequestId& id)
    {
        auto it = m_requests.find(id);
        if (it == m_requests.end())
            return;
        release(it->second);
        m_requests.erase(it);
    }

    CoreConfig m_config;
    std::mt19937_64 m_random;
    std::shared_ptr<const Table> m_table;
    bool m_refuseNew = false;
    std::map<RequestId, ActiveRequest> m_requests;
    std::map<EndpointId, EndpointState> m_endpoints;
};

DecisionCore::DecisionCore(const CoreConfig& config)
    : m_impl(std::make_unique<Impl>(config))
{
}

DecisionCore::~DecisionCore() = default;

void DecisionCore::apply(Instant now, const CoreInput& input, std::vector<CoreDecision>& decisions)
{
    std::visit([&](const auto& it) { m_impl->apply(now, it, decisions); }, input);
}

} // namespace jacinthspindle
