#pragma once

#include "base/time.hpp"

#include <atomic>
#include <cstdint>
#include <optional>

namespace bilberrytally::node
{
//! How well the event loop of this process kept up during one period.
struct event_loop_report
{
    //! Mean and longest time by which ticks came late, in ms.
    double mean_delay_ms{0};
    base::duration_ms longest_delay;
    //! Frames received from other nodes, and for how long they were queued on
    //! their way and in the socket buffers on average, in ms.
    std::int64_t frames{0};
    double mean_frame_delay_ms{0};
    //! Processor time of the process by elapsed time, in percent of one core.
    double processor_percent{0};

    bool operator==(const event_loop_report&) const = default;
};

//! Measures by how much a repeating timer and the frames of other nodes come
//! late. The timer shows how long one turn of the event loop takes. Frames show
//! how long input waits, which may be many turns, as each turn reads little
//! from each connection.
class event_loop_monitor
{
public:
    //! \p interval is the time for which the timer is set after each tick.
    event_loop_monitor(base::duration_ms interval, base::time_ms now);

    //! Records a frame that was queued for \p delay. May be called by any
    //! thread.
    void on_frame(base::duration_ms delay);

    //! Moving average of the recent delays of frames, in ms; falls to 0 without
    //! frames.
    double frame_delay_ms() const;

    //! Records a tick. \p processor_time is the time used by the process so
    //! far. Returns a report at the end of each period of a second.
    std::optional<event_loop_report>
    on_tick(base::time_ms now, base::duration_ms processor_time);

private:
    void begin_period(base::time_ms now, base::duration_ms processor_time);

    base::duration_ms interval;
    base::time_ms last_tick;
    base::time_ms period_start;
    base::duration_ms processor_time_at_start;
    base::duration_ms total_delay;
    base::duration_ms longest_delay;
    std::int64_t ticks{0};
    std::atomic<double> recent_frame_delay_ms{0};
    std::atomic<std::int64_t> frames{0};
    std::atomic<std::int64_t> total_frame_delay_ms{0};
};

//! Processor time that this process has used.
base::duration_ms process_cpu_time();
} // namespace bilberrytally::node
