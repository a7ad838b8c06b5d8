#pragma once

#include "http/http_server.hpp"
#include "node/internal/caller_side.hpp"
#include "node/internal/document_gossip.hpp"
#include "node/internal/node_tables.hpp"
#include "node/internal/target_side.hpp"

#include <nlohmann/json.hpp>

#include <functional>

namespace bilberrytally::node
{
//! The administration API: reader and operator roles by bearer token, JSON
//! responses, RFC 9457 problem documents, metrics in the Prometheus text
//! format.
class admin_api
{
public:
    admin_api(
        node_tables& tables, caller_side& outbound_calls,
        target_side& inbound_calls, document_gossip& gossip,
        transport::peer_network& network,
        std::function<bool(bool)> set_draining);

    void on_request(const http::request& request, const http::respond& respond);

private:
    enum class role
    {
        none,
        reader,
        operators,
    };

    role role_of(const http::request& request) const;
    http::response handle_read(const http::request& request);
    http::response handle_change(const http::request& request);
    nlohmann::json status();
    nlohmann::json tickets();
    nlohmann::json targets_of_services();
    nlohmann::json calls();
    nlohmann::json quarantine();
    nlohmann::json timeline(const std::string& query);
    http::response expose_metrics();
    http::response set_partitioned_ports(const std::string& body);

    node_tables& tables;
    caller_side& outbound_calls;
    target_side& inbound_calls;
    document_gossip& gossip;
    transport::peer_network& network;
    std::function<bool(bool)> set_draining;
};
} // namespace bilberrytally::node
