#include "node/internal/admin_api.hpp"

#include "base/hash.hpp"
#include "node/internal/http_mapping.hpp"

#include <algorithm>
#include <charconv>
#include <openssl/crypto.h>
#include <set>

namespace bilberrytally::node
{
namespace
{
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view metrics_path = "/metrics";
constexpr std::uint32_t unauthorized = 401;
constexpr std::uint32_t forbidden = 403;
constexpr std::uint32_t not_found = 404;
constexpr std::uint32_t conflict = 409;
constexpr std::uint32_t bad_request = 400;
constexpr std::uint64_t default_timeline_rows = 1000;
constexpr std::uint64_t max_timeline_rows = 20000;

bool tokens_equal(std::string_view given, std::string_view expected)
{
    return given.size() == expected.size() &&
           CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

http::response json_response(const nlohmann::json& body)
{
    http::response response;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = body.dump();
    return response;
}

std::uint64_t query_number(
    const std::string& query, const std::string& name, std::uint64_t fallback)
{
    const auto position = query.find(name + "=");
    if (position == std::string::npos)
    {
        return fallback;
    }
    std::uint64_t number = fallback;
    const auto* first = query.data() + position + name.size() + 1;
    std::from_chars(first, query.data() + query.size(), number);
    return number;
}
} // namespace

admin_api::admin_api(
    node_tables& tables, caller_side& outbound_calls,
    target_side& inbound_calls, document_gossip& gossip,
    transport::peer_network& network, std::function<bool(bool)> set_draining)
    : tables(tables), outbound_calls(outbound_calls),
      inbound_calls(inbound_calls), gossip(gossip), network(network),
      set_draining(std::move(set_draining))
{
}

admin_api::role admin_api::role_of(const http::request& request) const
{
    const auto header = http::find_header(request.headers, "authorization");
    if (!header.starts_with(bearer))
    {
        return role::none;
    }
    const auto token = header.substr(bearer.size());
    const auto& admin = this->tables.settings.admin;
    if (tokens_equal(token, admin.operator_token))
    {
        return role::operators;
    }
    return tokens_equal(token, admin.reader_token) ? role::reader : role::none;
}

void admin_api::on_request(
    const http::request& request, const http::respond& respond)
{
    if (this->tables.settings.admin.metrics_only)
    {
        respond(
            request.target == metrics_path
                ? this->expose_metrics()
                : make_problem_response(
                      not_found, "not found", "only metrics are served"));
        return;
    }
    const auto role = this->role_of(request);
    if (role == role::none)
    {
        auto response = make_problem_response(
            unauthorized, "unauthorized", "a bearer token is required");
        response.headers.push_back({"WWW-Authenticate", "Bearer"});
        respond(std::move(response));
        return;
    }
    if (request.method == "GET")
    {
        respond(this->handle_read(request));
        return;
    }
    if (role != role::operators)
    {
        respond(make_problem_response(
            forbidden, "forbidden", "the operator role is required"));
        return;
    }
    respond(this->handle_change(request));
}

http::response admin_api::handle_read(const http::request& request)
{
    const auto query_start = request.target.find('?');
    const auto path = request.target.substr(0, query_start);
    const auto query = query_start == std::string::npos
                           ? std::string()
                           : request.target.substr(query_start + 1);
    if (path == "/v1/status")
    {
        return json_response(this->status());
    }
    if (path == "/v1/tickets")
    {
        return json_response(this->tickets());
    }
    if (path == "/v1/targets")
    {
        return json_response(this->targets_of_services());
    }
    if (path == "/v1/calls")
    {
        return json_response(this->calls());
    }
    if (path == "/v1/quarantine")
    {
        return json_response(this->quarantine());
    }
    if (path == "/v1/timeline")
    {
        return json_response(this->timeline(query));
    }
    if (path == metrics_path)
    {
        return this->expose_metrics();
    }
    return make_problem_response(not_found, "not found", path);
}

http::response admin_api::handle_change(const http::request& request)
{
    if (request.method == "POST" && request.target == "/v1/drain")
    {
        this->set_draining(true);
        return json_response({{"draining", true}});
    }
    if (request.method == "POST" && request.target == "/v1/undrain")
    {
        if (this->set_draining(false))
        {
            return make_problem_response(
                conflict, "the node is stopping",
                "a planned stop cannot be revoked");
        }
        return json_response({{"draining", false}});
    }
    const bool partition_requested = request.method == "POST" &&
                                     request.target == "/v1/test/cut" &&
                                     this->tables.settings.node.test_hooks;
    if (partition_requested)
    {
        return this->set_partitioned_ports(request.body.text());
    }
    return make_problem_response(not_found, "not found", request.target);
}

http::response admin_api::set_partitioned_ports(const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_array())
    {
        return make_problem_response(
            bad_request, "wrong body", "expected a list of node ports");
    }
    std::set<std::uint32_t> ports;
    for (const auto& item : json)
    {
        if (item.is_number_unsigned())
        {
            ports.insert(item.get<std::uint32_t>());
        }
    }
    this->network.set_partitioned_ports(ports);
    return json_response({{"cut", ports}});
}

nlohmann::json admin_api::status()
{
    const auto load = this->inbound_calls.load(base::now());
    const auto& local = this->tables.settings.node;
    const auto [root, highest] = this->tables.documents.with(
        [](auto& store)
        { return std::pair(store.content_hash(), store.highest_ticket()); });
    return {
        {"instance", local.instance},
        {"service", local.service},
        {"zone", local.zone},
        {"incarnation", base::to_hex(this->tables.incarnation)},
        {"draining", this->tables.draining.load()},
        {"highest_ticket", highest},
        {"documents", base::to_hex(root)},
        {"calls_as_caller", this->outbound_calls.call_count()},
        {"calls_as_target", this->inbound_calls.call_count()},
        {"limit", load.limit},
        {"in_flight", load.in_flight},
        {"queue_delay_ms", load.queue_delay_ms},
        {"floor", load.floor},
        {"platform_reads", this->gossip.request_count()},
        {"control_bytes", this->network.control_bytes()}};
}

nlohmann::json admin_api::tickets()
{
    return this->tables.documents.with(
        [](auto& store)
        {
            auto rows = nlohmann::json::array();
            for (const auto& name : store.services())
            {
                rows.push_back(
                    {{"service", name},
                     {"number", store.ticket_number(name)},
                     {"policy", schema::to_json(*store.policy(name))}});
            }
            return rows;
        });
}

nlohmann::json admin_api::targets_of_services()
{
    const auto now = base::now();
    return this->tables.routing.with(
        [&](routing_table& table)
        {
            auto rows = nlohmann::json::array();
            for (const auto& [service, service_targets] : table.services)
            {
                for (const auto& row : service_targets.view(now))
                {
                    rows.push_back(
                        {{"service", service},
                         {"instance", row.address.instance},
                         {"host", row.address.host},
                         {"port", row.address.port},
                         {"zone", row.zone},
                         {"state", decisions::to_string(row.state)},
                         {"in_flight", row.in_flight},
                         {"latency_ms", row.latency_ms},
                         {"floor", row.floor}});
                }
            }
            return rows;
        });
}

nlohmann::json admin_api::calls()
{
    auto rows = nlohmann::json::array();
    for (const auto& row : this->inbound_calls.view())
    {
        rows.push_back(
            {{"call", base::to_hex(row.id)},
             {"root", base::to_hex(row.root)},
             {"path", row.path},
             {"state", row.state},
             {"priority", row.priority},
             {"depth", row.depth},
             {"age_ms", row.age.count}});
    }
    return rows;
}

nlohmann::json admin_api::quarantine()
{
    auto rows = nlohmann::json::array();
    for (const auto& row : this->inbound_calls.quarantined())
    {
        rows.push_back(
            {{"fingerprint", base::to_hex(row.fingerprint)},
             {"strikes", row.crash_reports}});
    }
    return rows;
}

nlohmann::json admin_api::timeline(const std::string& query)
{
    const auto max_rows = std::min(
        query_number(query, "most", default_timeline_rows), max_timeline_rows);
    auto rows = nlohmann::json::array();
    const auto& local = this->tables.settings.node;
    for (const auto& item :
         this->tables.events.read(query_number(query, "after", 0), max_rows))
    {
        rows.push_back(
            {{"time", item.time},
             {"node", local.instance},
             {"kind", item.kind},
             {"root", base::to_hex(item.root)},
             {"call", base::to_hex(item.call)},
             {"subject", item.subject},
             {"detail", item.detail}});
    }
    return rows;
}

http::response admin_api::expose_metrics()
{
    const auto load = this->inbound_calls.load(base::now());
    auto& counts = this->tables.node_metrics;
    counts.set_gauge("limit", load.limit);
    counts.set_gauge("in_flight", load.in_flight);
    counts.set_gauge(
        "calls_as_caller",
        static_cast<double>(this->outbound_calls.call_count()));
    counts.set_gauge(
        "platform_reads", static_cast<double>(this->gossip.request_count()));
    counts.set_gauge(
        "control_bytes", static_cast<double>(this->network.control_bytes()));
    counts.set_gauge(
        "highest_ticket",
        static_cast<double>(this->tables.documents.with(
            [](auto& store) { return store.highest_ticket(); })));
    http::response response;
    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    response.body = counts.expose();
    return response;
}
} // namespace bilberrytally::node
