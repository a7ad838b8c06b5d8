#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <random>

namespace bilberrytally::decisions
{
//! Decides when this node watches the configuration service, by long polls. The
//! first nodes of a zone in rendezvous order are its watchers. The others take
//! over by rank, in groups of as many nodes as there are watchers, as the last
//! successful poll of the zone grows old. Failed polls back off with jitter, up
//! to a bound that grows with the fleet.
class poll_schedule
{
public:
    //! \p readers_per_zone is the number of watchers of a zone, \p watch_wait
    //! the time for which the service holds a long poll open. \p expected_fleet
    //! is the assumed number of nodes of the fleet, used until set_rank() sets
    //! the actual one.
    poll_schedule(
        std::uint32_t readers_per_zone, std::uint32_t expected_fleet,
        base::duration_ms watch_wait, std::mt19937_64& random,
        base::time_ms now);

    //! Sets the position of this node in the rendezvous order of its zone, the
    //! number of members of the zone, and the number of nodes of the fleet.
    void
    set_rank(std::uint32_t rank, std::uint32_t zone_size, std::uint32_t fleet);

    //! Records that a poll by any node of the zone succeeded \p age ago.
    void on_zone_poll_succeeded(base::duration_ms age, base::time_ms now);

    //! Records the outcome of a poll by this node.
    void on_success(base::time_ms now);
    void on_failure(std::mt19937_64& random, base::time_ms now);

    //! True if this node should start a poll now.
    bool should_poll(base::time_ms now) const;

    //! Time since the last known successful poll of the zone.
    base::duration_ms time_since_zone_success(base::time_ms now) const;

private:
    //! Age of the zone's last successful poll from which on this node polls.
    base::duration_ms takeover_delay() const;

    std::uint32_t readers_per_zone;
    std::uint32_t fleet;
    std::uint32_t rank;
    std::uint32_t zone_size{1};
    base::duration_ms watch_wait;
    bool rank_known{false};
    base::time_ms last_zone_success;
    base::time_ms next_poll;
    std::uint32_t failures{0};
};
} // namespace bilberrytally::decisions
