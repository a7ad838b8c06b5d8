#include "decisions/drain_schedule.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! After the port is closed, the node stops when it has been idle for this
//! long. Requests on connections accepted last may still arrive.
constexpr base::duration_ms late_request_grace{200};
//! If callers send without a pause, the node stops at the first moment without
//! work after this time since the stop was requested.
constexpr base::duration_ms idle_close_limit{3500};
//! Time that the process needs to exit before it is killed.
constexpr base::duration_ms exit_time{500};
//! Time before the end at which calls are recalled from other nodes: enough for
//! their word and for the answer to the caller.
constexpr base::duration_ms recall_time{800};
//! Time that the answer to a call that has ended at its deadline needs to reach
//! the caller.
constexpr base::duration_ms answer_time{300};
} // namespace

drain_limits drain_limits::create(
    base::duration_ms min_serving, base::duration_ms limit,
    base::duration_ms kill_after)
{
    const auto total_limit = limit;
    if (kill_after.count > 0)
    {
        const auto latest =
            std::max(kill_after - exit_time, base::duration_ms{0});
        limit = std::min(limit, latest);
    }
    return {std::min(min_serving, limit), limit, total_limit};
}

drain_schedule::drain_schedule(
    const drain_limits& limits, base::time_ms requested)
    : limits(limits), requested(requested), aborts_at(requested + limits.limit),
      last_busy(requested)
{
}

void drain_schedule::on_repeated_request(base::time_ms now)
{
    const auto latest = this->requested + this->limits.total_limit;
    this->aborts_at =
        std::max(this->aborts_at, std::min(latest, now + this->limits.limit));
}

drain_step drain_schedule::on_tick(const drain_load& load, base::time_ms now)
{
    const auto since_stop = now - this->requested;
    const bool served = since_stop >= this->limits.min_serving;
    if (!load.idle)
    {
        this->last_busy = now;
    }
    if (!this->port_closed && served && !load.backend_busy)
    {
        this->calls_limited = true;
        this->port_closed = true;
        this->last_busy = now;
        return drain_step::close_port;
    }
    if (!this->calls_limited && served)
    {
        this->calls_limited = true;
        return drain_step::limit_calls;
    }
    const bool quiet = now - this->last_busy >= late_request_grace;
    const bool may_finish =
        quiet || (load.idle && since_stop >= idle_close_limit);
    if (this->port_closed && may_finish)
    {
        return drain_step::finish;
    }
    if (now >= this->aborts_at)
    {
        return drain_step::abort;
    }
    const bool recall_due =
        this->calls_limited && this->aborts_at - now <= recall_time;
    if (recall_due && !this->calls_recalled)
    {
        this->calls_recalled = true;
        return drain_step::recall;
    }
    return drain_step::serve;
}

base::time_ms drain_schedule::latest_deadline() const
{
    return this->requested + this->limits.limit - answer_time;
}
} // namespace bilberrytally::decisions
