#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytally::decisions
{
//! A node of the fleet, by its address.
struct fleet_member
{
    std::string host;
    std::string zone;

    auto operator<=>(const fleet_member&) const = default;
};

//! What one node does to keep the fleet up to date.
struct watch_role
{
    //! This node waits at the store for changes.
    bool watches{false};
    //! It watches by the list, not just since it is not listed.
    bool assigned{false};
    //! Nodes that it tells of changes; none where it does not watch, or all do.
    std::vector<std::string> tells;

    bool operator==(const watch_role&) const = default;
};

//! Shares the watches of a store among the nodes of a fleet, so that its calls
//! grow slower than the fleet. In a small fleet all nodes watch. Else each
//! availability zone is cut into groups of bounded size; the first nodes of a
//! group by hash watch for it and tell its other members and the watching nodes
//! of all groups. All nodes that know the
//! same members come to the same roles; where lists differ for a moment, a
//! node that hears from no watching node watches by itself.
watch_role
choose_watch_role(const std::string& self, std::vector<fleet_member> members);
} // namespace bilberrytally::decisions
