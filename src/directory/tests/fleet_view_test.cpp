#include "directory/fleet_view.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

using namespace bilberrytally;
using namespace bilberrytally::directory;

namespace
{
constexpr base::duration_ms hold{2000};

//! A revision of the store's first epoch.
schema::store_revision at(std::uint64_t number)
{
    return {1, number};
}

//! Decodes the items of these tests. The key "t/ID" holds a target: "SERVICE"
//! or "SERVICE draining", each with an address that no other target has, or
//! "SERVICE at HOST since MS" with an address and a start time. The key "c"
//! holds the version of a configuration.
decoded_item decode(const schema::published_item& item)
{
    if (item.key == "c")
    {
        fleet_configuration configuration;
        configuration.version = std::strtoull(item.value.c_str(), nullptr, 10);
        return configuration;
    }
    if (item.removed)
    {
        return removed_target{item.key.substr(2)};
    }
    if (item.value == "broken")
    {
        return unreadable_item{"broken"};
    }
    target_entry target;
    target.instance = item.key.substr(2);
    target.service = item.value.substr(0, item.value.find(' '));
    target.host = target.instance;
    const auto address = item.value.find(" at ");
    const auto start = item.value.find(" since ");
    if (address != std::string::npos)
    {
        target.host = item.value.substr(address + 4, start - address - 4);
        target.started_at_ms =
            std::strtoull(item.value.c_str() + start + 7, nullptr, 10);
    }
    target.phase = item.value.ends_with("draining") ? target_phase::draining
                                                    : target_phase::ready;
    return target;
}

schema::published_item
item(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return {key, value, at(revision), value.empty()};
}
//! Merges a list that a peer sent.
void apply_list(fleet_view& view, const schema::item_list& list)
{
    for (const auto& missing : list.items)
    {
        view.merge(missing, {0});
    }
    view.end_list(list, {0});
}
} // namespace

TEST_CASE("the newest revision of an item wins in any order of arrival")
{
    fleet_view view(decode, hold);
    CHECK(view.merge(item("t/1", "s draining", 7), {0}).services.size() == 1);
    CHECK(view.merge(item("t/1", "s", 5), {0}).services.empty());
    REQUIRE(view.targets("s").size() == 1);
    CHECK(view.targets("s")[0].phase == target_phase::draining);
    // Single items do not show whether others are missing.
    CHECK(view.revision().number == 0);
    view.advance(at(7));
    view.advance(at(5));
    CHECK(view.revision() == at(7));
}

TEST_CASE("a configuration with a lower version never replaces a higher one")
{
    fleet_view view(decode, hold);
    CHECK(view.merge(item("c", "5", 1), {0}).configuration_changed);
    CHECK_FALSE(view.merge(item("c", "4", 2), {0}).configuration_changed);
    CHECK(view.configuration()->version == 5);
    CHECK(view.merge(item("c", "9", 3), {0}).configuration_changed);
}

TEST_CASE("an unreadable entry drops its target and no other")
{
    fleet_view view(decode, hold);
    view.merge(item("t/1", "s", 1), {0});
    view.merge(item("t/2", "s", 2), {0});
    CHECK(view.merge(item("t/1", "broken", 3), {0}).problem == "broken");
    REQUIRE(view.targets("s").size() == 1);
    CHECK(view.targets("s")[0].instance == "2");
}

TEST_CASE("a target that moves to another service changes both services")
{
    fleet_view view(decode, hold);
    view.merge(item("t/1", "s", 1), {0});
    const auto change = view.merge(item("t/1", "z", 2), {0});
    CHECK(change.services == std::vector<std::string>{"s", "z"});
    CHECK(view.targets("s").empty());
    CHECK(view.targets("z").size() == 1);
}

TEST_CASE("a removal takes effect at once while the store responds")
{
    fleet_view view(decode, hold);
    view.merge(item("t/1", "s", 1), {0});
    view.merge(item("t/1", "", 2), {100});
    CHECK(view.targets("s").empty());
}

TEST_CASE("after an outage a removed target stays in use for the hold time")
{
    fleet_view view(decode, hold);
    view.merge(item("t/1", "s", 1), {0});
    view.merge(item("t/2", "s", 2), {0});
    view.merge(item("t/3", "s draining", 3), {0});
    view.on_store_regained({10000}, 2);
    for (const auto* key : {"t/1", "t/2", "t/3"})
    {
        view.merge(item(key, "", 9), {10100});
    }
    // A target that was draining is dropped at once.
    CHECK(view.targets("s").size() == 2);
    view.merge(item("t/1", "s", 10), {11000});
    CHECK(view.tick({11900}).services.empty());
    CHECK(view.tick({12000}).services == std::vector<std::string>{"s"});
    REQUIRE(view.targets("s").size() == 1);
    CHECK(view.targets("s")[0].instance == "1");
}

TEST_CASE("a single failed call of the store holds back no removal")
{
    fleet_view view(decode, hold);
    view.merge(item("t/1", "s", 1), {0});
    view.on_store_regained({10000}, 1);
    view.merge(item("t/1", "", 2), {10100});
    CHECK(view.targets("s").empty());
}

TEST_CASE("a snapshot removes the items that it does not contain")
{
    fleet_view view(decode, hold);
    view.merge(item("t/1", "s", 1), {0});
    view.merge(item("t/2", "s", 2), {0});
    view.merge(item("t/3", "s", 30), {0});
    view.end_snapshot({"t/1"}, at(20), {0});
    // The third item was written after the snapshot began.
    CHECK(view.targets("s").size() == 2);
    CHECK(view.revision() == at(20));
}

TEST_CASE("a peer gets the items that it lacks, including removals")
{
    fleet_view view(decode, hold);
    view.merge(item("c", "1", 1), {0});
    view.merge(item("t/1", "s", 2), {0});
    view.merge(item("t/2", "s", 3), {0});
    view.merge(item("t/1", "", 4), {0});
    fleet_view peer(decode, hold);
    view.advance(at(4));
    apply_list(peer, view.changes_after({}));
    CHECK(peer.revision() == at(4));
    CHECK(peer.targets("s") == view.targets("s"));
    CHECK(view.changes_after(at(4)).items.empty());
    view.merge(item("t/2", "", 5), {0});
    view.advance(at(5));
    CHECK(view.changes_after(at(4)).items.size() == 1);
}

TEST_CASE("a peer drops a target that was removed before this node started")
{
    fleet_view peer(decode, hold);
    peer.merge(item("t/gone", "s", 2), {0});
    peer.merge(item("t/1", "s", 3), {0});
    peer.advance(at(3));
    // Started after the removal at revision 4.
    fleet_view view(decode, hold);
    view.merge(item("t/1", "s", 3), {0});
    view.end_snapshot({"t/1"}, at(9), {0});
    apply_list(peer, view.changes_after(peer.revision()));
    CHECK(peer.revision() == at(9));
    CHECK(peer.targets("s") == view.targets("s"));
    // Once both know the same revisions, a list holds changes only.
    view.merge(item("t/2", "s", 10), {0});
    view.advance(at(10));
    CHECK(view.changes_after(at(9)).items.size() == 1);
    apply_list(peer, view.changes_after(at(9)));
    CHECK(peer.targets("s").size() == 2);
}

TEST_CASE(
    "a target that started later at an address supersedes the earlier one")
{
    fleet_view view(decode, hold);
    view.merge(item("t/old", "s at h since 100", 1), {0});
    view.merge(item("t/other", "s at i since 100", 2), {0});
    auto change = view.merge(item("t/new", "z at h since 200", 3), {0});
    std::sort(change.services.begin(), change.services.end());
    CHECK(change.services == std::vector<std::string>{"s", "z"});
    REQUIRE(view.targets("s").size() == 1);
    CHECK(view.targets("s")[0].instance == "other");
    CHECK(view.targets("z").size() == 1);
    CHECK(view.target_count() == 2);
    // A late update of the earlier target does not bring it back.
    view.merge(item("t/old", "s at h since 100", 4), {0});
    CHECK(view.targets("s").size() == 1);
    auto removal = view.merge(item("t/new", "", 5), {0});
    std::sort(removal.services.begin(), removal.services.end());
    CHECK(removal.services == std::vector<std::string>{"s", "z"});
    CHECK(view.targets("s").size() == 2);
    CHECK(view.targets("z").empty());
}

// Guards against a removed target that a list brings back which a peer sent
// before the removal.
TEST_CASE("a late list does not bring back what a snapshot no longer has")
{
    fleet_view peer(decode, hold);
    peer.merge(item("t/1", "s", 7), {0});
    peer.advance(at(7));
    const auto late = peer.changes_after({});
    fleet_view view(decode, hold);
    view.end_snapshot({}, at(9), {0});
    for (const auto& missing : late.items)
    {
        view.merge_from_peer(missing, {0});
    }
    view.end_list(late, {0});
    CHECK(view.targets("s").empty());
}

// Guards against a node that takes itself for complete after a restart, as a
// peer sent the changes after a revision of its previous process.
TEST_CASE("a list of changes after an unknown revision completes nothing")
{
    fleet_view peer(decode, hold);
    peer.merge(item("t/1", "s", 7), {0});
    peer.advance(at(7));
    peer.merge(item("t/2", "s", 8), {0});
    peer.advance(at(8));
    fleet_view view(decode, hold);
    apply_list(view, peer.changes_after(at(7)));
    CHECK(view.revision().number == 0);
    apply_list(view, peer.changes_after({}));
    CHECK(view.revision() == at(8));
    CHECK(view.targets("s").size() == 2);
}
