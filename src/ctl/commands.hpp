#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "ctl/admin_client.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace bilberrytally::ctl
{
//! Exit code of a command that succeeded.
constexpr int exit_done = 0;
//! Exit code if a ticket is not in force or a node did not respond.
constexpr int exit_failed = 1;

//! Selects the events of a timeline.
struct timeline_filter
{
    //! Kind of the events; empty for all.
    std::string kind;
    //! Id of a root request or a call in hexadecimal; empty for all.
    std::string request;
    //! Keep polling for new events until the process is interrupted.
    bool follow{false};
};

//! Prints the state of the nodes, as a table or as JSON. The exit code is
//! exit_failed if a node did not respond.
int show_status(admin_client& client, bool json, std::ostream& out);

//! Waits up to \p wait until all nodes have ticket \p number or a later one in
//! force. Prints to \p out the nodes on which it is not in force, and the
//! progress to \p progress. The exit code is exit_failed if there are such
//! nodes.
int wait_until_in_force(
    admin_client& client, std::uint64_t number, base::duration_ms wait,
    std::ostream& out, std::ostream& progress);

//! Validates a ticket file. With a \p client, prints what the ticket would
//! change, against the tickets in force on the first node that responds;
//! \p client may be null.
//! Returns the exit code, exit_failed if no node responded. A file that cannot
//! be read or is not a valid ticket is an error.
base::result<int>
check_ticket(admin_client* client, const std::string& file, std::ostream& out);

//! Starts or ends the draining of all nodes. The exit code is exit_failed if a
//! node did not respond.
int set_draining(admin_client& client, bool draining, std::ostream& out);

//! Prints the events of all nodes in causal order, by their logical time. The
//! exit code is exit_failed if a node did not respond.
int show_timeline(
    admin_client& client, const timeline_filter& filter, std::ostream& out);
} // namespace bilberrytally::ctl
