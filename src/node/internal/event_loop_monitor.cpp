#include "node/internal/event_loop_monitor.hpp"

#include <algorithm>
#include <ctime>

namespace bilberrytally::node
{
namespace
{
constexpr base::duration_ms period{1000};
constexpr double percent = 100;
constexpr std::int64_t ms_per_s = 1000;
//! Weight of a frame in the moving average, and the longest delay that counts:
//! that of frames which waited while the process was suspended says nothing
//! about its load.
constexpr double frame_delay_weight = 0.02;
constexpr base::duration_ms max_frame_delay{200};
//! Factor of the moving average at each tick, so that a burst of late frames is
//! forgotten where few frames follow.
constexpr double decay_per_tick = 0.97;
} // namespace

event_loop_monitor::event_loop_monitor(
    base::duration_ms interval, base::time_ms now)
    : interval(interval), last_tick(now), period_start(now)
{
}

void event_loop_monitor::on_frame(base::duration_ms delay)
{
    ++this->frames;
    this->total_frame_delay_ms += delay.count;
    const auto sample =
        static_cast<double>(std::min(delay, max_frame_delay).count);
    const double average = this->recent_frame_delay_ms;
    this->recent_frame_delay_ms =
        average + frame_delay_weight * (sample - average);
}

double event_loop_monitor::frame_delay_ms() const
{
    return this->recent_frame_delay_ms;
}

std::optional<event_loop_report>
event_loop_monitor::on_tick(base::time_ms now, base::duration_ms processor_time)
{
    const auto delay =
        std::max(now - this->last_tick - this->interval, base::duration_ms{0});
    this->last_tick = now;
    this->recent_frame_delay_ms = decay_per_tick * this->recent_frame_delay_ms;
    this->total_delay = this->total_delay + delay;
    this->longest_delay = std::max(this->longest_delay, delay);
    ++this->ticks;
    const auto elapsed = now - this->period_start;
    if (elapsed < period)
    {
        return std::nullopt;
    }
    const auto used = processor_time - this->processor_time_at_start;
    const auto frames = this->frames.exchange(0);
    const auto frame_delay_ms = this->total_frame_delay_ms.exchange(0);
    const event_loop_report report{
        static_cast<double>(this->total_delay.count) /
            static_cast<double>(this->ticks),
        this->longest_delay, frames,
        static_cast<double>(frame_delay_ms) /
            static_cast<double>(std::max<std::int64_t>(frames, 1)),
        percent * static_cast<double>(used.count) /
            static_cast<double>(elapsed.count)};
    this->begin_period(now, processor_time);
    return report;
}

void event_loop_monitor::begin_period(
    base::time_ms now, base::duration_ms processor_time)
{
    this->period_start = now;
    this->processor_time_at_start = processor_time;
    this->total_delay = {};
    this->longest_delay = {};
    this->ticks = 0;
}

base::duration_ms process_cpu_time()
{
    return {
        static_cast<std::int64_t>(std::clock()) * ms_per_s / CLOCKS_PER_SEC};
}
} // namespace bilberrytally::node
