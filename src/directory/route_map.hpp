#pragma once

#include "directory/fleet_configuration.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberrytally::directory
{
//! The route that a request matched and the service that receives it.
struct route_choice
{
    //! Null if no route matches.
    std::shared_ptr<const route> matched_route;
    std::string service;
};

//! Finds routes by host and longest path prefix, and distributes the requests
//! of a route over its services by their weights.
class route_map
{
public:
    //! Replaces all routes. A route that did not change keeps its round-robin
    //! state. \p seed differs between nodes; it sets where the round robin of a
    //! new route starts.
    void replace(const std::vector<route>& routes, std::uint64_t seed);

    //! Matches the host without regard to case and port, and the path without
    //! its query. The route of the result is null if none matches.
    route_choice choose(std::string_view host, std::string_view path);

    //! Number of routes.
    std::size_t size() const;

private:
    //! A route with the state of its smooth weighted round robin, which gives
    //! each service its exact share in every round. A round has as many
    //! requests as the sum of the weights.
    struct weighted_route
    {
        std::shared_ptr<const route> definition;
        //! Current weight of each share; the largest one is picked next.
        std::vector<std::int64_t> current_weights;
    };

    static weighted_route
    make_weighted_route(const route& definition, std::uint64_t seed);
    //! Index of the share that gets the next request.
    static std::size_t pick_share(weighted_route& entry);
    //! Null if no route matches.
    weighted_route* find(std::string_view host, std::string_view path);

    //! Routes of each host in lower case, longest prefix first.
    std::unordered_map<std::string, std::vector<weighted_route>> hosts;
};
} // namespace bilberrytally::directory
