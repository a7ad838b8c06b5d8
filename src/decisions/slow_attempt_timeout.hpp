#pragma once

#include "base/time.hpp"
#include "decisions/latency_histogram.hpp"

#include <cstdint>
#include <optional>

namespace bilberrytally::decisions
{
//! Learns the usual latency of calls to a service, and from it the delay after
//! which an unanswered idempotent call is cancelled and sent to another target.
//! Applies only to services whose calls cause no nested calls, since a re-run
//! would repeat those, too.
class slow_attempt_timeout
{
public:
    //! Records an answer; \p nested_calls is the number of nested dispatches
    //! that the call caused.
    void on_answer(base::duration_ms latency, std::uint32_t nested_calls);

    //! Delay after which a call is sent to another target; nothing until enough
    //! answers in a row came without nested calls.
    std::optional<base::duration_ms> timeout() const;

    //! Moving average of the latency in ms; 0 while unknown.
    double mean_latency_ms() const;

private:
    latency_histogram latencies;
    std::uint64_t answers_without_nested_calls{0};
};
} // namespace bilberrytally::decisions
