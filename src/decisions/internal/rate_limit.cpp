#include "decisions/rate_limit.hpp"

#include <algorithm>
#include <cmath>

namespace bilberrytally::decisions
{
namespace
{
//! A response without a limit lifts the limit only this long after the last one
//! that stated it, since single responses may leave it out.
constexpr base::duration_ms stated_hold{500};
//! Calls that may start at once after a pause: those of this time.
constexpr double burst_s = 0.1;
//! Some calls start however low the limit is, since only a response tells that
//! it has been lifted.
constexpr double lowest_per_s = 0.5;
constexpr double ms_per_s = 1000;
} // namespace

bool rate_limit::on_response(
    std::optional<double> stated_per_s, base::time_ms now)
{
    const auto before = this->per_s;
    const bool stated =
        stated_per_s && std::isfinite(*stated_per_s) && *stated_per_s >= 0;
    if (stated)
    {
        this->tokens = this->per_s ? this->tokens_at(now) : 0;
        this->counted_at = now;
        this->per_s = std::max(*stated_per_s, lowest_per_s);
        this->stated_at = now;
    }
    else if (now - this->stated_at >= stated_hold)
    {
        this->per_s.reset();
    }
    return this->per_s != before;
}

bool rate_limit::allows(base::time_ms now) const
{
    return !this->per_s || this->tokens_at(now) >= 1;
}

void rate_limit::on_start(base::time_ms now)
{
    this->tokens = this->tokens_at(now) - 1;
    this->counted_at = now;
}

std::optional<double> rate_limit::rate() const
{
    return this->per_s;
}

base::duration_ms rate_limit::time_for(double calls, base::time_ms now) const
{
    if (!this->per_s)
    {
        return {0};
    }
    const double missing = std::max(calls - this->tokens_at(now), 0.0);
    return {static_cast<std::int64_t>(
        std::ceil(ms_per_s * missing / *this->per_s))};
}

double rate_limit::tokens_at(base::time_ms now) const
{
    if (!this->per_s)
    {
        return 0;
    }
    const double elapsed_s =
        static_cast<double>((now - this->counted_at).count) / ms_per_s;
    return std::min(this->capacity(), this->tokens + elapsed_s * *this->per_s);
}

double rate_limit::capacity() const
{
    return std::max(1.0, burst_s * this->per_s.value_or(0));
}
} // namespace bilberrytally::decisions
