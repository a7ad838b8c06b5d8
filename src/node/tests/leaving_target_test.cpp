#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "node/tests/target_node.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;
using namespace bilberrytally::node;

namespace
{
using schema::refusal;

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
