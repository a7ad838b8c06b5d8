#include "decisions/retry_after.hpp"

#include <algorithm>
#include <cmath>

namespace bilberrytally::decisions
{
namespace
{
//! Refusals that are further apart belong to different overloads.
constexpr base::duration_ms longest_pause{1500};
//! Range of the usual Retry-After: time for a short queue to drain.
constexpr base::duration_ms shortest{300};
constexpr base::duration_ms usual_longest{1000};
//! Share of the time that the objective leaves for waiting. The request may
//! have to queue when it comes back.
constexpr std::int64_t in_time_percent = 75;
//! Part of the time left that a caller can spend on waiting.
constexpr std::int64_t waiting_share = 3;

//! Times between which callers come back.
struct return_range
{
    base::duration_ms first;
    base::duration_ms last;
};

return_range wanted_range(const refused_request& request)
{
    if (request.overloaded_for.count <= 0)
    {
        return {shortest, usual_longest};
    }
    const auto spare = request.objective_left - request.expected_latency;
    const base::duration_ms latest_in_time{spare.count * in_time_percent / 100};
    const bool can_be_in_time = latest_in_time >= shortest;
    const auto last = can_be_in_time
                          ? latest_in_time
                          : std::max(usual_longest, request.overloaded_for);
    return {std::max(shortest, base::duration_ms{last.count / 2}), last};
}
} // namespace

base::duration_ms
overload_periods::on_refusal(const std::string& service, base::time_ms now)
{
    const auto [entry, added] =
        this->periods.try_emplace(service, period{now, now});
    auto& current = entry->second;
    if (now - current.last > longest_pause)
    {
        current.first = now;
    }
    current.last = now;
    return now - current.first;
}

base::duration_ms
choose_retry_after(const refused_request& request, double position)
{
    const auto wanted = wanted_range(request);
    const base::duration_ms bound{
        std::max<std::int64_t>(request.time_left.count, 0) / waiting_share};
    const auto last = std::min(wanted.last, bound);
    const auto first = std::min(wanted.first, last);
    const auto range = static_cast<double>((last - first).count);
    return first + base::duration_ms{std::llround(position * range)};
}
} // namespace bilberrytally::decisions
