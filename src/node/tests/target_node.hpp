#pragma once

#include "node/internal/target_side.hpp"
#include "transport/tests/running_network.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bilberrytally::node
{
constexpr const char* service = "s";
constexpr const char* target = "i-1";
constexpr const char* id_header = "x-id";
constexpr std::uint32_t node_port = 7000;
constexpr std::uint64_t fingerprint = 77;
constexpr base::duration_ms time_left{5000};

//! Transfers to the backend server, which the test ends.
struct transfer_log
{
    std::vector<http::transfer_request> requests;
    std::vector<http::transfer_handler> handlers;

    //! Ends a transfer without a response.
    void end(std::size_t index, http::transfer_outcome outcome)
    {
        http::transfer_result result;
        result.outcome = outcome;
        const auto handler = this->handlers[index];
        handler(std::move(result));
    }

    //! Ends a transfer with a response to its request.
    void respond(std::size_t index)
    {
        http::transfer_result result;
        result.outcome = http::transfer_outcome::answered;
        result.content.status = 200;
        result.content.headers = {
            {id_header, this->requests[index].response_id.value},
            {"x-signature", "signed"}};
        // The end of one transfer starts others.
        const auto handler = this->handlers[index];
        handler(std::move(result));
    }
};

class recording_client : public http::http_client
{
public:
    explicit recording_client(transfer_log& log) : log(log)
    {
    }

    std::uint64_t start(
        http::transfer_request request, http::transfer_handler on_done) override
    {
        this->log.requests.push_back(std::move(request));
        this->log.handlers.push_back(std::move(on_done));
        return this->log.requests.size();
    }

    void cancel(std::uint64_t) override
    {
    }

    std::uint64_t held_bytes() const override
    {
        return 0;
    }

    void set_connections_per_host(std::uint32_t) override
    {
    }

private:
    transfer_log& log;
};

inline schema::node_settings make_settings(std::uint32_t slots)
{
    schema::node_settings settings;
    settings.node.instance = "node-1";
    settings.node.service = service;
    settings.node.address = "127.0.0.1";
    settings.node.node_port = node_port;
    settings.node.slots = slots;
    settings.platform.store = "127.0.0.1:1";
    return settings;
}

//! The part of a node that serves one backend server.
struct target_node
{
    transfer_log log;
    asio::io_context context;
    node_tables tables;
    target_side calls{
        this->tables, std::make_unique<recording_client>(this->log)};
    transport::callback_counts counts;
    std::unique_ptr<transport::peer_network> network{transport::open_network(
        this->context, transport::free_port(), this->counts)};
    std::vector<schema::answer> answers;

    explicit target_node(std::uint32_t slots = 1)
        : tables(this->context, make_settings(slots), 1)
    {
        this->calls.set_network(*this->network, [](std::uint64_t) {});
        directory::header_names names;
        names.attempt_id = id_header;
        names.signature = "x-signature";
        names.id_separator = '.';
        this->tables.platform_headers = names;
        schema::service_policy policy;
        policy.name = service;
        policy.slots = slots;
        policy.max_wait_ms = 2000;
        policy.exact_slots = true;
        this->calls.on_policy(policy);
        this->list({{target, schema::instance_state::live}});
    }

    //! Applies a list of the service's instances.
    void list(
        const std::vector<std::pair<std::string, schema::instance_state>>& rows)
    {
        schema::instance_list list;
        list.service = service;
        for (const auto& [id, state] : rows)
        {
            list.instances.push_back(
                {id, "a", "127.0.0.1", node_port, state, 1});
        }
        this->tables.routing.with(
            [&](routing_table& table)
            {
                table.services.try_emplace(service, "node-1", "a")
                    .first->second.apply(list, base::now());
            });
    }

    //! Offers a call of a request with this id.
    void offer(const std::string& id, schema::call call = {})
    {
        call.service = service;
        call.method = "GET";
        call.path = "/r";
        call.digest = fingerprint;
        call.expected_instance = target;
        call.repeatable = true;
        call.headers = {{id_header, id}};
        this->calls.offer_local(
            std::move(call), base::now() + time_left,
            [this](schema::answer answer)
            { this->answers.push_back(std::move(answer)); });
    }
};
} // namespace bilberrytally::node
