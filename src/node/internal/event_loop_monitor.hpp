#pragma once

#include "base/time.hpp"

#include <optional>

namespace bilberrytally::node
{
//! How well the event loop of this process kept up during one period.
struct event_loop_report
{
    //! Mean and longest time by which ticks came late, in ms.
    double mean_delay_ms{0};
    base::duration_ms longest_delay;
    //! Processor time of the process by elapsed time, in percent of one core.
    double processor_percent{0};

    bool operator==(const event_loop_report&) const = default;
};

//! Measures by how much a repeating timer comes late, which is the time that
//! any other work of the event loop waits, too.
class event_loop_monitor
{
public:
    //! \p interval is the time for which the timer is set after each tick.
    event_loop_monitor(base::duration_ms interval, base::time_ms now);

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
};

//! Processor time that this process has used.
base::duration_ms process_cpu_time();
} // namespace bilberrytally::node
