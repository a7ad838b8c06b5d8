#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace bilberrytally::decisions
{
//! One node's share of the retry budget of a fleet. Within any sliding window,
//! a service gets no more retries than a ratio of the first attempts in that
//! window plus a fixed number. Made for bursts of failures, such as the loss of
//! a zone: the budget that was not used before the burst covers the calls that
//! were in flight.
class fleet_retry_budget
{
public:
    //! Replaces the bounds: \p ratio retries for each first attempt, plus
    //! \p extra retries independent of load, within each \p window. Drops the
    //! counts if the window changes.
    void set_limits(double ratio, double extra, base::duration_ms window);

    //! Counts the first attempt of a call.
    void on_first_attempt(const std::string& service, base::time_ms now);

    //! Counts a call that is repeated because a call above it in the chain was
    //! retried. It uses up the budget like a retry.
    void on_rerun_call(const std::string& service, base::time_ms now);

    //! True if one more retry would stay within the retry budget.
    bool is_within_budget(const std::string& service, base::time_ms now);

    //! Counts a retry. Returns false, and counts none, if the retry budget is
    //! exhausted.
    bool allow_retry(const std::string& service, base::time_ms now);

private:
    //! Number of slices that the window is divided into; the oldest one leaves
    //! the window as a whole.
    static constexpr std::size_t slices = 20;

    //! Counts of one slice of the window.
    struct slice
    {
        std::int64_t number{-1};
        std::uint32_t first_attempts{0};
        std::uint32_t retries{0};
    };

    using history = std::array<slice, slices>;

    slice& current_slice(const std::string& service, base::time_ms now);
    std::int64_t slice_number(base::time_ms now) const;

    std::unordered_map<std::string, history> services;
    double ratio{0.1};
    double extra{5};
    base::duration_ms slice_duration{500};
};
} // namespace bilberrytally::decisions
