#include "decisions/concurrency_limit.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! The limit decreases at most once in this time.
constexpr base::duration_ms decrease_interval{100};
//! Factors of one decrease, and the shares of the slots at which it stops.
constexpr double shed_factor = 0.9;
constexpr double slowdown_factor = 0.95;
constexpr double shed_lowest_share = 0.1;
constexpr double slowdown_lowest_share = 0.5;
//! Average slowdown above which a busy backend server counts as overloaded.
constexpr double slowdown_threshold = 2.0;
//! Weight of a new sample in the moving average of the slowdown.
constexpr double slowdown_weight = 0.1;
//! Factor of one decrease, and the share of the slots at which it stops, with
//! exact slots.
constexpr double exact_shed_factor = 0.95;
constexpr double exact_lowest_share = 0.7;
//! From this share of its slots in use on, a backend server with exact slots
//! may shed calls because it is full.
constexpr double full_share = 0.5;
//! Additive growth of the limit, in slots for each completed call.
constexpr double growth_per_completion = 0.05;
} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : slots(slots), current(slots)
{
}

void concurrency_limit::set_slots(std::uint32_t slots)
{
    const double ratio = this->current / this->slots;
    this->slots = slots;
    this->current = std::max(1.0, ratio * this->slots);
}

void concurrency_limit::set_exact(bool exact)
{
    this->exact = exact;
}

void concurrency_limit::on_completion(
    completion kind, double slowdown, std::uint32_t in_flight,
    base::time_ms now)
{
    if (kind == completion::ignored)
    {
        return;
    }
    if (this->exact)
    {
        this->on_exact_completion(kind, in_flight, now);
        return;
    }
    if (kind != completion::served)
    {
        this->decrease(shed_factor, shed_lowest_share, now);
        return;
    }
    this->recent_slowdown +=
        slowdown_weight * (slowdown - this->recent_slowdown);
    const bool busy = in_flight + 1 >= this->value();
    if (this->recent_slowdown > slowdown_threshold && busy)
    {
        this->decrease(slowdown_factor, slowdown_lowest_share, now);
        return;
    }
    this->current =
        std::min(this->slots, this->current + growth_per_completion);
}

void concurrency_limit::on_exact_completion(
    completion kind, std::uint32_t in_flight, base::time_ms now)
{
    if (kind == completion::shed)
    {
        // A backend server that sheds calls while most of its slots are free
        // does not do so for lack of slots.
        if (in_flight >= this->slots * full_share)
        {
            this->decrease(exact_shed_factor, exact_lowest_share, now);
        }
        return;
    }
    this->current =
        std::min(this->slots, this->current + growth_per_completion);
}

std::uint32_t concurrency_limit::value() const
{
    return std::max(1U, static_cast<std::uint32_t>(this->current));
}

std::uint32_t concurrency_limit::upper_bound() const
{
    return static_cast<std::uint32_t>(this->slots);
}

void concurrency_limit::decrease(
    double factor, double lowest_share, base::time_ms now)
{
    if (now - this->last_decrease < decrease_interval)
    {
        return;
    }
    this->last_decrease = now;
    const double bound = std::min(this->current, this->slots * lowest_share);
    this->current = std::max({1.0, bound, this->current * factor});
}
} // namespace bilberrytally::decisions
