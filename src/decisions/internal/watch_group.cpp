#include "decisions/watch_group.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <map>

namespace bilberrytally::decisions
{
namespace
{
//! Upper bound of the members of a group.
constexpr std::size_t largest_group = 32;
//! Fleets up to this size have all nodes watch: if the store refuses a part of
//! the machines, it could refuse all of a few watchers.
constexpr std::size_t small_fleet = 16;
//! Lower bound of the watchers of a larger fleet.
constexpr std::size_t fewest_watching = 8;
//! Lower bound of the watchers of a group.
constexpr std::size_t fewest_of_group = 2;

using group = std::vector<std::string>;

std::vector<group> split_zone(const group& hosts)
{
    const auto count = (hosts.size() + largest_group - 1) / largest_group;
    std::vector<group> groups(count);
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        groups[i * count / hosts.size()].push_back(hosts[i]);
    }
    return groups;
}

group watching_nodes(group members, std::size_t count)
{
    std::sort(
        members.begin(), members.end(),
        [](const auto& a, const auto& b)
        { return base::hash_parts({a}) < base::hash_parts({b}); });
    members.resize(std::min(count, members.size()));
    return members;
}

bool contains(const group& members, const std::string& host)
{
    return std::find(members.begin(), members.end(), host) != members.end();
}

void add(group& to, const group& hosts, const std::string& except)
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
    std::map<std::string, group> zones;
    for (const auto& member : members)
    {
        auto& hosts = zones[member.zone];
        if (hosts.empty() || hosts.back() != member.host)
        {
            hosts.push_back(member.host);
        }
    }
    std::vector<group> groups;
    std::size_t nodes = 0;
    for (const auto& [zone, hosts] : zones)
    {
        nodes += hosts.size();
        const auto parts = split_zone(hosts);
        groups.insert(groups.end(), parts.begin(), parts.end());
    }
    const auto share =
        (fewest_watching + groups.size() - 1) / std::max(groups.size(), 1UL);
    group own;
    group watching;
    for (const auto& part : groups)
    {
        add(watching, watching_nodes(part, std::max(share, fewest_of_group)),
            "");
        own = contains(part, self) ? part : own;
    }
    watch_role role;
    if (nodes <= small_fleet)
    {
        role.watches = true;
        role.assigned = !own.empty();
        return role;
    }
    // A node that is not listed yet watches for itself.
    role.assigned = contains(watching, self);
    role.watches = own.empty() || role.assigned;
    if (role.assigned)
    {
        add(role.tells, own, self);
        add(role.tells, watching, self);
    }
    return role;
}
} // namespace bilberrytally::decisions
