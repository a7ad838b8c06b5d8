#pragma once

#include "base/time.hpp"

#include <atomic>

namespace bilberrytally::node
{
//! Detects that the process was suspended (SIGSTOP, a frozen machine) or got no
//! CPU time. The time that requests waited in socket buffers meanwhile is
//! subtracted from the time that remains until their deadlines.
class suspension_detector
{
public:
    explicit suspension_detector(base::time_ms now);

    //! Called by a timer. Returns the length of the suspension if the process
    //! has just resumed, otherwise 0 ms.
    base::duration_ms on_tick(base::time_ms now);

    //! The time in ms that a request read at \p now may have spent in socket
    //! buffers.
    base::duration_ms buffered_time(base::time_ms now) const;

private:
    std::atomic<std::int64_t> last_tick;
    //! Starts long before any other time; halved so that differences to it do
    //! not overflow.
    std::atomic<std::int64_t> resumed_at;
    std::atomic<std::int64_t> last_suspension{0};
};
} // namespace bilberrytally::node
