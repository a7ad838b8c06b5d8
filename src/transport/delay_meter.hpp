#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberrytally::transport
{
//! Measures how long frames of one connection waited in buffers, without
//! synchronized clocks: the smallest difference between receiver's and
//! sender's clock is the usual transit, what exceeds it is delay.
class delay_meter
{
public:
    base::duration_ms measure(std::int64_t sent_at, base::time_ms received);

private:
    bool started{false};
    std::int64_t previous_minimum{INT64_MAX};
    std::int64_t current_minimum{INT64_MAX};
    base::time_ms window_start;
};
} // namespace bilberrytally::transport
