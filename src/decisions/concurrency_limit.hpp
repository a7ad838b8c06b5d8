#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberrytally::decisions
{
//! Outcome of a call at the backend server, as the concurrency limit counts it.
enum class completion
{
    served,  //!< The backend server answered.
    shed,    //!< The backend server refused it.
    failed,  //!< The connection broke or the call timed out.
    ignored, //!< Cancelled; no evidence about load.
};

//! Adaptive concurrency limit of one backend server. Starts at the slots that
//! the ticket sets, decreases on shed answers, failures and rising service
//! time, and grows back as calls complete.
class concurrency_limit
{
public:
    explicit concurrency_limit(std::uint32_t slots);

    //! Sets the upper bound from a ticket and scales the current limit with it.
    void set_slots(std::uint32_t slots);

    //! With \p exact slots, the backend server itself refuses what exceeds its
    //! slots, so service times are not used as a sign of load: only calls that
    //! the backend server itself refused lower the limit, to 70 % of the slots
    //! at the least, and only until completed calls let it grow back.
    void set_exact(bool exact);

    //! Adjusts the limit after a call. \p slowdown is the service time divided
    //! by the median service time of the route; \p in_flight counts the calls
    //! that still run.
    void on_completion(
        completion kind, double slowdown, std::uint32_t in_flight,
        base::time_ms now);

    //! Number of calls that may run at the backend server now; at least 1.
    std::uint32_t value() const;

    //! Upper bound of the limit: the slots last set.
    std::uint32_t upper_bound() const;

private:
    void on_exact_completion(
        completion kind, std::uint32_t in_flight, base::time_ms now);
    void decrease(double factor, double lowest_share, base::time_ms now);

    bool exact{false};
    double slots;
    double current;
    double recent_slowdown{1};
    base::time_ms last_decrease{INT64_MIN / 2};
};
} // namespace bilberrytally::decisions
