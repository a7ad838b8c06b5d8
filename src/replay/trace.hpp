#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "schema/documents.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

//! Recorded traces through the decision code against stated outcomes.
namespace bilberrytally::replay
{
//! Requests that arrive at the caller's node at one time.
struct arrival
{
    std::uint32_t priority{0};
    std::uint32_t depth{0};
    //! Time from arrival to deadline.
    base::duration_ms timeout;
    //! Recorded service time at an undisturbed target.
    base::duration_ms service;
    bool long_work{false};
    std::uint32_t count{1};

    bool operator==(const arrival&) const = default;
};

//! A target serves slower by a factor from now on.
struct slow_down
{
    std::string target;
    double factor{1};

    bool operator==(const slow_down&) const = default;
};

//! A target dies or comes back.
struct failure
{
    std::string target;
    bool up{false};

    bool operator==(const failure&) const = default;
};

//! A ticket's policy comes into force.
struct policy_change
{
    schema::service_policy policy;

    bool operator==(const policy_change&) const = default;
};

using trace_action = std::variant<arrival, slow_down, failure, policy_change>;

//! One line of a trace.
struct trace_event
{
    base::time_ms at;
    trace_action action;

    bool operator==(const trace_event&) const = default;
};

//! A bound on a figure of the replay.
struct stated_outcome
{
    //! Name of the figure, e.g. class0.good_share or inversions.
    std::string figure;
    double at_least{0};
    double at_most{0};

    bool operator==(const stated_outcome&) const = default;
};

//! A recorded trace with the outcomes stated for it.
struct trace
{
    std::string name;
    std::uint32_t targets{1};
    schema::service_policy policy;
    std::vector<trace_event> events;
    std::vector<stated_outcome> outcomes;

    //! Reads a file: a header line and a line per event, all JSON. Errors
    //! name file, line and place.
    static base::result<trace> read(const std::string& file);
};
} // namespace bilberrytally::replay
