#pragma once

#include <string_view>
#include <variant>

namespace bilberrytally::decisions
{
//! The policies of this project, all of them enabled.
struct full_policy
{
    bool operator==(const full_policy&) const = default;
};

//! Baseline for comparison: no admission control, round robin, retries at each
//! hop.
struct pass_through_policy
{
    bool operator==(const pass_through_policy&) const = default;
};

//! Baseline for comparison: a fixed concurrency limit with a
//! first-in-first-out queue, round robin, retries at each hop.
struct fixed_fifo_policy
{
    bool operator==(const fixed_fifo_policy&) const = default;
};

using policy_variant =
    std::variant<full_policy, pass_through_policy, fixed_fifo_policy>;

//! Returns the variant with this name in the settings: "pass_through" or
//! "fixed_fifo". Any other name selects full_policy.
policy_variant make_policy_variant(std::string_view name);

//! True for full_policy.
bool is_full_policy(const policy_variant& variant);
} // namespace bilberrytally::decisions
