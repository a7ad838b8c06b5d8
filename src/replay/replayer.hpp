#pragma once

#include "decisions/policy_variant.hpp"
#include "replay/trace.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace bilberrytally::replay
{
//! Figures measured in a replay, by name:
//! - X.requests, X.good, X.good_share and X.p99_ms, where X is classN for a
//!   priority class, or short or long for a lane; good are the requests that
//!   were served before their deadline
//! - inversions: calls refused for overload while a less important one waited
//! - max_dispatches: the most dispatches of one request
//! - useful_share: service time of the good requests, as a share of the time of
//!   all slots
//! - wasted_ms: work done for attempts that failed, were cancelled or came late
//! - recovery_ms: time from the last disturbance until nine of ten requests are
//!   good again, in steps of 250 ms; up to the end of the trace if they never
//!   are
using figures = std::map<std::string, double>;

//! Replays a trace in simulated time through the decision code: the choice of
//! targets, admission and retries. The same trace, variant and seed give the
//! same figures.
figures replay_trace(
    const trace& recorded, const decisions::policy_variant& variant,
    std::uint64_t seed);
} // namespace bilberrytally::replay
