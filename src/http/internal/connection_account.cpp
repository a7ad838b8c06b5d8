#include "http/internal/connection_account.hpp"

#include <algorithm>
#include <utility>

namespace bilberrytally::http
{
namespace
{
//! A connection with its parser, read buffer, timer and socket.
constexpr std::uint64_t connection_bytes = 8U << 10U;
//! More bytes do not make a connection more likely to be closed, so that a
//! large request that is moving outlives small ones that are not.
constexpr std::uint64_t weight_limit_bytes = 64U << 10U;
//! Larger requests are refused a little earlier than small ones.
constexpr std::uint64_t small_request_bytes = 64U << 10U;
//! Connections are closed down to 7/8 of a limit, since each search for them
//! looks at all connections.
constexpr std::uint64_t low_mark_eighths = 7;
//! Small requests may use 1/8 more than the limit.
constexpr std::uint64_t reserve_eighths = 9;
//! The largest connection counts for at most this many quarters of the limit.
constexpr std::uint64_t largest_quarters = 3;
//! Bytes that must move for a connection to count as progressing: a quantum,
//! and for large ones a part of what they hold. A caller that sends single
//! bytes makes no progress.
constexpr std::uint64_t progress_bytes = 4U << 10U;
constexpr std::uint64_t progress_divisor = 16;
//! The account counts as limiting for this long after it last closed or
//! refused something.
constexpr base::duration_ms limiting_time{5000};
} // namespace

connection_account::charge::charge(
    entry_ptr owner, std::uint64_t bytes, bool running)
    : owner(std::move(owner)), bytes(bytes), running(running)
{
}

connection_account::charge::~charge()
{
    auto& account = this->owner->account;
    const std::scoped_lock lock(account.mutex);
    account.update_held(*this->owner, 0, this->bytes);
    this->owner->running -= this->running ? 1 : 0;
}

connection_account::entry::entry(
    connection_account& account, close_function close)
    : account(account), close(std::move(close))
{
}

void connection_account::entry::begin_message()
{
    this->parsing = phase::head;
    this->phase_changed = true;
}

void connection_account::entry::begin_body()
{
    this->parsing = phase::body;
}

void connection_account::entry::add_parsed(std::uint64_t bytes)
{
    this->parsed += bytes;
}

void connection_account::entry::add_moved(std::uint64_t bytes)
{
    this->moved += bytes;
}

void connection_account::entry::settle(base::time_ms now)
{
    const std::scoped_lock lock(this->account.mutex);
    if (this->released)
    {
        return;
    }
    this->account.update_held(*this, this->parsed, this->entered_parsed);
    this->entered_parsed = this->parsed;
    this->entered_phase = this->parsing;
    if (std::exchange(this->phase_changed, false))
    {
        this->phase_since = now;
    }
    this->unmarked += std::exchange(this->moved, 0);
    if (this->unmarked >=
        std::max(progress_bytes, this->held / progress_divisor))
    {
        this->unmarked = 0;
        this->progress_at = now;
    }
    this->account.enforce_limits(now);
}

std::unique_ptr<connection_account::charge>
connection_account::entry::complete_request(
    std::uint64_t bytes, base::time_ms now)
{
    this->parsed = 0;
    this->parsing = phase::idle;
    const std::scoped_lock lock(this->account.mutex);
    this->account.update_held(*this, bytes, this->entered_parsed);
    this->entered_parsed = 0;
    this->entered_phase = phase::idle;
    this->progress_at = now;
    this->unmarked = 0;
    ++this->running;
    this->account.enforce_limits(now);
    if (this->account.limits.max_held_bytes == 0)
    {
        return std::make_unique<charge>(this->shared_from_this(), bytes, true);
    }
    const auto limit = this->account.limits.max_held_bytes;
    const auto own_limit =
        bytes <= small_request_bytes ? limit / 8 * reserve_eighths : limit;
    if (this->account.counted_bytes() <= own_limit)
    {
        return std::make_unique<charge>(this->shared_from_this(), bytes, true);
    }
    this->account.update_held(*this, 0, bytes);
    --this->running;
    ++this->account.counts.refused;
    this->account.last_limited = now;
    this->account.counts.limiting = true;
    return nullptr;
}

std::unique_ptr<connection_account::charge>
connection_account::entry::add_response(std::uint64_t bytes)
{
    const std::scoped_lock lock(this->account.mutex);
    this->account.update_held(*this, bytes, 0);
    return std::make_unique<charge>(this->shared_from_this(), bytes, false);
}

void connection_account::entry::disarm()
{
    const std::scoped_lock lock(this->account.mutex);
    this->close = nullptr;
    if (this->account.open_entries.erase(this) > 0)
    {
        --this->account.counts.connections;
    }
}

void connection_account::entry::release()
{
    this->disarm();
    const std::scoped_lock lock(this->account.mutex);
    this->account.update_held(
        *this, 0, this->entered_parsed + connection_bytes);
    this->entered_parsed = 0;
    this->released = true;
}

bool connection_account::entry::is_evicted() const
{
    return this->evicted;
}

void connection_account::set_limits(const connection_limits& new_limits)
{
    const std::scoped_lock lock(this->mutex);
    this->limits = new_limits;
}

connection_account::entry_ptr
connection_account::open(close_function close, base::time_ms now)
{
    auto added = std::make_shared<entry>(*this, std::move(close));
    const std::scoped_lock lock(this->mutex);
    added->progress_at = now;
    added->phase_since = now;
    this->open_entries.insert(added.get());
    ++this->counts.connections;
    this->update_held(*added, connection_bytes, 0);
    this->enforce_limits(now);
    return added;
}

void connection_account::check(base::time_ms now)
{
    const std::scoped_lock lock(this->mutex);
    this->counts.limiting &= now - this->last_limited < limiting_time;
    std::vector<entry*> expired;
    for (auto* candidate : this->open_entries)
    {
        const auto limit = candidate->entered_phase == phase::head
                               ? this->limits.head_timeout
                               : this->limits.request_timeout;
        if (candidate->entered_phase != phase::idle && limit.count > 0 &&
            now - candidate->phase_since > limit)
        {
            expired.push_back(candidate);
        }
    }
    for (auto* connection : expired)
    {
        this->evict(*connection);
    }
}

connection_usage connection_account::usage() const
{
    const std::scoped_lock lock(this->mutex);
    return this->counts;
}

void connection_account::update_held(
    entry& changed, std::uint64_t add, std::uint64_t remove)
{
    changed.held += add;
    changed.held -= remove;
    if (changed.evicted)
    {
        // Its bytes were subtracted when it was closed.
        return;
    }
    this->counts.held_bytes += add;
    this->counts.held_bytes -= remove;
    if (this->largest == nullptr || changed.held > this->largest->held)
    {
        this->largest = &changed;
    }
    if (this->largest == &changed && changed.held <= connection_bytes)
    {
        this->largest = nullptr;
    }
}

std::uint64_t connection_account::counted_bytes() const
{
    // Requests behind a large one do not pass the limit with it.
    const bool has_single_request =
        this->largest != nullptr &&
        this->largest->running + (this->largest->entered_parsed > 0 ? 1 : 0) <=
            1;
    const bool may_be_large = !this->limits.allows_large_request ||
                              this->limits.allows_large_request();
    if (!has_single_request || !may_be_large)
    {
        return this->counts.held_bytes;
    }
    const auto share = this->limits.max_held_bytes / 4 * largest_quarters;
    const auto largest_bytes = this->largest->held;
    return this->counts.held_bytes - largest_bytes +
           std::min(largest_bytes, share);
}

bool connection_account::is_over(
    std::uint64_t bytes, std::uint64_t connections) const
{
    return (this->limits.max_held_bytes > 0 && this->counted_bytes() > bytes) ||
           (this->limits.max_connections > 0 &&
            this->counts.connections > connections);
}

void connection_account::enforce_limits(base::time_ms now)
{
    if (!this->is_over(
            this->limits.max_held_bytes, this->limits.max_connections))
    {
        return;
    }
    this->last_limited = now;
    this->counts.limiting = true;
    this->evict_while_over(this->by_progress(now));
    // Last those whose requests run: closing them cuts these requests.
    if (this->is_over(
            this->limits.max_held_bytes, this->limits.max_connections))
    {
        this->evict_while_over(this->running_by_bytes());
    }
}

std::vector<connection_account::entry*>
connection_account::by_progress(base::time_ms now) const
{
    std::vector<std::pair<std::uint64_t, entry*>> scored;
    scored.reserve(this->open_entries.size());
    for (auto* candidate : this->open_entries)
    {
        if (candidate->running > 0)
        {
            continue;
        }
        const auto waited =
            std::max<std::int64_t>((now - candidate->progress_at).count, 0);
        const auto weight = std::min(candidate->held, weight_limit_bytes);
        scored.emplace_back(
            (static_cast<std::uint64_t>(waited) + 1) * weight, candidate);
    }
    return sorted(std::move(scored));
}

std::vector<connection_account::entry*>
connection_account::running_by_bytes() const
{
    // Closing frees no memory unless the connection also reads another request.
    const bool too_many =
        this->limits.max_connections > 0 &&
        this->counts.connections > this->limits.max_connections;
    std::vector<std::pair<std::uint64_t, entry*>> scored;
    for (auto* candidate : this->open_entries)
    {
        if (candidate->running > 0 &&
            (too_many || candidate->entered_parsed > 0))
        {
            scored.emplace_back(candidate->held, candidate);
        }
    }
    return sorted(std::move(scored));
}

std::vector<connection_account::entry*>
connection_account::sorted(std::vector<std::pair<std::uint64_t, entry*>> scored)
{
    std::sort(scored.begin(), scored.end());
    std::vector<entry*> result;
    result.reserve(scored.size());
    for (const auto& [score, candidate] : scored)
    {
        result.push_back(candidate);
    }
    return result;
}

void connection_account::evict_while_over(const std::vector<entry*>& candidates)
{
    const auto bytes = this->limits.max_held_bytes / 8 * low_mark_eighths;
    const auto connections =
        this->limits.max_connections -
        this->limits.max_connections / 8 * (8 - low_mark_eighths);
    for (auto next = candidates.rbegin();
         next != candidates.rend() && this->is_over(bytes, connections); ++next)
    {
        this->evict(**next);
    }
}

void connection_account::evict(entry& victim)
{
    victim.evicted = true;
    this->counts.held_bytes -= victim.held;
    --this->counts.connections;
    ++this->counts.closed;
    if (this->largest == &victim)
    {
        this->largest = nullptr;
    }
    this->open_entries.erase(&victim);
    const auto close = std::exchange(victim.close, nullptr);
    if (close)
    {
        close();
    }
}
} // namespace bilberrytally::http
