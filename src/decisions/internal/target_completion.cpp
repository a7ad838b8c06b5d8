#include "decisions/target_table.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

// The part of target_table that places calls by their expected cost.
namespace bilberrytally::decisions
{
namespace
{
//! A report counts fully up to the first age and not at all from the second one
//! on; between them a growing share of the choices ignores it.
constexpr base::duration_ms report_fresh_age{600};
constexpr base::duration_ms report_expiry{2000};
//! Number of random targets that are compared. The best of all would get the
//! calls of all callers until its next report.
constexpr std::size_t compared_targets = 3;
//! Share of the latency objective up to which an answer is early enough. Less
//! than 1, since single calls take longer than expected.
constexpr double timely_share = 0.5;
//! Weights of the expected latency, in latency objectives, against the share of
//! slots in use: of all of it, and of what exceeds the timely share. An earlier
//! answer is worth little to a caller that gets a timely one.
constexpr double timely_weight = 0.6;
constexpr double late_weight = 2.0;
//! Objective of calls that state none, in times of their expected cost.
constexpr double default_objective_ratio = 4.0;
//! Number of calls by which the estimate of a target's calls may be wrong.
constexpr double call_count_error = 2.0;
//! Lowest remaining work of a call in times of the average work, so that a
//! false report of no work does not hide the calls.
constexpr double min_rest_share = 0.2;
//! Weight of a report in the moving average of load_ratio, and its bound.
constexpr double load_ratio_weight = 0.2;
constexpr double max_load_ratio = 8.0;
//! Weight of an answer in the moving average of the waiting time.
constexpr double waited_weight = 0.2;
//! A target whose calls wait this many times as long as its reports let expect
//! reports too little.
constexpr double doubted_wait_ratio = 2.0;
//! Keeps the exponential function in range.
constexpr double max_exponent = 50.0;
//! Time after the last answer over which the observed waiting time loses its
//! part in the choice, so that a target which was busy is tried again.
constexpr base::duration_ms waited_lifetime{1000};
} // namespace

void target_table::set_placement_by_cost(bool enabled)
{
    this->placed_by_cost = enabled;
}

target_table::target* target_table::best_by_cost(
    std::vector<target*>& pool, const call_profile& profile,
    std::mt19937_64& random, base::time_ms now) const
{
    if (!this->placed_by_cost)
    {
        return nullptr;
    }
    const base::duration_ms max_age{std::uniform_int_distribution<std::int64_t>(
        report_fresh_age.count, report_expiry.count)(random)};
    const auto compared = std::min(pool.size(), compared_targets);
    target* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < compared; ++i)
    {
        std::swap(pool[i], pool[i + random() % (pool.size() - i)]);
        if (!has_work_report(*pool[i], max_age, now))
        {
            return nullptr;
        }
        const double score = this->placement_score(*pool[i], profile, now);
        if (score < best_score)
        {
            best = pool[i];
            best_score = score;
        }
    }
    return best;
}

double target_table::placement_score(
    const target& candidate, const call_profile& profile,
    base::time_ms now) const
{
    const double used =
        calls_at(candidate) / std::max(candidate.reported_limit, 1U);
    const double objective =
        profile.latency_objective.count > 0
            ? static_cast<double>(profile.latency_objective.count)
            : std::max(
                  default_objective_ratio *
                      this->costs.expected_ms(profile.kind),
                  1.0);
    const double completion =
        this->completion_ms(candidate, profile, now) / objective;
    return used / warmup_share(candidate, now) + timely_weight * completion +
           late_weight * std::max(completion - timely_share, 0.0);
}

double target_table::completion_ms(
    const target& candidate, const call_profile& profile,
    base::time_ms now) const
{
    if (!has_work_report(candidate, report_expiry, now))
    {
        return this->expected_ms(candidate, profile, now);
    }
    const double service =
        this->costs.expected_ms(profile.kind) * candidate.slowness.factor();
    const double total = this->expected_wait_ms(candidate, now) + service;
    const auto objective = static_cast<double>(profile.latency_objective.count);
    return std::max(total, unanswered_ms(candidate, now)) +
           candidate.failed_share * objective;
}

double
target_table::expected_wait_ms(const target& candidate, base::time_ms now) const
{
    const double slots = std::max(candidate.reported_limit, 1U);
    const double calls = std::max(calls_at(candidate), 1.0);
    const double work_to_slot_ms = candidate.slowness.factor() / slots;
    const double work_ms =
        candidate.reported_work_ms.value_or(0) +
        candidate.sent_work_ms * candidate.load_ratio * work_to_slot_ms;
    const double rest_ms = std::max(
        work_ms / calls,
        min_rest_share * this->costs.expected_ms(0) * work_to_slot_ms);
    // Calls that have to end before this one starts, smoothed by the error of
    // the estimate.
    const double before =
        std::min((calls + 1 - slots) / call_count_error, max_exponent);
    const double wait_ms =
        rest_ms * call_count_error * std::log1p(std::exp(before));
    // Guards against a target that reports too little.
    const auto age = static_cast<double>((now - candidate.waited_at).count);
    const double recent =
        std::max(1 - age / static_cast<double>(waited_lifetime.count), 0.0);
    const double observed_ms = recent * candidate.waited_ms;
    return observed_ms > doubted_wait_ratio * wait_ms ? observed_ms : wait_ms;
}

double target_table::calls_at(const target& candidate)
{
    const double calls =
        candidate.reported_in_flight +
        static_cast<double>(candidate.sent_calls) * candidate.load_ratio;
    return std::max(calls, static_cast<double>(candidate.in_flight));
}

bool target_table::has_work_report(
    const target& candidate, base::duration_ms max_age, base::time_ms now)
{
    return candidate.reported_work_ms && now - candidate.reported_at < max_age;
}

void target_table::update_costs(
    target& candidate, const dispatch_result& result, base::time_ms now)
{
    if (!this->placed_by_cost)
    {
        return;
    }
    --candidate.sent_calls;
    candidate.sent_work_ms -= this->costs.expected_ms(result.kind);
    if (result.load.valid)
    {
        candidate.reported_work_ms.reset();
        candidate.sent_calls = 0;
        candidate.sent_work_ms = 0;
        if (result.load.work_left_ms > 0)
        {
            // The field holds 1 more, since 0 says that it is unknown.
            candidate.reported_work_ms = result.load.work_left_ms - 1;
        }
        const double ratio =
            result.load.in_flight / (candidate.in_flight + 1.0);
        candidate.load_ratio = std::clamp(
            candidate.load_ratio +
                load_ratio_weight * (ratio - candidate.load_ratio),
            1.0, max_load_ratio);
    }
    if (!result.service_time)
    {
        return;
    }
    this->costs.on_served(
        result.kind, *result.service_time, candidate.slowness);
    const auto waited =
        static_cast<double>((result.elapsed - *result.service_time).count);
    candidate.waited_ms +=
        waited_weight * (std::max(waited, 0.0) - candidate.waited_ms);
    candidate.waited_at = now;
}
} // namespace bilberrytally::decisions
