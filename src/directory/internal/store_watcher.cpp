#include "directory/store_watcher.hpp"

#include <algorithm>

namespace bilberrytally::directory
{
namespace
{
constexpr std::int64_t first_backoff_ms = 100;
constexpr std::int64_t longest_backoff_ms = 800;
constexpr std::uint32_t most_doublings = 3;
constexpr std::int64_t shortest_wait_percent = 30;
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
    if (this->paused || this->reading || now < this->next_read)
    {
        return;
    }
    this->reading = true;
    ++this->read_count;
    if (this->snapshot_due)
    {
        this->client->read(
            this->page_after, this->guard(&store_watcher::on_page));
        return;
    }
    //! Watches of a fleet end at different times, so that the first to find
    //! the store again tells the others soon.
    const auto spread =
        static_cast<std::uint64_t>(std::max<std::int64_t>(wait.count, 1));
    const base::duration_ms part{
        wait.count * shortest_wait_percent / 100 +
        static_cast<std::int64_t>(this->random() % spread) *
            (100 - shortest_wait_percent) / 100};
    this->client->watch(
        this->revision, part, this->guard(&store_watcher::on_changes));
}

on_store_result
store_watcher::guard(void (store_watcher::*handler)(const store_result&))
{
    return [this, handler, begun = this->generation](const store_result& result)
    {
        if (begun == this->generation)
        {
            (this->*handler)(result);
        }
    };
}

void store_watcher::set_gather_time(base::duration_ms span)
{
    this->gather_time = span;
}

void store_watcher::pause()
{
    ++this->generation;
    this->reading = false;
    this->paused = true;
    this->page_after.clear();
    this->snapshot_keys.clear();
}

void store_watcher::resume(std::uint64_t revision)
{
    this->paused = false;
    this->revision = std::max(this->revision, revision);
}

bool store_watcher::is_paused() const
{
    return this->paused;
}

void store_watcher::restart()
{
    ++this->generation;
    this->reading = false;
    this->snapshot_due = true;
    this->page_after.clear();
    this->snapshot_keys.clear();
    this->next_read = {INT64_MIN / 2};
}

void store_watcher::on_page(const store_result& result)
{
    this->reading = false;
    const auto* page = std::get_if<store_page>(&result);
    if (page == nullptr)
    {
        this->on_failure(std::get<store_error>(result));
        return;
    }
    this->on_success(base::now());
    if (this->page_after.empty())
    {
        //! Pages are read one after the other: changes between them are seen
        //! by the watch that starts where the first page was.
        this->snapshot_revision = page->revision;
        this->snapshot_keys.clear();
    }
    for (const auto& item : page->items)
    {
        this->snapshot_keys.push_back(item.key);
        this->events.on_item(item);
    }
    if (page->more && !page->items.empty())
    {
        this->page_after = page->items.back().key;
        return;
    }
    this->page_after.clear();
    this->snapshot_due = false;
    this->revision = this->snapshot_revision;
    this->events.on_snapshot(this->snapshot_keys, this->snapshot_revision);
    this->snapshot_keys.clear();
}

void store_watcher::on_changes(const store_result& result)
{
    this->reading = false;
    const auto* changes = std::get_if<store_page>(&result);
    if (changes == nullptr)
    {
        const auto& error = std::get<store_error>(result);
        if (error.failure == store_failure::history_gone)
        {
            this->on_success(base::now());
            this->restart();
            return;
        }
        this->on_failure(error);
        return;
    }
    this->on_success(base::now());
    if (!changes->items.empty())
    {
        this->next_read = base::now() + this->gather_time;
    }
    for (const auto& item : changes->items)
    {
        this->events.on_item(item);
    }
    if (!this->snapshot_due)
    {
        this->revision = std::max(this->revision, changes->revision);
        this->events.on_advanced(this->revision);
    }
}

void store_watcher::on_success(base::time_ms now)
{
    if (this->lost)
    {
        this->events.on_regained(now - this->answered);
    }
    this->lost = false;
    this->failures = 0;
    this->answered = now;
}

void store_watcher::on_failure(const store_error& error)
{
    if (!this->lost)
    {
        this->events.on_lost(error);
    }
    this->lost = true;
    this->page_after.clear();
    this->snapshot_keys.clear();
    const auto doublings = std::min(this->failures, most_doublings);
    const auto span =
        std::min(first_backoff_ms << doublings, longest_backoff_ms);
    ++this->failures;
    const auto jitter = static_cast<std::int64_t>(
        this->random() % static_cast<std::uint64_t>(span));
    this->next_read = base::now() + base::duration_ms{span / 2 + jitter};
}

bool store_watcher::is_lost() const
{
    return this->lost;
}

std::uint64_t store_watcher::reads() const
{
    return this->read_count;
}

base::time_ms store_watcher::last_answer() const
{
    return this->answered;
}
} // namespace bilberrytally::directory
