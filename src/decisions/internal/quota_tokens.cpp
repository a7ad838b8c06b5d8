#include "decisions/quota_tokens.hpp"

#include <algorithm>
#include <cmath>

namespace bilberrytally::decisions
{
namespace
{
constexpr double ms_per_s = 1000;
//! Tokens expire after this time. The bound on the requests in a window leaves
//! room for the tokens of this time.
constexpr base::duration_ms max_lifetime{500};
//! The lifetime is at most this fraction (1/n) of the window in which requests
//! are counted.
constexpr std::int64_t lifetime_divisor = 10;
//! Requests wait this long for a token. With the interval at which decide() is
//! called, the decision comes within 0.3 s.
constexpr base::duration_ms max_wait{280};
//! Tokens are asked for in advance for the demand of this time. Half the
//! lifetime of a token, so that few expire.
constexpr double demand_ahead_s = 0.25;
//! Time constant of the averages of requests and refusals.
constexpr double average_s = 1;
//! Time until a slot that has granted nothing is asked again. It doubles with
//! each such answer, as many nodes then compete for the slot.
constexpr base::duration_ms empty_retry{50};
constexpr base::duration_ms max_competing_retry{200};
//! Longest time until an empty slot is asked again. Other nodes' tokens may
//! have been lost, or the limit raised.
constexpr base::duration_ms max_empty_retry{500};
//! Time until a node that may not grant tokens now is asked again.
constexpr base::duration_ms not_granting_retry{200};
//! Without an answer within this time, the next slot is asked.
constexpr base::duration_ms answer_timeout{100};
//! Upper bound of the time until a slot without answers is asked again.
constexpr base::duration_ms max_backoff{1600};
//! Bounds the asks of one slot whose answer may still arrive.
constexpr std::size_t max_open_asks = 8;
//! State of a workspace without requests is kept this long.
constexpr base::duration_ms idle_limit{2000};
//! A quota has ceased to limit after this time without a refusal.
constexpr base::duration_ms limiting_hold{5000};
//! Retry-After if no slot has answered.
constexpr base::duration_ms unavailable_retry{1000};
constexpr base::duration_ms max_retry_after{5000};
} // namespace

quota_tokens::quota_tokens(base::duration_ms window, std::uint64_t first_number)
    : lifetime(std::min(
          max_lifetime, base::duration_ms{window.count / lifetime_divisor})),
      last_number(first_number)
{
}

void quota_tokens::apply(const std::vector<quota_limit>& limits)
{
    this->limits.clear();
    for (const auto& limit : limits)
    {
        this->limits[limit.workspace] = limit;
    }
    for (auto& [workspace, entry] : this->active)
    {
        const auto found = this->limits.find(workspace);
        if (found == this->limits.end())
        {
            // Requests that wait are granted by decide().
            entry.limit = {workspace, 0, 0};
            continue;
        }
        const auto& limit = found->second;
        if (limit.rate_per_s < entry.limit.rate_per_s ||
            limit.burst < entry.limit.burst)
        {
            entry.lots.clear();
            entry.slots = {};
        }
        entry.limit = limit;
    }
}

std::optional<quota_decision> quota_tokens::take(
    std::uint64_t workspace, std::uint64_t request, base::time_ms now)
{
    const auto found = this->limits.find(workspace);
    if (found == this->limits.end())
    {
        return quota_decision{true, false, {0}};
    }
    const auto [active, added] = this->active.try_emplace(workspace);
    auto& entry = active->second;
    if (added)
    {
        entry.limit = found->second;
    }
    entry.demand_per_s =
        decayed(entry.demand_per_s, entry.demand_at, now) + 1 / average_s;
    entry.demand_at = now;
    entry.last_request = now;
    if (entry.waiting.empty() && spend(entry, now))
    {
        return quota_decision{true, false, {0}};
    }
    // More than the quota yields within the wait cannot succeed.
    const double waiting_limit =
        entry.limit.burst + quota_slot_count +
        entry.limit.rate_per_s * static_cast<double>(max_wait.count) / ms_per_s;
    if (static_cast<double>(entry.waiting.size()) >= waiting_limit)
    {
        return this->refuse(entry, now);
    }
    entry.waiting.push_back({request, now});
    return std::nullopt;
}

double
quota_tokens::decayed(double average, base::time_ms from, base::time_ms now)
{
    const auto elapsed_s = static_cast<double>((now - from).count) / ms_per_s;
    return average * std::exp(-elapsed_s / average_s);
}

void quota_tokens::drop_expired(quota& entry, base::time_ms now)
{
    std::erase_if(
        entry.lots, [&](const auto& lot)
        { return lot.count == 0 || lot.expires_at <= now; });
}

bool quota_tokens::spend(quota& entry, base::time_ms now)
{
    drop_expired(entry, now);
    if (entry.lots.empty())
    {
        return false;
    }
    --entry.lots.front().count;
    return true;
}

quota_decision quota_tokens::refuse(quota& entry, base::time_ms now) const
{
    quota_decision result;
    result.unavailable = true;
    result.retry_after = max_retry_after;
    for (const auto& slot : entry.slots)
    {
        if (slot.answered && slot.granting)
        {
            result.unavailable = false;
            result.retry_after = std::min(
                result.retry_after,
                std::max(slot.next_at - now, base::duration_ms{1}));
        }
    }
    if (result.unavailable)
    {
        result.retry_after = unavailable_retry;
        return result;
    }
    // Requests that were refused before come back first.
    const double before = decayed(entry.refused_per_s, entry.refused_at, now);
    entry.refused_per_s = before + 1 / average_s;
    entry.refused_at = now;
    const base::duration_ms queue{
        std::llround(ms_per_s * before * average_s / entry.limit.rate_per_s)};
    result.retry_after = std::min(result.retry_after + queue, max_retry_after);
    entry.last_refusal = now;
    return result;
}

std::uint32_t quota_tokens::needed(quota& entry, base::time_ms now)
{
    drop_expired(entry, now);
    const double demand = decayed(entry.demand_per_s, entry.demand_at, now);
    auto wanted =
        static_cast<std::int64_t>(entry.waiting.size()) +
        static_cast<std::int64_t>(std::floor(demand * demand_ahead_s));
    for (const auto& lot : entry.lots)
    {
        wanted -= lot.count;
    }
    for (const auto& slot : entry.slots)
    {
        // A slot without answers is not relied on.
        for (const auto& ask : slot.open)
        {
            wanted -= ask.timed_out || slot.backoff.count > 0 ? 0 : ask.wanted;
        }
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(wanted, 0));
}

void quota_tokens::expire_asks(quota& entry, base::time_ms now) const
{
    for (auto& slot : entry.slots)
    {
        std::erase_if(
            slot.open, [&](const auto& ask)
            { return now - ask.asked_at >= this->lifetime; });
        for (auto& ask : slot.open)
        {
            if (ask.timed_out || now - ask.asked_at < answer_timeout)
            {
                continue;
            }
            ask.timed_out = true;
            slot.answered = false;
            slot.backoff =
                std::clamp(slot.backoff * 2, answer_timeout, max_backoff);
            slot.ask_due = now + slot.backoff;
        }
    }
}

std::uint32_t quota_tokens::expected_tokens(
    const quota& entry, const slot_state& slot, base::time_ms now)
{
    double tokens = entry.limit.slot_capacity();
    if (slot.answered)
    {
        const auto elapsed_s =
            static_cast<double>((now - slot.answered_at).count) / ms_per_s;
        tokens = std::min(
            tokens, slot.left + elapsed_s * entry.limit.slot_rate_per_s());
    }
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(tokens)));
}

std::uint32_t quota_tokens::ask_slot(
    quota& entry, std::uint32_t slot, std::uint32_t needed, slot_asks& result,
    base::time_ms now) const
{
    auto& state = entry.slots[slot];
    const bool open = std::any_of(
        state.open.begin(), state.open.end(),
        [](const auto& ask) { return !ask.timed_out; });
    if (now < state.ask_due || open || state.open.size() >= max_open_asks)
    {
        return 0;
    }
    const auto wanted = std::min(needed, expected_tokens(entry, state, now));
    state.open.push_back({result.number, wanted, now, false});
    result.asks.push_back({entry.limit.workspace, slot, wanted});
    return state.backoff.count > 0 ? 0 : wanted;
}

slot_asks quota_tokens::asks(const slot_order& order, base::time_ms now)
{
    slot_asks result;
    result.number = this->last_number + 1;
    for (auto& [workspace, entry] : this->active)
    {
        this->expire_asks(entry, now);
        auto missing = needed(entry, now);
        if (missing == 0 || entry.limit.rate_per_s <= 0)
        {
            continue;
        }
        for (const auto slot : order(workspace))
        {
            if (missing == 0)
            {
                break;
            }
            missing -= this->ask_slot(entry, slot, missing, result, now);
        }
    }
    this->last_number += result.asks.empty() ? 0 : 1;
    return result;
}

void quota_tokens::on_grant(
    std::uint64_t number, std::uint64_t workspace, std::uint32_t slot,
    const slot_grant& grant, base::time_ms now)
{
    const auto found = this->active.find(workspace);
    if (found == this->active.end() || slot >= quota_slot_count)
    {
        return;
    }
    auto& entry = found->second;
    auto& state = entry.slots[slot];
    const auto ask = std::find_if(
        state.open.begin(), state.open.end(),
        [&](const auto& open) { return open.number == number; });
    if (ask == state.open.end())
    {
        return;
    }
    const auto asked = *ask;
    state.open.erase(ask);
    state.answered = true;
    state.granting = grant.granting;
    state.backoff = {0};
    state.left = grant.left;
    state.answered_at = now;
    state.next_at = now + grant.next;
    state.ask_due = now;
    state.empty_retry =
        grant.granted > 0
            ? empty_retry
            : std::clamp(
                  state.empty_retry * 2, empty_retry, max_competing_retry);
    if (!grant.granting)
    {
        state.ask_due = now + not_granting_retry;
        return;
    }
    if (grant.left == 0)
    {
        state.ask_due =
            now + std::clamp(grant.next, state.empty_retry, max_empty_retry);
    }
    const auto expires_at = asked.asked_at + this->lifetime;
    if (grant.granted > 0 && now < expires_at)
    {
        const auto place = std::find_if(
            entry.lots.begin(), entry.lots.end(),
            [&](const auto& lot) { return lot.expires_at > expires_at; });
        entry.lots.insert(
            place, {std::min(grant.granted, asked.wanted), expires_at});
    }
}

std::vector<decided_request> quota_tokens::decide(base::time_ms now)
{
    std::vector<decided_request> result;
    for (auto& [workspace, entry] : this->active)
    {
        while (!entry.waiting.empty() &&
               (entry.limit.rate_per_s <= 0 || spend(entry, now)))
        {
            result.push_back(
                {entry.waiting.front().request, workspace, {true, false, {0}}});
            entry.waiting.pop_front();
        }
        while (!entry.waiting.empty() &&
               now - entry.waiting.front().since >= max_wait)
        {
            result.push_back(
                {entry.waiting.front().request, workspace,
                 this->refuse(entry, now)});
            entry.waiting.pop_front();
        }
    }
    return result;
}

std::vector<quota_change> quota_tokens::changes(base::time_ms now)
{
    std::vector<quota_change> result;
    for (auto entry = this->active.begin(); entry != this->active.end();)
    {
        auto& state = entry->second;
        const bool limiting = now - state.last_refusal < limiting_hold;
        if (limiting != state.limiting)
        {
            state.limiting = limiting;
            result.push_back({entry->first, limiting});
        }
        const bool idle = now - state.last_request >= idle_limit &&
                          state.waiting.empty() && !limiting;
        entry = idle ? this->active.erase(entry) : std::next(entry);
    }
    return result;
}

std::size_t quota_tokens::waiting_count() const
{
    std::size_t result = 0;
    for (const auto& [workspace, entry] : this->active)
    {
        result += entry.waiting.size();
    }
    return result;
}
} // namespace bilberrytally::decisions
