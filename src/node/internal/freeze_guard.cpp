#include "node/internal/freeze_guard.hpp"

namespace bilberrytally::node
{
namespace
{
constexpr base::duration_ms gap_threshold{250};
constexpr base::duration_ms wake_window{30};
} // namespace

freeze_guard::freeze_guard(base::time_ms now)
    : last_tick(now.count), woke_at(INT64_MIN / 2)
{
}

base::duration_ms freeze_guard::on_tick(base::time_ms now)
{
    const base::duration_ms since{now.count - this->last_tick.load()};
    this->last_tick = now.count;
    if (since < gap_threshold)
    {
        return {0};
    }
    this->gap = since.count;
    this->woke_at = now.count;
    return since;
}

base::duration_ms freeze_guard::charge(base::time_ms now) const
{
    const base::duration_ms since{now.count - this->last_tick.load()};
    if (since >= gap_threshold)
    {
        return since;
    }
    const bool just_woke = now.count - this->woke_at.load() < wake_window.count;
    return {just_woke ? this->gap.load() : 0};
}
} // namespace bilberrytally::node
