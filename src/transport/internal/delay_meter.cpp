#include "transport/delay_meter.hpp"

#include <algorithm>

namespace bilberrytally::transport
{
namespace
{
//! Clocks drift, so a minimum expires after one to two windows.
constexpr base::duration_ms window{60000};
} // namespace

base::duration_ms
delay_meter::measure(std::int64_t sent_at, base::time_ms received)
{
    const auto clock_difference = received.count - sent_at;
    if (!this->started || received - this->window_start >= window)
    {
        this->previous_minimum = this->current_minimum;
        this->current_minimum = clock_difference;
        this->window_start = received;
        this->started = true;
    }
    this->current_minimum = std::min(this->current_minimum, clock_difference);
    const auto baseline =
        std::min(this->current_minimum, this->previous_minimum);
    return {clock_difference - baseline};
}
} // namespace bilberrytally::transport
