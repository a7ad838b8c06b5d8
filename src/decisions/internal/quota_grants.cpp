#include "decisions/quota_grants.hpp"

#include <algorithm>
#include <cmath>

namespace bilberrytally::decisions
{
namespace
{
constexpr double ms_per_s = 1000;
//! A new holder waits for this many times the largest age of a proof: once for
//! the proof of the previous holder, and once more since the list may have
//! changed back in between without the new holder's knowledge.
constexpr std::int64_t takeover_ages = 2;
} // namespace

quota_grants::quota_grants(base::duration_ms max_proof_age)
    : max_proof_age(max_proof_age)
{
}

base::duration_ms quota_grants::takeover_wait() const
{
    return this->max_proof_age * takeover_ages;
}

void quota_grants::apply(
    const std::vector<quota_limit>& limits, base::time_ms now)
{
    std::unordered_map<std::uint64_t, quota> next;
    for (const auto& limit : limits)
    {
        const auto known = this->quotas.find(limit.workspace);
        if (known == this->quotas.end())
        {
            next[limit.workspace] = {limit, now, {}};
            continue;
        }
        auto& entry = known->second;
        for (auto& [slot, tokens] : entry.buckets)
        {
            refill(entry.limit, tokens, now);
            tokens.tokens = std::min(tokens.tokens, limit.slot_capacity());
        }
        entry.limit = limit;
        next[limit.workspace] = std::move(entry);
    }
    this->quotas = std::move(next);
}

void quota_grants::on_proof(
    std::optional<base::duration_ms> age, base::time_ms now)
{
    if (!age)
    {
        return;
    }
    const auto proven = now - *age;
    if (this->proven_at && proven <= *this->proven_at)
    {
        return;
    }
    // In a longer gap the list may have changed to another holder and back.
    if (!this->proven_at || proven - *this->proven_at > this->max_proof_age)
    {
        this->proven_since = now;
    }
    this->proven_at = proven;
}

bool quota_grants::is_proven(base::time_ms now) const
{
    return this->proven_at && now - *this->proven_at <= this->max_proof_age;
}

slot_grant quota_grants::grant(
    std::uint64_t workspace, std::uint32_t slot, std::uint32_t wanted,
    std::optional<base::time_ms> held_since, base::time_ms now)
{
    const auto found = this->quotas.find(workspace);
    if (found == this->quotas.end() || slot >= quota_slot_count ||
        !held_since || !this->is_proven(now))
    {
        return {};
    }
    auto& entry = found->second;
    const auto start = std::max(
        entry.added_at,
        std::max(*held_since, this->proven_since) + this->takeover_wait());
    if (now < start)
    {
        return {};
    }
    auto& tokens = entry.buckets[slot];
    if (tokens.counted_at < start)
    {
        tokens = {0, start};
    }
    refill(entry.limit, tokens, now);
    slot_grant result;
    result.granting = true;
    result.granted =
        std::min(wanted, static_cast<std::uint32_t>(std::floor(tokens.tokens)));
    tokens.tokens -= result.granted;
    result.left = static_cast<std::uint32_t>(std::floor(tokens.tokens));
    if (result.left == 0)
    {
        result.next = {static_cast<std::int64_t>(std::ceil(
            ms_per_s * (1 - tokens.tokens) / entry.limit.slot_rate_per_s()))};
    }
    return result;
}

void quota_grants::refill(
    const quota_limit& limit, bucket& slot, base::time_ms now)
{
    if (now <= slot.counted_at)
    {
        return;
    }
    const auto elapsed_s =
        static_cast<double>((now - slot.counted_at).count) / ms_per_s;
    slot.tokens = std::min(
        limit.slot_capacity(),
        slot.tokens + elapsed_s * limit.slot_rate_per_s());
    slot.counted_at = now;
}
} // namespace bilberrytally::decisions
