#pragma once

#include "base/time.hpp"

namespace bilberrytally::decisions
{
//! How long a planned stop may take, from the stop request on.
struct drain_limits
{
    //! New connections are accepted for at least this time.
    base::duration_ms min_serving;
    //! Calls that still run after this time are aborted.
    base::duration_ms limit;
    //! The same, however often and late the stop is requested again.
    base::duration_ms total_limit;

    auto operator<=>(const drain_limits&) const = default;

    //! Limits for a process that is killed \p kill_after after the stop
    //! request; 0 if it is not. The limit then leaves time to exit.
    static drain_limits create(
        base::duration_ms min_serving, base::duration_ms limit,
        base::duration_ms kill_after);
};

//! What a stopping node does next.
enum class drain_step
{
    serve,       //!< Serve calls and new connections.
    limit_calls, //!< Take only calls that end in time from now on; happens
                 //!< once, unless close_port comes at the same time.
    close_port,  //!< The same, and stop to accept connections; happens once.
    recall,      //!< Recall calls that wait at other nodes; happens once.
    finish,      //!< Exit; no call is left.
    abort,       //!< Answer the calls that are left and exit.
};

//! What a stopping node still has to do.
struct drain_load
{
    //! No call runs and all responses are written.
    bool idle{false};
    //! The local backend server runs calls. It may make nested calls for them.
    bool backend_busy{false};
};

//! Course of a planned stop: a node serves until other nodes and callers have
//! seen that it leaves, and takes only requests that surely end before the
//! process does from then on. Its port is closed once the local backend server
//! runs no calls, whose nested calls may come over new connections. The node
//! exits once no request has come over the open ones for a while. Shortly
//! before its time is over, calls that would outlast it are recalled from the
//! queues of other nodes, and at its end all that are left are answered, so
//! that callers know what may be sent again.
class drain_schedule
{
public:
    //! \p requested is the time of the stop request.
    drain_schedule(const drain_limits& limits, base::time_ms requested);

    //! The stop is requested again. It never ends sooner for that: calls that
    //! run may use the time until the kill that the later request announces.
    //! Which calls are taken still depends on the first request, whose kill
    //! comes first.
    void on_repeated_request(base::time_ms now);

    //! The next step.
    drain_step on_tick(const drain_load& load, base::time_ms now);

    //! Latest deadline of the calls that are still taken after limit_calls.
    //! Later ones might still run when the process ends.
    base::time_ms latest_deadline() const;

private:
    drain_limits limits;
    base::time_ms requested;
    base::time_ms aborts_at;
    base::time_ms last_busy;
    bool calls_limited{false};
    bool port_closed{false};
    bool calls_recalled{false};
};
} // namespace bilberrytally::decisions
