#include "decisions/admission.hpp"
#include "decisions/rate_limit.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
//! What the callers of a backend server with a stated rate limit got.
struct limited_result
{
    //! When calls started, in ms.
    std::vector<std::int64_t> starts;
    std::size_t important{0};
    std::size_t important_started{0};
    //! Longest wait of a call that started, in ms.
    std::int64_t longest_wait{0};
};

//! Offers \p offered calls a second for \p seconds, one in five important, to a
//! backend server with many slots that states \p per_s in each response.
limited_result
play_limit(double per_s, std::int64_t offered, std::int64_t seconds)
{
    constexpr std::int64_t ms_per_s = 1000;
    constexpr std::int64_t service_ms = 140;
    constexpr std::int64_t timeout_ms = 1200;
    constexpr std::uint64_t important_one_in = 5;
    admission target(100);
    schema::service_policy policy;
    policy.slots = 100;
    policy.exact_slots = true;
    policy.max_wait_ms = 2000;
    target.apply(policy);
    limited_result result;
    std::multimap<std::int64_t, std::uint64_t> ends;
    std::map<std::uint64_t, std::int64_t> arrived;
    const auto apply = [&](const admission_actions& actions, std::int64_t now)
    {
        for (const auto id : actions.start)
        {
            result.starts.push_back(now);
            result.important_started += id % important_one_in == 0 ? 1 : 0;
            result.longest_wait =
                std::max(result.longest_wait, now - arrived.at(id));
            ends.emplace(now + service_ms, id);
        }
    };
    std::uint64_t next_id = 1;
    target.on_stated_rate(per_s, {0});
    for (std::int64_t now = 0; now < seconds * ms_per_s; ++now)
    {
        while (!ends.empty() && ends.begin()->first <= now)
        {
            const auto id = ends.begin()->second;
            ends.erase(ends.begin());
            target.on_stated_rate(per_s, {now});
            apply(
                target.finish(id, completion::served, {service_ms}, {now}),
                now);
        }
        apply(target.advance({now}), now);
        const auto due =
            static_cast<std::uint64_t>((now + 1) * offered / ms_per_s);
        while (next_id <= due)
        {
            admission_request request;
            request.id = next_id++;
            const bool important = request.id % important_one_in == 0;
            result.important += important ? 1 : 0;
            request.priority = important ? 0 : 4;
            request.deadline = {now + timeout_ms};
            arrived[request.id] = now;
            apply(target.offer(request, {now}), now);
        }
    }
    return result;
}

//! Largest number of starts in any span of \p span_ms.
std::size_t
most_starts(const std::vector<std::int64_t>& starts, std::int64_t span_ms)
{
    std::size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first)
    {
        const auto last =
            std::upper_bound(first, starts.end(), *first + span_ms);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}
} // namespace

TEST_CASE("a backend server gets no more calls a second than it states")
{
    for (const double per_s : {0.0, 0.7, 3.0, 30.5, 200.0})
    {
        const auto result = play_limit(per_s, 400, 20);
        const auto most = static_cast<double>(most_starts(result.starts, 4000));
        CHECK(most <= 1.1 * 4 * std::max(per_s, 0.5) + 2);
        // The capacity that is left is used.
        CHECK(
            static_cast<double>(result.starts.size()) >=
            0.95 * 20 * std::max(per_s, 0.5) - 1);
    }
}

TEST_CASE("important calls are served under a rate limit, without long waits")
{
    // 80 important calls a second are less than the limit of 100.
    const auto result = play_limit(100, 400, 20);
    CHECK(result.important_started >= result.important * 98 / 100);
    CHECK(result.longest_wait < 1200);
}

TEST_CASE("a rate limit holds while it is stated and is lifted after")
{
    rate_limit limit;
    CHECK(limit.allows({0}));
    limit.on_response(10, {1000});
    CHECK_FALSE(limit.allows({1000}));
    CHECK(limit.allows({1100}));
    limit.on_start({1100});
    CHECK_FALSE(limit.allows({1150}));
    // A single response without the limit does not lift it.
    limit.on_response(std::nullopt, {1200});
    CHECK(limit.rate() == 10);
    limit.on_response(20, {1300});
    CHECK(limit.rate() == 20);
    limit.on_response(std::nullopt, {1800});
    CHECK_FALSE(limit.rate());
    CHECK(limit.allows({1800}));
}

TEST_CASE("numbers that are no rate state no limit")
{
    for (const double per_s :
         {-1.0, std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()})
    {
        rate_limit limit;
        limit.on_response(per_s, {1000});
        CHECK_FALSE(limit.rate());
    }
    rate_limit limit;
    limit.on_response(1e300, {1000});
    CHECK(limit.allows({1001}));
}

TEST_CASE("callers are told how many calls run under a rate limit")
{
    admission target(100);
    target.on_stated_rate(10, {0});
    // Without a measured service time the concurrency limit is told.
    CHECK(target.report({0}).limit == 100);
    admission_request request;
    request.deadline = {10000};
    for (request.id = 1; request.id <= 3; ++request.id)
    {
        const base::time_ms now{static_cast<std::int64_t>(request.id) * 1000};
        REQUIRE(target.offer(request, now).start.size() == 1);
        target.finish(
            request.id, completion::served, {200},
            now + base::duration_ms{200});
    }
    CHECK(target.report({4000}).limit == 2);
}
