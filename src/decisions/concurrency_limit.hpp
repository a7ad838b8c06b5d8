#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace bilberrytally::decisions
{
//! How a call at the backend server ended, as far as the limit is concerned.
enum class completion
{
    served,  //!< Answered.
    shed,    //!< The backend server refused it.
    failed,  //!< Broken connection or timeout.
    ignored, //!< Cancelled; says nothing about load.
};

//! Adaptive concurrency limit of one backend server. Starts at the ticketed
//! slots, falls on shed answers, failures and rising service time, and grows
//! back while calls complete.
class concurrency_limit
{
public:
    explicit concurrency_limit(std::uint32_t slots);

    //! Takes a new ceiling from a ticket.
    void set_slots(std::uint32_t slots);

    //! With \p exact slots, only calls that the backend server itself refused
    //! lower the limit, for a short time.
    void set_exact(bool exact);

    //! \p stretch is service time over the usual time of the route.
    void on_completion(
        completion kind, double stretch, std::uint32_t in_flight,
        base::time_ms now);

    //! Calls allowed at the backend server now.
    std::uint32_t value() const;

    //! The ticketed slots.
    std::uint32_t ceiling() const;

private:
    void on_exact_completion(completion kind, base::time_ms now);
    void decrease(double factor, double lowest, base::time_ms now);

    bool exact{false};
    double slots;
    double current;
    double recent_stretch{1};
    base::time_ms last_decrease{INT64_MIN / 2};
};
} // namespace bilberrytally::decisions
