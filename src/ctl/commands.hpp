#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "ctl/admin_client.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace bilberrytally::ctl
{
//! Exit codes of the commands.
constexpr int exit_done = 0;
//! The answer is no: not in force, or a node did not answer.
constexpr int exit_no = 1;

//! Which events a time line shows.
struct timeline_filter
{
    //! Kind of event; empty for all.
    std::string kind;
    //! Root request or call id in hexadecimal; empty for all.
    std::string request;
    //! Keep reading until interrupted.
    bool follow{false};
};

//! A table of the nodes' state, or JSON.
int show_status(admin_client& client, bool json, std::ostream& out);

//! Whether a ticket is in force on all nodes; waits up to \p wait for it,
//! with progress on \p progress.
int show_in_force(
    admin_client& client, std::uint64_t number, base::duration_ms wait,
    std::ostream& out, std::ostream& progress);

//! Validates a ticket file and shows what it would change.
base::result<int>
check_ticket(admin_client* client, const std::string& file, std::ostream& out);

//! Drains or undrains all given nodes.
int set_draining(admin_client& client, bool draining, std::ostream& out);

//! Events of all nodes in causal order.
int show_timeline(
    admin_client& client, const timeline_filter& filter, std::ostream& out);
} // namespace bilberrytally::ctl
