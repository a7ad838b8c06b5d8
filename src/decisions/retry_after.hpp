#pragma once

#include "base/time.hpp"

#include <string>
#include <unordered_map>

namespace bilberrytally::decisions
{
//! Measures for how long services have refused requests for load.
class overload_periods
{
public:
    //! Records that a service refused a request for load. Returns for how long
    //! it has done so without a pause.
    base::duration_ms on_refusal(const std::string& service, base::time_ms now);

private:
    struct period
    {
        base::time_ms first;
        base::time_ms last;
    };

    std::unordered_map<std::string, period> periods;
};

//! What is known about a request that was refused before it ran.
struct refused_request
{
    //! How long its service has refused requests for load; 0 if that has just
    //! begun, or if the request was refused for another reason.
    base::duration_ms overloaded_for;
    //! Time left until its latency objective is missed.
    base::duration_ms objective_left;
    //! Time left until its caller gives up.
    base::duration_ms time_left;
    //! Usual latency of such requests.
    base::duration_ms expected_latency;

    auto operator<=>(const refused_request&) const = default;
};

//! Chooses the time after which the caller should send a refused request
//! again. \p position (0 to 1), drawn at random, spreads the callers.
//!
//! Meant for overload of some seconds, and for callers that send a refused
//! request again only once or twice: one that comes back while the overload
//! lasts may be refused for good. During an overload callers come back as late
//! as the latency objective permits. Once it is missed, they come back after
//! the time that the overload has lasted so far, as it is expected to last as
//! long again. They never wait for more than a third of the time left, so that
//! the request can still be served.
base::duration_ms
choose_retry_after(const refused_request& request, double position);
} // namespace bilberrytally::decisions
