#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "schema/documents.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

//! Replays recorded traces through the decision code and checks the measured
//! figures against expected outcomes.
namespace bilberrytally::replay
{
//! Requests that arrive at the caller's node at the same time.
struct arrival
{
    //! Priority class, 0 is the most important.
    std::uint32_t priority{0};
    //! Number of calls above the request in its call chain.
    std::uint32_t depth{0};
    //! Time from arrival to deadline.
    base::duration_ms timeout;
    //! Recorded service time at a target that is not slowed down.
    base::duration_ms service_time;
    //! The requests run in the lane for long work.
    bool long_work{false};
    //! Number of requests.
    std::uint32_t count{1};

    bool operator==(const arrival&) const = default;
};

//! From this event on, the service times of a target are multiplied by a
//! factor.
struct slow_down
{
    std::string target;
    double factor{1};

    bool operator==(const slow_down&) const = default;
};

//! A target becomes unavailable or available again.
struct availability_change
{
    std::string target;
    bool up{false};

    bool operator==(const availability_change&) const = default;
};

//! A new policy of the service comes into force.
struct policy_change
{
    schema::service_policy policy;

    bool operator==(const policy_change&) const = default;
};

using trace_action =
    std::variant<arrival, slow_down, availability_change, policy_change>;

//! An action of a trace and the time at which it happens.
struct trace_event
{
    //! Time since the start of the trace.
    base::time_ms at;
    trace_action action;

    bool operator==(const trace_event&) const = default;
};

//! An expected outcome: bounds of a figure of the replay.
struct expected_outcome
{
    //! Name of the figure, for example class0.good_share or inversions.
    std::string figure;
    double at_least{0};
    double at_most{0};

    bool operator==(const expected_outcome&) const = default;
};

//! A recorded trace and the outcomes expected of its replay.
struct trace
{
    std::string name;
    //! Number of targets; they are named t0, t1 and so on.
    std::uint32_t targets{1};
    //! Policy of the service at the start.
    schema::service_policy policy;
    //! Events in the order of time.
    std::vector<trace_event> events;
    std::vector<expected_outcome> outcomes;

    //! Reads a trace file: a header line and a line per event, each of them a
    //! JSON object. Errors name the file and the line.
    static base::result<trace> read(const std::string& file);
};
} // namespace bilberrytally::replay
