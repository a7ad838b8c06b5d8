#include "decisions/target_table.hpp"
#include "decisions/tests/zone_callers.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
constexpr std::size_t zone_count = 4;
constexpr std::int64_t play_ms = 20000;
//! Times that a call and its nested calls pass the node of its target.
constexpr double passes = 12;
constexpr double service_ms = 200;
//! The caller's caller gives up after this time, before the objective of the
//! call itself is missed.
constexpr std::int64_t timeout_ms = 600;
constexpr base::duration_ms objective{1200};
//! Calls a second that the processor of a node can pass on.
constexpr double node_rate = 700;

//! Calls a second in each zone: more than its node can do in the last one, but
//! less than all nodes together can.
constexpr std::array<double, zone_count> rates{500, 550, 600, 850};

struct busy_result
{
    double calls{0};
    double in_time{0};
};

//! Plays targets whose nodes, not their backend servers, run full: all work of
//! a node waits in one queue. \p reported says whether callers are told.
busy_result play(bool reported)
{
    auto tables = make_zone_callers(zone_count);
    std::mt19937_64 random{11};
    std::uniform_real_distribution<double> uniform;
    std::array<double, zone_count> backlog_ms{};
    struct call
    {
        std::size_t caller;
        std::size_t target;
        std::int64_t started;
    };
    std::multimap<std::int64_t, call> ends;
    busy_result result;
    double mean_latency_ms = service_ms;
    const auto end_call = [&](const call& ended, std::int64_t now)
    {
        const auto took = now - ended.started;
        const bool in_time = took <= timeout_ms;
        mean_latency_ms += 0.02 * (static_cast<double>(took) - mean_latency_ms);
        schema::load_report load;
        load.valid = true;
        load.limit = 500;
        load.floor = UINT8_MAX;
        load.input_delay_ms =
            reported ? static_cast<std::uint32_t>(backlog_ms[ended.target]) : 0;
        const base::duration_ms relative{
            std::llround(100 * static_cast<double>(took) / mean_latency_ms)};
        tables[ended.caller].on_result(
            zone_name(ended.target), {true, !in_time, false, relative, load},
            {now});
        result.in_time += in_time ? 1 : 0;
    };
    for (std::int64_t now = 0; now < play_ms; ++now)
    {
        while (!ends.empty() && ends.begin()->first <= now)
        {
            end_call(ends.begin()->second, ends.begin()->first);
            ends.erase(ends.begin());
        }
        for (std::size_t zone = 0; zone < zone_count; ++zone)
        {
            backlog_ms[zone] = std::max(0.0, backlog_ms[zone] - 1);
            if (uniform(random) >= rates[zone] / 1000)
            {
                continue;
            }
            ++result.calls;
            const auto chosen = tables[zone].choose(
                {}, random, {now}, {mean_latency_ms, objective, 0});
            REQUIRE(chosen);
            const auto target = zone_of(*chosen);
            tables[zone].on_dispatch(chosen->instance, {now});
            backlog_ms[target] += 1000 / node_rate;
            const auto latency =
                std::llround(service_ms + passes * backlog_ms[target]);
            // A call that is given up ends then.
            ends.emplace(
                now + std::min<std::int64_t>(latency, timeout_ms + 1),
                call{zone, target, now});
        }
    }
    return result;
}
} // namespace

TEST_CASE("calls leave a target whose node has no processor time left")
{
    const auto result = play(true);
    const auto before = play(false);
    CHECK(result.in_time >= 0.97 * result.calls);
    CHECK(before.in_time < 0.9 * before.calls);
}
