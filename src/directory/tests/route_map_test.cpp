#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "directory/route_map.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace bilberrytally::directory;

namespace
{
route make_route(
    const std::string& name, const std::string& host, const std::string& prefix,
    std::vector<service_share> shares)
{
    route result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    result.shares = std::move(shares);
    return result;
}
} // namespace

TEST_CASE("the route with the longest matching prefix of the host is chosen")
{
    route_map routes;
    routes.replace(
        {make_route("a", "h.example", "/x/", {{"short", 1}}),
         make_route("b", "h.example", "/x/y/", {{"long", 1}}),
         make_route("c", "other.example", "/x/", {{"other", 1}})},
        1);
    CHECK(routes.choose("h.example", "/x/1").service == "short");
    CHECK(routes.choose("h.example", "/x/y/1").service == "long");
    CHECK(routes.choose("H.Example:80", "/x/y/1").service == "long");
    CHECK(routes.choose("other.example", "/x/y/1").service == "other");
    CHECK(routes.choose("h.example", "/x").matched_route == nullptr);
    CHECK(routes.choose("h.example", "/z?p=/x/").matched_route == nullptr);
    CHECK(routes.choose("none.example", "/x/1").matched_route == nullptr);
}

TEST_CASE("each service of a split gets its exact share in one round")
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        route_map routes;
        routes.replace(
            {make_route("a", "h", "/", {{"big", 90}, {"small", 10}})}, seed);
        std::map<std::string, int> counts;
        for (int i = 0; i < 100; ++i)
        {
            ++counts[routes.choose("h", "/1").service];
        }
        CHECK(counts["big"] == 90);
        CHECK(counts["small"] == 10);
    }
}

TEST_CASE(
    "an unchanged route keeps its round-robin state when routes are replaced")
{
    const auto kept = make_route("a", "h", "/", {{"one", 1}, {"two", 1}});
    route_map routes;
    routes.replace({kept}, 1);
    const auto first = routes.choose("h", "/").service;
    routes.replace({kept, make_route("b", "g", "/", {{"x", 1}})}, 1);
    CHECK(routes.choose("h", "/").service != first);
    CHECK(routes.size() == 2);
}
