#pragma once

#include "base/time.hpp"
#include "decisions/latency_histogram.hpp"

#include <cstdint>
#include <optional>

namespace bilberrytally::decisions
{
//! Learns how long calls to a service usually take, and after which time an
//! unanswered repeatable call is cancelled and sent to another target. Only
//! for services whose calls cause no calls down the graph, since a re-run of
//! those would repeat them.
class reroute_delay
{
public:
    //! An answer arrived; \p descendants are the dispatches that it caused.
    void on_answer(base::duration_ms latency, std::uint32_t descendants);

    //! Time after which a call is sent elsewhere; nothing while unknown.
    std::optional<base::duration_ms> delay() const;

    //! Mean latency, ms; 0 while unknown.
    double usual() const;

private:
    latency_histogram latencies;
    std::uint64_t answers_without_descendants{0};
};
} // namespace bilberrytally::decisions
