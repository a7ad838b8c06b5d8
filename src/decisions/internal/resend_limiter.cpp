#include "decisions/resend_limiter.hpp"

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
constexpr double tokens_per_new_request = 0.1;
//! Upper bound and initial number of tokens of a service.
constexpr double max_tokens = 20;
//! Retry-After is the minimum plus a jitter below retry_after_jitter_ms.
constexpr std::int64_t min_retry_after_ms = 1000;
constexpr std::int64_t retry_after_jitter_ms = 2000;
} // namespace

bool resend_limiter::allow(
    std::uint64_t digest, const std::string& service, base::time_ms now)
{
    this->drop_expired(now);
    auto& tokens = this->tokens.try_emplace(service, max_tokens).first->second;
    const auto found = this->refused_until.find(digest);
    if (found == this->refused_until.end() || found->second <= now)
    {
        tokens = std::min(max_tokens, tokens + tokens_per_new_request);
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
resend_limiter::on_refusal(std::uint64_t digest, base::time_ms now)
{
    const auto random_value =
        base::combine(digest, static_cast<std::uint64_t>(now.count));
    const base::duration_ms delay{
        min_retry_after_ms +
        static_cast<std::int64_t>(random_value % retry_after_jitter_ms)};
    if (this->refused_until.size() < max_entries)
    {
        this->refused_until[digest] = now + delay;
        this->by_age.emplace_back(now, digest);
    }
    return delay;
}

void resend_limiter::drop_expired(base::time_ms now)
{
    constexpr base::duration_ms longest{
        min_retry_after_ms + retry_after_jitter_ms};
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
