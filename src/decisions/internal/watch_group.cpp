#include "decisions/watch_group.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <map>

namespace bilberrytally::decisions
{
namespace
{
//! Upper bound of the members of a group.
constexpr std::size_t max_group_size = 32;
//! Fleets up to this size have all nodes watch: a store that refuses some of
//! the machines could otherwise refuse every watcher.
constexpr std::size_t small_fleet_size = 16;
//! Lower bound of the watchers of a larger fleet.
constexpr std::size_t min_watchers = 8;
//! Lower bound of the watchers of a group.
constexpr std::size_t min_watchers_per_group = 2;

//! Hosts of a zone, of a group, or of watchers.
using host_list = std::vector<std::string>;

std::vector<host_list> split_zone(const host_list& hosts)
{
    const auto count = (hosts.size() + max_group_size - 1) / max_group_size;
    std::vector<host_list> groups(count);
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        groups[i * count / hosts.size()].push_back(hosts[i]);
    }
    return groups;
}

host_list choose_watchers(host_list members, std::size_t count)
{
    std::sort(
        members.begin(), members.end(),
        [](const auto& a, const auto& b)
        { return base::hash_parts({a}) < base::hash_parts({b}); });
    members.resize(std::min(count, members.size()));
    return members;
}

bool contains(const host_list& members, const std::string& host)
{
    return std::find(members.begin(), members.end(), host) != members.end();
}

void add_missing(
    host_list& to, const host_list& hosts, const std::string& except)
{
    for (const auto& host : hosts)
    {
        if (host != except && !contains(to, host))
        {
            to.push_back(host);
        }
    }
}
} // namespace

watch_role
choose_watch_role(const std::string& self, std::vector<fleet_member> members)
{
    std::sort(members.begin(), members.end());
    std::map<std::string, host_list> zones;
    for (const auto& member : members)
    {
        auto& hosts = zones[member.zone];
        if (hosts.empty() || hosts.back() != member.host)
        {
            hosts.push_back(member.host);
        }
    }
    std::vector<host_list> groups;
    std::size_t nodes = 0;
    for (const auto& [zone, hosts] : zones)
    {
        nodes += hosts.size();
        const auto parts = split_zone(hosts);
        groups.insert(groups.end(), parts.begin(), parts.end());
    }
    const auto watchers_per_group =
        (min_watchers + groups.size() - 1) / std::max(groups.size(), 1UL);
    host_list own_group;
    host_list watchers;
    for (const auto& members_of_group : groups)
    {
        // "" leaves out no host.
        add_missing(
            watchers,
            choose_watchers(
                members_of_group,
                std::max(watchers_per_group, min_watchers_per_group)),
            "");
        own_group =
            contains(members_of_group, self) ? members_of_group : own_group;
    }
    watch_role role;
    if (nodes <= small_fleet_size)
    {
        role.watches = true;
        role.assigned = !own_group.empty();
        return role;
    }
    // A node that is not listed yet watches for itself.
    role.assigned = contains(watchers, self);
    role.watches = own_group.empty() || role.assigned;
    if (role.assigned)
    {
        add_missing(role.peers_to_notify, own_group, self);
        add_missing(role.peers_to_notify, watchers, self);
    }
    return role;
}
} // namespace bilberrytally::decisions
