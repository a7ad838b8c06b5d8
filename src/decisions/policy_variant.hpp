#pragma once

#include <string_view>
#include <variant>

namespace bilberrytally::decisions
{
//! The product's policies.
struct full_policy
{
    bool operator==(const full_policy&) const = default;
};

//! Baseline: no admission, round robin, retries at each hop.
struct pass_through_policy
{
    bool operator==(const pass_through_policy&) const = default;
};

//! Baseline: a fixed limit with a first-in-first-out queue, round robin,
//! retries at each hop.
struct fixed_fifo_policy
{
    bool operator==(const fixed_fifo_policy&) const = default;
};

using policy_variant =
    std::variant<full_policy, pass_through_policy, fixed_fifo_policy>;

//! Visitor made of functions, one for each alternative.
template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

//! The variant of a name in the settings; unknown names give the product's.
policy_variant make_policy_variant(std::string_view name);

//! True for the product's own policies.
bool is_full(const policy_variant& variant);
} // namespace bilberrytally::decisions
