#include "directory/store_watcher.hpp"

#include <algorithm>

namespace bilberrytally::directory
{
namespace
{
constexpr std::int64_t initial_backoff_ms = 100;
constexpr std::int64_t max_backoff_ms = 800;
//! Keeps the shift small; 100 ms doubled 3 times is the longest backoff.
constexpr std::uint32_t max_doublings = 3;
//! Shortest wait of a watch, in percent of the wait that tick() gets. The rest
//! is random and spreads the ends of the watches.
constexpr std::int64_t min_wait_percent = 30;
} // namespace

std::string_view to_string(store_failure failure)
{
    switch (failure)
    {
    case store_failure::history_gone:
        return "history_gone";
    case store_failure::refused:
        return "refused";
    case store_failure::unavailable:
        return "unavailable";
    case store_failure::outdated:
        return "outdated";
    case store_failure::unreadable:
        return "unreadable";
    }
    return "unknown";
}

store_watcher::store_watcher(
    std::unique_ptr<store_client> client, watcher_events events,
    std::uint64_t seed)
    : client(std::move(client)), events(std::move(events)), random(seed)
{
}

void store_watcher::tick(base::time_ms now, base::duration_ms wait)
{
    if (this->paused || this->call_in_flight || now < this->next_call)
    {
        return;
    }
    this->call_in_flight = true;
    this->asked_at = now;
    if (this->snapshot_due)
    {
        this->client->read(
            this->last_page_key,
            this->bind_generation(&store_watcher::on_page));
        return;
    }
    // Each watch waits for a random part of the time, so that the watches of
    // a fleet end at different times. Some node then calls the store soon
    // after an outage ends and notifies its peers.
    const auto wait_range =
        static_cast<std::uint64_t>(std::max<std::int64_t>(wait.count, 1));
    const base::duration_ms random_wait{
        wait.count * min_wait_percent / 100 +
        static_cast<std::int64_t>(this->random() % wait_range) *
            (100 - min_wait_percent) / 100};
    this->client->watch(
        this->revision, random_wait,
        this->bind_generation(&store_watcher::on_changes));
}

on_store_result store_watcher::bind_generation(
    void (store_watcher::*handler)(const store_result&))
{
    return [this, handler,
            started_generation = this->generation](const store_result& result)
    {
        if (started_generation == this->generation)
        {
            (this->*handler)(result);
        }
    };
}

void store_watcher::set_batch_interval(base::duration_ms interval)
{
    this->batch_interval = interval;
}

void store_watcher::pause()
{
    ++this->generation;
    this->call_in_flight = false;
    this->paused = true;
    this->last_page_key.clear();
    this->snapshot_keys.clear();
}

void store_watcher::resume(const schema::store_revision& revision)
{
    this->paused = false;
    this->revision = std::max(this->revision, revision);
    this->follow_epoch(revision.epoch);
}

bool store_watcher::is_paused() const
{
    return this->paused;
}

void store_watcher::restart()
{
    ++this->generation;
    this->call_in_flight = false;
    this->snapshot_due = true;
    this->last_page_key.clear();
    this->snapshot_keys.clear();
    this->next_call = {INT64_MIN / 2};
}

bool store_watcher::follow_epoch(std::uint64_t stated)
{
    if (stated <= this->epoch)
    {
        return false;
    }
    this->epoch = stated;
    return true;
}

bool store_watcher::is_outdated(const store_page& page)
{
    if (page.revision.epoch >= this->epoch)
    {
        return false;
    }
    this->on_failure(
        {store_failure::outdated,
         "response of epoch " + std::to_string(page.revision.epoch) +
             " in epoch " + std::to_string(this->epoch)});
    return true;
}

void store_watcher::on_page(const store_result& result)
{
    this->call_in_flight = false;
    const auto* page = std::get_if<store_page>(&result);
    if (page == nullptr)
    {
        const auto& error = std::get<store_error>(result);
        this->follow_epoch(error.epoch);
        this->on_failure(error);
        return;
    }
    if (this->is_outdated(*page))
    {
        return;
    }
    this->on_success(base::now());
    const bool is_first_page = this->last_page_key.empty();
    if (this->follow_epoch(page->revision.epoch) && !is_first_page)
    {
        // The pages before it are of another epoch.
        this->restart();
        return;
    }
    if (is_first_page)
    {
        // Items may change while the pages are read one after another. The
        // watch that follows starts at the revision of the first page and so
        // returns these changes.
        this->snapshot_revision = page->revision;
        this->snapshot_asked_at = this->asked_at;
        this->snapshot_keys.clear();
        this->events.on_snapshot_begin(page->revision);
    }
    for (const auto& item : page->items)
    {
        this->snapshot_keys.push_back(item.key);
        this->events.on_item(item);
    }
    if (page->has_more && !page->items.empty())
    {
        this->last_page_key = page->items.back().key;
        return;
    }
    this->last_page_key.clear();
    this->snapshot_due = false;
    this->revision = this->snapshot_revision;
    this->events.on_snapshot(this->snapshot_keys, this->snapshot_revision);
    this->events.on_current(this->snapshot_revision, this->snapshot_asked_at);
    this->snapshot_keys.clear();
}

void store_watcher::on_changes(const store_result& result)
{
    this->call_in_flight = false;
    const auto* changes = std::get_if<store_page>(&result);
    if (changes == nullptr)
    {
        const auto& error = std::get<store_error>(result);
        const bool restored = this->follow_epoch(error.epoch);
        if (error.failure == store_failure::history_gone)
        {
            this->on_success(base::now());
            this->restart();
            return;
        }
        this->snapshot_due = this->snapshot_due || restored;
        this->on_failure(error);
        return;
    }
    if (this->is_outdated(*changes))
    {
        return;
    }
    this->on_success(base::now());
    if (this->follow_epoch(changes->revision.epoch))
    {
        // The changes are those after a revision of another epoch.
        this->restart();
        return;
    }
    if (!changes->items.empty())
    {
        this->next_call = base::now() + this->batch_interval;
    }
    for (const auto& item : changes->items)
    {
        this->events.on_item(item);
    }
    if (!this->snapshot_due)
    {
        this->revision = std::max(this->revision, changes->revision);
        this->events.on_advanced(this->revision);
        this->events.on_current(this->revision, this->asked_at);
    }
}

void store_watcher::on_success(base::time_ms now)
{
    if (this->lost)
    {
        this->events.on_regained(now - this->last_success, this->failures);
    }
    this->lost = false;
    this->failures = 0;
    this->last_success = now;
}

void store_watcher::on_failure(const store_error& error)
{
    if (!this->lost)
    {
        this->events.on_lost(error);
    }
    this->lost = true;
    this->last_page_key.clear();
    this->snapshot_keys.clear();
    const auto doublings = std::min(this->failures, max_doublings);
    const auto backoff_ms =
        std::min(initial_backoff_ms << doublings, max_backoff_ms);
    ++this->failures;
    const auto jitter = static_cast<std::int64_t>(
        this->random() % static_cast<std::uint64_t>(backoff_ms));
    this->next_call = base::now() + base::duration_ms{backoff_ms / 2 + jitter};
}

bool store_watcher::is_store_lost() const
{
    return this->lost;
}

base::time_ms store_watcher::last_success_time() const
{
    return this->last_success;
}
} // namespace bilberrytally::directory
