#pragma once

#include "base/time.hpp"
#include "decisions/quota_slots.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! Answer of the holder of a slot to a node that asks for tokens.
struct slot_grant
{
    //! False if the node may not grant tokens of this slot now.
    bool granting{false};
    std::uint32_t granted{0};
    //! Whole tokens that are left in the slot.
    std::uint32_t left{0};
    //! Time until the slot has a token; 0 if tokens are left.
    base::duration_ms next;

    bool operator==(const slot_grant&) const = default;
};

//! The token buckets of the slots that this node holds. At most one node
//! grants the tokens of a slot at a time, without any agreement: a node grants
//! only while its proof that its node list is current is young, and a node that
//! has become the holder first waits until the proof of the previous one is
//! too old.
class quota_grants
{
public:
    //! A node grants tokens while its proof is at most \p max_proof_age old.
    explicit quota_grants(base::duration_ms max_proof_age);

    //! Time for which a new holder of a slot waits until it grants tokens.
    base::duration_ms takeover_wait() const;

    //! Replaces all limits. Buckets shrink at once; those of other workspaces
    //! are dropped.
    void apply(const std::vector<quota_limit>& limits, base::time_ms now);

    //! Records the age of the proof that this node's list of nodes is current;
    //! nothing without a proof. A list must be applied before a proof that
    //! covers it is recorded. To be called regularly.
    void on_proof(std::optional<base::duration_ms> age, base::time_ms now);

    //! Grants up to \p wanted tokens of a slot that this node holds since
    //! \p held_since; nothing if it does not hold the slot.
    slot_grant grant(
        std::uint64_t workspace, std::uint32_t slot, std::uint32_t wanted,
        std::optional<base::time_ms> held_since, base::time_ms now);

private:
    struct bucket
    {
        double tokens{0};
        base::time_ms counted_at{INT64_MIN / 2};
    };
    struct quota
    {
        quota_limit limit;
        base::time_ms added_at;
        //! By slot; absent before the first grant.
        std::unordered_map<std::uint32_t, bucket> buckets;
    };

    //! Adds the tokens that have come in since the bucket was counted last.
    static void
    refill(const quota_limit& limit, bucket& slot, base::time_ms now);
    //! True if the proof allows to act as a holder.
    bool is_proven(base::time_ms now) const;

    base::duration_ms max_proof_age;
    std::optional<base::time_ms> proven_at;
    //! Since when proofs have followed each other without a gap.
    base::time_ms proven_since;
    std::unordered_map<std::uint64_t, quota> quotas;
};
} // namespace bilberrytally::decisions
