#include "decisions/resend_gate.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Bound of the number of refused requests that are remembered; refusals beyond
//! it are not recorded.
constexpr std::size_t max_entries = 100000;
//! Tokens that a new request adds; a resend takes one.
constexpr double fresh_share = 0.1;
constexpr double max_tokens = 20;
//! Retry-After is the minimum plus a jitter below the spread.
constexpr std::int64_t shortest_retry_ms = 1000;
constexpr std::int64_t retry_spread_ms = 2000;
} // namespace

bool resend_gate::allow(
    std::uint64_t digest, const std::string& service, base::time_ms now)
{
    this->forget_old(now);
    auto& tokens = this->tokens.try_emplace(service, max_tokens).first->second;
    const auto found = this->refused_until.find(digest);
    if (found == this->refused_until.end() || found->second <= now)
    {
        tokens = std::min(max_tokens, tokens + fresh_share);
        return true;
    }
    if (tokens < 1)
    {
        return false;
    }
    tokens -= 1;
    return true;
}

base::duration_ms
resend_gate::on_refusal(std::uint64_t digest, base::time_ms now)
{
    const auto draw =
        base::combine(digest, static_cast<std::uint64_t>(now.count));
    const base::duration_ms delay{
        shortest_retry_ms + static_cast<std::int64_t>(draw % retry_spread_ms)};
    if (this->refused_until.size() < max_entries)
    {
        this->refused_until[digest] = now + delay;
        this->by_age.emplace_back(now, digest);
    }
    return delay;
}

void resend_gate::forget_old(base::time_ms now)
{
    constexpr base::duration_ms longest{shortest_retry_ms + retry_spread_ms};
    while (!this->by_age.empty() && now - this->by_age.front().first > longest)
    {
        const auto found =
            this->refused_until.find(this->by_age.front().second);
        if (found != this->refused_until.end() && found->second <= now)
        {
            this->refused_until.erase(found);
        }
        this->by_age.pop_front();
    }
}
} // namespace bilberrytally::decisions
