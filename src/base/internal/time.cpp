#include "base/time.hpp"

#include <chrono>

namespace bilberrytally::base
{
namespace
{
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
    return {read_ms<std::chrono::steady_clock>()};
}

std::uint64_t wall_now_ms()
{
    return static_cast<std::uint64_t>(read_ms<std::chrono::system_clock>());
}
} // namespace bilberrytally::base
