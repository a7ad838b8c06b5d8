#include "decisions/attempt_rule.hpp"

#include "decisions/fleet_retry_budget.hpp"
#include "decisions/target_table.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;
using namespace bilberrytally::decisions;
using base::verdict;
using schema::refusal;

namespace
{
schema::answer make_answer(
    verdict outcome, refusal reason, std::uint32_t status = 0,
    bool failed_below = false)
{
    schema::answer answer;
    answer.verdict = static_cast<std::uint32_t>(outcome);
    answer.reason = reason;
    answer.status = status;
    answer.failed_below = failed_below;
    return answer;
}
// The request must run at most once; attempts that did not run may be followed
// by others.
constexpr attempt_limits once{false, 2};
constexpr attempt_limits repeatable{true, 2};
} // namespace

TEST_CASE("a request that may have run is not retried unless it is idempotent")
{
    for (const auto reason :
         {refusal::connection_lost, refusal::timeout, refusal::protocol})
    {
        const auto answer = make_answer(verdict::may_have_run, reason);
        CHECK(after_attempt(answer, once, {1, 0}) == next_step::finish);
        CHECK(after_attempt(answer, repeatable, {1, 0}) == next_step::retry);
    }
    const auto failed = make_answer(verdict::ran, refusal::none, 500);
    CHECK(after_attempt(failed, once, {1, 0}) == next_step::finish);
    CHECK(after_attempt(failed, repeatable, {1, 0}) == next_step::retry);
}

TEST_CASE("an attempt that no backend server saw is rerouted, not retried")
{
    const auto answer = make_answer(verdict::not_run, refusal::overload);
    CHECK(after_attempt(answer, once, {0, 1}) == next_step::try_other_target);
    CHECK(after_attempt(answer, once, {0, 2}) == next_step::try_other_target);
    CHECK(after_attempt(answer, once, {0, 3}) == next_step::finish);
    const auto shed = make_answer(verdict::not_run, refusal::shed_by_backend);
    CHECK(after_attempt(shed, once, {1, 0}) == next_step::retry);
}

TEST_CASE("a request reaches no more backend servers than its route allows")
{
    const auto shed = make_answer(verdict::not_run, refusal::shed_by_backend);
    CHECK(after_attempt(shed, repeatable, {2, 0}) == next_step::finish);
    const auto refused = make_answer(verdict::not_run, refusal::overload);
    CHECK(after_attempt(refused, repeatable, {2, 0}) == next_step::finish);
}

TEST_CASE("a failure that a nested call caused is not retried here")
{
    const auto below = make_answer(verdict::ran, refusal::none, 500, true);
    CHECK(after_attempt(below, repeatable, {1, 0}) == next_step::finish);
}

TEST_CASE("a served request is finished")
{
    const auto served = make_answer(verdict::ran, refusal::none, 200);
    CHECK(after_attempt(served, repeatable, {1, 0}) == next_step::finish);
}

TEST_CASE("the retries of all nodes stay within the retry budget of the fleet")
{
    constexpr int nodes = 12;
    constexpr double extra = 47;
    constexpr double ratio = 0.2;
    // Part of the fleet's budget that is divided among its nodes. The rest is
    // kept for the nested calls that retries cause.
    constexpr double budget_share = 0.4;
    int retries = 0;
    constexpr int calls_per_node = 200;
    for (int node = 0; node < nodes; ++node)
    {
        fleet_retry_budget budget;
        budget.set_limits(
            ratio * budget_share, extra * budget_share / nodes, {10000});
        for (int i = 0; i < calls_per_node; ++i)
        {
            budget.on_first_attempt("s", {i});
            retries += budget.allow_retry("s", {i}) ? 1 : 0;
        }
    }
    CHECK(retries <= nodes * calls_per_node * ratio + extra);
    CHECK(retries >= nodes * calls_per_node * ratio * budget_share * 0.8);
}

TEST_CASE(
    "a draining report expires, so the target of a restarted node is chosen")
{
    target_table table("x", "a");
    table.set_drain_report_lifetime({1000});
    schema::instance_list list;
    list.instances = {
        {"i0", "a", "10.0.0.1", 7000, schema::instance_state::live}};
    table.apply(list, {0});
    table.on_node_state("10.0.0.1", 7000, true, {100});
    std::mt19937_64 random(1);
    CHECK_FALSE(table.choose({}, random, {200}));
    CHECK(table.choose({}, random, {1100}));
    table.on_node_state("10.0.0.1", 7000, true, {1200});
    CHECK_FALSE(table.choose({}, random, {1300}));
    table.on_node_state("10.0.0.1", 7000, false, {1400});
    CHECK(table.choose({}, random, {1500}));
}
