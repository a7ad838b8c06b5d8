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
//! The route and service that a request goes to.
struct route_choice
{
    std::shared_ptr<const route> way;
    std::string service;
};

//! Finds routes by host and longest path prefix, and deals the requests of a
//! route to its services by their weights.
class route_map
{
public:
    //! Replaces all routes; a route that did not change keeps its place in
    //! the dealing.
    void replace(const std::vector<route>& routes, std::uint64_t seed);

    //! Nothing in \c way where no route matches.
    route_choice choose(std::string_view host, std::string_view path);

    std::size_t size() const;

private:
    //! Smooth weighted round robin: the exact shares over any short span.
    struct dealing
    {
        std::shared_ptr<const route> way;
        std::vector<std::int64_t> credit;
    };

    static dealing make_dealing(const route& way, std::uint64_t seed);
    static std::size_t deal(dealing& entry);
    dealing* find(std::string_view host, std::string_view path);

    //! Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<dealing>> hosts;
};
} // namespace bilberrytally::directory
