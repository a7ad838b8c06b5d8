#include "decisions/attempt_rule.hpp"

namespace bilberrytally::decisions
{
namespace
{
using base::verdict;
using schema::refusal;

constexpr std::uint32_t first_server_error = 500;
//! Number of nodes that may refuse a request before the caller gets the
//! refusal.
constexpr std::uint32_t max_refusals = 3;
} // namespace

bool may_have_arrived(const schema::answer& answer)
{
    const auto outcome = static_cast<verdict>(answer.verdict);
    return outcome != verdict::not_run ||
           answer.reason == refusal::shed_by_backend;
}

next_step after_attempt(
    const schema::answer& answer, const attempt_limits& limits,
    const attempt_history& history)
{
    switch (answer.reason)
    {
    case refusal::deadline:
    case refusal::quarantined:
    case refusal::cancelled:
        return next_step::finish;
    default:
        break;
    }
    const auto outcome = static_cast<verdict>(answer.verdict);
    const bool served =
        outcome == verdict::ran && answer.status < first_server_error;
    const bool safe = outcome == verdict::not_run || limits.repeatable;
    if (served || !safe || answer.failed_below)
    {
        return next_step::finish;
    }
    if (history.arrivals >= limits.max_attempts)
    {
        return next_step::finish;
    }
    if (may_have_arrived(answer))
    {
        return next_step::retry;
    }
    return history.refusals < max_refusals ? next_step::try_other_target
                                           : next_step::finish;
}
} // namespace bilberrytally::decisions
