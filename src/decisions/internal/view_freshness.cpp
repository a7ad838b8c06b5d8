#include "decisions/view_freshness.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Claims kept for revisions not reached yet; the oldest one is dropped first.
constexpr std::size_t max_open_claims = 8;
} // namespace

void view_freshness::on_claim(std::uint64_t revision, base::time_ms asked_at)
{
    if (revision > this->complete_revision)
    {
        const auto position =
            this->open_claims.try_emplace(revision, asked_at).first;
        position->second = std::max(position->second, asked_at);
        if (this->open_claims.size() > max_open_claims)
        {
            this->open_claims.erase(this->open_claims.begin());
        }
        return;
    }
    this->proof = std::max(this->proof.value_or(asked_at), asked_at);
}

void view_freshness::on_revision(std::uint64_t revision)
{
    this->complete_revision = std::max(this->complete_revision, revision);
    while (!this->open_claims.empty() &&
           this->open_claims.begin()->first <= this->complete_revision)
    {
        const auto asked_at = this->open_claims.begin()->second;
        this->proof = std::max(this->proof.value_or(asked_at), asked_at);
        this->open_claims.erase(this->open_claims.begin());
    }
}

std::optional<base::time_ms> view_freshness::proven_at() const
{
    return this->proof;
}
} // namespace bilberrytally::decisions
