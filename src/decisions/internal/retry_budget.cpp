#include "decisions/retry_budget.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Tokens of a service before its first call, and their upper bound.
constexpr double initial_tokens = 5;
constexpr double max_tokens = 20;
} // namespace

request_retry_budget::request_retry_budget(std::uint32_t attempts)
    : attempts(attempts)
{
}

std::uint32_t request_retry_budget::take_for_nested_call()
{
    const auto share = (this->attempts + 1) / 2;
    this->attempts -= share;
    return share;
}

std::uint32_t request_retry_budget::take_for_dispatch()
{
    const auto share = this->attempts > 0 ? this->attempts - 1 : 0;
    this->attempts -= share;
    return share;
}

void request_retry_budget::return_unspent(std::uint32_t attempts)
{
    this->attempts += attempts;
}

bool request_retry_budget::spend(std::uint32_t count)
{
    if (this->attempts < count)
    {
        return false;
    }
    this->attempts -= count;
    return true;
}

std::uint32_t request_retry_budget::left() const
{
    return this->attempts;
}

void retry_throttle::on_first_attempt(
    const std::string& service, std::uint32_t percent)
{
    const auto [entry, added] =
        this->buckets.try_emplace(service, initial_tokens);
    entry->second = std::min(max_tokens, entry->second + percent / 100.0);
}

bool retry_throttle::allow_retry(const std::string& service)
{
    const auto [entry, added] =
        this->buckets.try_emplace(service, initial_tokens);
    if (entry->second < 1)
    {
        return false;
    }
    entry->second -= 1;
    return true;
}

double retry_throttle::tokens(const std::string& service) const
{
    const auto found = this->buckets.find(service);
    return found == this->buckets.end() ? initial_tokens : found->second;
}
} // namespace bilberrytally::decisions
