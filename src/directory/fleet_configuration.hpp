#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

//! What a metadata store publishes of the fleet: routes and targets, how they
//! are kept up to date, and the choice of a route and service for a request.
namespace bilberrytally::directory
{
//! A service that takes part of a route's requests.
struct service_share
{
    std::string service;
    //! Share of the requests, relative to the sum over the route.
    std::uint32_t weight{1};

    bool operator==(const service_share&) const = default;
};

//! Requests of one host under one path prefix.
struct route
{
    std::string name;
    std::string host;
    //! Begins and ends with a slash.
    std::string path_prefix;
    //! May run more than once for one request of a caller.
    bool repeatable{false};
    //! The longest time that a caller is kept waiting.
    base::duration_ms timeout;
    //! Answers within this time have their full value for the caller.
    base::duration_ms latency_objective;
    //! Targets to which one request may be sent.
    std::uint32_t max_attempts{1};
    //! 0 is the most important.
    std::uint32_t priority{0};
    //! At least one.
    std::vector<service_share> shares;

    bool operator==(const route&) const = default;
};

//! What the operator sets for a service.
struct service_settings
{
    std::string name;
    std::string health_path;
    //! Connections that one target accepts.
    std::uint32_t max_connections{0};

    bool operator==(const service_settings&) const = default;
};

//! Bounds on what a caller may send.
struct caller_limits
{
    std::uint64_t max_header_bytes{16384};
    std::uint64_t max_body_bytes{1U << 20U};
    base::duration_ms header_timeout{10000};
    base::duration_ms idle_timeout{60000};

    bool operator==(const caller_limits&) const = default;
};

//! The whole configuration under one version.
struct fleet_configuration
{
    std::uint64_t version{0};
    std::vector<route> routes;
    std::vector<service_settings> services;
    caller_limits limits;

    bool operator==(const fleet_configuration&) const = default;
};
} // namespace bilberrytally::directory
