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

//! Tasks of one node in keeping the fleet's configuration up to date.
struct watch_role
{
    //! This node watches the store for changes.
    bool watches{false};
    //! The member list makes it a watcher. False for a node that watches only
    //! because it is not listed.
    bool assigned{false};
    //! Peers that it notifies of changes; empty if it is not an assigned
    //! watcher, or if all nodes watch.
    std::vector<std::string> peers_to_notify;

    bool operator==(const watch_role&) const = default;
};

//! Distributes the watches of the store that publishes the routes over the
//! nodes of a fleet, so that the load on the store grows more slowly than the
//! fleet. (The configuration service of other fleets is watched by
//! poll_schedule.) \p self is the host of this node. In a small fleet all
//! nodes watch. Otherwise each availability zone is split into groups of
//! bounded size. The first nodes of a group by hash are its watchers; they
//! notify the other members of the group and the watchers of all groups. All
//! nodes that know the same members choose the same roles. While member lists
//! differ for a moment, a node that hears from no watcher watches by itself.
watch_role
choose_watch_role(const std::string& self, std::vector<fleet_member> members);
} // namespace bilberrytally::decisions
