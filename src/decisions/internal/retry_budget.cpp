#include "decisions/retry_budget.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
retry_budget::retry_budget(std::uint32_t attempts) : attempts(attempts)
{
}

std::uint32_t retry_budget::take_for_child()
{
    const auto part = (this->attempts + 1) / 2;
    this->attempts -= part;
    return part;
}

std::uint32_t retry_budget::take_for_dispatch()
{
    const auto part = this->attempts > 0 ? this->attempts - 1 : 0;
    this->attempts -= part;
    return part;
}

void retry_budget::give_back(std::uint32_t attempts)
{
    this->attempts += attempts;
}

bool retry_budget::spend(std::uint32_t count)
{
    if (this->attempts < count)
    {
        return false;
    }
    this->attempts -= count;
    return true;
}

std::uint32_t retry_budget::left() const
{
    return this->attempts;
}

void retry_ratio::on_fresh_call(
    const std::string& service, std::uint32_t percent)
{
    this->add(service, percent / 100.0);
}

void retry_ratio::on_fresh_call(const std::string& service)
{
    this->add(service, this->ratio);
}

void retry_ratio::set_limits(double ratio, double most_tokens)
{
    this->ratio = ratio;
    this->initial_tokens = most_tokens;
    this->max_tokens = most_tokens;
    for (auto& [service, tokens] : this->buckets)
    {
        tokens = std::min(tokens, most_tokens);
    }
}

void retry_ratio::add(const std::string& service, double tokens)
{
    const auto [entry, added] =
        this->buckets.try_emplace(service, this->initial_tokens);
    entry->second = std::min(this->max_tokens, entry->second + tokens);
}

bool retry_ratio::allow_retry(const std::string& service)
{
    const auto [entry, added] =
        this->buckets.try_emplace(service, this->initial_tokens);
    if (entry->second < 1)
    {
        return false;
    }
    entry->second -= 1;
    return true;
}

double retry_ratio::tokens(const std::string& service) const
{
    const auto found = this->buckets.find(service);
    return found == this->buckets.end() ? this->initial_tokens : found->second;
}
} // namespace bilberrytally::decisions
