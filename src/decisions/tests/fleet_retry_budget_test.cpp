#include "decisions/fleet_retry_budget.hpp"

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
constexpr base::duration_ms window{10000};
constexpr double ratio = 0.08;
constexpr double extra = 1.5;

//! Times of first attempts and of allowed retries in ms.
struct history
{
    std::vector<std::int64_t> fresh;
    std::vector<std::int64_t> retries;
};

std::size_t count_within(
    const std::vector<std::int64_t>& times, std::int64_t from, std::int64_t to)
{
    std::size_t count = 0;
    for (const auto time : times)
    {
        count += time > from && time <= to ? 1 : 0;
    }
    return count;
}
} // namespace

TEST_CASE("the unused budget of the window allows a burst of retries")
{
    fleet_retry_budget budget;
    budget.set_limits(ratio, extra, window);
    for (std::int64_t time = 0; time < 10000; time += 20)
    {
        budget.on_first_attempt("s", {time});
    }
    int allowed = 0;
    for (int i = 0; i < 100; ++i)
    {
        allowed += budget.allow_retry("s", {10000}) ? 1 : 0;
    }
    // 475 to 500 calls count, since the oldest slice may have left the window.
    CHECK(allowed >= 39);
    CHECK(allowed <= 41);
}

TEST_CASE("retries stay within the budget in any window, at any load")
{
    std::mt19937_64 random(3);
    fleet_retry_budget budget;
    budget.set_limits(ratio, extra, window);
    history seen;
    std::int64_t now = 0;
    std::uint64_t longest_pause = 1;
    for (int i = 0; i < 20000; ++i)
    {
        if (i % 1000 == 0)
        {
            longest_pause = 1 + random() % 60;
        }
        now += static_cast<std::int64_t>(random() % longest_pause);
        budget.on_first_attempt("s", {now});
        seen.fresh.push_back(now);
        if (random() % 2 == 0 && budget.allow_retry("s", {now}))
        {
            seen.retries.push_back(now);
        }
    }
    REQUIRE(seen.retries.size() > 500);
    for (const auto end : seen.retries)
    {
        // One slice of the window may have left it already.
        const auto from = end - window.count;
        const auto used = static_cast<double>(
            count_within(seen.retries, from + window.count / 20, end));
        const auto fresh =
            static_cast<double>(count_within(seen.fresh, from, end));
        CHECK(used <= ratio * fresh + extra);
    }
}

TEST_CASE("calls repeated because their root was retried use up the budget")
{
    fleet_retry_budget budget;
    budget.set_limits(0.2, 0, window);
    for (int i = 0; i < 100; ++i)
    {
        budget.on_first_attempt("s", {i});
    }
    for (int i = 0; i < 15; ++i)
    {
        budget.on_rerun_call("s", {100});
    }
    int allowed = 0;
    for (int i = 0; i < 100; ++i)
    {
        allowed += budget.allow_retry("s", {101}) ? 1 : 0;
    }
    CHECK(allowed == 5);
}

TEST_CASE("each service has its own budget, and an idle one regains its extra")
{
    fleet_retry_budget budget;
    budget.set_limits(ratio, extra, window);
    CHECK(budget.allow_retry("a", {0}));
    CHECK_FALSE(budget.allow_retry("a", {0}));
    CHECK(budget.allow_retry("b", {0}));
    CHECK_FALSE(budget.allow_retry("a", {9000}));
    CHECK(budget.allow_retry("a", {10000}));
}
