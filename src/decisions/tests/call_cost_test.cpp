#include "decisions/call_cost.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
const auto lookup = call_kind("lookup", 100);
const auto report = call_kind("report", 100);
} // namespace

TEST_CASE("requests of one order of magnitude are of one kind")
{
    CHECK(call_kind("lookup", 0) == lookup);
    CHECK(call_kind("lookup", 1000) == lookup);
    CHECK(call_kind("lookup", 1'000'000) != lookup);
    CHECK(report != lookup);
}

// Guards against a cost that is learned from the targets which happen to serve
// the calls.
TEST_CASE("a slow target does not make its calls look expensive")
{
    call_cost costs;
    server_slowness fast;
    server_slowness slow;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    for (int i = 0; i < 3000; ++i)
    {
        const auto served = [&](std::uint64_t kind, double ms, auto& by)
        {
            const double service = ms * spread(random);
            costs.on_served(kind, {static_cast<std::int64_t>(service)}, by);
        };
        served(lookup, 40.0 / 1.5, fast);
        served(lookup, 40.0 * 1.5, slow);
        // Only the slow target serves these.
        served(report, 200.0 * 1.5, slow);
    }
    const double ratio = costs.expected_ms(report) / costs.expected_ms(lookup);
    CHECK(ratio == doctest::Approx(5).epsilon(0.15));
    CHECK(slow.factor() / fast.factor() == doctest::Approx(2.25).epsilon(0.2));
}

// Guards against calls that are overdue and count as done.
TEST_CASE("a call that has run longer than expected has its likely rest left")
{
    call_cost costs;
    server_slowness average;
    for (int i = 0; i < 400; ++i)
    {
        const bool expensive = i % 20 == 0;
        costs.on_served(report, {expensive ? 1400 : 200}, average);
    }
    CHECK(costs.expected_ms(report) == doctest::Approx(260).epsilon(0.1));
    // Beyond the cheap calls only the expensive ones remain.
    CHECK(
        costs.expected_rest_ms(report, 400) ==
        doctest::Approx(1000).epsilon(0.2));
    CHECK(costs.expected_rest_ms(report, 5000) > 0);
}

TEST_CASE("calls of a kind without samples count as average")
{
    call_cost costs;
    server_slowness average;
    CHECK(costs.expected_ms(report) == 0);
    for (int i = 0; i < 100; ++i)
    {
        costs.on_served(lookup, {40}, average);
    }
    CHECK(costs.expected_ms(report) == doctest::Approx(40).epsilon(0.1));
}

// Guards against memory that grows with the paths that callers send.
TEST_CASE("a kind in use is kept while many others come and go")
{
    call_cost costs;
    server_slowness average;
    for (std::uint64_t i = 1; i <= 5000; ++i)
    {
        costs.on_served(report, {200}, average);
        costs.on_served(
            call_kind("other" + std::to_string(i), 0), {10}, average);
    }
    CHECK(costs.expected_ms(report) > 100);
}

TEST_CASE("outstanding work is never negative and ends with its calls")
{
    rc::check(
        [](std::vector<std::uint8_t> steps)
        {
            outstanding_work work;
            std::vector<call_work> waiting;
            std::vector<std::uint64_t> running;
            std::uint64_t last_id = 0;
            base::time_ms now;
            for (const auto step : steps)
            {
                now = now + base::duration_ms{step};
                if (step % 3 == 0)
                {
                    waiting.push_back(work.on_wait(step % 2 ? lookup : report));
                }
                else if (step % 3 == 1 && !waiting.empty())
                {
                    running.push_back(++last_id);
                    work.on_start(last_id, waiting.back(), now);
                    waiting.pop_back();
                }
                else if (!running.empty())
                {
                    work.on_end(running.back());
                    running.pop_back();
                    work.on_served(lookup, {step});
                }
                RC_ASSERT(work.left_ms(2, now) >= 0);
            }
            for (auto& call : waiting)
            {
                work.on_wait_end(call);
            }
            for (const auto id : running)
            {
                work.on_end(id);
            }
            RC_ASSERT(work.left_ms(2, now) < 0.001);
        });
}
