#include "decisions/retry_window.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
void retry_window::set_limits(
    double ratio, double extra, base::duration_ms window)
{
    this->ratio = ratio;
    this->extra = extra;
    const auto parts = static_cast<std::int64_t>(slices);
    const base::duration_ms span{
        std::max<std::int64_t>((window.count + parts - 1) / parts, 1)};
    if (span != this->slice_span)
    {
        this->slice_span = span;
        this->services.clear();
    }
}

void retry_window::on_fresh_call(const std::string& service, base::time_ms now)
{
    ++this->current(service, now).fresh;
}

void retry_window::on_repeated_call(
    const std::string& service, base::time_ms now)
{
    ++this->current(service, now).retries;
}

bool retry_window::has_room(const std::string& service, base::time_ms now)
{
    this->current(service, now);
    const auto oldest =
        this->number_at(now) - static_cast<std::int64_t>(slices) + 1;
    double allowed = this->extra;
    double used = 0;
    for (const auto& part : this->services.at(service))
    {
        if (part.number >= oldest)
        {
            allowed += this->ratio * part.fresh;
            used += part.retries;
        }
    }
    return used + 1 <= allowed;
}

bool retry_window::allow_retry(const std::string& service, base::time_ms now)
{
    if (!this->has_room(service, now))
    {
        return false;
    }
    ++this->current(service, now).retries;
    return true;
}

retry_window::slice&
retry_window::current(const std::string& service, base::time_ms now)
{
    const auto number = this->number_at(now);
    auto& parts = this->services[service];
    auto& part = parts[static_cast<std::size_t>(number) % slices];
    if (part.number != number)
    {
        part = {number, 0, 0};
    }
    return part;
}

std::int64_t retry_window::number_at(base::time_ms now) const
{
    return std::max<std::int64_t>(now.count, 0) / this->slice_span.count;
}
} // namespace bilberrytally::decisions
