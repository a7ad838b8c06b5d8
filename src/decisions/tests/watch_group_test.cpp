#include "decisions/watch_group.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace bilberrytally::decisions;

namespace
{
std::vector<fleet_member> make_fleet(int nodes, int zones)
{
    std::vector<fleet_member> members;
    for (int i = 0; i < nodes; ++i)
    {
        members.push_back(
            {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
             "zone-" + std::to_string(i % zones)});
    }
    return members;
}
} // namespace

TEST_CASE("every node watches or is notified by a watcher of its zone")
{
    for (const auto& [nodes, zones] : std::map<int, int>{
             {1, 1}, {5, 5}, {12, 3}, {13, 1}, {90, 3}, {300, 4}})
    {
        const auto fleet = make_fleet(nodes, zones);
        std::map<std::string, std::string> zone_of;
        std::set<std::string> watching;
        std::map<std::string, std::set<std::string>> notified_by;
        for (const auto& member : fleet)
        {
            zone_of[member.host] = member.zone;
            const auto role = choose_watch_role(member.host, fleet);
            CHECK((role.watches || role.peers_to_notify.empty()));
            if (role.watches)
            {
                watching.insert(member.host);
            }
            for (const auto& host : role.peers_to_notify)
            {
                CHECK(host != member.host);
                notified_by[host].insert(member.host);
            }
        }
        for (const auto& member : fleet)
        {
            int sources_in_zone = watching.count(member.host) != 0 ? 1 : 0;
            for (const auto& watcher : notified_by[member.host])
            {
                sources_in_zone += zone_of[watcher] == member.zone ? 1 : 0;
            }
            CHECK(sources_in_zone >= 1);
        }
        // If the store refuses a third of the machines, some watchers remain.
        CHECK(watching.size() >= std::min<std::size_t>(fleet.size(), 8));
        if (fleet.size() <= 16)
        {
            CHECK(watching.size() == fleet.size());
            continue;
        }
        // Watchers notify each other, so that one that the store refuses still
        // learns of changes from the others.
        for (const auto& host : watching)
        {
            CHECK(notified_by[host].size() >= watching.size() - 1);
        }
    }
}

TEST_CASE("watches and the peers of a watcher grow more slowly than the fleet")
{
    const auto fleet = make_fleet(300, 3);
    int watching = 0;
    for (const auto& member : fleet)
    {
        const auto role = choose_watch_role(member.host, fleet);
        watching += role.watches ? 1 : 0;
        // A group has at most 32 members, and the fleet at most 30 watchers.
        CHECK(role.peers_to_notify.size() <= 32 + 30);
    }
    CHECK(watching <= 30);
    CHECK(watching >= 6);
}

TEST_CASE("roles do not depend on the order of the list or on duplicates")
{
    auto fleet = make_fleet(40, 3);
    const auto role = choose_watch_role("10.0.0.7", fleet);
    const std::vector<fleet_member> reversed(fleet.rbegin(), fleet.rend());
    fleet.insert(fleet.end(), reversed.begin(), reversed.end());
    CHECK(choose_watch_role("10.0.0.7", fleet) == role);
}

TEST_CASE("a node that is not listed watches for itself")
{
    for (const auto& fleet :
         {make_fleet(40, 3), make_fleet(5, 1), make_fleet(0, 1)})
    {
        const auto role = choose_watch_role("10.9.9.9", fleet);
        CHECK(role.watches);
        CHECK_FALSE(role.assigned);
        CHECK(role.peers_to_notify.empty());
    }
}
