#include "decisions/quota_grants.hpp"
#include "decisions/quota_slots.hpp"
#include "decisions/quota_tokens.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
constexpr std::uint64_t workspace = 42;
constexpr base::duration_ms memory{60000};
constexpr base::duration_ms max_age{2000};
constexpr base::duration_ms window{5000};
//! One token a second and at most two in each slot.
constexpr quota_limit slow_limit{workspace, 6, 6};

std::vector<quota_node> make_nodes(std::size_t count)
{
    std::vector<quota_node> nodes;
    for (std::size_t i = 0; i < count; ++i)
    {
        nodes.push_back(
            {"10.0.0." + std::to_string(i),
             std::string(1, static_cast<char>('a' + i % 3)), false, 1});
    }
    return nodes;
}

//! A holder that may grant since 4 s and has been proven at the given time.
quota_grants make_holder(base::time_ms proven)
{
    quota_grants grants(max_age);
    grants.apply({slow_limit}, {0});
    for (base::time_ms now{0}; now <= proven; now = now + base::duration_ms{10})
    {
        grants.on_proof(base::duration_ms{0}, now);
    }
    return grants;
}

std::vector<std::uint32_t> all_slots(std::uint64_t)
{
    return {0, 1, 2, 3, 4, 5};
}

slot_grant granted(std::uint32_t count, std::uint32_t left = 0)
{
    return {true, count, left, {left > 0 ? 0 : 200}};
}
} // namespace

TEST_CASE("nodes with the same list choose the same holders, in any order")
{
    auto nodes = make_nodes(40);
    quota_slots first("10.0.0.1", "b", memory);
    quota_slots second("10.0.0.2", "c", memory);
    // Cached before most nodes are listed, so that the update is checked too.
    first.apply({nodes[1]}, {0});
    first.holder(workspace, 0);
    first.apply(nodes, {0});
    std::reverse(nodes.begin(), nodes.end());
    second.apply(nodes, {0});
    std::set<std::string> holders;
    for (std::uint32_t slot = 0; slot < quota_slot_count; ++slot)
    {
        CHECK(first.holder(workspace, slot) == second.holder(workspace, slot));
        holders.insert(first.holder(workspace, slot));
    }
    CHECK(holders.size() > 2);
}

TEST_CASE("a change of the list moves only the slots of the changed node")
{
    auto nodes = make_nodes(40);
    quota_slots slots("10.0.0.1", "b", memory);
    slots.apply(nodes, {0});
    std::vector<std::string> before;
    for (std::uint32_t slot = 0; slot < quota_slot_count; ++slot)
    {
        before.push_back(slots.holder(workspace, slot));
    }
    for (auto& node : nodes)
    {
        node.leaving = node.address == before[0];
    }
    slots.apply(nodes, {10});
    for (std::uint32_t slot = 0; slot < quota_slot_count; ++slot)
    {
        const auto holder = slots.holder(workspace, slot);
        CHECK((holder != before[slot]) == (before[slot] == before[0]));
    }
    nodes.push_back({before[0], "a", false, 2});
    slots.apply(nodes, {20});
    for (std::uint32_t slot = 0; slot < quota_slot_count; ++slot)
    {
        CHECK(slots.holder(workspace, slot) == before[slot]);
    }
}

TEST_CASE("slots of the own zone are asked first")
{
    const auto nodes = make_nodes(40);
    quota_slots slots("10.0.0.1", "b", memory);
    slots.apply(nodes, {0});
    std::size_t local = 0;
    bool others_seen = false;
    const auto order = slots.order(workspace);
    REQUIRE(order.size() == quota_slot_count);
    for (const auto slot : order)
    {
        const auto holder = slots.holder(workspace, slot);
        const bool in_zone = std::any_of(
            nodes.begin(), nodes.end(),
            [&](const auto& node)
            { return node.address == holder && node.zone == "b"; });
        CHECK_FALSE((in_zone && others_seen));
        others_seen |= !in_zone;
        local += in_zone ? 1 : 0;
    }
    CHECK(local > 0);
}

TEST_CASE("no slots are held by anyone while no node is listed")
{
    quota_slots slots("10.0.0.1", "b", memory);
    CHECK(slots.order(workspace).empty());
    CHECK(slots.holder(workspace, 0).empty());
    CHECK_FALSE(slots.held_since(workspace, 0));
}

TEST_CASE("a node holds a slot since the previous holder was dropped")
{
    const auto nodes = make_nodes(2);
    quota_slots slots(nodes[0].address, "a", memory);
    slots.apply(nodes, {100});
    std::uint32_t slot = 0;
    while (slots.holder(workspace, slot) != nodes[1].address)
    {
        ++slot;
        REQUIRE(slot < quota_slot_count);
    }
    CHECK_FALSE(slots.held_since(workspace, slot));
    slots.apply({nodes[0]}, {500});
    REQUIRE(slots.held_since(workspace, slot));
    CHECK(slots.held_since(workspace, slot)->count == 500);
}

TEST_CASE("a node that was listed again unseen holds its slots anew")
{
    auto nodes = make_nodes(1);
    quota_slots slots(nodes[0].address, "a", memory);
    slots.apply(nodes, {100});
    CHECK(slots.held_since(workspace, 0)->count == 100);
    slots.apply(nodes, {200});
    CHECK(slots.held_since(workspace, 0)->count == 100);
    nodes[0].version = 2;
    slots.apply(nodes, {300});
    CHECK(slots.held_since(workspace, 0)->count == 300);
}

TEST_CASE("a new holder grants nothing until the proofs of others are too old")
{
    auto grants = make_holder({3990});
    CHECK_FALSE(
        grants.grant(workspace, 0, 1, base::time_ms{0}, {3990}).granting);
    grants.on_proof(base::duration_ms{0}, {4000});
    // The bucket is empty at the start and gets one token a second.
    const auto first = grants.grant(workspace, 0, 1, base::time_ms{0}, {4000});
    CHECK(first.granting);
    CHECK(first.granted == 0);
    CHECK(first.next.count == 1000);
    CHECK_FALSE(
        grants.grant(workspace, 1, 1, base::time_ms{100}, {4000}).granting);
    CHECK_FALSE(grants.grant(workspace, 0, 1, {}, {4000}).granting);
    CHECK_FALSE(
        grants.grant(workspace + 1, 0, 1, base::time_ms{0}, {4000}).granting);
}

TEST_CASE("a holder without a young proof grants nothing")
{
    auto grants = make_holder({9000});
    CHECK(
        grants.grant(workspace, 0, 1, base::time_ms{0}, {11000}).granted == 1);
    CHECK_FALSE(
        grants.grant(workspace, 0, 1, base::time_ms{0}, {11001}).granting);
    // After a gap between two proofs another node may have held the slot.
    grants.on_proof(base::duration_ms{0}, {11500});
    CHECK_FALSE(
        grants.grant(workspace, 0, 1, base::time_ms{0}, {11500}).granting);
}

TEST_CASE("a slot grants its burst at once, then its share of the rate")
{
    auto grants = make_holder({9000});
    auto grant = grants.grant(workspace, 0, 9, base::time_ms{0}, {9000});
    CHECK(grant.granted == 2);
    CHECK(grant.left == 0);
    grant = grants.grant(workspace, 0, 9, base::time_ms{0}, {9500});
    CHECK(grant.granted == 0);
    CHECK(grant.next.count == 500);
    CHECK(
        grants.grant(workspace, 0, 9, base::time_ms{0}, {10000}).granted == 1);
}

TEST_CASE("a lower limit shrinks the bucket at once")
{
    auto grants = make_holder({9000});
    quota_limit limit{workspace, 600, 600};
    grants.apply({limit}, {9000});
    CHECK(grants.grant(workspace, 0, 1, base::time_ms{0}, {9000}).left == 100);
    grants.apply({slow_limit}, {9000});
    CHECK(
        grants.grant(workspace, 0, 99, base::time_ms{0}, {9000}).granted == 2);
}

TEST_CASE("requests of a workspace without a limit are granted")
{
    quota_tokens tokens(window, 1);
    CHECK(tokens.take(workspace, 1, {0}) == quota_decision{true, false, {0}});
}

TEST_CASE("a request waits for its token, which is asked for once")
{
    quota_tokens tokens(window, 1);
    tokens.apply({slow_limit});
    CHECK_FALSE(tokens.take(workspace, 7, {0}));
    const auto asked = tokens.asks(all_slots, {0});
    REQUIRE(asked.asks.size() == 1);
    CHECK(asked.asks[0] == slot_ask{workspace, 0, 1});
    CHECK(tokens.asks(all_slots, {10}).asks.empty());
    tokens.on_grant(asked.number, workspace, 0, granted(1), {20});
    const auto decided = tokens.decide({20});
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].request == 7);
    CHECK(decided[0].decision.granted);
    // A second copy of the datagram must not create a token.
    tokens.on_grant(asked.number, workspace, 0, granted(1), {20});
    CHECK_FALSE(tokens.take(workspace, 8, {30}));
}

TEST_CASE("tokens expire half a second after they were asked for")
{
    quota_tokens tokens(window, 1);
    tokens.apply({slow_limit});
    tokens.take(workspace, 1, {0});
    tokens.decide({290});
    auto asked = tokens.asks(all_slots, {0});
    REQUIRE(asked.asks.empty());
    tokens.take(workspace, 2, {300});
    asked = tokens.asks(all_slots, {300});
    REQUIRE(asked.asks.size() == 1);
    tokens.on_grant(asked.number, workspace, 0, granted(1), {799});
    CHECK(tokens.decide({800}).front().decision.granted == false);

    tokens.take(workspace, 3, {1000});
    asked = tokens.asks(all_slots, {1000});
    REQUIRE(asked.asks.size() == 1);
    tokens.on_grant(
        asked.number, workspace, asked.asks[0].slot, granted(1), {1500});
    CHECK_FALSE(tokens.decide({1500}).front().decision.granted);
}

TEST_CASE("the next slot is asked after an empty answer or without an answer")
{
    quota_tokens tokens(window, 1);
    tokens.apply({slow_limit});
    tokens.take(workspace, 1, {0});
    auto asked = tokens.asks(all_slots, {0});
    tokens.on_grant(asked.number, workspace, 0, granted(0), {5});
    asked = tokens.asks(all_slots, {10});
    REQUIRE(asked.asks.size() == 1);
    CHECK(asked.asks[0].slot == 1);
    CHECK(tokens.asks(all_slots, {100}).asks.empty());
    asked = tokens.asks(all_slots, {110});
    REQUIRE(asked.asks.size() == 1);
    CHECK(asked.asks[0].slot == 2);
}

TEST_CASE("a request is refused in time, with the time of the next token")
{
    quota_tokens tokens(window, 1);
    tokens.apply({slow_limit});
    tokens.take(workspace, 1, {0});
    for (std::int64_t now = 0; now < 60; now += 10)
    {
        const auto asked = tokens.asks(all_slots, {now});
        REQUIRE(asked.asks.size() == 1);
        tokens.on_grant(
            asked.number, workspace, asked.asks[0].slot,
            {true, 0, 0, {400 + 100 * now}}, {now});
    }
    CHECK(tokens.decide({270}).empty());
    const auto decided = tokens.decide({290});
    REQUIRE(decided.size() == 1);
    CHECK_FALSE(decided[0].decision.granted);
    CHECK_FALSE(decided[0].decision.unavailable);
    CHECK(decided[0].decision.retry_after.count == 110);
    const auto changes = tokens.changes({290});
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].limiting);
    CHECK(tokens.changes({1000}).empty());
    REQUIRE(tokens.changes({5300}).size() == 1);
}

TEST_CASE("a request is refused as unavailable if no holder answers")
{
    quota_tokens tokens(window, 1);
    tokens.apply({slow_limit});
    tokens.take(workspace, 1, {0});
    for (std::int64_t now = 0; now < 290; now += 10)
    {
        tokens.asks(all_slots, {now});
    }
    const auto decided = tokens.decide({290});
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].decision.unavailable);
    CHECK(tokens.changes({290}).empty());
}

TEST_CASE("tokens are asked for in advance for a workspace with demand")
{
    quota_tokens tokens(window, 1);
    tokens.apply({{workspace, 600, 600}});
    for (std::int64_t now = 0; now < 2000; now += 10)
    {
        tokens.take(workspace, static_cast<std::uint64_t>(now), {now});
        for (const auto asked = tokens.asks(all_slots, {now});
             const auto& ask : asked.asks)
        {
            tokens.on_grant(
                asked.number, workspace, ask.slot, granted(ask.wanted, 50),
                {now});
        }
        tokens.decide({now});
    }
    // 100 requests a second: about 25 tokens are at hand.
    std::size_t at_once = 0;
    while (tokens.take(workspace, 9999, {2000}))
    {
        ++at_once;
    }
    CHECK(at_once > 15);
    CHECK(at_once < 35);
}

TEST_CASE("more requests than the quota can serve in time are refused at once")
{
    quota_tokens tokens(window, 1);
    tokens.apply({slow_limit});
    std::size_t waiting = 0;
    while (!tokens.take(workspace, waiting, {0}))
    {
        ++waiting;
        REQUIRE(waiting < 100);
    }
    CHECK(waiting == 14);
    CHECK(tokens.waiting_count() == 14);
}

TEST_CASE("a lower limit drops tokens and answers under the old one")
{
    quota_tokens tokens(window, 1);
    tokens.apply({{workspace, 600, 600}});
    tokens.take(workspace, 1, {0});
    const auto asked = tokens.asks(all_slots, {0});
    tokens.apply({slow_limit});
    tokens.on_grant(asked.number, workspace, 0, granted(1), {5});
    CHECK(tokens.decide({5}).empty());
}
