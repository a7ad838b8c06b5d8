#include "decisions/tests/quota_fleet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <functional>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::decisions;
using quota_fleet::fleet;

namespace
{
using quota_fleet::tick_ms;
constexpr double ms_per_s = 1000;

//! Seed of a random history. The number of histories is set by RC_PARAMS, for
//! example "seed=1 max_success=10000".
std::uint64_t draw_seed()
{
    return *rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

quota_limit draw_limit(fleet& draws)
{
    const double rate = std::exp(std::uniform_real_distribution<>(
        std::log(5), std::log(400))(draws.random));
    const double bursts[] = {0, 0.3 * rate, rate, 3 * rate};
    return {
        quota_fleet::workspace, rate,
        bursts[static_cast<std::size_t>(draws.draw(0, 3))]};
}

//! A step of a scenario, at its time.
struct planned_step
{
    std::int64_t at{0};
    std::function<void(fleet&)> run;
};

//! Changes the listing of a node and changes it back, while some nodes are cut
//! from the store, so that they see only one of the changes, or none.
std::vector<planned_step> plan_flap(fleet& members, std::size_t index)
{
    const auto age = members.max_proof_age.count;
    const auto first = members.now + members.draw(0, age);
    const auto second =
        first + members.draw(tick_ms, members.chance(0.5) ? age : 4 * age);
    const auto toggle = [index](fleet& changed)
    {
        changed.listed[index].listed = !changed.listed[index].listed;
        ++changed.listed[index].version;
    };
    const bool others_cut = members.chance(0.5);
    const auto cut = [index](bool node_cut, bool rest_cut)
    {
        return [=](fleet& changed)
        {
            for (std::size_t i = 0; i < changed.nodes.size(); ++i)
            {
                changed.nodes[i].cut_from_store =
                    i == index ? node_cut : rest_cut;
            }
        };
    };
    std::vector<planned_step> result{
        {first - members.draw(0, age / 4), cut(false, others_cut)},
        {first, toggle},
        {second, toggle},
        {second + age, cut(false, false)}};
    if (members.chance(0.5))
    {
        // Only after the change has arrived at the others.
        result.push_back(
            {second - members.draw(0, second - first),
             cut(others_cut, !others_cut)});
    }
    else
    {
        result.push_back({second, cut(others_cut, !others_cut)});
    }
    return result;
}

//! Something that happens to the fleet.
void disturb(fleet& members, const quota_limit& limit)
{
    const auto index = static_cast<std::size_t>(
        members.draw(0, static_cast<std::int64_t>(members.nodes.size()) - 1));
    auto& target = members.nodes[index];
    auto& entry = members.listed[index];
    switch (members.draw(0, 12))
    {
    case 0:
        target.up = false;
        return;
    case 1:
    case 2:
        members.start(index);
        return;
    case 3:
    case 4:
        entry.listed = !entry.listed;
        entry.leaving = false;
        ++entry.version;
        return;
    case 5:
        entry.leaving = !entry.leaving;
        ++entry.version;
        return;
    case 6:
        target.frozen = !target.frozen;
        return;
    case 7:
        target.cut_from_store = !target.cut_from_store;
        return;
    case 8:
        for (auto& member : members.nodes)
        {
            member.cut_from_store = member.zone == target.zone;
        }
        members.cut_zone = target.zone;
        return;
    case 9:
        for (auto& member : members.nodes)
        {
            member.cut_from_store = false;
            member.frozen = false;
        }
        members.cut_zone.clear();
        return;
    case 10:
        target.demand_per_s =
            limit.rate_per_s * static_cast<double>(members.draw(0, 5));
        return;
    case 11:
        for (auto& member : members.nodes)
        {
            member.demand_per_s = limit.rate_per_s *
                                  static_cast<double>(members.draw(0, 30)) / 10;
        }
        return;
    default:
        members.arrive(
            index, static_cast<std::size_t>(limit.burst + limit.rate_per_s));
    }
}

struct history_totals
{
    std::size_t granted{0};
    std::size_t refused{0};
};

//! Plays a random history and checks the bound in all its windows.
void play_history(std::uint64_t seed, history_totals& totals)
{
    std::mt19937_64 setup(seed);
    const auto draw = [&](std::int64_t from, std::int64_t to)
    { return std::uniform_int_distribution<std::int64_t>(from, to)(setup); };
    const std::int64_t ages[] = {300, 800, 2000};
    const base::duration_ms age{ages[draw(0, 2)]};
    const auto nodes = static_cast<std::size_t>(draw(2, 8));
    fleet limits(seed, 0, 1, age, {});
    auto limit = draw_limit(limits);
    fleet members(
        setup(), nodes, static_cast<std::size_t>(draw(1, 3)), age, limit);
    members.link.loss = draw(0, 3) == 0 ? 0.2 : 0;
    members.link.disorder = draw(0, 1) == 0 ? 0.1 : 0;
    // Half of the histories concentrate on changes of the list.
    const bool flaps = draw(0, 1) == 0;
    const double flaps_per_s = flaps ? 1 : 0;
    const double events_per_s =
        static_cast<double>(flaps ? draw(0, 2) : draw(1, 40)) / 10;
    const double overload = static_cast<double>(draw(5, 75)) / 10;
    for (auto& member : members.nodes)
    {
        member.demand_per_s =
            overload * limit.rate_per_s / static_cast<double>(nodes);
    }
    const auto end = 3 * age.count + draw(8000, 14000);
    std::vector<planned_step> plan;
    while (members.now < end)
    {
        members.step();
        if (plan.empty() && members.chance(flaps_per_s * tick_ms / ms_per_s))
        {
            plan = plan_flap(
                members, static_cast<std::size_t>(members.draw(
                             0, static_cast<std::int64_t>(nodes) - 1)));
        }
        std::erase_if(
            plan,
            [&](const auto& step)
            {
                const bool due = step.at <= members.now;
                if (due)
                {
                    step.run(members);
                }
                return due;
            });
        if (members.chance(events_per_s * quota_fleet::tick_ms / ms_per_s))
        {
            disturb(members, limit);
        }
        if (members.chance(0.0005))
        {
            limit.rate_per_s *= 0.4;
            limit.burst *= 0.4;
            members.set_limit(limit);
        }
    }
    totals.granted += members.granted.size();
    totals.refused += members.refused;
    // The bound that users are promised.
    RC_ASSERT(members.largest_excess(6.25, 1.25, 20) <= 0);
    // The bound of the design: tokens live for 0.5 s, and each of the six slots
    // may hold one token more than its share of the burst.
    RC_ASSERT(members.largest_excess(5.5, 1, quota_slot_count) <= 0);
    // What it follows from: at most one node issues the tokens of a slot at a
    // time, and tokens are not used after 0.5 s.
    RC_ASSERT(members.slot_excess < 0.001);
    RC_ASSERT(members.lifetime_excess({500}) <= 0);
}
} // namespace

TEST_CASE("a workspace never exceeds its quota in any window, whatever fails")
{
    history_totals totals;
    const bool held = rc::check(
        "bound in random histories",
        [&] { play_history(draw_seed(), totals); });
    CHECK(held);
    // The histories must not pass because nothing is granted or refused.
    CHECK(totals.granted > 1000);
    CHECK(totals.refused > 1000);
}

namespace
{
//! Runs a fleet until its holders grant tokens and their buckets are full.
void warm_up(fleet& members)
{
    while (members.now < 3 * members.max_proof_age.count + 5000)
    {
        members.step();
    }
}
} // namespace

TEST_CASE("a workspace below its quota is refused nothing, even if all its "
          "callers are at one node")
{
    std::size_t arrived = 0;
    const bool held = rc::check(
        "all callers at one node, no failure",
        [&]
        {
            std::mt19937_64 setup(draw_seed());
            const auto draw = [&](std::int64_t from, std::int64_t to) {
                return std::uniform_int_distribution<std::int64_t>(from, to)(
                    setup);
            };
            // Rates and use as observed.
            const double rate = static_cast<double>(draw(13, 390));
            const auto nodes = static_cast<std::size_t>(draw(3, 69));
            fleet members(
                setup(), nodes, 3, {2000},
                {quota_fleet::workspace, rate, rate});
            warm_up(members);
            auto& entry = members.nodes[0];
            entry.demand_per_s = rate / 1.6;
            const auto end = members.now + 15000;
            while (members.now < end)
            {
                members.step();
            }
            arrived += members.arrived;
            RC_ASSERT(members.refused == 0U);
        });
    CHECK(held);
    CHECK(arrived > 10000);
}

TEST_CASE("callers at all nodes that stay below the quota are refused nothing")
{
    const bool held = rc::check(
        "callers at all nodes, no failure",
        [&]
        {
            std::mt19937_64 setup(draw_seed());
            const auto draw = [&](std::int64_t from, std::int64_t to) {
                return std::uniform_int_distribution<std::int64_t>(from, to)(
                    setup);
            };
            const double rate = static_cast<double>(draw(13, 390));
            const auto nodes = static_cast<std::size_t>(draw(3, 69));
            fleet members(
                setup(), nodes, 3, {2000},
                {quota_fleet::workspace, rate, rate});
            warm_up(members);
            for (auto& member : members.nodes)
            {
                member.demand_per_s = rate / 1.6 / static_cast<double>(nodes);
            }
            const auto end = members.now + 10000;
            while (members.now < end)
            {
                members.step();
            }
            RC_ASSERT(members.refused == 0U);
        });
    CHECK(held);
}

TEST_CASE("a burst of a workspace that has been silent passes at one node")
{
    for (const double rate : {13.0, 60.0, 390.0})
    {
        CAPTURE(rate);
        fleet members(1, 12, 3, {2000}, {quota_fleet::workspace, rate, rate});
        warm_up(members);
        members.arrive(0, static_cast<std::size_t>(rate));
        const auto end = members.now + 500;
        while (members.now < end)
        {
            members.step();
        }
        CHECK(members.granted.size() == static_cast<std::size_t>(rate));
        CHECK(members.refused == 0);
    }
}

TEST_CASE("an overloaded workspace gets nearly its whole quota at many nodes")
{
    for (const double rate : {13.0, 60.0, 390.0})
    {
        CAPTURE(rate);
        fleet members(1, 60, 3, {2000}, {quota_fleet::workspace, rate, rate});
        warm_up(members);
        for (auto& member : members.nodes)
        {
            member.demand_per_s = 3 * rate / 60;
        }
        const auto end = members.now + 20000;
        while (members.now < end)
        {
            members.step();
        }
        MESSAGE(
            "granted " << members.granted.size() << " refused "
                       << members.refused << " asks " << members.asks);
        CHECK(static_cast<double>(members.granted.size()) > 20 * rate * 0.9);
    }
}
