#pragma once

#include "base/time.hpp"

#include <optional>

namespace bilberrytally::decisions
{
//! Limits the rate at which calls start at a backend server that states how
//! many calls a second it takes: a token bucket. Since all calls to a backend
//! server pass its own node, this holds for all callers together. A limit is
//! dropped once the backend server has stopped to state it.
class rate_limit
{
public:
    //! Records a response of the backend server, with the limit that it states
    //! in calls a second; nothing if it states none. Negative and infinite
    //! numbers state no limit. Returns whether rate() has changed.
    bool on_response(std::optional<double> stated_per_s, base::time_ms now);

    //! True if a call may start now.
    bool allows(base::time_ms now) const;

    //! Records that a call starts.
    void on_start(base::time_ms now);

    //! Calls a second that may start; nothing without a limit.
    std::optional<double> rate() const;

    //! Time until the last of \p calls further calls may start; 0 without a
    //! limit.
    base::duration_ms time_for(double calls, base::time_ms now) const;

private:
    double tokens_at(base::time_ms now) const;
    double capacity() const;

    std::optional<double> per_s;
    base::time_ms stated_at;
    //! Calls that may start at once, at \c counted_at.
    double tokens{0};
    base::time_ms counted_at;
};
} // namespace bilberrytally::decisions
