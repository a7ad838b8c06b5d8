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
//! Callbacks from a watcher to its owner.
struct watcher_events
{
    //! A snapshot begins; \p revision is that of its first page.
    std::function<void(const schema::store_revision& revision)>
        on_snapshot_begin;
    //! The store returned an item, as part of a snapshot or as a change.
    std::function<void(const schema::published_item&)> on_item;
    //! A snapshot (a read of all items) is complete: the keys of all items and
    //! the store's revision at the first page.
    std::function<void(
        const std::vector<std::string>&, const schema::store_revision&)>
        on_snapshot;
    //! All changes up to \p revision have been passed to on_item.
    std::function<void(const schema::store_revision& revision)> on_advanced;
    //! The store, asked at \p asked_at, had no revision above \p revision;
    //! all changes up to it have been passed to on_item.
    std::function<void(
        const schema::store_revision& revision, base::time_ms asked_at)>
        on_current;
    //! A call failed after one that succeeded.
    std::function<void(const store_error&)> on_lost;
    //! A call succeeded after the store was lost, or for the first time;
    //! \p outage is the time since the last successful call. At the first
    //! success it is a very large number and no outage. \p failed_calls is the
    //! number of calls in a row that failed meanwhile.
    std::function<void(base::duration_ms outage, std::uint32_t failed_calls)>
        on_regained;
};

//! Follows the items of a store: reads a snapshot of all items, then watches
//! for changes. It reads a new snapshot if the store has dropped the changes
//! since the last known revision, or if it was restored from a backup (a new
//! epoch). Results of an older epoch than the newest one that any response
//! stated have arrived late and are dropped. After a failed call it waits for a
//! backoff with jitter. The owner calls tick(), which starts the next call.
class store_watcher
{
public:
    store_watcher(
        std::unique_ptr<store_client> client, watcher_events events,
        std::uint64_t seed);

    //! Starts the next call if it is due and none is in flight. A watch waits
    //! for a random time of up to \p wait.
    void tick(base::time_ms now, base::duration_ms wait);

    //! Sets the delay between a watch that returned changes and the next one.
    //! Changes in quick succession then arrive in one response.
    void set_batch_interval(base::duration_ms interval);

    //! Abandons the call in flight and starts no other until resume().
    void pause();
    //! Continues after \p revision, up to which the owner knows all changes.
    void resume(const schema::store_revision& revision);
    bool is_paused() const;

    //! Abandons the call in flight and reads a new snapshot at the next
    //! tick(), for example after a suspension of this process.
    void restart();

    //! No call has succeeded yet, or the last one failed.
    bool is_store_lost() const;
    //! Time of the last successful call; INT64_MIN / 2 before the first one.
    base::time_ms last_success_time() const;

private:
    //! Passes a result to \p handler only if its call was not abandoned by
    //! pause() or restart() in the meantime; such a call may end much later or
    //! never.
    on_store_result
    bind_generation(void (store_watcher::*handler)(const store_result&));
    void on_page(const store_result& result);
    //! Follows the epoch that a response states. Returns true if it is higher
    //! than the one followed before.
    bool follow_epoch(std::uint64_t stated);
    //! Fails the call if its page belongs to an older epoch.
    bool is_outdated(const store_page& page);
    void on_changes(const store_result& result);
    void on_success(base::time_ms now);
    void on_failure(const store_error& error);

    std::unique_ptr<store_client> client;
    watcher_events events;
    std::mt19937_64 random;
    base::duration_ms batch_interval{0};
    bool paused{false};
    bool call_in_flight{false};
    //! Increases whenever the call in flight is abandoned.
    std::uint64_t generation{0};
    bool snapshot_due{true};
    bool lost{true};
    //! Last key of the previous page of an unfinished snapshot, or empty.
    std::string last_page_key;
    std::vector<std::string> snapshot_keys;
    schema::store_revision snapshot_revision;
    //! When the first page of the snapshot was asked for.
    base::time_ms snapshot_asked_at;
    //! When the call in flight was started.
    base::time_ms asked_at;
    //! Newest epoch that a response stated.
    std::uint64_t epoch{0};
    //! Revision after which the next watch reports changes.
    schema::store_revision revision;
    //! Failed calls in a row.
    std::uint32_t failures{0};
    //! INT64_MIN / 2 is long ago without overflow when times are subtracted.
    base::time_ms next_call{INT64_MIN / 2};
    base::time_ms last_success{INT64_MIN / 2};
};
} // namespace bilberrytally::directory
