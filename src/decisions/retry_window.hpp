#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace bilberrytally::decisions
{
//! One node's part of a fleet's retry budget: within any span of the window,
//! a service gets no more retries than a share of its fresh calls in that span
//! plus a fixed number. Made for bursts of failures, as when a zone is cut off:
//! what a quiet time did not use covers the calls that were under way.
class retry_window
{
public:
    //! Replaces the bounds. \p extra retries are allowed whatever the load.
    void set_limits(double ratio, double extra, base::duration_ms window);

    void on_fresh_call(const std::string& service, base::time_ms now);

    //! Counts a call that repeats one, since a call above it was retried.
    void on_repeated_call(const std::string& service, base::time_ms now);

    //! True if a retry would keep the bound.
    bool has_room(const std::string& service, base::time_ms now);

    //! Counts a retry; false, and none counted, where the bound is reached.
    bool allow_retry(const std::string& service, base::time_ms now);

private:
    static constexpr std::size_t slices = 20;

    //! Counts of one part of the window.
    struct slice
    {
        std::int64_t number{-1};
        std::uint32_t fresh{0};
        std::uint32_t retries{0};
    };

    using history = std::array<slice, slices>;

    slice& current(const std::string& service, base::time_ms now);
    std::int64_t number_at(base::time_ms now) const;

    std::unordered_map<std::string, history> services;
    double ratio{0.1};
    double extra{5};
    base::duration_ms slice_span{500};
};
} // namespace bilberrytally::decisions
