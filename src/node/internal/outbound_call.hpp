#pragma once

#include "base/time.hpp"
#include "decisions/attempt_rule.hpp"
#include "decisions/key_records.hpp"
#include "decisions/retry_budget.hpp"
#include "decisions/target_table.hpp"
#include "decisions/unanswered_calls.hpp"
#include "http/http_server.hpp"
#include "node/internal/target_side.hpp"
#include "schema/messages.hpp"
#include "transport/peer_network.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberrytally::node
{
//! How the target of the next attempt is determined.
enum class destination_kind
{
    balanced, //!< Any target of the service, by load balancing.
    home,     //!< The node that is the home of the idempotency key.
    pinned,   //!< The one target that may probe a suspected request.
};

//! An attempt in flight.
struct attempt_state
{
    std::uint64_t id{0};
    std::string target;
    //! Start of the target's process as listed at the dispatch.
    std::uint64_t target_start_ms{0};
    transport::link_id link{0};
    std::uint64_t local_inbound_call{0};
    base::time_ms dispatched;
};

//! A call for which this node is the caller's node.
struct outbound_call
{
    std::uint64_t id{0};
    schema::call message;
    answer_handler reply;
    base::time_ms started;
    base::time_ms deadline;
    //! When the caller gives up (routed mode). The route's time-out may set an
    //! earlier \c deadline.
    base::time_ms caller_deadline;
    decisions::request_retry_budget budget{0};
    //! HTTP connection of the caller; 0 for none.
    std::uint64_t connection{0};
    //! Inbound call here that caused this one; 0 for none.
    std::uint64_t parent{0};
    //! Connection and call id at the sending node, if another node sent this
    //! call here as the home of its idempotency key; 0 for none.
    transport::link_id remote_link{0};
    std::uint64_t remote_call{0};
    //! Set where this node is the home of the call's idempotency key.
    std::optional<decisions::keyed_send> recorded_send;
    destination_kind destination{destination_kind::balanced};
    //! The target, unless the destination is balanced.
    decisions::target_address fixed_target;
    //! Instances to which the call was sent.
    std::set<std::string> tried;

    //! How the attempts went, in routed mode.
    decisions::attempt_history history;
    decisions::attempt_limits limits;
    //! Group of requests that share latency statistics, in routed mode; else
    //! empty.
    std::string latency_group;
    //! Time within which the caller needs the response; 0 if not stated.
    base::duration_ms latency_objective;

    //! Memory of a call that another node sent here; else null.
    transport::held_memory held;
    //! Memory reserved for the response, in bytes.
    std::uint64_t reserved_bytes{0};

    //! An earlier attempt of this call may have run.
    bool earlier_may_have_run{false};

    //! Recalled, as this process ends before its deadline: it is not sent
    //! again.
    bool recalled{false};

    //! Attempts sent so far.
    std::uint32_t dispatches{0};
    //! The parent call had no retry budget left for this call.
    bool budget_exhausted{false};

    //! The current attempt; 0 for none.
    std::uint64_t attempt_id{0};
    std::string target;
    std::uint64_t target_start_ms{0};
    transport::link_id link{0};
    std::uint64_t local_inbound_call{0};
    //! Share of the retry budget that was passed on with the attempt.
    std::uint32_t attempt_budget{0};
    base::time_ms dispatched;

    //! The slow primary attempt, while the current one is a hedged attempt.
    //! The first successful answer is used.
    std::optional<attempt_state> primary;

    attempt_state current_attempt() const;
    //! Replaces the current attempt.
    void set_current_attempt(const attempt_state& state);
};

//! A request as it was received, in routed mode.
struct received_request
{
    std::uint64_t connection{0};
    http::request request;
    http::respond respond;
    base::time_ms received;
};

//! A nested call whose parent this process does not know yet.
struct parent_wait
{
    received_request request;
    base::time_ms ends;
};

//! A request that waits for the decision on its workspace's quota.
struct quota_wait
{
    outbound_call call;
    http::respond respond;
};

//! Outbound calls in flight with their indexes, and the sends that wait for the
//! record of an idempotency key.
struct outbound_call_table
{
    //! By call id.
    std::unordered_map<std::uint64_t, outbound_call> calls;
    //! Attempt id to call id.
    std::unordered_map<std::uint64_t, std::uint64_t> attempts;
    //! When an unanswered call is ended with a time-out: some time after its
    //! deadline, see answer_grace.
    std::multimap<base::time_ms, std::uint64_t> by_expiry;
    //! When an unanswered attempt is sent elsewhere. Attempts that have ended
    //! stay in the index until then.
    std::multimap<base::time_ms, std::uint64_t> by_reroute_time;
    std::map<std::uint64_t, std::set<std::uint64_t>> by_connection;
    std::map<std::uint64_t, std::set<std::uint64_t>> by_parent;
    std::map<std::pair<transport::link_id, std::uint64_t>, std::uint64_t>
        by_remote_call;
    //! Attempts, by the connection to the node of their target.
    std::map<transport::link_id, std::set<std::uint64_t>> by_link;
    //! Sends that wait for the answer to an earlier send with the same key, by
    //! service and key.
    std::map<std::string, std::vector<answer_handler>> waiting_sends;
    //! Requests that wait for a quota, by call id. They are in no index.
    std::unordered_map<std::uint64_t, quota_wait> quota_waits;
    std::vector<parent_wait> parent_waits;
    decisions::unanswered_calls unanswered;
    std::uint64_t next_attempt{1};

    //! Adds a call to all indexes.
    void insert(outbound_call new_call);
    //! Removes a call from all indexes; nothing if there is no such call.
    std::optional<outbound_call> extract(std::uint64_t id);
    //! Removes the current attempt from the indexes; the call stays.
    void end_attempt(outbound_call& call);
    //! Removes the primary attempt from the indexes and from the call.
    void end_primary(outbound_call& call);
};

//! True if the retry budget or the attempt limit of the call allows one more
//! attempt.
bool has_attempt_left(const outbound_call& call);

//! Group of requests that share latency statistics: a route with its service in
//! routed mode, else the whole service.
const std::string& latency_group(const outbound_call& call);

//! Kind of calls whose costs are learned together: of one latency group in
//! routed mode, else of one method and path, with requests of similar sizes.
std::uint64_t cost_kind(const outbound_call& call);

//! Verdict of an answer, from its numeric form.
base::verdict verdict_of(const schema::answer& answer);

//! Refusal of a call without asking the home of its idempotency key. Only the
//! home knows whether an earlier send ran, so the verdict is not_run for a call
//! without a key and for a first send only, else may_have_run.
schema::answer
make_refusal_without_home(const schema::call& call, schema::refusal reason);
} // namespace bilberrytally::node
