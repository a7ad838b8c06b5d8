// The view while the store is restored from a backup: it goes back to an older
// state in a new epoch, and what was written since is written again.
#include "directory/tests/restore_testing.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;
using namespace bilberrytally::directory;

namespace
{
using namespace restore_testing;

constexpr base::duration_ms hold{2000};
//! Longer than any report of the backup is doubted.
constexpr base::time_ms long_after{60000};

//! Phases of the targets in use: "1 ready, 2 draining".
std::string targets_of(const fleet_view& view)
{
    std::string text;
    for (const auto& target : view.targets("s"))
    {
        text += (text.empty() ? "" : ", ") + target.instance +
                (target.phase == target_phase::ready ? " ready" : " draining");
    }
    return text;
}

//! A view of the first epoch at revision 120, and a backup of revision 100 to
//! which the store goes back.
struct restored_fixture
{
    fleet_view view{decode, hold};

    restored_fixture(
        const std::vector<schema::published_item>& known,
        const std::vector<schema::published_item>& backup)
    {
        apply_snapshot(this->view, known, {1, 120}, {0});
        this->change = apply_snapshot(this->view, backup, {2, 100}, {1000});
    }

    view_change change;
};
} // namespace

// Guards against configurations that are ignored after a restore.
TEST_CASE("a version written after a restore is in force at a lower number")
{
    restored_fixture f({item("c", "9", 1, 113)}, {item("c", "5", 2, 90)});
    CHECK(f.view.configuration()->version == 9);
    CHECK(f.view.revision() == schema::store_revision(2, 100));
    CHECK(f.view.merge(item("c", "10", 2, 111), {7000}).configuration_changed);
    CHECK(f.view.configuration()->version == 10);
}

// Guards against nodes that do not watch the store and miss what was written
// after a restore.
TEST_CASE("a peer that compares revisions follows a restore")
{
    fleet_view peer(decode, hold);
    apply_snapshot(
        peer, {item("t/1", entry("ready", 5, 1), 1, 110)}, {1, 171}, {0});
    restored_fixture f(
        {item("t/1", entry("ready", 5, 1), 1, 110)},
        {item("t/1", entry("ready", 5, 1), 2, 99)});
    f.view.merge(item("t/1", entry("draining", 5, 1), 2, 165), {7000});
    f.view.advance({2, 165});
    CHECK(f.view.revision() > peer.revision());
    apply_list(peer, f.view.changes_after(peer.revision()), {7000});
    CHECK(targets_of(peer) == "1 draining");
    CHECK(peer.revision() == f.view.revision());
}

// Guards against a fleet without targets until they have registered again.
TEST_CASE("targets that a backup lacks stay in use for the hold time")
{
    restored_fixture f(
        {item("t/1", entry("ready", 5, 1), 1, 90),
         item("t/2", entry("ready", 5, 1), 1, 110),
         item("t/3", entry("ready", 5, 1), 1, 111),
         item("t/4", entry("draining", 5, 1), 1, 112)},
        {item("t/1", entry("ready", 5, 1), 2, 90)});
    CHECK(targets_of(f.view) == "1 ready, 2 ready, 3 ready");
    CHECK(
        f.change.restore ==
        restore_summary{1, schema::store_revision(2, 100), 2, 0});
    f.view.merge(item("t/2", entry("ready", 5, 2), 2, 101), {2000});
    f.view.tick({3000});
    CHECK(targets_of(f.view) == "1 ready, 2 ready");
}

// Guards against requests to a target that has said that it leaves.
TEST_CASE("a target that drains is not ready again because a backup says so")
{
    restored_fixture f(
        {item("t/1", entry("draining", 5, 7), 1, 110)},
        {item("t/1", entry("ready", 5, 6), 2, 90)});
    CHECK(f.change.restore->outdated == 1);
    f.view.tick(long_after);
    CHECK(targets_of(f.view) == "1 draining");
    // The next process under the same id is another matter.
    f.view.merge(item("t/1", entry("ready", 6, 1), 2, 130), long_after);
    CHECK(targets_of(f.view) == "1 ready");
}

TEST_CASE("a report that was written again replaces what was known")
{
    restored_fixture f(
        {item("t/1", entry("draining", 5, 7), 1, 110),
         item("t/2", entry("ready", 5, 7), 1, 111)},
        {item("t/1", entry("ready", 6, 1), 2, 98),
         item("t/2", entry("draining", 5, 8), 2, 99)});
    CHECK(targets_of(f.view) == "1 ready, 2 draining");
    CHECK(f.change.restore->outdated == 0);
}

// Guards against requests to a target that has left, and to the next one at its
// address.
TEST_CASE("a target that left is not in use because a backup lists it")
{
    fleet_view view(decode, hold);
    apply_snapshot(
        view, {item("t/1", entry("ready", 5, 3), 1, 90)}, {1, 100}, {0});
    view.merge(item("t/1", "", 1, 110), {0});
    apply_snapshot(
        view, {item("t/1", entry("ready", 5, 3), 2, 90)}, {2, 100}, {1000});
    CHECK(targets_of(view).empty());
    SUBCASE("until it is removed again")
    {
        view.merge(item("t/1", "", 2, 120), {5000});
        view.tick(long_after);
        CHECK(targets_of(view).empty());
    }
    SUBCASE("or until it registers again")
    {
        view.merge(item("t/1", entry("ready", 5, 3), 2, 120), {1500});
        CHECK(targets_of(view) == "1 ready");
    }
    SUBCASE("or until the time limit")
    {
        view.tick({10999});
        CHECK(targets_of(view).empty());
        view.tick({11000});
        CHECK(targets_of(view) == "1 ready");
    }
}

// Guards against a process that returns to the state of its backup.
TEST_CASE("an older process of a target does not replace a later one")
{
    restored_fixture f(
        {item("t/1", entry("ready", 8, 1), 1, 110)},
        {item("t/1", entry("draining", 5, 40), 2, 90)});
    CHECK(targets_of(f.view) == "1 ready");
}

// Guards against a fleet that is taught backwards by nodes that missed the
// restore.
TEST_CASE("lists of an older epoch change nothing but the configuration")
{
    restored_fixture f(
        {item("c", "7", 1, 90), item("t/1", entry("ready", 5, 1), 1, 90)},
        {item("c", "7", 2, 90), item("t/1", entry("ready", 5, 1), 2, 90)});
    schema::item_list late;
    late.revision = {1, 500};
    late.complete = true;
    late.items = {
        item("c", "8", 1, 480), item("t/9", entry("ready", 5, 1), 1, 490)};
    apply_list(f.view, late, {2000});
    CHECK(targets_of(f.view) == "1 ready");
    CHECK(f.view.revision() == schema::store_revision(2, 100));
    CHECK(f.view.configuration()->version == 8);
}

// Guards against a node that starts on the backup's configuration alone.
TEST_CASE("a node that knows the backup alone learns the version in force")
{
    restored_fixture f({item("c", "9", 1, 113)}, {item("c", "5", 2, 90)});
    fleet_view newcomer(decode, hold);
    apply_snapshot(newcomer, {item("c", "5", 2, 90)}, {2, 100}, {1500});
    CHECK(newcomer.configuration()->version == 5);
    apply_list(newcomer, f.view.changes_after({}), {1600});
    CHECK(newcomer.configuration()->version == 9);
}

TEST_CASE("a store that loses nothing in a restore changes nothing")
{
    const std::vector<schema::published_item> first{
        item("c", "3", 1, 50), item("t/1", entry("ready", 5, 1), 1, 60)};
    auto second = first;
    for (auto& listed : second)
    {
        listed.revision.epoch = 2;
    }
    restored_fixture f(first, second);
    CHECK(f.change.services.empty());
    CHECK(targets_of(f.view) == "1 ready");
}
