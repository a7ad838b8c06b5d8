#include "decisions/tests/cost_simulation.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <utility>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
//! Means over the same seeds for every rule.
struct cost_summary
{
    double in_time_share{0};
    double crossed_share{0};
    std::int64_t p99_ms{0};
};

cost_summary play(cost_case scenario)
{
    constexpr std::uint64_t seeds = 4;
    cost_result sum;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed)
    {
        const auto result = cost_simulation(scenario).play();
        sum.calls += result.calls;
        sum.in_time += result.in_time;
        sum.crossed += result.crossed;
        sum.latencies.insert(
            sum.latencies.end(), result.latencies.begin(),
            result.latencies.end());
    }
    const auto p99 =
        sum.latencies.begin() +
        static_cast<std::ptrdiff_t>(sum.latencies.size() * 99 / 100);
    std::nth_element(sum.latencies.begin(), p99, sum.latencies.end());
    return {sum.in_time / sum.calls, sum.crossed / sum.calls, *p99};
}

//! Plays a case with today's choice and by cost; shows both in the test's log.
std::pair<cost_summary, cost_summary> compare(cost_case scenario)
{
    scenario.by_cost = false;
    const auto today = play(scenario);
    scenario.by_cost = true;
    const auto by_cost = play(scenario);
    MESSAGE(
        "load " << scenario.load << " in time " << today.in_time_share << " -> "
                << by_cost.in_time_share << ", p99 " << today.p99_ms << " -> "
                << by_cost.p99_ms << " ms, left the zone "
                << today.crossed_share << " -> " << by_cost.crossed_share);
    return {today, by_cost};
}

void check_fault(const cost_case& scenario)
{
    const auto [today, by_cost] = compare(scenario);
    CHECK(by_cost.in_time_share >= today.in_time_share);
}

//! Least expected work of the calls of this entry node alone.
std::size_t own_count(entry_state& entry, std::size_t, std::mt19937_64&)
{
    const auto& own = entry.own_work_ms;
    return static_cast<std::size_t>(
        std::min_element(own.begin(), own.end()) - own.begin());
}

//! Join-idle-queue.
std::size_t idle_queue(entry_state& entry, std::size_t, std::mt19937_64& random)
{
    if (entry.idle.empty())
    {
        return random() % entry.own_work_ms.size();
    }
    const auto chosen = entry.idle.front();
    entry.idle.pop_front();
    return chosen;
}

//! Lanes by size: target "e" has a sixth of the room, as the cheap calls need.
std::size_t
size_lanes(entry_state& entry, std::size_t route, std::mt19937_64& random)
{
    constexpr std::size_t cheap_lane = 4;
    auto lanes = entry;
    lanes.own_work_ms[cheap_lane] = INFINITY;
    return route == 1 ? cheap_lane : own_count(lanes, route, random);
}
} // namespace

TEST_CASE("calls are placed by cost at least as well at every load")
{
    for (const double load : {0.6, 0.7, 0.8, 0.9, 1.0, 1.1})
    {
        const auto [today, by_cost] = compare({load});
        CHECK(by_cost.in_time_share >= today.in_time_share);
        // The sampling error of the 99th percentile is some percent.
        CHECK(by_cost.p99_ms <= today.p99_ms * 105 / 100);
        // Near the limit the difference is clear.
        if (load >= 0.9)
        {
            CHECK(by_cost.in_time_share >= today.in_time_share + 0.02);
        }
    }
}

TEST_CASE("calls that are placed by cost stay local while that is in time")
{
    CHECK(play({0.6, true}).crossed_share < 0.05);
    CHECK(play({0.9, true}).crossed_share < 0.15);
}

TEST_CASE("placement by cost stands the loss of most reports")
{
    check_fault({0.9, false, {}, [](std::size_t, auto& report, auto& random) {
                     report.valid &= random() % 20 == 0;
                 }});
}

TEST_CASE("placement by cost stands a target that reports no work")
{
    check_fault({0.9, false, {}, [](std::size_t target, auto& report, auto&) {
                     report.work_left_ms *= target == 3 ? 0 : 1;
                 }});
}

TEST_CASE("placement by cost stands a target that sends no reports")
{
    check_fault({0.9, false, {}, [](std::size_t target, auto& report, auto&) {
                     report.valid &= target != 3;
                 }});
}

TEST_CASE("placement by cost stands a busy target that reports itself idle")
{
    check_fault(
        {0.9,
         false,
         {},
         [](std::size_t target, auto& report, auto&)
         {
             if (target == 0)
             {
                 report.work_left_ms = 1;
                 report.in_flight = 0;
             }
         }});
}

TEST_CASE("placement by cost stands a target that disappears")
{
    check_fault({0.8, false, {}, {}, true});
}

TEST_CASE("placement by cost beats the alternatives near the limit")
{
    const std::map<std::string, decltype(cost_case::alternative)> alternatives{
        {"idle queue", idle_queue},
        {"own count", own_count},
        {"size lanes", size_lanes}};
    for (const double load : {0.8, 0.9, 1.0})
    {
        // The alternatives know no zones, so all nodes are in one.
        const cost_case scenario{load, true, {}, {}, false, true};
        const auto by_cost = play(scenario);
        MESSAGE(
            "load " << load << ": by cost " << by_cost.in_time_share << ", "
                    << by_cost.p99_ms << " ms");
        for (const auto& [name, rule] : alternatives)
        {
            auto other_case = scenario;
            other_case.alternative = rule;
            const auto other = play(other_case);
            MESSAGE(
                "  " << name << " " << other.in_time_share << ", "
                     << other.p99_ms << " ms");
            if (load >= 0.9)
            {
                CHECK(by_cost.in_time_share >= other.in_time_share);
            }
        }
    }
}
