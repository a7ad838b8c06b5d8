#include "timeline/timeline.hpp"

#include "base/time.hpp"

#include <algorithm>

namespace bilberrytally::timeline
{
namespace
{
//! Low bits of a logical time that hold the counter.
constexpr unsigned counter_bits = 16;
} // namespace

timeline::timeline(std::size_t capacity)
{
    this->current.with([&](state& current)
                       { current.ring.set_capacity(capacity); });
}

logical_time timeline::tick()
{
    return this->current.with([](state& current) { return next(current); });
}

void timeline::observe(logical_time received)
{
    this->current.with([&](state& current)
                       { current.last = std::max(current.last, received); });
}

void timeline::record(event entry)
{
    this->current.with(
        [&](state& current)
        {
            entry.time = next(current);
            current.ring.push_back(std::move(entry));
        });
}

std::vector<event> timeline::read(logical_time after, std::size_t max_count)
{
    return this->current.with(
        [&](state& current)
        {
            const auto first = std::upper_bound(
                current.ring.begin(), current.ring.end(), after,
                [](logical_time time, const event& entry)
                { return time < entry.time; });
            const auto available = current.ring.end() - first;
            const auto count =
                std::min(available, static_cast<std::ptrdiff_t>(max_count));
            return std::vector<event>(first, first + count);
        });
}

logical_time timeline::next(state& current)
{
    const auto wall = base::wall_now_ms() << counter_bits;
    current.last = std::max(current.last + 1, wall);
    return current.last;
}
} // namespace bilberrytally::timeline
