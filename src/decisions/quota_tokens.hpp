#pragma once

#include "base/time.hpp"
#include "decisions/quota_grants.hpp"
#include "decisions/quota_slots.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! Decision on a request of a workspace with a quota.
struct quota_decision
{
    bool granted{false};
    //! For a refused request: no holder of tokens could be reached, or none may
    //! grant now, so that nothing is known about the use of the quota.
    bool unavailable{false};
    //! For a refused request: time until a token is expected for it.
    base::duration_ms retry_after;

    bool operator==(const quota_decision&) const = default;
};

//! A decision on a request that has waited.
struct decided_request
{
    std::uint64_t request{0};
    std::uint64_t workspace{0};
    quota_decision decision;

    bool operator==(const decided_request&) const = default;
};

//! Asks the holder of a slot for tokens.
struct slot_ask
{
    std::uint64_t workspace{0};
    std::uint32_t slot{0};
    std::uint32_t wanted{0};

    auto operator<=>(const slot_ask&) const = default;
};

//! What is asked at one time. The answers repeat the number.
struct slot_asks
{
    std::uint64_t number{0};
    std::vector<slot_ask> asks;

    bool operator==(const slot_asks&) const = default;
};

//! A quota has begun or ceased to limit a workspace at this node.
struct quota_change
{
    std::uint64_t workspace{0};
    bool limiting{false};

    bool operator==(const quota_change&) const = default;
};

//! The tokens of an entry node, by which the requests of workspaces start.
//! Tokens expire soon, counted from when they were asked for, so that late
//! datagrams and suspensions cannot extend their life.
class quota_tokens
{
public:
    //! Slots of a workspace in the order in which they are asked.
    using slot_order =
        std::function<std::vector<std::uint32_t>(std::uint64_t workspace)>;

    //! \p window is the time window in which requests are counted.
    //! \p first_number must be random, so that answers to an earlier run of the
    //! process are not taken for answers to this one.
    quota_tokens(base::duration_ms window, std::uint64_t first_number);

    //! Replaces all limits. Where a limit is lower now, tokens are dropped.
    void apply(const std::vector<quota_limit>& limits);

    //! Asks for a token for a request. Returns the decision, or nothing if the
    //! request waits; decide() then returns the decision within 0.3 s. Requests
    //! of workspaces without a limit are granted.
    std::optional<quota_decision>
    take(std::uint64_t workspace, std::uint64_t request, base::time_ms now);

    //! What to ask of the holders of slots now.
    slot_asks asks(const slot_order& order, base::time_ms now);

    //! Records the answer of the holder of a slot.
    void on_grant(
        std::uint64_t number, std::uint64_t workspace, std::uint32_t slot,
        const slot_grant& grant, base::time_ms now);

    //! Decisions on requests that have waited.
    std::vector<decided_request> decide(base::time_ms now);

    //! Quotas that have begun or ceased to limit since the last call.
    std::vector<quota_change> changes(base::time_ms now);

    //! Number of requests that wait.
    std::size_t waiting_count() const;

private:
    //! Tokens that expire at the same time.
    struct token_lot
    {
        std::uint32_t count{0};
        base::time_ms expires_at;
    };
    struct open_ask
    {
        std::uint64_t number{0};
        std::uint32_t wanted{0};
        base::time_ms asked_at;
        bool timed_out{false};
    };
    //! What is known about one slot.
    struct slot_state
    {
        std::vector<open_ask> open;
        base::time_ms ask_due{INT64_MIN / 2};
        base::duration_ms backoff;
        //! Least time until the slot is asked again when it is empty.
        base::duration_ms empty_retry;
        bool answered{false};
        bool granting{false};
        //! Tokens that were left at \c answered_at.
        double left{0};
        base::time_ms answered_at;
        base::time_ms next_at;
    };
    struct waiting_request
    {
        std::uint64_t request{0};
        base::time_ms since;
    };
    struct quota
    {
        quota_limit limit;
        std::array<slot_state, quota_slot_count> slots;
        std::deque<token_lot> lots;
        std::deque<waiting_request> waiting;
        //! Moving averages of requests and refusals a second, at the times
        //! given.
        double demand_per_s{0};
        base::time_ms demand_at;
        double refused_per_s{0};
        base::time_ms refused_at;
        base::time_ms last_refusal{INT64_MIN / 2};
        base::time_ms last_request;
        bool limiting{false};
    };

    static double
    decayed(double average, base::time_ms from, base::time_ms now);
    static bool spend(quota& entry, base::time_ms now);
    static void drop_expired(quota& entry, base::time_ms now);
    quota_decision refuse(quota& entry, base::time_ms now) const;
    //! Tokens to ask for now.
    static std::uint32_t needed(quota& entry, base::time_ms now);
    void expire_asks(quota& entry, base::time_ms now) const;
    //! Appends what is asked of one slot; returns the tokens expected from it.
    std::uint32_t ask_slot(
        quota& entry, std::uint32_t slot, std::uint32_t needed,
        slot_asks& result, base::time_ms now) const;
    //! Tokens that a slot probably has.
    static std::uint32_t expected_tokens(
        const quota& entry, const slot_state& slot, base::time_ms now);

    base::duration_ms lifetime;
    std::uint64_t last_number;
    std::unordered_map<std::uint64_t, quota_limit> limits;
    //! Workspaces with recent requests.
    std::unordered_map<std::uint64_t, quota> active;
};
} // namespace bilberrytally::decisions
