#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "node/tests/target_node.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;
using namespace bilberrytally::node;

namespace
{
schema::call make_parent()
{
    schema::call call;
    call.root = 4711;
    call.depth = 2;
    call.priority = 3;
    call.workspace = "w";
    return call;
}

schema::unanswered_call make_unanswered(const std::string& request)
{
    return {service, request, 4711, 2, 3, time_left.count, false, "w", 0, 0};
}

void check_context(const std::optional<parent_context>& context)
{
    REQUIRE(context);
    CHECK(context->root == 4711);
    CHECK(context->depth == 2);
    CHECK(context->priority == 3);
    CHECK(context->workspace == "w");
    CHECK(context->deadline <= base::now() + time_left);
    CHECK(context->deadline > base::now() + time_left - base::duration_ms{900});
}
} // namespace

// Guards against nested calls that are refused or served as unimportant since
// their parent has ended at the node while the backend server runs it.
TEST_CASE("a call that ended without a response still is a parent")
{
    for (const auto outcome :
         {http::transfer_outcome::cancelled, http::transfer_outcome::timed_out,
          http::transfer_outcome::too_large})
    {
        target_node node;
        node.offer("r", make_parent());
        check_context(node.calls.find_context("r.1"));
        node.log.end(0, outcome);
        REQUIRE(node.answers.size() == 1);
        check_context(node.calls.find_context("r.1"));
        CHECK(node.calls.find_context("r.1")->inbound_id == 0);
    }
}

// Guards against nested calls that overlap with the response to their parent.
TEST_CASE("a call that was answered a moment ago still is a parent")
{
    target_node node;
    node.tables.parent_ids_seen = true;
    node.offer("r", make_parent());
    node.log.respond(0);
    check_context(node.calls.find_context("r.1"));
}

TEST_CASE(
    "nothing is kept of answered calls beside a backend server that makes "
    "no nested calls")
{
    target_node node;
    node.offer("r", make_parent());
    node.log.respond(0);
    CHECK_FALSE(node.calls.find_context("r.1"));
}

TEST_CASE("a call that never reached the backend server is no parent")
{
    target_node node;
    node.offer("r", make_parent());
    node.log.end(0, http::transfer_outcome::unsent);
    CHECK_FALSE(node.calls.find_context("r.1"));
    node.list({{target, schema::instance_state::leaving}});
    node.offer("refused", make_parent());
    CHECK_FALSE(node.calls.find_context("refused.1"));
}

TEST_CASE("of two attempts of a request one still is a parent when the other "
          "has ended")
{
    target_node node(4);
    node.tables.parent_ids_seen = true;
    node.offer("r", make_parent());
    node.offer("r", make_parent());
    REQUIRE(node.log.requests.size() == 2);
    for (const std::size_t first : {1, 0})
    {
        node.log.respond(first);
        const auto context = node.calls.find_context("r.1");
        check_context(context);
        CHECK((context->inbound_id != 0) == (first == 1));
    }
}

// Guards against nested calls that are refused since their node was restarted.
TEST_CASE("calls that another node has sent to an earlier process are parents")
{
    target_node node;
    CHECK_FALSE(node.calls.find_context("r.1"));
    CHECK(node.calls.parent_may_exist("r.1"));
    schema::unanswered_calls message;
    message.calls = {make_unanswered("r"), make_unanswered("other")};
    message.calls[1].service = "another";
    node.calls.on_unanswered_calls(message, {0});
    check_context(node.calls.find_context("r.1"));
    CHECK_FALSE(node.calls.find_context("other.1"));
    CHECK_FALSE(node.calls.find_context("r"));
    CHECK_FALSE(node.calls.parent_may_exist("r"));
}

TEST_CASE("a call that is told late has less time left")
{
    target_node node;
    schema::unanswered_calls message;
    message.calls = {make_unanswered("r")};
    node.calls.on_unanswered_calls(message, {3000});
    const auto context = node.calls.find_context("r.1");
    REQUIRE(context);
    CHECK(context->deadline <= base::now() + base::duration_ms{2000});
}

// Guards against a removed access key that lives on in what other nodes tell.
TEST_CASE("a call whose access key was removed since is no parent")
{
    target_node node;
    schema::unanswered_calls message;
    message.calls = {make_unanswered("r")};
    message.calls[0].key_id = 99;
    message.calls[0].configuration_version = 1;
    node.calls.on_unanswered_calls(message, {0});
    check_context(node.calls.find_context("r.1"));
    directory::fleet_configuration configuration;
    configuration.version = 2;
    node.tables.access.with([&](access_table& access)
                            { access.workspaces.replace(configuration); });
    CHECK_FALSE(node.calls.find_context("r.1"));
}
