#pragma once

#include "decisions/policy_variant.hpp"
#include "replay/trace.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace bilberrytally::replay
{
//! Figures of a replay by name:
//! classN.requests, classN.good, classN.good_share, classN.p99_ms,
//! short.p99_ms, long.good_share, inversions, max_dispatches,
//! useful_share (service time of good requests over that of all slots),
//! wasted_ms (work for requests that failed), recovery_ms (from the last
//! disturbance until nine of ten requests are good again).
using figures = std::map<std::string, double>;

//! Replays a trace through choice, admission and retries. The same trace,
//! variant and seed give the same figures.
figures replay_trace(
    const trace& recorded, const decisions::policy_variant& variant,
    std::uint64_t seed);
} // namespace bilberrytally::replay
