#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "node/internal/target_side.hpp"
#include "transport/tests/running_network.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::node;

namespace
{
using schema::refusal;

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

schema::node_settings make_settings()
{
    schema::node_settings settings;
    settings.node.instance = "node-1";
    settings.node.service = service;
    settings.node.address = "127.0.0.1";
    settings.node.node_port = node_port;
    settings.node.slots = 1;
    settings.platform.store = "127.0.0.1:1";
    return settings;
}

//! The part of a node that serves one backend server with one slot.
struct target_node
{
    transfer_log log;
    asio::io_context context;
    node_tables tables{this->context, make_settings(), 1};
    target_side calls{
        this->tables, std::make_unique<recording_client>(this->log)};
    transport::callback_counts counts;
    std::unique_ptr<transport::peer_network> network{transport::open_network(
        this->context, transport::free_port(), this->counts)};
    std::vector<schema::answer> answers;

    target_node()
    {
        this->calls.set_network(*this->network, [](std::uint64_t) {});
        directory::header_names names;
        names.attempt_id = id_header;
        names.signature = "x-signature";
        this->tables.platform_headers = names;
        schema::service_policy policy;
        policy.name = service;
        policy.slots = 1;
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

    void offer(const std::string& id)
    {
        schema::call call;
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

//! True if the call has not run, since its target is leaving.
bool is_refused_as_leaving(const schema::answer& answer)
{
    return answer.verdict ==
               static_cast<std::uint32_t>(base::verdict::not_run) &&
           answer.reason == refusal::draining;
}
} // namespace

TEST_CASE("a call that arrives after its target was listed as leaving never "
          "reaches it")
{
    target_node node;
    node.list({{target, schema::instance_state::leaving}});
    node.offer("late");
    CHECK(node.log.requests.empty());
    REQUIRE(node.answers.size() == 1);
    CHECK(is_refused_as_leaving(node.answers[0]));
}

TEST_CASE("a call that arrives after its target was removed from the list "
          "never reaches it")
{
    target_node node;
    node.list({{"i-2", schema::instance_state::live}});
    node.offer("late");
    CHECK(node.log.requests.empty());
    REQUIRE(node.answers.size() == 1);
    CHECK(is_refused_as_leaving(node.answers[0]));
}

TEST_CASE("a call that waits while its target begins to leave never reaches it")
{
    target_node node;
    node.offer("running");
    node.offer("waiting");
    REQUIRE(node.log.requests.size() == 1);
    node.list({{target, schema::instance_state::leaving}});
    node.log.respond(0);
    node.calls.tick(base::now());
    CHECK(node.log.requests.size() == 1);
    REQUIRE(node.answers.size() == 2);
    CHECK(node.answers[0].status == 200);
    CHECK(is_refused_as_leaving(node.answers[1]));
}

TEST_CASE("calls that wait are refused as soon as their target begins to leave")
{
    target_node node;
    node.offer("running");
    node.offer("waiting");
    node.list({{target, schema::instance_state::leaving}});
    node.calls.refuse_leaving();
    REQUIRE(node.answers.size() == 1);
    CHECK(is_refused_as_leaving(node.answers[0]));
    node.log.respond(0);
    REQUIRE(node.answers.size() == 2);
    CHECK(node.answers[1].status == 200);
}

TEST_CASE("a call whose connection is made while its target begins to leave "
          "never reaches it")
{
    target_node node;
    node.offer("connecting");
    REQUIRE(node.log.requests.size() == 1);
    REQUIRE(node.log.requests[0].may_send);
    CHECK(node.log.requests[0].may_send());
    node.list({{target, schema::instance_state::leaving}});
    CHECK_FALSE(node.log.requests[0].may_send());
    const auto handler = node.log.handlers[0];
    handler({});
    REQUIRE(node.answers.size() == 1);
    CHECK(is_refused_as_leaving(node.answers[0]));
}

TEST_CASE("a target that is listed as live again gets calls again")
{
    target_node node;
    node.list({});
    node.list({{target, schema::instance_state::live}});
    node.offer("later");
    CHECK(node.log.requests.size() == 1);
}

TEST_CASE("a suspected request that waits for a probe run never reaches a "
          "target that begins to leave")
{
    target_node node;
    schema::crash_report report;
    report.service = service;
    report.fingerprint = fingerprint;
    report.death = "i-2#1";
    node.calls.on_crash_report(report);
    node.offer("probe run");
    node.offer("on hold");
    REQUIRE(node.log.requests.size() == 1);
    node.list({{target, schema::instance_state::leaving}});
    node.log.respond(0);
    CHECK(node.log.requests.size() == 1);
    REQUIRE(node.answers.size() == 2);
    CHECK(is_refused_as_leaving(node.answers[1]));
}

TEST_CASE("no probe run of a suspected request is planned at a leaving target")
{
    decisions::target_table targets("node-9", "a");
    const auto list = [&](schema::instance_state state)
    {
        schema::instance_list rows;
        rows.service = service;
        rows.instances = {
            {"i-1", "a", "127.0.0.1", node_port, state, 1},
            {"i-2", "a", "127.0.0.2", node_port, schema::instance_state::live,
             1}};
        targets.apply(rows, {0});
    };
    list(schema::instance_state::live);
    std::uint64_t owned = 0;
    while (targets.probe_target(owned, {})->instance != "i-1")
    {
        ++owned;
    }
    list(schema::instance_state::leaving);
    REQUIRE(targets.probe_target(owned, {}));
    CHECK(targets.probe_target(owned, {})->instance == "i-2");
    // The other one has crashed with it: none is better than a leaving one.
    CHECK(targets.probe_target(owned, {"i-2"})->instance == "i-2");
}
