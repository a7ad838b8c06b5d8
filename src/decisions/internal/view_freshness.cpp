#include "decisions/view_freshness.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Claims kept for revisions not reached yet; the oldest one is dropped first.
constexpr std::size_t max_open_claims = 8;
} // namespace

void view_freshness::on_claim(
    const schema::store_revision& revision, base::time_ms asked_at)
{
    if (revision.epoch < this->complete_revision.epoch)
    {
        return;
    }
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

void view_freshness::on_revision(const schema::store_revision& revision)
{
    this->complete_revision = std::max(this->complete_revision, revision);
    while (!this->open_claims.empty() &&
           this->open_claims.begin()->first <= this->complete_revision)
    {
        const auto& [claimed, asked_at] = *this->open_claims.begin();
        if (claimed.epoch == this->complete_revision.epoch)
        {
            this->proof = std::max(this->proof.value_or(asked_at), asked_at);
        }
        this->open_claims.erase(this->open_claims.begin());
    }
}

std::optional<base::time_ms> view_freshness::proven_at() const
{
    return this->proof;
}
} // namespace bilberrytally::decisions
