#include "directory/store_watcher.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace bilberrytally;
using namespace bilberrytally::directory;

namespace
{
//! Store client that records the calls of a watcher until the test completes
//! them.
class scripted_store : public store_client
{
public:
    struct call
    {
        bool watch{false};
        std::string after;
        std::uint64_t revision{0};
        base::duration_ms wait;
        on_store_result done;
    };

    explicit scripted_store(std::vector<call>& calls) : calls(calls)
    {
    }

    void read(const std::string& after, on_store_result done) override
    {
        this->calls.push_back({false, after, 0, {}, std::move(done)});
    }

    void watch(
        std::uint64_t revision, base::duration_ms wait,
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
    std::vector<std::string> items;
    std::vector<std::string> snapshot;
    std::uint64_t snapshot_revision{0};
    std::uint64_t advanced{0};
    //! Newest claim that the store had no higher revision.
    std::uint64_t current_revision{0};
    base::time_ms current_at{-1};
    int lost{0};
    int regained{0};
    store_watcher watcher{
        std::make_unique<scripted_store>(calls),
        {[this](const auto& item) { this->items.push_back(item.key); },
         [this](const auto& keys, std::uint64_t revision)
         {
             this->snapshot = keys;
             this->snapshot_revision = revision;
         },
         [this](std::uint64_t revision) { this->advanced = revision; },
         [this](std::uint64_t revision, base::time_ms asked_at)
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
    return {key, "v", revision, false};
}
} // namespace

TEST_CASE("changes in quick succession are batched")
{
    fixture f;
    const auto start = base::now();
    f.watcher.set_batch_interval({150});
    f.watcher.tick(start, {1000});
    f.calls[0].done(store_page{{}, false, 7});
    f.watcher.tick(start, {1000});
    REQUIRE(f.calls.size() == 2);
    f.calls[1].done(store_page{{{"t/1", "x", 8, false}}, false, 8});
    CHECK(f.items.size() == 1);
    f.watcher.tick(base::now() + base::duration_ms{50}, {1000});
    CHECK(f.calls.size() == 2);
    f.watcher.tick(base::now() + base::duration_ms{200}, {1000});
    REQUIRE(f.calls.size() == 3);
    CHECK(f.calls[2].revision == 8);
    // After a response without changes the next call starts at once.
    f.calls[2].done(store_page{{}, false, 8});
    f.watcher.tick(base::now() + base::duration_ms{200}, {1000});
    CHECK(f.calls.size() == 4);
}

TEST_CASE("the age of a view counts from when the store was asked")
{
    fixture f;
    const auto start = base::now();
    f.watcher.tick(start, {1000});
    // A snapshot of two pages is as old as its first page.
    f.calls[0].done(store_page{{item("a", 1)}, true, 7});
    CHECK(f.current_revision == 0);
    f.watcher.tick(start + base::duration_ms{40}, {1000});
    f.calls[1].done(store_page{{item("b", 9)}, false, 9});
    CHECK(f.current_revision == 7);
    CHECK(f.current_at == start);
    const auto asked = start + base::duration_ms{60};
    f.watcher.tick(asked, {1000});
    f.calls[2].done(store_page{{}, false, 9});
    CHECK(f.current_revision == 9);
    CHECK(f.current_at == asked);
}

TEST_CASE("a paused watcher abandons its call and resumes at a given revision")
{
    fixture f;
    f.watcher.tick({0}, {1000});
    f.calls[0].done(store_page{{}, false, 7});
    f.watcher.tick({1}, {1000});
    REQUIRE(f.calls.size() == 2);
    f.watcher.pause();
    f.watcher.tick({2}, {1000});
    CHECK(f.calls.size() == 2);
    // The result of the abandoned call is ignored.
    f.calls[1].done(store_page{{{"late", "x", 8, false}}, false, 8});
    CHECK(f.items.empty());
    CHECK(f.advanced == 0);
    f.watcher.resume(20);
    f.watcher.tick({3}, {1000});
    REQUIRE(f.calls.size() == 3);
    CHECK(f.calls[2].watch);
    CHECK(f.calls[2].revision == 20);
    f.calls[2].done(store_page{{{"t/1", "x", 21, false}}, false, 22});
    CHECK(f.items == std::vector<std::string>{"t/1"});
    CHECK(f.advanced == 22);
}

TEST_CASE("all pages are read, then changes since the first page are watched")
{
    fixture test;
    test.tick();
    REQUIRE(test.calls.size() == 1);
    test.calls[0].done(store_page{{item("a", 1), item("b", 2)}, true, 10});
    test.tick();
    REQUIRE(test.calls.size() == 2);
    CHECK(test.calls[1].after == "b");
    test.calls[1].done(store_page{{item("c", 11)}, false, 12});
    CHECK(test.snapshot == std::vector<std::string>{"a", "b", "c"});
    CHECK(test.snapshot_revision == 10);
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK(test.calls[2].watch);
    CHECK(test.calls[2].revision == 10);
    CHECK(test.calls[2].wait >= base::duration_ms{3000});
    CHECK(test.calls[2].wait <= base::duration_ms{10000});
    test.calls[2].done(store_page{{item("d", 13)}, false, 13});
    test.tick();
    CHECK(test.calls[3].revision == 13);
    CHECK(test.items == std::vector<std::string>{"a", "b", "c", "d"});
}

TEST_CASE("a snapshot is read at once if the store dropped its history")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, false, 10});
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
    test.calls[0].done(store_page{{item("a", 1)}, false, 10});
    test.tick();
    test.calls[1].done(store_error{store_failure::refused, "503"});
    CHECK(test.lost == 1);
    CHECK(test.watcher.is_store_lost());
    test.watcher.tick(base::now(), {10000});
    CHECK(test.calls.size() == 2);
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK(test.calls[2].revision == 10);
    test.calls[2].done(store_page{{}, false, 11});
    CHECK(test.regained == 2);
}

TEST_CASE("pages of a failed snapshot are not combined with those of the next")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, true, 10});
    test.tick();
    test.calls[1].done(store_error{store_failure::unavailable, "cut"});
    test.tick();
    REQUIRE(test.calls.size() == 3);
    CHECK(test.calls[2].after.empty());
    test.calls[2].done(store_page{{item("b", 2)}, false, 20});
    CHECK(test.snapshot == std::vector<std::string>{"b"});
    CHECK(test.snapshot_revision == 20);
}

TEST_CASE("the result of an abandoned watch does not affect the current one")
{
    fixture test;
    test.tick();
    test.calls[0].done(store_page{{item("a", 1)}, false, 10});
    test.tick();
    test.watcher.restart();
    test.tick();
    REQUIRE(test.calls.size() == 3);
    test.calls[1].done(store_page{{item("late", 50)}, false, 50});
    CHECK(test.items == std::vector<std::string>{"a"});
    test.calls[2].done(store_page{{item("a", 1)}, false, 12});
    test.tick();
    CHECK(test.calls[3].revision == 12);
}
