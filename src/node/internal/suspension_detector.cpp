#include "node/internal/suspension_detector.hpp"

namespace bilberrytally::node
{
namespace
{
//! A gap between ticks of at least this is a suspension; ticks come every 10
//! ms.
constexpr base::duration_ms suspension_threshold{250};
//! Requests read within this time after the resumption may have waited in
//! socket buffers.
constexpr base::duration_ms resume_window{30};
} // namespace

suspension_detector::suspension_detector(base::time_ms now)
    : last_tick(now.count), resumed_at(INT64_MIN / 2)
{
}

base::duration_ms suspension_detector::on_tick(base::time_ms now)
{
    const base::duration_ms since_tick{now.count - this->last_tick.load()};
    this->last_tick = now.count;
    if (since_tick < suspension_threshold)
    {
        return {0};
    }
    this->last_suspension = since_tick.count;
    this->resumed_at = now.count;
    return since_tick;
}

base::duration_ms suspension_detector::buffered_time(base::time_ms now) const
{
    const base::duration_ms since_tick{now.count - this->last_tick.load()};
    if (since_tick >= suspension_threshold)
    {
        return since_tick;
    }
    const bool just_resumed =
        now.count - this->resumed_at.load() < resume_window.count;
    return {just_resumed ? this->last_suspension.load() : 0};
}
} // namespace bilberrytally::node
