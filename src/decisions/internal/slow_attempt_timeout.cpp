#include "decisions/slow_attempt_timeout.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Answers without nested calls, in a row, before a call may be rerouted.
constexpr std::uint64_t min_samples = 50;
//! The delay is this quantile of the latency times this factor, and at least
//! the minimum.
constexpr double delay_quantile = 0.9;
constexpr std::int64_t delay_factor = 2;
constexpr base::duration_ms min_delay{10};
} // namespace

void slow_attempt_timeout::on_answer(
    base::duration_ms latency, std::uint32_t nested_calls)
{
    this->latencies.add(latency);
    this->answers_without_nested_calls =
        nested_calls == 0 ? this->answers_without_nested_calls + 1 : 0;
}

double slow_attempt_timeout::mean_latency_ms() const
{
    return this->latencies.mean();
}

std::optional<base::duration_ms> slow_attempt_timeout::timeout() const
{
    if (this->answers_without_nested_calls < min_samples)
    {
        return std::nullopt;
    }
    const auto latency = this->latencies.quantile(delay_quantile);
    return std::max(min_delay, latency * delay_factor);
}
} // namespace bilberrytally::decisions
