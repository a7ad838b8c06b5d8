#pragma once

#include "directory/fleet_view.hpp"
#include "directory/store_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bilberrytally::directory
{
//! Calls of the watcher to its owner.
struct watcher_events
{
    //! An item as the store gave it.
    std::function<void(const schema::published_item&)> on_item;
    //! A read of all items is complete: the keys and the revision at which it
    //! began.
    std::function<void(const std::vector<std::string>&, std::uint64_t)>
        on_snapshot;
    //! All changes up to a revision have been given.
    std::function<void(std::uint64_t revision)> on_advanced;
    std::function<void(const store_error&)> on_lost;
    //! The store answers again; \p silent since the last answer.
    std::function<void(base::duration_ms silent)> on_regained;
};

//! Follows the store: reads all items, then waits for changes, and begins
//! anew where the history is gone. Failed reads back off with jitter. The
//! next call is made by tick().
class store_watcher
{
public:
    store_watcher(
        std::unique_ptr<store_client> client, watcher_events events,
        std::uint64_t seed);

    //! Starts the next read if it is due.
    void tick(base::time_ms now, base::duration_ms wait);

    //! Changes that follow one within \p span come with one answer.
    void set_gather_time(base::duration_ms span);

    //! Leaves the present wait and starts no other one until resume().
    void pause();
    //! Goes on after \p revision, up to which the owner knows all changes.
    void resume(std::uint64_t revision);
    bool is_paused() const;

    //! Reads all items again, for example after this process stood still.
    void restart();

    //! Nothing was read yet, or the last read failed.
    bool is_lost() const;
    std::uint64_t reads() const;
    base::time_ms last_answer() const;

private:
    //! Handles results of the present read only: restart() leaves a read
    //! whose answer may never come.
    on_store_result guard(void (store_watcher::*handler)(const store_result&));
    void on_page(const store_result& result);
    void on_changes(const store_result& result);
    void on_success(base::time_ms now);
    void on_failure(const store_error& error);

    std::unique_ptr<store_client> client;
    watcher_events events;
    std::mt19937_64 random;
    base::duration_ms gather_time{0};
    bool paused{false};
    bool reading{false};
    std::uint64_t generation{0};
    bool snapshot_due{true};
    bool lost{true};
    std::string page_after;
    std::vector<std::string> snapshot_keys;
    std::uint64_t snapshot_revision{0};
    std::uint64_t revision{0};
    std::uint32_t failures{0};
    base::time_ms next_read{INT64_MIN / 2};
    base::time_ms answered{INT64_MIN / 2};
    std::uint64_t read_count{0};
};
} // namespace bilberrytally::directory
