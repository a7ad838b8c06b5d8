#pragma once

#include "base/guarded.hpp"
#include "directory/route_map.hpp"
#include "http/http_server.hpp"
#include "node/internal/issued_key.hpp"
#include "node/internal/node_tables.hpp"
#include "node/internal/outbound_call.hpp"
#include "node/internal/quota_exchange.hpp"
#include "node/internal/target_side.hpp"
#include "transport/peer_network.hpp"

#include <set>

namespace bilberrytally::node
{
//! Handles outbound calls: requests of callers and of the local backend server
//! for which this node is the caller's node. Covers the call context,
//! idempotency keys, the choice of a target, retries, hedged attempts and the
//! responses.
//!
//! A send is one request with a given idempotency key; all sends of a key are
//! the same request. The home of a key is the node that holds its record. It
//! runs the request at most once while it keeps the record, and answers later
//! sends from it.
//!
//! In routed mode (node_tables::platform_headers is set) a metadata store
//! publishes the routes and targets, and the limits on retries differ.
//! Functions with "routed" in their name, hedged attempts and
//! record_if_failed() belong to this mode only; idempotency keys and retry
//! budgets to the other one only.
class caller_side
{
public:
    caller_side(node_tables& tables, target_side& targets);

    //! Sets the network. Must be called before any request arrives.
    void set_network(transport::peer_network& network);
    //! Sets the server that sends the responses, once it is open.
    void set_server(const http::http_server& server);

    //! Sets the part that decides on the quotas of workspaces (routed mode).
    void set_quota(quota_exchange& quota);

    //! Handles a request of a caller or of the local backend server and passes
    //! the response to \p respond.
    void on_request(
        std::uint64_t connection, http::request request, http::respond respond);
    //! Cancels the calls of a caller whose HTTP connection has closed.
    void on_connection_closed(std::uint64_t connection);

    //! Handles a call that another node sent here since this node is the home
    //! of its idempotency key.
    void on_home_call(received_call received);
    //! Cancels such a call; \p remote_call is its id at the sending node.
    void on_home_cancel(transport::link_id link, std::uint64_t remote_call);

    //! Handles the answer of another node to an attempt.
    void on_answer(transport::link_id link, schema::answer answer);
    //! The target's node has no memory for an attempt, which it did not get.
    void on_declined(std::uint64_t attempt);
    //! Ends the attempts that were sent over a connection that is now closed.
    void on_link_down(
        transport::link_id link, const transport::disconnect_info& loss);
    //! A connection to another node is established. Tells the node which of
    //! its calls ended here with an earlier connection.
    void on_link_up(transport::link_id link, const schema::hello& peer);
    //! The node at the other end of a connection is unresponsive, or is
    //! responsive again.
    void on_link_responsiveness(
        transport::link_id link, const transport::peer_address& peer,
        bool unresponsive);
    //! Reconnects to disconnected nodes, so that no call has to wait for a
    //! connection.
    void reconnect_lost_nodes();

    //! Cancels the nested calls of an inbound call that has ended.
    void cancel_nested_calls(std::uint64_t inbound_call);

    //! Late in a planned stop: takes back the calls with a later deadline that
    //! wait at targets, and refuses them once a target has said that they have
    //! not run. Those that run go on.
    void recall_waiting(base::time_ms latest_deadline);
    //! At the end of a planned stop: answers all calls that are left.
    void answer_all();

    //! Sends slow calls to another target and ends calls whose deadline has
    //! passed. Called by a timer.
    void tick(base::time_ms now);

    //! Connections on which at least one attempt awaits its answer.
    std::set<transport::link_id> links_awaiting_answers();
    //! Number of outbound calls in flight, those that wait for a quota or for
    //! their parent included.
    std::size_t call_count();

private:
    //! What the response to a request needs to know of it (routed mode).
    struct routed_request
    {
        std::string service;
        std::string latency_group;
        std::uint32_t priority{0};
        base::time_ms started;
        base::time_ms objective_ends;
        base::time_ms caller_deadline;
    };

    //! The decision on a request's access key (routed mode).
    struct access_result
    {
        decisions::access_decision decision{
            decisions::access_decision::granted};
        //! Null for a request without a workspace.
        std::shared_ptr<const directory::workspace> workspace;
        std::uint64_t key_id{0};
        //! Version of the configuration that decided; 0 if it has no
        //! workspaces.
        std::uint64_t configuration_version{0};
    };

    //! How an attempt ended.
    struct attempt_outcome
    {
        schema::answer answer;
        //! The answer came from the target; false where it was made here.
        bool answered{false};
        //! This node cancelled the attempt since it took too long or since
        //! the other attempt of a hedged call won.
        bool abandoned{false};
    };

    //! True if the call can be answered before this process ends. Late in a
    //! planned stop a call is taken only if its deadline comes first. A nested
    //! call ends with its parent call here, which does not outlive the process
    //! either, so that its deadline is shortened instead.
    bool take_while_stopping(outbound_call& call) const;
    //! Refuses a call that take_while_stopping() does not take.
    void refuse_stopping(const outbound_call& call);
    //! Refuses a nested call for which its parent has no retry budget left.
    void refuse_budget_exhausted(const outbound_call& call);
    //! Responds with a newly issued idempotency key.
    void on_key_request(const http::respond& respond);
    //! Issues an idempotency key whose home is this node.
    std::string make_issued_key();
    outbound_call make_call(
        std::uint64_t connection, http::request request,
        const schema::service_policy& policy,
        const schema::route_policy& route);
    //! Sets deadline, budget, root, depth and priority outside routed mode:
    //! inherited from the parent call where tracestate names one, else those
    //! of a root call.
    void apply_context(
        outbound_call& new_call, const http::request& request,
        const schema::service_policy& policy,
        const schema::route_policy& route);
    answer_handler
    make_http_reply(const outbound_call& call, http::respond respond);
    void on_routed_request(received_request received);
    //! Whether a request may be sent, and in whose name. \p has_parent is true
    //! for a nested call whose parent is known.
    access_result check_access(
        const http::request& request, const directory::route& route,
        bool has_parent);
    //! Lets a nested call wait for a while until another node has told this
    //! process of its parent. Returns false, and leaves the request, if it may
    //! not wait or has waited long enough.
    bool wait_for_parent(received_request& received);
    //! Goes on with the nested calls whose parent is known now, and with those
    //! that have waited long enough.
    void resume_parent_waits(base::time_ms now);
    //! Remembers a call that a lost connection has left unanswered.
    void remember_unanswered(
        outbound_call_table& table, std::uint64_t attempt,
        const transport::peer_address& peer) const;
    //! Answers a request that check_access() has not granted.
    void refuse_access(
        decisions::access_decision decision, const received_request& received);
    //! Refuses a request while this node knows no routes at all. A nested call
    //! waits for them for a while.
    void wait_for_routes(received_request& received);
    void refuse_without_route(
        const std::string& host, const received_request& received);
    //! Starts a call if and when it is within the quota of its workspace.
    void start_within_quota(
        outbound_call new_call,
        const std::shared_ptr<const directory::workspace>& owner,
        http::respond respond);
    //! Starts or refuses a call that has waited for its quota, unless its
    //! caller has gone.
    void on_quota_decision(std::uint64_t id, const quota_decision& decision);
    //! Forgets the calls of a connection that wait for a quota or for their
    //! parent.
    void drop_waits(std::uint64_t connection);
    outbound_call make_routed_call(
        received_request& received, const directory::route_choice& choice,
        const access_result& access,
        const std::optional<parent_context>& parent);
    answer_handler
    make_routed_reply(const outbound_call& call, http::respond respond);
    bool may_retry_routed(outbound_call& call, const schema::answer& answer);
    //! True if a listed target has not been tried for this call (routed mode).
    bool has_untried_target(const outbound_call& call);
    //! True if an untried target has free slots by its last load report, or has
    //! not been asked lately (routed mode).
    bool has_spare_target(const outbound_call& call);
    //! Logs a call that did not succeed and records the failure for its
    //! parent call; does nothing for a success.
    void
    record_if_failed(const outbound_call& call, const schema::answer& answer);
    //! The call that causes this one, in routed mode, if the request id begins
    //! with the id of a known call.
    std::optional<parent_context> find_parent(const http::request& request);
    std::string_view attempt_id_of(const http::request& request) const;
    //! Inherits deadline, root, depth, priority and the rerun flag.
    void
    apply_routed_context(outbound_call& new_call, const parent_context& parent);
    //! Retry-After for a request that was refused in routed mode.
    base::duration_ms retry_after(
        const routed_request& facts, schema::refusal reason, base::time_ms now);
    //! False for a request that was refused and is sent again before its
    //! Retry-After, once such requests exceed their share of the first
    //! attempts of the service.
    bool resend_allowed(const outbound_call& call);
    //! Runs a call with an idempotency key here if this node is the home of
    //! the key, else sends it to the home.
    void route_by_key(outbound_call new_call);
    void send_to_key_home(
        outbound_call new_call, const decisions::target_address& home);
    //! Runs a send with a key that this node issued. Refuses keys of an
    //! earlier process on this address, whose records are gone.
    void run_with_issued_key(outbound_call new_call, const issued_key& key);
    //! Runs a send, joins a running one or answers from the record of its key.
    //! \p sequence is the number of an issued key, 0 for a client-supplied one.
    void run_as_key_home(
        outbound_call new_call, std::uint64_t sequence, bool issued);
    //! Adds a call to the table and dispatches its first attempt.
    //! Bytes of responses that wait for their callers to read them.
    std::uint64_t unread_response_bytes() const;
    //! Replaces a response for which there is no memory.
    void drop_if_too_large(schema::answer& answer);
    void start_call(outbound_call new_call);

    //! Chooses a target and sends one attempt to it.
    void dispatch(std::uint64_t id);
    //! True if \p target is this node.
    //! Chooses a target; sets \p reason where there is none.
    std::optional<decisions::target_address>
    choose_target(const outbound_call& call, schema::refusal& reason);
    //! Start of the process of a chosen target; 0 if it is not listed.
    std::uint64_t listed_start(
        const outbound_call& call, const decisions::target_address& target);
    //! Ends a call that found no target, unless its primary attempt goes on.
    void refuse_dispatch(std::uint64_t id, schema::refusal reason);
    void dispatch_local(std::uint64_t id, std::uint64_t attempt);
    void dispatch_remote(
        std::uint64_t id, std::uint64_t attempt,
        const decisions::target_address& target);

    void on_attempt_end(std::uint64_t attempt, attempt_outcome outcome);
    //! Schedules the time at which a slow first attempt is sent elsewhere.
    void plan_reroute(outbound_call_table& table, const outbound_call& call);
    //! Hedges slow calls in routed mode; in the other mode cancels the slow
    //! attempt and retries elsewhere.
    void reroute_slow_calls(base::time_ms now);
    //! Ends calls whose deadline passed without an answer; their verdict is
    //! may_have_run.
    void expire_overdue_calls(base::time_ms now);
    //! Reports the end of an attempt to the statistics of its target.
    void report_result(
        const outbound_call& call, const attempt_state& state,
        const attempt_outcome& outcome);
    //! True if the call gets another attempt; takes it from the budget.
    bool may_retry(outbound_call& call, const schema::answer& answer);
    //! Prepares the next attempt: adds the crash report of the answer, sets
    //! the one target of a suspected request, and allows all targets again
    //! once each was tried.
    void prepare_retry(outbound_call& call, const schema::answer& answer);
    //! Removes a call and sends its answer to the caller.
    void complete(std::uint64_t id, schema::answer answer);
    //! Records the answer under the idempotency key and sends it to all sends
    //! that wait for it.
    void complete_key(const outbound_call& call, const schema::answer& answer);
    //! Cancels a call whose caller has gone, unless it runs under a key.
    void cancel(std::uint64_t id);
    //! Cancels all attempts in progress.
    void stop_attempts(const outbound_call& call);
    void stop_attempt(const attempt_state& state);
    //! Asks a target to refuse an attempt that does not run yet.
    void recall(const attempt_state& attempt);
    //! Sends a hedged attempt of a slow call to another target, in routed mode
    //! only and if the call and the retry limit allow it. With
    //! \p any_target it is sent even where no target has spare slots.
    void hedge(std::uint64_t attempt, bool any_target);
    //! Tells the target tables whether a node is disconnected or unresponsive
    //! (\p unavailable), or can be used again.
    void
    update_node_state(const transport::peer_address& peer, bool unavailable);
    //! Handles the end of one of the two attempts of a hedged call. Returns
    //! true if it failed and the call waits for the other one. If it succeeded,
    //! \p losing is set to the other attempt, which is to be cancelled.
    bool resolve_hedge(
        outbound_call_table& table, outbound_call& call, std::uint64_t attempt,
        const attempt_outcome& outcome, attempt_state& losing);
    //! Makes the primary attempt the only one; false where there is none.
    static bool fall_back_to_primary(outbound_call& call);

    node_tables& tables;
    target_side& targets;
    transport::peer_network* network{nullptr};
    std::atomic<const http::http_server*> server{nullptr};
    quota_exchange* quota{nullptr};
    base::guarded<outbound_call_table, outbound_calls_rank> outbound_calls;
};
} // namespace bilberrytally::node
