// Tests of route lookup by host and prefix, and of the traffic split between services.

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <spindlecore/RoutingConfiguration.h>

using namespace jacinthspindle;

namespace {

RouteSettings route(const std::string& name, const std::string& host, const std::string& prefix)
{
    RouteSettings settings;
    settings.route = RouteId(name);
    settings.host = host;
    settings.prefix = prefix;
    settings.shares = { { "assistant", 1 } };
    return settings;
}

std::string routeNameFor(const RouteIndex& index, std::string_view host, std::string_view path)
{
    const auto* it = index.find(host, path);
    return it ? it->route.value() : "none";
}

} // namespace

TEST_CASE("the route with the longest prefix of whole path segments matches, within its host")
{
    RoutingConfiguration configuration;
    configuration.routes = { route("root", "a.example", "/"), route("short", "a.example", "/loans/"),
        route("long", "a.example", "/loans/urgent/"), route("other", "b.example", "/loans/") };
    RouteIndex index(configuration);
    CHECK(routeNameFor(index, "a.example", "/loans/1") == "short");
    CHECK(routeNameFor(index, "a.example", "/loans/urgent/1") == "long");
    CHECK(routeNameFor(index, "a.example", "/loans/urgently") == "short");
    CHECK(routeNameFor(index, "a.example", "/loans") == "root");
    CHECK(routeNameFor(index, "a.example", "/x?next=/loans/") == "root");
    CHECK(routeNameFor(index, "b.example", "/loans/") == "other");
    CHECK(routeNameFor(index, "b.example", "/") == "none");
    CHECK(routeNameFor(index, "c.example", "/loans/") == "none");
    CHECK(routeNameFor(index, "a.example", "no-slash") == "none");
}

TEST_CASE("traffic is split by weight, and a request identifier always maps to the same service")
{
    auto split = route("split", "a.example", "/");
    split.shares = { { "old", 90 }, { "new", 10 } };
    std::map<std::string, int> counts;
    for (int i = 0; i < 2000; ++i) {
        RequestId id("request-" + std::to_string(i));
        const auto& service = chooseService(split, id);
        CHECK(chooseService(split, id) == service);
        ++counts[service];
    }
    // Three standard deviations (of 13.4 each) around the mean of 200.
    CHECK(counts["new"] > 160);
    CHECK(counts["new"] < 240);
}

TEST_CASE("a service of weight zero receives no requests")
{
    auto split = route("split", "a.example", "/");
    split.shares = { { "none", 0 }, { "all", 3 } };
    for (int i = 0; i < 100; ++i)
        CHECK(chooseService(split, RequestId(std::to_string(i))) == "all");
}

TEST_CASE("requests to a model whose routes differ in priority rank by workspace and then by route")
{
    RoutingConfiguration configuration;
    configuration.services = { { "model", ModelLayout {} }, { "plain", std::nullopt }, { "even", ModelLayout {} } };
    auto add = [&](const char* name, const char* service, uint8_t priority) {
        RouteSettings route;
        route.route = RouteId(name);
        route.shares = { { service, 1 } };
        route.priority = priority;
        configuration.routes.push_back(route);
    };
    add("urgent", "model", 0);
    add("patient", "model", 2);
    add("first", "plain", 0);
    add("second", "plain", 1);
    add("third", "even", 1);
    add("fourth", "even", 1);
    const WorkspaceId none("none");
    const WorkspaceId high("high");
    const WorkspaceId low("low");
    configuration.workspaces = { none, high, low };
    configuration.workspacePriorities = { { high, 0 }, { low, 1 } };
    RequestRanks ranks(configuration);
    const auto& urgent = configuration.routes[0];
    const auto& patient = configuration.routes[1];
    CHECK(ranks.models() == 1);
    CHECK(ranks.find("model", urgent, high) == 0);
    CHECK(ranks.find("model", patient, high) == 1);
    CHECK(ranks.find("model", urgent, low) == 2);
    CHECK(ranks.find("model", patient, low) == 3);
    CHECK(ranks.find("model", urgent, none) == 0);
    CHECK(ranks.find("model", patient, none) == 4);
    // A workspace that this configuration does not hold comes last.
    auto other = patient;
    other.priority = 9;
    CHECK(ranks.find("model", other, low) == RequestRanks::maxRanks - 1);
    CHECK_FALSE(ranks.find("plain", configuration.routes[2], high));
    CHECK_FALSE(ranks.find("even", configuration.routes[4], low));
}
