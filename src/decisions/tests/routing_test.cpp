#include "decisions/dissemination_tree.hpp"
#include "decisions/poll_schedule.hpp"
#include "decisions/quarantine.hpp"
#include "decisions/resend_limiter.hpp"
#include "decisions/retry_budget.hpp"
#include "decisions/slow_attempt_timeout.hpp"
#include "decisions/target_table.hpp"

#include <doctest/doctest.h>

#include <map>
#include <numeric>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
schema::instance_list make_list(std::size_t count)
{
    schema::instance_list list{1, "s", {}};
    for (std::size_t i = 0; i < count; ++i)
    {
        list.instances.push_back(
            {"i" + std::to_string(i), i % 2 == 0 ? "a" : "b", "127.0.0.1",
             static_cast<std::uint32_t>(1000 + i),
             schema::instance_state::live});
    }
    return list;
}

std::map<std::string, int>
choose_many(target_table& table, int count, base::time_ms now)
{
    std::mt19937_64 random(1);
    std::map<std::string, int> chosen;
    for (int i = 0; i < count; ++i)
    {
        const auto target = table.choose({}, random, now);
        if (target)
        {
            ++chosen[target->instance];
        }
    }
    return chosen;
}
} // namespace

TEST_CASE("the budget passed on and kept never exceeds the whole")
{
    request_retry_budget root(5);
    const auto passed_on = root.take_for_dispatch();
    CHECK(passed_on + root.left() == 5);
    request_retry_budget pool(passed_on);
    const auto one = pool.take_for_nested_call();
    const auto two = pool.take_for_nested_call();
    CHECK(one + two + pool.left() == passed_on);
    CHECK(one > 0);
    CHECK(two > 0);
    CHECK_FALSE(request_retry_budget(1).spend(2));
}

TEST_CASE("retries are limited to a share of first attempts")
{
    retry_throttle ratio;
    int allowed = 0;
    for (int i = 0; i < 1000; ++i)
    {
        ratio.on_first_attempt("s", 10);
        allowed += ratio.allow_retry("s") ? 1 : 0;
    }
    CHECK(allowed <= 105);
    CHECK(allowed >= 95);
}

TEST_CASE("resends of refused requests are limited, new requests pass")
{
    resend_limiter limiter;
    int passed = 0;
    for (std::uint64_t i = 0; i < 200; ++i)
    {
        CHECK(limiter.allow(i, "s", {0}));
        const auto retry_after = limiter.on_refusal(i, {0});
        CHECK(retry_after >= base::duration_ms{1000});
        CHECK(retry_after < base::duration_ms{3000});
        passed += limiter.allow(i, "s", {1}) ? 1 : 0;
    }
    CHECK(passed <= 40);
    CHECK(limiter.allow(5, "s", {4000}));
}

TEST_CASE(
    "the local zone is preferred, other zones take over if it has no target")
{
    target_table table("x", "a");
    table.apply(make_list(4), {0});
    for (const auto& [id, count] : choose_many(table, 100, {1}))
    {
        CHECK((id == "i0" || id == "i2"));
    }
    table.on_draining("i0", true, {0});
    table.on_unreachable("i2", {1});
    for (const auto& [id, count] : choose_many(table, 100, {2}))
    {
        CHECK((id == "i1" || id == "i3"));
    }
}

TEST_CASE("a target whose node is disconnected gets no calls until it is back")
{
    target_table table("x", "a");
    table.apply(make_list(2), {0});
    const auto address = table.find("i0").value();
    table.on_node_disconnected(address.host, address.port);
    REQUIRE(table.disconnected_targets().size() == 1);
    CHECK(table.disconnected_targets()[0] == address);
    // No call is used as a probe, however long the node is disconnected.
    for (const std::int64_t now : {1, 5000, 50000})
    {
        CHECK(choose_many(table, 50, {now}).count("i0") == 0);
    }
    table.apply(make_list(2), {50001});
    CHECK(choose_many(table, 50, {50002}).count("i0") == 0);
    table.on_node_responsive(address.host, address.port);
    CHECK(table.disconnected_targets().empty());
    CHECK(choose_many(table, 50, {50003}).count("i0") == 1);
}

TEST_CASE("calls leave a slow target of the local zone for another zone")
{
    target_table table("x", "a");
    table.apply(make_list(2), {0});
    for (int i = 0; i < 20; ++i)
    {
        for (const auto* id : {"i0", "i1"})
        {
            const base::duration_ms latency{id[1] == '0' ? 200 : 20};
            table.on_dispatch(id, {i});
            table.on_result(id, {true, false, false, latency, {}}, {i});
        }
    }
    CHECK(choose_many(table, 100, {21})["i1"] > 60);
}

TEST_CASE("a new instance list does not bring back a draining target")
{
    target_table table("x", "a");
    table.apply(make_list(2), {0});
    table.on_draining("i0", true, {0});
    table.apply(make_list(2), {1});
    CHECK(choose_many(table, 50, {2}).count("i0") == 0);
}

TEST_CASE("slow targets are ejected, at most a third of all, and probed")
{
    target_table table("x", "z");
    table.apply(make_list(6), {0});
    for (int i = 0; i < 40; ++i)
    {
        for (int target = 0; target < 6; ++target)
        {
            const auto id = "i" + std::to_string(target);
            table.on_dispatch(id, {i});
            table.on_result(
                id, {true, false, false, {target < 3 ? 500 : 10}, {}}, {i});
        }
    }
    int ejected = 0;
    for (const auto& row : table.view({41}))
    {
        ejected += row.state == target_state::ejected ? 1 : 0;
    }
    CHECK(ejected == 2);
    std::mt19937_64 random(1);
    const auto probe = table.choose({}, random, {800});
    REQUIRE(probe);
    CHECK(probe->instance < "i3");
}

TEST_CASE("a new target warms up with a growing share of calls")
{
    target_table table("x", "z");
    table.apply(make_list(3), {0});
    table.apply(make_list(4), {1});
    for (const auto* id : {"i0", "i1", "i2", "i3"})
    {
        table.on_dispatch(id, {2});
        table.on_result(id, {true, false, false, {10}, {}}, {2});
    }
    const auto early = choose_many(table, 1000, {3})["i3"];
    const auto late = choose_many(table, 1000, {20000})["i3"];
    CHECK(early < late);
}

TEST_CASE("a shed threshold refuses less important classes, expires, is probed")
{
    target_table table("x", "a");
    table.apply(make_list(1), {0});
    schema::load_report load;
    load.valid = true;
    load.floor = 4;
    table.on_dispatch("i0", {0});
    table.on_result("i0", {true, false, true, {1}, load}, {0});
    std::mt19937_64 random(1);
    int refused = 0;
    for (int i = 0; i < 100; ++i)
    {
        refused += table.all_targets_shed(5, random, {10}) ? 1 : 0;
        CHECK_FALSE(table.all_targets_shed(4, random, {10}));
    }
    CHECK(refused > 70);
    CHECK(refused < 100);
    CHECK_FALSE(table.all_targets_shed(5, random, {1001}));
}

TEST_CASE("a suspected request gets one probe run at a time, then is refused")
{
    quarantine suspects;
    CHECK(suspects.check(1, false, {0}) == quarantine_decision::pass);
    suspects.record_crash(1, "t1#1", {0});
    suspects.record_crash(2, "t1#1", {0});
    CHECK(suspects.check(1, false, {1}) == quarantine_decision::elsewhere);
    CHECK(suspects.check(1, true, {1}) == quarantine_decision::probe_run);
    CHECK(suspects.check(2, true, {1}) == quarantine_decision::wait);
    suspects.end_probe_run(1);
    suspects.record_crash(1, "t2#1", {2});
    CHECK(suspects.check(1, true, {3}) == quarantine_decision::refuse);
    CHECK(suspects.check(2, true, {3}) == quarantine_decision::probe_run);
    suspects.clear(2);
    CHECK(suspects.check(2, true, {4}) == quarantine_decision::pass);
    CHECK(suspects.check(1, true, {700000}) == quarantine_decision::pass);
}

TEST_CASE("calls are rerouted late, and only if they cause no nested calls")
{
    slow_attempt_timeout leaf;
    CHECK_FALSE(leaf.timeout());
    for (int i = 0; i < 100; ++i)
    {
        leaf.on_answer({20}, 0);
    }
    REQUIRE(leaf.timeout());
    CHECK(leaf.timeout()->count >= 35);
    CHECK(leaf.timeout()->count <= 45);
    leaf.on_answer({20}, 1);
    CHECK_FALSE(leaf.timeout());
}

TEST_CASE("dissemination trees reach every member, and relaying is shared")
{
    std::vector<std::string> members;
    for (int i = 0; i < 500; ++i)
    {
        members.push_back("m" + std::to_string(i));
    }
    std::map<std::string, std::size_t> sent;
    for (std::uint64_t digest = 0; digest < 20; ++digest)
    {
        std::set<std::string> reached{"m7"};
        std::vector<std::string> to_visit{"m7"};
        while (!to_visit.empty())
        {
            const auto self = to_visit.back();
            to_visit.pop_back();
            for (const auto& child :
                 dissemination_children(members, self, digest, self == "m7"))
            {
                ++sent[self];
                if (reached.insert(child).second)
                {
                    to_visit.push_back(child);
                }
            }
        }
        CHECK(reached.size() == members.size());
    }
    for (const auto& [id, count] : sent)
    {
        // 20 documents, and fewer than 10 relays of each on average.
        CHECK(count < 20 * 10);
    }
}

TEST_CASE("polls stay below 2000/s at a cold start of 16,000 nodes")
{
    constexpr std::uint32_t fleet = 16000;
    constexpr base::duration_ms wait{2000};
    std::mt19937_64 random(5);
    std::vector<poll_schedule> nodes;
    for (std::uint32_t i = 0; i < fleet; ++i)
    {
        nodes.emplace_back(2, fleet, wait, random, base::time_ms{0});
    }
    std::int64_t worst = 0;
    std::int64_t this_second = 0;
    for (std::int64_t now = 0; now < 120000; now += 50)
    {
        if (now % 1000 == 0)
        {
            worst = std::max(worst, this_second);
            this_second = 0;
        }
        for (auto& node : nodes)
        {
            if (node.should_poll({now}))
            {
                ++this_second;
                // The configuration service is down for the whole time.
                node.on_failure(random, {now});
            }
        }
    }
    MESSAGE("worst second: ", worst, " polls");
    CHECK(worst < 2000);
}

TEST_CASE("the next node takes over when the watchers' polls stop")
{
    std::mt19937_64 random(5);
    poll_schedule node(2, 1, {2000}, random, {0});
    node.set_rank(2, 8, 100);
    node.on_zone_poll_succeeded({0}, {100});
    CHECK_FALSE(node.should_poll({2000}));
    CHECK(node.should_poll({20000}));
    node.on_zone_poll_succeeded({0}, {20000});
    CHECK_FALSE(node.should_poll({20001}));
}

TEST_CASE(
    "a target that states that it is leaving gets no call until it restarts")
{
    const auto list_with = [](std::uint64_t started_at_ms, bool listed)
    {
        schema::instance_list list{1, "s", {}};
        list.instances.push_back(
            {"other", "z", "127.0.0.1", 1, schema::instance_state::live, 1});
        if (listed)
        {
            list.instances.push_back(
                {"left", "z", "127.0.0.1", 2, schema::instance_state::live,
                 started_at_ms});
        }
        return list;
    };
    target_table table("self", "z");
    table.set_drain_report_lifetime({1000});
    std::mt19937_64 random(3);
    const auto gets_calls = [&](base::time_ms now)
    {
        for (int i = 0; i < 50; ++i)
        {
            if (table.choose({}, random, now)->instance == "left")
            {
                return true;
            }
        }
        return false;
    };
    table.apply(list_with(500, true), {0});
    CHECK(gets_calls({10}));
    table.on_stated_leaving({"left", 500}, {20});
    CHECK_FALSE(gets_calls({30}));
    // Unlike a report of its node, the statement does not expire.
    CHECK_FALSE(gets_calls({60000}));
    table.apply(list_with(500, false), {61000});
    table.apply(list_with(500, true), {62000});
    CHECK_FALSE(gets_calls({63000}));
    CHECK(table.owner(7)->instance == "other");
    table.apply(list_with(501, true), {64000});
    CHECK(gets_calls({80000}));
}

// Guards against a target that is never used again after a planned restart
// under its id.
TEST_CASE("a statement that a target leaves binds the process that made it")
{
    target_table table("self", "z");
    const auto list = [&](std::uint64_t started_at_ms)
    {
        schema::instance_list rows{1, "s", {}};
        if (started_at_ms != 0)
        {
            rows.instances.push_back(
                {"t", "z", "127.0.0.1", 2, schema::instance_state::live,
                 started_at_ms});
        }
        table.apply(rows, {0});
    };
    list(500);
    SUBCASE("although it arrives when the target is not listed")
    {
        list(0);
        table.on_stated_leaving({"t", 500}, {10});
        CHECK(table.has_stated_leaving("t"));
        list(501);
        CHECK_FALSE(table.has_stated_leaving("t"));
        list(500);
        CHECK(table.has_stated_leaving("t"));
    }
    SUBCASE("although the next process is listed when it arrives")
    {
        list(501);
        table.on_stated_leaving({"t", 500}, {10});
        CHECK_FALSE(table.has_stated_leaving("t"));
    }
    SUBCASE("although the clock was set back between the two")
    {
        table.on_stated_leaving({"t", 500}, {10});
        list(499);
        CHECK_FALSE(table.has_stated_leaving("t"));
    }
    SUBCASE("and a second process that leaves is bound like the first")
    {
        table.on_stated_leaving({"t", 500}, {10});
        list(501);
        table.on_stated_leaving({"t", 501}, {20});
        CHECK(table.has_stated_leaving("t"));
        list(502);
        CHECK_FALSE(table.has_stated_leaving("t"));
    }
}
