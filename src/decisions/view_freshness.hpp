#pragma once

#include "base/time.hpp"
#include "schema/store_revision.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace bilberrytally::decisions
{
//! Proves how old this node's copy of the store can be at most. A claim states
//! that the store had no revision above the given one when it was asked. It
//! becomes a proof once the copy is complete up to that revision: everything
//! that the store had acknowledged before it was asked is then known here.
//! A claim of an older epoch than the copy's proves nothing.
//! Times of claims are on this node's own monotonic clock.
class view_freshness
{
public:
    //! Records that the store, asked at \p asked_at, had \p revision as its
    //! newest one.
    void
    on_claim(const schema::store_revision& revision, base::time_ms asked_at);

    //! Records that the copy is complete up to \p revision.
    void on_revision(const schema::store_revision& revision);

    //! When the store was asked for the newest state that the copy is proven
    //! to hold; nothing before the first proof.
    std::optional<base::time_ms> proven_at() const;

private:
    //! Newest claim of each revision that the copy does not reach yet.
    std::map<schema::store_revision, base::time_ms> open_claims;
    schema::store_revision complete_revision;
    std::optional<base::time_ms> proof;
};
} // namespace bilberrytally::decisions
