#include "decisions/poll_schedule.hpp"

#include <algorithm>
#include <bit>

namespace bilberrytally::decisions
{
namespace
{
//! Takeover delay of a node that is not a watcher: a base, and a step for each
//! gossip round and for each group of nodes before it.
constexpr base::duration_ms takeover_base{3000};
constexpr base::duration_ms takeover_step{1000};
//! Longest backoff after the first failed poll of a watcher.
constexpr base::duration_ms first_backoff{250};
//! Lower bound of the cap of the backoff.
constexpr base::duration_ms min_backoff_cap{5000};
//! Bound of the total rate of failing polls of the fleet, per second. Sets the
//! length of the backoff.
constexpr std::int64_t failing_polls_per_s = 200;
//! Rate of first polls of a fleet that starts all at once, per second.
constexpr std::int64_t cold_start_polls_per_s = 400;
//! Keeps the exponent of the backoff from overflowing.
constexpr std::uint32_t max_doublings = 20;
} // namespace

poll_schedule::poll_schedule(
    std::uint32_t readers_per_zone, std::uint32_t expected_fleet,
    base::duration_ms watch_wait, std::mt19937_64& random, base::time_ms now)
    : readers_per_zone(readers_per_zone), fleet(expected_fleet),
      rank(expected_fleet), watch_wait(watch_wait), last_zone_success(now),
      next_poll(now)
{
    // Spreads the first polls of a fleet that starts all at once.
    const auto longest = static_cast<std::int64_t>(expected_fleet) * 1000 /
                         cold_start_polls_per_s;
    std::uniform_int_distribution<std::int64_t> pick(0, longest);
    this->next_poll = now + base::duration_ms{pick(random)};
}

void poll_schedule::set_rank(
    std::uint32_t rank, std::uint32_t zone_size, std::uint32_t fleet)
{
    this->rank = rank;
    this->zone_size = zone_size;
    this->fleet = fleet;
    this->rank_known = true;
}

void poll_schedule::on_zone_poll_succeeded(
    base::duration_ms age, base::time_ms now)
{
    this->last_zone_success = std::max(this->last_zone_success, now - age);
}

void poll_schedule::on_success(base::time_ms now)
{
    this->failures = 0;
    this->last_zone_success = now;
    this->next_poll = now;
}

void poll_schedule::on_failure(std::mt19937_64& random, base::time_ms now)
{
    const auto doublings = std::min(this->failures, max_doublings);
    ++this->failures;
    const base::duration_ms fleet_interval{
        static_cast<std::int64_t>(this->fleet) * 1000 / failing_polls_per_s};
    const bool watcher =
        this->rank_known && this->rank < this->readers_per_zone;
    // Only the few watchers retry quickly. The backoff of all other nodes grows
    // with the fleet, so that their total rate stays bounded.
    const auto first =
        watcher ? first_backoff : std::max(first_backoff, fleet_interval);
    const auto cap = std::max(min_backoff_cap, fleet_interval * 2);
    const auto longest = std::min(cap, first * (std::int64_t{1} << doublings));
    std::uniform_int_distribution<std::int64_t> pick(
        longest.count / 2, longest.count);
    this->next_poll = now + base::duration_ms{pick(random)};
}

bool poll_schedule::should_poll(base::time_ms now) const
{
    return now >= this->next_poll &&
           this->time_since_zone_success(now) >= this->takeover_delay();
}

base::duration_ms
poll_schedule::time_since_zone_success(base::time_ms now) const
{
    return now - this->last_zone_success;
}

base::duration_ms poll_schedule::takeover_delay() const
{
    if (!this->rank_known || this->rank < this->readers_per_zone)
    {
        return {0};
    }
    const auto group = this->rank / this->readers_per_zone;
    // The success of a poll takes some rounds of gossip digests to reach the
    // whole zone.
    const auto gossip_rounds = std::bit_width(this->zone_size);
    return this->watch_wait + takeover_base + takeover_step * gossip_rounds +
           takeover_step * group;
}
} // namespace bilberrytally::decisions
