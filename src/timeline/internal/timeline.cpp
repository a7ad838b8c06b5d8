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
    this->guarded_state.with([&](state& current)
                             { current.latest_events.set_capacity(capacity); });
}

logical_time timeline::tick()
{
    return this->guarded_state.with([](state& current)
                                    { return advance(current); });
}

void timeline::observe(logical_time received)
{
    this->guarded_state.with(
        [&](state& current)
        { current.last_time = std::max(current.last_time, received); });
}

void timeline::record(event entry)
{
    this->guarded_state.with(
        [&](state& current)
        {
            entry.time = advance(current);
            current.latest_events.push_back(std::move(entry));
        });
}

std::vector<event> timeline::read(logical_time after, std::size_t max_count)
{
    return this->guarded_state.with(
        [&](state& current)
        {
            const auto first = std::upper_bound(
                current.latest_events.begin(), current.latest_events.end(),
                after,
                [](logical_time time, const event& entry)
                { return time < entry.time; });
            const auto available = current.latest_events.end() - first;
            const auto count =
                std::min(available, static_cast<std::ptrdiff_t>(max_count));
            return std::vector<event>(first, first + count);
        });
}

logical_time timeline::advance(state& current)
{
    const auto wall = base::wall_now_ms() << counter_bits;
    current.last_time = std::max(current.last_time + 1, wall);
    return current.last_time;
}
} // namespace bilberrytally::timeline
