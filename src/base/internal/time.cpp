#include "base/time.hpp"

#include <chrono>
#include <ctime>

namespace bilberrytally::base
{
namespace
{
constexpr std::int64_t ms_per_s = 1000;
constexpr std::int64_t ns_per_ms = 1000000;

template <class Clock>
std::int64_t read_ms()
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}
} // namespace

time_ms now()
{
    // Unlike std::chrono::steady_clock, CLOCK_BOOTTIME also counts the time
    // during which the machine was suspended.
    timespec boot{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    return {
        static_cast<std::int64_t>(boot.tv_sec) * ms_per_s +
        boot.tv_nsec / ns_per_ms};
}

std::uint64_t wall_now_ms()
{
    return static_cast<std::uint64_t>(read_ms<std::chrono::system_clock>());
}
} // namespace bilberrytally::base
