#pragma once

#include "base/time.hpp"
#include "decisions/attempt_rule.hpp"
#include "decisions/key_records.hpp"
#include "decisions/retry_budget.hpp"
#include "decisions/target_table.hpp"
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
//! Where a call is sent next.
enum class route_kind
{
    balanced, //!< Any target of the service.
    home,     //!< The home of the idempotency key.
    pinned,   //!< The one target that may run a struck request.
};

//! A dispatch in progress.
struct attempt_state
{
    std::uint64_t attempt{0};
    std::string target;
    transport::link_id link{0};
    std::uint64_t local_serving{0};
    base::time_ms dispatched;
};

//! A request for which this node is the caller's node.
struct origin_call
{
    std::uint64_t id{0};
    schema::call call;
    answer_handler reply;
    base::time_ms started;
    base::time_ms deadline;
    decisions::retry_budget budget{0};
    //! Caller's connection; 0 for none.
    std::uint64_t connection{0};
    //! Call being served here that caused this one; 0 for none.
    std::uint64_t parent{0};
    //! Connection and call id if another node sent this call to its key's
    //! home.
    transport::link_id home_link{0};
    std::uint64_t home_call{0};
    //! Set where this node is the home of the call's key.
    std::optional<decisions::keyed_send> keyed;
    route_kind route{route_kind::balanced};
    decisions::target_address fixed_target;
    std::set<std::string> tried;

    //! How the attempts went, where routes are published by a store.
    decisions::attempt_history history;
    decisions::attempt_limits limits;
    //! Names the requests whose latencies are learned together.
    std::string latency_group;

    //! An earlier attempt of this call may have run.
    bool earlier_may_have_run{false};

    //! Dispatches so far.
    std::uint32_t dispatches{0};
    //! The context had no extra attempt left for this call.
    bool over_budget{false};

    //! The dispatch in progress; 0 for none.
    std::uint64_t attempt{0};
    std::string target;
    transport::link_id link{0};
    std::uint64_t local_serving{0};
    std::uint32_t handed_budget{0};
    base::time_ms dispatched;

    //! An attempt that is slow but goes on beside the present one; the first
    //! good answer counts.
    std::optional<attempt_state> earlier;

    attempt_state present() const;
    //! Makes an attempt the present one.
    void make_present(const attempt_state& state);
};

//! Calls in progress as the caller's node, and who waits for which record.
struct origin_table
{
    std::unordered_map<std::uint64_t, origin_call> calls;
    //! Attempt to call.
    std::unordered_map<std::uint64_t, std::uint64_t> attempts;
    //! When a call without an answer is given up.
    std::multimap<base::time_ms, std::uint64_t> by_deadline;
    //! When an unanswered attempt is sent elsewhere; ended ones remain.
    std::multimap<base::time_ms, std::uint64_t> by_reroute;
    std::map<std::uint64_t, std::set<std::uint64_t>> by_connection;
    std::map<std::uint64_t, std::set<std::uint64_t>> by_parent;
    std::map<std::pair<transport::link_id, std::uint64_t>, std::uint64_t>
        by_home_call;
    std::map<transport::link_id, std::set<std::uint64_t>> by_link;
    //! Sends that wait for the answer to an earlier send with their key.
    std::map<std::string, std::vector<answer_handler>> joined;
    std::uint64_t next_attempt{1};

    //! Adds a call to all indexes.
    void insert(origin_call fresh);
    //! Removes a call from all indexes; nothing if it is not there.
    std::optional<origin_call> extract(std::uint64_t id);
    //! Ends the attempt of a call, keeping the call.
    void end_attempt(origin_call& call);
    //! Ends the earlier attempt of a call.
    void end_earlier(origin_call& call);
};

//! The call may be sent once more by its limits.
bool has_attempt_left(const origin_call& call);

//! Name of the requests whose latencies are learned together: all of a service
//! where no routes are published.
const std::string& latency_group(const origin_call& call);

//! Verdict of an answer as its type.
base::verdict verdict_of(const schema::answer& answer);

//! A refusal that did not come from the home of the call's key. An earlier
//! send may have run, so not_run holds for a first send only.
schema::answer
refuse_before_home(const schema::call& call, schema::refusal reason);
} // namespace bilberrytally::node
