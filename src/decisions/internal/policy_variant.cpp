#include "decisions/policy_variant.hpp"

namespace bilberrytally::decisions
{
policy_variant make_policy_variant(std::string_view name)
{
    if (name == "pass_through")
    {
        return pass_through_policy{};
    }
    if (name == "fixed_fifo")
    {
        return fixed_fifo_policy{};
    }
    return full_policy{};
}

bool is_full_policy(const policy_variant& variant)
{
    return std::holds_alternative<full_policy>(variant);
}
} // namespace bilberrytally::decisions
