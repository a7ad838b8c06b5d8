#include "decisions/reroute_delay.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Answers without nested calls, in a row, before a call may be rerouted.
constexpr std::uint64_t min_samples = 50;
//! The delay is this quantile of the latency times this factor, and at least
//! the minimum.
constexpr double usual_share = 0.9;
constexpr std::int64_t usual_factor = 2;
constexpr base::duration_ms shortest{10};
} // namespace

void reroute_delay::on_answer(
    base::duration_ms latency, std::uint32_t descendants)
{
    this->latencies.add(latency);
    this->answers_without_descendants =
        descendants == 0 ? this->answers_without_descendants + 1 : 0;
}

double reroute_delay::usual() const
{
    return this->latencies.mean();
}

std::optional<base::duration_ms> reroute_delay::delay() const
{
    if (this->answers_without_descendants < min_samples)
    {
        return std::nullopt;
    }
    const auto usual = this->latencies.quantile(usual_share);
    return std::max(shortest, usual * usual_factor);
}
} // namespace bilberrytally::decisions
