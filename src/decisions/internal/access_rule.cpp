#include "decisions/access_rule.hpp"

namespace bilberrytally::decisions
{
namespace
{
constexpr std::int64_t percent = 100;
//! Share of a bound that the age of a proof may use up. The rest covers the
//! transit of proofs between nodes, which no node can measure.
constexpr std::int64_t apply_percent = 80;
constexpr std::int64_t revocation_percent = 75;

bool is_within(std::optional<base::duration_ms> age, base::duration_ms limit)
{
    return age && *age <= limit;
}
} // namespace

access_limits
access_limits::create(base::duration_ms apply, base::duration_ms revocation)
{
    access_limits limits;
    limits.absence_age = {apply.count * apply_percent / percent};
    if (revocation.count > 0)
    {
        limits.validity_age =
            base::duration_ms{revocation.count * revocation_percent / percent};
    }
    return limits;
}

bool access_limits::proves_absence(std::optional<base::duration_ms> age) const
{
    return is_within(age, this->absence_age);
}

bool access_limits::proves_validity(std::optional<base::duration_ms> age) const
{
    return !this->validity_age || is_within(age, *this->validity_age);
}

base::duration_ms access_limits::max_apply_age() const
{
    return this->absence_age;
}

access_decision
decide_access(const access_question& question, const access_limits& limits)
{
    const bool valid =
        question.has_key ? question.key_known : question.key_optional;
    if (!valid && !question.has_key && question.parent_may_exist)
    {
        return access_decision::unknown_parent;
    }
    if (!valid)
    {
        return limits.proves_absence(question.proof_age)
                   ? access_decision::unauthorized
                   : access_decision::maybe_outdated;
    }
    if (question.has_key && !limits.proves_validity(question.proof_age))
    {
        return access_decision::unproven;
    }
    return access_decision::granted;
}
} // namespace bilberrytally::decisions
