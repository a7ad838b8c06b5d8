#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <random>

namespace bilberrytally::decisions
{
//! Decides when this node reads the configuration service. The first nodes
//! of a zone in rendezvous order read; later ones step in one after the other
//! as the zone's last successful read grows old. Failed reads back off with
//! jitter to a bound that grows with the fleet.
class reader_schedule
{
public:
    reader_schedule(
        std::uint32_t readers_per_zone, std::uint32_t expected_fleet,
        base::duration_ms watch_wait, std::mt19937_64& random,
        base::time_ms now);

    //! Takes the position of this node among the members of its zone and the
    //! fleet's size.
    void
    set_rank(std::uint32_t rank, std::uint32_t members, std::uint32_t fleet);

    //! A read by any node of the zone succeeded \p age ago.
    void on_zone_read(base::duration_ms age, base::time_ms now);

    void on_success(base::time_ms now);
    void on_failure(std::mt19937_64& random, base::time_ms now);

    //! True if this node is to start a read.
    bool should_read(base::time_ms now) const;

    //! Time since the zone's last known successful read.
    base::duration_ms zone_age(base::time_ms now) const;

private:
    base::duration_ms patience() const;

    std::uint32_t readers_per_zone;
    std::uint32_t fleet;
    std::uint32_t rank;
    std::uint32_t members{1};
    base::duration_ms watch_wait;
    bool rank_known{false};
    base::time_ms last_zone_read;
    base::time_ms next_read;
    std::uint32_t failures{0};
};
} // namespace bilberrytally::decisions
