#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace bilberrytally::directory
{
//! What a target says of its availability.
enum class target_phase
{
    ready,
    draining, //!< Leaves soon and takes no new work.
};

//! A target as it registered itself.
struct target_entry
{
    //! Id of the instance; mostly new at each start.
    std::string instance;
    std::string service;
    std::string host;
    //! Port of the backend server itself, reachable from its own machine only.
    std::uint32_t port{0};
    std::string zone;
    //! Requests that it runs at the same time.
    std::uint32_t slots{0};
    target_phase phase{target_phase::ready};
    //! How much longer it is slow after its start.
    base::duration_ms warm_up_left;
    //! Start of the process, ms since the epoch; 0 where it is not said. Tells
    //! a restart under the same instance id.
    std::uint64_t started_at_ms{0};

    bool operator==(const target_entry&) const = default;
};
} // namespace bilberrytally::directory
