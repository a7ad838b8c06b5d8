#include "decisions/fleet_retry_budget.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
void fleet_retry_budget::set_limits(
    double ratio, double extra, base::duration_ms window)
{
    this->ratio = ratio;
    this->extra = extra;
    const auto slice_count = static_cast<std::int64_t>(slices);
    const base::duration_ms duration{std::max<std::int64_t>(
        (window.count + slice_count - 1) / slice_count, 1)};
    if (duration != this->slice_duration)
    {
        this->slice_duration = duration;
        this->services.clear();
    }
}

void fleet_retry_budget::on_first_attempt(
    const std::string& service, base::time_ms now)
{
    ++this->current_slice(service, now).first_attempts;
}

void fleet_retry_budget::on_rerun_call(
    const std::string& service, base::time_ms now)
{
    ++this->current_slice(service, now).retries;
}

bool fleet_retry_budget::is_within_budget(
    const std::string& service, base::time_ms now)
{
    this->current_slice(service, now);
    const auto oldest =
        this->slice_number(now) - static_cast<std::int64_t>(slices) + 1;
    double allowed = this->extra;
    double used = 0;
    for (const auto& entry : this->services.at(service))
    {
        if (entry.number >= oldest)
        {
            allowed += this->ratio * entry.first_attempts;
            used += entry.retries;
        }
    }
    return used + 1 <= allowed;
}

bool fleet_retry_budget::allow_retry(
    const std::string& service, base::time_ms now)
{
    if (!this->is_within_budget(service, now))
    {
        return false;
    }
    ++this->current_slice(service, now).retries;
    return true;
}

fleet_retry_budget::slice&
fleet_retry_budget::current_slice(const std::string& service, base::time_ms now)
{
    const auto number = this->slice_number(now);
    auto& entries = this->services[service];
    auto& entry = entries[static_cast<std::size_t>(number) % slices];
    if (entry.number != number)
    {
        entry = {number, 0, 0};
    }
    return entry;
}

std::int64_t fleet_retry_budget::slice_number(base::time_ms now) const
{
    return std::max<std::int64_t>(now.count, 0) / this->slice_duration.count;
}
} // namespace bilberrytally::decisions
