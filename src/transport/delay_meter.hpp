#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberrytally::transport
{
//! Measures how long the frames of one connection were queued on their way,
//! without synchronized clocks. The smallest recent difference between the
//! receive time (receiver's clock) and the send time (sender's clock) is the
//! baseline: clock offset plus minimal transit time. What exceeds the baseline
//! is queueing delay.
class delay_meter
{
public:
    //! Returns the queueing delay of a frame. \p sent_at is the sender's
    //! monotonic clock in ms, \p received the receiver's.
    base::duration_ms measure(std::int64_t sent_at, base::time_ms received);

private:
    bool started{false};
    std::int64_t previous_minimum{INT64_MAX};
    std::int64_t current_minimum{INT64_MAX};
    base::time_ms window_start;
};
} // namespace bilberrytally::transport
