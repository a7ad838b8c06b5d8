#pragma once

#include <compare>
#include <cstdint>

namespace bilberrytally::base
{
//! A duration in milliseconds.
struct duration_ms
{
    std::int64_t count{0};

    auto operator<=>(const duration_ms&) const = default;

    constexpr duration_ms operator+(duration_ms other) const
    {
        return {this->count + other.count};
    }
    constexpr duration_ms operator-(duration_ms other) const
    {
        return {this->count - other.count};
    }
    constexpr duration_ms operator*(std::int64_t factor) const
    {
        return {this->count * factor};
    }
};

//! A point in time on the monotonic clock of this machine, in milliseconds.
struct time_ms
{
    std::int64_t count{0};

    auto operator<=>(const time_ms&) const = default;

    constexpr time_ms operator+(duration_ms duration) const
    {
        return {this->count + duration.count};
    }
    constexpr time_ms operator-(duration_ms duration) const
    {
        return {this->count - duration.count};
    }
    constexpr duration_ms operator-(time_ms other) const
    {
        return {this->count - other.count};
    }
};

//! Reads the monotonic clock. It also advances while the process is stopped
//! (SIGSTOP) and while the machine is suspended.
time_ms now();

//! Reads the wall clock, in milliseconds since the Unix epoch.
std::uint64_t wall_now_ms();
} // namespace bilberrytally::base
