// Tests of the estimates by which requests are refused as too late: routes of one service do not shut each other out,
// and no estimate refuses for good.

#include "support/CoreDriver.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>

using namespace jacinthspindle;
using namespace std::chrono_literals;
using test::CoreDriver;

namespace {

// Requests on one route of the service, and the work of a request that is sent at the given time.
struct RouteLoad {
    std::string name;
    Duration interval {};
    Duration timeout {};
    std::function<Duration(Duration at)> work;
    Duration begin {};
    Duration deadline {}; // Of the callers, where it is shorter than the time-out; otherwise 0.
    size_t sent = 0;
    size_t served = 0;
    size_t refused = 0;
};

std::function<Duration(Duration)> constantWork(Duration work)
{
    return [work](Duration) { return work; };
}

Table tableOfOneService()
{
    Table table;
    table.revision = 1;
    WorkspaceRow workspace;
    workspace.workspace = WorkspaceId("school");
    table.workspaces = { workspace };
    RouteRow route;
    route.route = RouteId("catalogue");
    route.kind = RouteKind::Service;
    route.target = "catalogue";
    table.routes = { route };
    for (int i = 0; i < 3; ++i) {
        EndpointRow endpoint;
        endpoint.endpoint = EndpointId("c" + std::to_string(i));
        endpoint.dataCentre = DataCentreId("north");
        endpoint.kind = EndpointKind::Service;
        endpoint.target = "catalogue";
        endpoint.slots = 6;
        table.endpoints.push_back(endpoint);
    }
    table.normalize();
    return table;
}

// Plays the routes of one service, whose endpoints have 18 slots together.
class ServiceSimulation {
public:
    static constexpr Duration step = 10ms;

    explicit ServiceSimulation(std::vector<RouteLoad> loads)
        : routes(std::move(loads))
    {
        m_driver.adopt(tableOfOneService());
    }

    // Requests are counted from countedFrom on.
    void run(Duration time, Duration countedFrom = {})
    {
        for (auto end = m_at + time; m_at < end; m_at += step) {
            for (size_t i = 0; i < routes.size(); ++i) {
                const auto& route = routes[i];
                if (m_at >= route.begin && (m_at - route.begin) % route.interval == Duration::zero())
                    send(i, m_at >= countedFrom);
            }
            endAttempts();
            if (m_at % 100ms == Duration::zero())
                take(m_driver.tick(Duration::zero()));
            m_driver.advance(step);
        }
    }

    std::vector<RouteLoad> routes;

private:
    struct Request {
        size_t route = 0;
        Instant endsAt {}; // Valid once dispatched.
        bool isCounted = false;
        bool isDispatched = false;
        Duration leavesAt {};
    };

    void send(size_t i, bool isCounted)
    {
        auto& route = routes[i];
        auto deadline = route.deadline > Duration::zero() ? route.deadline : route.timeout;
        RequestId id(route.name + '-' + std::to_string(m_next++));
        m_requests[id] = { i, {}, isCounted, false, m_at + deadline };
        route.sent += isCounted;
        RequestArrived arrival { id, WorkspaceId("school"), RouteId("catalogue"), 0, 0, 0, {}, deadline };
        take(m_driver.send(RoutedArrival { arrival, RouteId(route.name), route.timeout }));
    }

    void take(const std::vector<CoreDecision>& decisions)
    {
        for (const auto& it : decisions) {
            if (const auto* dispatch = std::get_if<Dispatch>(&it)) {
                auto& request = m_requests.at(dispatch->request);
                request.isDispatched = true;
                request.endsAt = Instant() + m_at + routes[request.route].work(m_at);
            } else if (const auto* refuse = std::get_if<Refuse>(&it)) {
                auto found = m_requests.find(refuse->request);
                REQUIRE(found != m_requests.end());
                routes[found->second.route].refused += found->second.isCounted;
                m_requests.erase(found);
            }
        }
    }

    void endAttempts()
    {
        std::vector<std::pair<RequestId, bool>> ended;
        for (const auto& [id, it] : m_requests) {
            bool isFinished = it.isDispatched && Instant() + m_at >= it.endsAt;
            if (isFinished || m_at >= it.leavesAt)
                ended.emplace_back(id, isFinished && m_at <= it.leavesAt);
        }
        for (const auto& [id, isServed] : ended) {
            auto request = m_requests.at(id);
            m_requests.erase(id);
            if (isServed)
                routes[request.route].served += request.isCounted;
            take(isServed ? m_driver.finish(id.value()) : m_driver.send(CallerGone { id }));
        }
    }

    CoreDriver m_driver;
    std::map<RequestId, Request> m_requests;
    Duration m_at {};
    size_t m_next = 0;
};

RouteLoad slowRoute()
{
    return { "history", 2000ms, 20s, constantWork(5s) };
}

RouteLoad quickRoute(const std::string& name = "loans")
{
    return { name, 100ms, 1s, constantWork(30ms) };
}

} // namespace

// CONFIG: the average over all requests of a service refused a quick route that was added beside a slow one.
TEST_CASE("a quick route is served whatever slow route of the same service was there before")
{
    std::vector<RouteLoad> routes;
    SUBCASE("slow before quick")
    {
        routes = { slowRoute(), quickRoute() };
        routes.back().begin = 30s;
    }
    SUBCASE("quick before slow")
    {
        routes = { quickRoute(), slowRoute() };
        routes.back().begin = 30s;
    }
    SUBCASE("both at once")
    {
        routes = { slowRoute(), quickRoute() };
    }
    SUBCASE("ten routes")
    {
        routes = { slowRoute() };
        for (int i = 0; i < 9; ++i) {
            routes.push_back(quickRoute("loans-" + std::to_string(i)));
            routes.back().interval = 500ms;
            routes.back().begin = std::chrono::seconds(i * 5);
        }
    }
    ServiceSimulation simulation(routes);
    simulation.run(70s);
    for (const auto& it : simulation.routes) {
        CAPTURE(it.name);
        CHECK(it.refused == 0);
        // The last ones may still run.
        CHECK(it.served + 5 >= it.sent);
    }
}

// CONFIG: an estimate beyond the time-out refused all requests of a route, whose work had become quick again, for good.
TEST_CASE("a route whose requests were slow for a while is served again soon")
{
    RouteLoad varying { "loans", 500ms, 6s, [](Duration at) { return at > 20s && at < 40s ? 5s : Duration(30ms); } };
    std::vector<RouteLoad> routes { varying };
    SUBCASE("alone") { }
    SUBCASE("beside another route that keeps the service busy")
    {
        routes.push_back(slowRoute());
    }
    ServiceSimulation simulation(routes);
    simulation.run(40s, 50s);
    // Callers with little time, whom the estimate refuses, while others no longer come.
    simulation.routes[0].deadline = 1s;
    simulation.run(40s, 50s);
    CHECK(simulation.routes[0].sent == 60);
    CHECK(simulation.routes[0].served + 2 >= simulation.routes[0].sent);
}

TEST_CASE("a route begins anew with another time-out")
{
    auto slow = slowRoute();
    ServiceSimulation simulation({ slow, slow });
    simulation.routes[1].name = "loans";
    simulation.run(30s, 30s);
    simulation.routes[1] = quickRoute();
    simulation.run(10s, 30s);
    CHECK(simulation.routes[1].refused == 0);
    CHECK(simulation.routes[1].served + 5 >= simulation.routes[1].sent);
}

TEST_CASE("requests of a quick route that do not fit beside those of a slow one are refused")
{
    // The slow requests alone fill all slots.
    auto slow = slowRoute();
    slow.interval = 200ms;
    ServiceSimulation simulation({ slow, quickRoute() });
    simulation.run(60s, 30s);
    CHECK(simulation.routes[1].refused > 0);
    CHECK(simulation.routes[1].served + simulation.routes[1].refused + 15 >= simulation.routes[1].sent);
}
