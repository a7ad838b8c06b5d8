#include "decisions/zone_preference.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Shares of the latency objective. Calls start to leave the zone if the
//! expected latency exceeds the first, and all but a few leave beyond the
//! second. The first is half, since single calls take longer than expected.
constexpr double first_leaving_share = 0.5;
constexpr double all_leaving_share = 1.0;
//! Calls leave only for a target that costs less than this share of the local
//! one.
constexpr double worthwhile_share = 0.8;
constexpr double max_share_leaving = 0.9;
} // namespace

double share_leaving_zone(const zone_costs& costs, base::duration_ms objective)
{
    if (costs.best_ms >= worthwhile_share * costs.local_ms)
    {
        return 0;
    }
    const auto objective_ms = static_cast<double>(objective.count);
    const double first = first_leaving_share * objective_ms;
    const double last = all_leaving_share * objective_ms;
    const double share = (costs.local_ms - first) / (last - first);
    return std::clamp(share, 0.0, max_share_leaving);
}
} // namespace bilberrytally::decisions
