#include "directory/store_watcher.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace bilberrytally;
using namespace bilberrytally::directory;

namespace
{
//! A revision of the store's first epoch.
schema::store_revision at(std::uint64_t number)
{
    return {1, number};
}

//! Store client that records the calls of a watcher until the test completes
//! them.
class scripted_store : public store_client
{
public:
    struct call
    {
        bool watch{false};
        std::string after;
        schema::store_revision revision;
        base::duration_ms wait;
        on_store_result done;
    };

    explicit scripted_store(std::vector<call>& calls) : calls(calls)
    {
    }

    void read(const std::string& after, on_store_result done) override
    {
        this->calls.push_back({false, after, {}, {}, std::move(done)});
    }

    void watch(
        const schema::store_revision& revision, base::duration_ms wait,
        on_store_result done) override
    {
        this->calls.push_back({true, "", revision, wait, std::move(done)});
    }

private:
    std::vector<call>& calls;
};

struct fixture
{
    std::vector<scripted_store::call> calls;
    //! First revisions of the snapshots.
    std::vector<schema::store_revision> begun;
    std::vector<std::string> items;
    std::vector<std::string> snapshot;
    schema::store_revision snapshot_revision;
    schema::store_revision advanced;
    //! Newest claim that the store had no higher revision.
    schema::store_revision current_revision;
    base::time_ms current_at{-1};
    int lost{0};
    int regained{0};
    store_watcher watcher{
        std::make_unique<scripted_store>(calls),
        {[this](const schema::store_revision& revision)
         { this->begun.push_back(revision); },
         [this](const auto& item) { this->items.push_back(item.key); },
         [this](const auto& keys, const schema::store_revision& revision)
         {
             this->snapshot = keys;
             this->snapshot_revision = revision;
         },
         [this](const schema::store_revision& revision)
         { this->advanced = revision; },
         [this](const schema::store_revision& revision, base::time_ms asked_at)
         {
             this->current_revision = revision;
             this->current_at = asked_at;
         },
         [this](const auto&) { ++this->lost; },
         [this](base::duration_ms, std::uint32_t) { ++this->regained; }},
        1};

    void tick()
    {
        // Later than the end of any backoff.
        this->watcher.tick(base::now() + base::duration_ms{5000}, {10000});
    }
};

schema::published_item item(const std::string& key, std::uint64_t revision)
{
    return {key, "v", at(revision), false};
}
} // namespace

TEST_CASE("changes in quick succession are batched")
{
    fixture f;
    const auto start = base::now();
    f.watcher.set_batch_interval({150});
    f.watcher.tick(start, {1000});
    f.calls[0].done(store_page{{}, false, at(7)});
    f.watcher.tick(start, {1000});
    REQUIRE(f.calls.size() == 2);
    f.calls[1].done(store_page{{{"t/1", "x", at(8), false}}, false, at(8)});
    CHECK(f.items.size() == 1);
    f.watcher.tick(base::now() + base::duration_ms{50}, {1000});
    CHECK(f.calls.size() == 2);
    f.watcher.tick(base::now() + base::duration_ms{200}, {1000});
    REQUIRE(f.calls.size() == 3);
    CHECK(f.calls[2].revision == at(8));
    // After a response without changes the next call starts at once.
    f.calls[2].done(store_page{{}, false, at(8)});
    f.watcher.tick(base::now() + base::duration_ms{200}, {1000});
    CHECK(f.calls.size() == 4);
}

TEST_CASE("the age of a view counts from when the store was asked")
{
    fixture f;
    const auto start = base::now();
    f.watcher.tick(start, {1000});
    // A snapshot of two pages is as old as its first page.
    f.calls[0].done(store_page{{item("a", 1)}, true, at(7)});
    CHECK(f.current_revision.number == 0);
    f.watcher.tick(start + base::duration_ms{40}, {1000});
    f.calls[1].done(store_page{{item("b", 9)}, false, at(9)});
    CHECK(f.current_revision == at(7));
    CHECK(f.current_at == start);
    const auto asked = start + base::duration_ms{60};
    f.watcher.tick(asked, {1000});
    f.calls[2].done(store_page{{}, false, at(9)});
    CHECK(f.current_revision == at(9));
    CHECK(f.current_at == asked);
}

TEST_CASE("a paused watcher abandons its call and resumes at a given revision")
{
    fixture f;
    f.watcher.tick({0}, {1000});
    f.calls[0].done(store_page{{}, false, at(7)});
    f.watcher.tick({1}, {1000});
    REQUIRE(f.calls.size() == 2);
    f.watcher.pause();
    f.watcher.tick({2}, {1000});
    CHECK(f.calls.size() == 2);
    // The result of the abandoned call is ignored.
    f.calls[1].done(store_page{{{"late", "x", at(8), false}}, false, at(8)});
    CHECK(f.items.empty());
    CHECK(f.advanced.number == 0);
    f.watcher.resume(at(20));
    f.watcher.tick({3}, {1000});
    REQUIRE(f.calls.size() == 3);
    CHECK(f.calls[2].watch);
    CHECK(f.calls[2].revision == at(20));
    f.calls[2].done(store_page{{{"t/1", "x", at(21), false}}, false, at(22)});
    CHECK(f.items == std::vector<std::string>{"t/1"});
    CHECK(f.advanced == at(22));
}

TEST_CASE("all pages are read, then changes since the first page are watched")
{
    fixture test;
    test.tick();
    REQUIRE(test.calls.size() == 1);
    test.calls[0].done(store_page{{item("a", 1), item("b", 2)}, true, at(10)});
    test.tick();
    REQUIRE(test.calls.size() == 2);
    CHECK(test.calls[1].after == "b");
    test.calls[1].done(store_page{{item("c", 11)}, false, at(12)});
    CHECK(test.snapshot == std::vector<std::string>{"a", "b", "c"});
    CHECK(test.snapshot_revision == at(10));
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK(test.calls[2].watch);
    CHECK(test.calls[2].revision == at(10));
    CHECK(test.calls[2].wait >= base::duration_ms{3000});
    CHECK(test.calls[2].wait <= base::duration_ms{10000});
    test.calls[2].done(store_page{{item("d", 13)}, false, at(13)});
    test.tick();
    CHECK(test.calls[3].revision == at(13));
    CHECK(test.items == std::vector<std::string>{"a", "b", "c", "d"});
}

TEST_CASE("a snapshot is read at once if the store dropped its history")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, false, at(10)});
    test.tick();
    test.calls[1].done(store_error{store_failure::history_gone, "410"});
    CHECK(test.lost == 0);
    test.watcher.tick(base::now(), {10000});
    REQUIRE(test.calls.size() == 3);
    CHECK_FALSE(test.calls[2].watch);
}

TEST_CASE("a failed call backs off, and the watch continues at its revision")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, false, at(10)});
    test.tick();
    test.calls[1].done(store_error{store_failure::refused, "503"});
    CHECK(test.lost == 1);
    CHECK(test.watcher.is_store_lost());
    test.watcher.tick(base::now(), {10000});
    CHECK(test.calls.size() == 2);
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK(test.calls[2].revision == at(10));
    test.calls[2].done(store_page{{}, false, at(11)});
    CHECK(test.regained == 2);
}

TEST_CASE("pages of a failed snapshot are not combined with those of the next")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, true, at(10)});
    test.tick();
    test.calls[1].done(store_error{store_failure::unavailable, "cut"});
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK(test.calls[2].after.empty());
    test.calls[2].done(store_page{{item("b", 2)}, false, at(20)});
    CHECK(test.snapshot == std::vector<std::string>{"b"});
    CHECK(test.snapshot_revision == at(20));
}

TEST_CASE("the result of an abandoned watch does not affect the current one")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, false, at(10)});
    test.tick();
    test.watcher.restart();
    test.tick();
    REQUIRE(test.calls.size() == 3);
    test.calls[1].done(store_page{{item("late", 50)}, false, at(50)});
    CHECK(test.items == std::vector<std::string>{"a"});
    test.calls[2].done(store_page{{item("a", 1)}, false, at(12)});
    test.tick();
    CHECK(test.calls[3].revision == at(12));
}

// The next five guard against a watch that follows nothing after the store was
// restored from a backup.
TEST_CASE("a watch whose response is of a new epoch leads to a snapshot")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, false, at(10)});
    test.tick();
    // Changes after revision 10 of another epoch are not those after ours.
    test.calls[1].done(
        store_page{{{"x", "v", {2, 11}, false}}, false, {2, 11}});
    CHECK(test.items == std::vector<std::string>{"a"});
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK_FALSE(test.calls[2].watch);
    test.calls[2].done(store_page{{{"a", "v", {2, 1}, false}}, false, {2, 4}});
    CHECK(test.begun.back() == schema::store_revision(2, 4));
    CHECK(test.snapshot_revision == schema::store_revision(2, 4));
    test.tick();
    REQUIRE(test.calls.size() == 4);
    CHECK(test.calls[3].revision == schema::store_revision(2, 4));
}

TEST_CASE("a refusal that states a new epoch leads to a snapshot")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{}, false, at(10)});
    test.tick();
    test.calls[1].done(store_error{store_failure::refused, "status 503", 2});
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK_FALSE(test.calls[2].watch);
}

TEST_CASE("pages of two epochs never form one snapshot")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, true, at(10)});
    test.tick();
    test.calls[1].done(store_page{{{"b", "v", {2, 2}, false}}, false, {2, 4}});
    CHECK(test.snapshot.empty());
    CHECK(test.items == std::vector<std::string>{"a"});
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK(test.calls[2].after.empty());
}

TEST_CASE("a late response of an older epoch changes nothing")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{}, false, {2, 4}});
    test.tick();
    test.calls[1].done(store_page{{item("late", 90)}, false, at(90)});
    CHECK(test.items.empty());
    CHECK(test.lost == 1);
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK(test.calls[2].watch);
    CHECK(test.calls[2].revision == schema::store_revision(2, 4));
}

TEST_CASE("a watch resumes at the epoch that the owner knows")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{}, false, at(90)});
    test.watcher.pause();
    test.watcher.resume({2, 4});
    test.tick();
    REQUIRE(test.calls.size() == 2);
    CHECK(test.calls[1].watch);
    CHECK(test.calls[1].revision == schema::store_revision(2, 4));
}
