#pragma once

#include "base/time.hpp"

#include <atomic>

namespace bilberrytally::node
{
//! Notices that the process was stopped or starved, so that requests which
//! waited in socket buffers meanwhile are charged for the gap.
class freeze_guard
{
public:
    explicit freeze_guard(base::time_ms now);

    //! Called by a timer; returns the gap if the process has just woken.
    base::duration_ms on_tick(base::time_ms now);

    //! Time that a request read now may have spent in buffers.
    base::duration_ms charge(base::time_ms now) const;

private:
    std::atomic<std::int64_t> last_tick;
    std::atomic<std::int64_t> woke_at;
    std::atomic<std::int64_t> gap{0};
};
} // namespace bilberrytally::node
