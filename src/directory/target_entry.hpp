#pragma once

#include "base/time.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace bilberrytally::directory
{
//! Availability that a target reports.
enum class target_phase
{
    ready,
    draining, //!< Stops soon and accepts no new requests.
};

//! Place of a target's entry among all that were published under its id: the
//! entries of a later process follow those of an earlier one.
struct report_position
{
    //! Start of the process in ms since the epoch; 0 if unknown.
    std::uint64_t started_at_ms{0};
    //! Number of the report; rises within the life of a process.
    std::uint64_t number{0};

    auto operator<=>(const report_position&) const = default;
};

//! A target as it registered itself in the store.
struct target_entry
{
    //! Id of the instance; it usually changes with each start.
    std::string instance;
    std::string service;
    std::string host;
    //! Port of the backend server itself; reachable only from its own machine.
    std::uint32_t port{0};
    std::string zone;
    //! Requests that it runs concurrently.
    std::uint32_t slots{0};
    target_phase phase{target_phase::ready};
    //! Time for which it is still slow after its start.
    base::duration_ms warm_up_left;
    //! Start of the process in ms since the epoch; 0 if unknown. Distinguishes
    //! restarts under the same instance id. Of several targets at one address
    //! the one with the latest start is in use.
    std::uint64_t started_at_ms{0};
    //! Number of this report; rises within the life of the process.
    std::uint64_t report_number{0};

    report_position position() const
    {
        return {this->started_at_ms, this->report_number};
    }

    bool operator==(const target_entry&) const = default;
};
} // namespace bilberrytally::directory
