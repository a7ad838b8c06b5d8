#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

//! The routes and targets of a fleet as a metadata store publishes them: their
//! types, the watch that keeps them up to date, and the choice of a route and
//! service for a request.
namespace bilberrytally::directory
{
//! A service that receives a share of a route's requests.
struct service_share
{
    std::string service;
    //! Share of the requests, relative to the sum of the route's weights.
    std::uint32_t weight{1};

    bool operator==(const service_share&) const = default;
};

//! Rules for the requests to one host under one path prefix.
struct route
{
    std::string name;
    std::string host;
    //! Starts and ends with a slash.
    std::string path_prefix;
    //! Idempotent: may run more than once for one request of a caller.
    bool repeatable{false};
    //! Longest time that a caller waits for a response.
    base::duration_ms timeout;
    //! Response time that the route aims for. A later response is still sent,
    //! up to the timeout.
    base::duration_ms latency_objective;
    //! Attempts for one request, the first one included.
    std::uint32_t max_attempts{1};
    //! Priority class; 0 is the most important. The priority of a workspace
    //! takes precedence.
    std::uint32_t priority{0};
    //! Requests need no access key, even where the configuration has
    //! workspaces.
    bool anonymous{false};
    //! Services that share the requests; at least one.
    std::vector<service_share> shares;

    bool operator==(const route&) const = default;
};

//! Settings of a service, made by the operator.
struct service_settings
{
    std::string name;
    std::string health_path;
    //! Connections that one target of the service accepts.
    std::uint32_t max_connections{0};

    bool operator==(const service_settings&) const = default;
};

//! SHA-256 digest of an access key.
using key_digest = std::array<std::uint8_t, 32>;

//! A workspace: callers that share access keys, a priority and a quota.
struct workspace
{
    std::string name;
    std::vector<key_digest> keys;
    //! Priority class of its requests; that of the route if absent.
    std::optional<std::uint32_t> priority;
    //! Requests a second that it may send to the whole fleet; 0 for no limit.
    double rate_per_s{0};
    //! Requests that it may send at once beyond its rate.
    double burst{0};

    bool operator==(const workspace&) const = default;
};

//! Limits on the requests and connections of callers.
struct caller_limits
{
    std::uint64_t max_header_bytes{16384};
    std::uint64_t max_body_bytes{1U << 20U};
    base::duration_ms header_timeout{10000};
    base::duration_ms idle_timeout{60000};

    bool operator==(const caller_limits&) const = default;
};

//! The complete configuration of a fleet at one version.
struct fleet_configuration
{
    std::uint64_t version{0};
    std::vector<route> routes;
    std::vector<service_settings> services;
    //! Without workspaces no request needs an access key.
    std::vector<workspace> workspaces;
    caller_limits limits;

    bool operator==(const fleet_configuration&) const = default;
};
} // namespace bilberrytally::directory
