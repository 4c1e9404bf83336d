// Routes of the desired state: look-up by host and path prefix, split by weight, and replacement of all routes at once.
#define BOOST_TEST_MODULE route
#include "fake/routed_fleet.h"
#include "ticket/route_func.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Returns a route with one service that has the same name.
Route makeRoute(const char *name, const char *host, const char *prefix)
{
    Route route;
    route.name_ = ClassName(name);
    route.host_ = host;
    route.pathPrefix_ = prefix;
    route.weightedServices_ = {WeightedService{ServiceName(name), 1}};
    return route;
}

// Returns the name of the route that matches a request; empty when none does.
std::string matchingRouteName(const RouteTable &table, const char *host, const char *path)
{
    const Route *route = findRoute(table, host, path);
    return route == nullptr ? std::string() : route->name_.value();
}

} // namespace

BOOST_AUTO_TEST_CASE(the_longest_path_prefix_of_the_host_is_used)
{
    RoutingSpec spec;
    spec.routes_ = {makeRoute("all", "a.example", "/"), makeRoute("deep", "a.example", "/x/y/"), makeRoute("mid", "a.example", "/x/"),
                    makeRoute("other", "b.example", "/x/")};
    RouteTable table;
    rebuildRouteIndex(table, spec);
    BOOST_TEST(matchingRouteName(table, "a.example", "/x/y/1") == "deep");
    BOOST_TEST(matchingRouteName(table, "a.example", "/x/1") == "mid");
    BOOST_TEST(matchingRouteName(table, "a.example:8080", "/z") == "all");
    BOOST_TEST(matchingRouteName(table, "b.example", "/x/1") == "other");
    BOOST_TEST(matchingRouteName(table, "b.example", "/y") == "");
    BOOST_TEST(matchingRouteName(table, "c.example", "/x/1") == "");
    // The query is not part of the path.
    BOOST_TEST(matchingRouteName(table, "b.example", "/?/x/") == "");
    BOOST_TEST(matchingRouteName(table, "a.example", "/x?/x/y/") == "all");
}

BOOST_AUTO_TEST_CASE(a_new_desired_state_replaces_all_routes)
{
    RoutingSpec spec;
    spec.routes_ = {makeRoute("old", "a.example", "/old/")};
    RouteTable table;
    rebuildRouteIndex(table, spec);
    spec.routes_ = {makeRoute("new", "a.example", "/new/")};
    rebuildRouteIndex(table, spec);
    BOOST_TEST(matchingRouteName(table, "a.example", "/old/1") == "");
    BOOST_TEST(matchingRouteName(table, "a.example", "/new/1") == "new");
}

BOOST_AUTO_TEST_CASE(calls_are_split_by_weight)
{
    const std::vector<WeightedService> services{{ServiceName("a"), 90}, {ServiceName("b"), 10}, {ServiceName("c"), 0}};
    Random random(5);
    std::map<std::string, int> picked;
    constexpr int Draws = 20000;
    for (int draw = 0; draw < Draws; ++draw) {
        ++picked[pickServiceByWeight(services, random).value()];
    }
    BOOST_TEST(std::abs(picked["b"] / static_cast<double>(Draws) - 0.1) < 0.01);
    BOOST_TEST(picked["c"] == 0);
}

BOOST_AUTO_TEST_CASE(the_first_service_is_used_when_all_weights_are_zero)
{
    const std::vector<WeightedService> services{{ServiceName("a"), 0}, {ServiceName("b"), 0}};
    Random random(5);
    BOOST_TEST(pickServiceByWeight(services, random).value() == "a");
}
