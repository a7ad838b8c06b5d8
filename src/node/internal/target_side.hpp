#pragma once

#include "base/guarded.hpp"
#include "base/verdict.hpp"
#include "decisions/admission.hpp"
#include "decisions/call_contexts.hpp"
#include "decisions/call_cost.hpp"
#include "decisions/quarantine.hpp"
#include "decisions/retry_budget.hpp"
#include "decisions/unconfirmed_runs.hpp"
#include "http/http_client.hpp"
#include "node/internal/backend_monitor.hpp"
#include "node/internal/node_tables.hpp"
#include "transport/peer_network.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberrytally::node
{
using answer_handler = std::function<void(schema::answer)>;

//! What a nested call inherits from the inbound call that causes it.
struct parent_context
{
    std::uint64_t root{0};
    std::uint32_t depth{0};
    std::uint32_t priority{0};
    base::time_ms deadline;
    //! Number of retries that the nested call may use.
    std::uint32_t budget{0};
    bool rerun{false};
    //! False if the nested call would be an extra dispatch, caused by a retry,
    //! and the retry budget is exhausted.
    bool within_budget{true};
    //! Id of the inbound call that causes the nested call; 0 if this process
    //! does not serve it any more, or never did.
    std::uint64_t inbound_id{0};
    //! Workspace of the root request; empty for none.
    std::string workspace;
};

//! What the nested calls of a call with this deadline inherit from it.
decisions::call_context
context_of(const schema::call& call, base::time_ms deadline);

//! An inbound call as shown to operators.
struct inbound_call_view
{
    std::uint64_t id{0};
    std::uint64_t root{0};
    std::string path;
    std::string_view state;
    std::uint32_t priority{0};
    std::uint32_t depth{0};
    base::duration_ms age;
};

//! A call as another node sent it.
struct received_call
{
    transport::link_id link{0};
    schema::call message;
    //! Time that the call may have spent in socket buffers and waiting for
    //! memory; it is taken off the time that remains.
    base::duration_ms delay;
    //! Memory reserved for the call; null if none was asked for.
    transport::held_memory held;
};

//! Answer without an HTTP response for the caller's node: the call was not
//! served, or its result is unusable or unknown.
schema::answer make_refusal(base::verdict verdict, schema::refusal reason);

//! Handles inbound calls, the calls at the local backend server: admission,
//! dispatch and verdicts.
class target_side
{
public:
    target_side(node_tables& tables, std::unique_ptr<http::http_client> client);

    //! Sets the parts that are made after this one. \p cancel_nested_calls
    //! cancels the outbound calls that an inbound call has caused, by the
    //! inbound call's id.
    void set_network(
        transport::peer_network& network,
        std::function<void(std::uint64_t)> cancel_nested_calls);

    //! Takes a call from another node, or refuses it if there is no memory.
    void on_call(received_call received);
    //! \p caller_call_id is the id that the caller's node gave the call.
    void on_cancel(transport::link_id link, const schema::cancel& cancel);
    void on_link_down(transport::link_id link);

    //! Answers a call without a response, since the caller's node has no memory
    //! for the response.
    void replace_answer(transport::link_id link, schema::answer answer);

    //! Takes a call from this node's caller side; returns an id for cancel().
    std::uint64_t offer_local(
        schema::call call, base::time_ms deadline, answer_handler reply);
    void cancel(std::uint64_t inbound_id);
    //! Refuses a call if it does not run yet.
    void recall(std::uint64_t inbound_id);

    //! Context for a nested call that the backend server makes while it serves
    //! an inbound call. Passes on a share of the retry budget. Empty if the
    //! inbound call has ended.
    std::optional<parent_context> take_context(std::uint64_t inbound_id);
    //! Context for a nested call whose id begins with the id of an inbound
    //! request, or of one that the backend server may still run although it has
    //! ended here. Passes on no retry budget. Empty if no such request is
    //! known.
    std::optional<parent_context> find_context(std::string_view request_id);
    //! True if the id names a parent that may exist although find_context()
    //! does not know it.
    bool parent_may_exist(std::string_view request_id);
    //! Takes over what another node says of the calls that it sent to the local
    //! backend server, perhaps through an earlier process of this node. \p
    //! delay is the time that the message spent on the way.
    void on_unanswered_calls(
        const schema::unanswered_calls& message, base::duration_ms delay);
    //! Records that a nested call of an inbound call has failed.
    void record_nested_failure(std::uint64_t inbound_id);
    //! Returns the unspent retry budget of a nested call. \p dispatches is the
    //! number of dispatches that it caused.
    void return_budget(
        std::uint64_t inbound_id, std::uint32_t budget,
        std::uint32_t dispatches);

    //! Refuses the calls that wait for a free slot or for a probe run and whose
    //! deadline is later, since they might be cut by the end of the process.
    void refuse_waiting(base::time_ms latest_deadline);

    //! Refuses the calls whose target has begun to leave and that have not been
    //! sent to it. To be called when the list of the local service changes.
    void refuse_leaving();

    void on_crash_report(const schema::crash_report& report);
    //! Sends a node of the same service the crash reports in force.
    void
    on_crash_query(transport::link_id link, const schema::crash_query& query);
    void on_policy(const schema::service_policy& policy);
    void tick(base::time_ms now);

    schema::load_report load(base::time_ms now);
    std::size_t call_count();
    std::vector<inbound_call_view> view();
    std::vector<decisions::quarantine_view> quarantined();

private:
    enum class call_state
    {
        waiting,
        on_hold, //!< Waits until the probe run of another suspected request
                 //!< ends.
        running,
        checking_backend, //!< The connection to the backend server was lost;
                          //!< the node checks whether it still listens.
    };

    static std::string_view to_string(call_state state);

    struct inbound_call
    {
        schema::call message;
        answer_handler reply;
        transport::link_id link{0};
        base::time_ms deadline;
        base::time_ms arrived;
        //! How long the call may have waited in socket buffers before.
        base::duration_ms transit;
        base::time_ms started;
        decisions::request_retry_budget budget{0};
        std::uint32_t nested_dispatches{0};
        call_state state{call_state::waiting};
        bool is_probe_run{false};
        //! The backend server made a nested call for this call.
        bool has_nested_calls{false};
        //! A nested call that the backend server made for this call has failed.
        bool nested_call_failed{false};
        std::uint64_t transfer_id{0};
        //! Memory of a call of another node.
        transport::held_memory held;
        //! The call in \c outstanding, if calls are placed by cost.
        decisions::call_work work;
    };

    //! Bound of the number of contexts kept for nested calls that come late.
    static constexpr std::size_t max_ended_contexts = 8192;

    struct inbound_table
    {
        decisions::admission admission;
        decisions::quarantine quarantine;
        std::unordered_map<std::uint64_t, inbound_call> calls;
        //! By the link and the id that the caller's node gave the call.
        std::map<std::pair<transport::link_id, std::uint64_t>, std::uint64_t>
            by_caller_call_id;
        //! By the id of the caller's attempt, which the caller sends in a
        //! header. Two attempts of one request may run here at the same time.
        std::unordered_multimap<std::string, std::uint64_t> by_request;
        //! Calls that are not in \c calls but may cause nested calls.
        decisions::call_contexts ended;
        std::deque<std::uint64_t> probe_run_queue;
        //! When a load report was sent last, by link; 0 for this node's calls.
        std::map<transport::link_id, base::time_ms> last_load_report;
        //! Status with which the backend server sheds; 0 for none.
        std::uint32_t shed_status{0};
        std::uint64_t crash_count{0};
        decisions::unconfirmed_runs unconfirmed;
        //! Empty unless calls are placed by cost.
        decisions::outstanding_work outstanding;

        inbound_table(
            std::uint32_t slots, const decisions::policy_variant& variant)
            : admission(slots, variant), ended(max_ended_contexts)
        {
        }
    };

    //! A call taken out of the tables and the ids of the calls that waited for
    //! its probe run.
    struct removed_call
    {
        inbound_call call;
        std::vector<std::uint64_t> released;
    };

    std::optional<removed_call>
    remove(inbound_table& table, std::uint64_t id) const;
    //! Takes a call out of the queue; false if it does not wait.
    static bool stop_waiting(
        inbound_table& table, std::uint64_t id, const inbound_call& call);
    std::uint64_t add(inbound_call call);
    std::string request_id(const schema::call& call) const;
    //! Load report for an answer to this call; not valid if the last one on its
    //! link is recent.
    schema::load_report report(
        inbound_table& table, const inbound_call& call,
        base::time_ms now) const;
    void admit(std::uint64_t id);
    //! Refuses the waiting calls for which \p is_refused returns true.
    template <class Predicate>
    void refuse_waiting_if(Predicate&& is_refused);
    //! Instance id of the local backend server: as it is listed, or as the
    //! settings name it while it is not listed.
    std::string local_instance() const;
    //! Since when this node has known by the instance list that the target of
    //! the call is leaving or gone; nothing if it is neither.
    std::optional<base::time_ms> leaving_since(const schema::call& call) const;
    //! True if the access key has been removed by a configuration that is newer
    //! than the one by which the caller's node accepted it.
    bool is_key_revoked(
        std::uint64_t key_id, std::uint64_t configuration_version) const;
    //! Keeps the context of a call that was passed to the backend server and
    //! has ended here.
    void keep_context(
        inbound_table& table, const inbound_call& call,
        const schema::answer& answer) const;
    //! True if this node or the target of the call takes no new calls.
    bool is_draining(const schema::call& call) const;
    std::optional<schema::refusal>
    refusal_before_admission(const inbound_call& call) const;
    schema::refusal
    check_quarantine(inbound_table& table, std::uint64_t id, base::time_ms now);
    void apply(const decisions::admission_actions& actions);
    void start(std::uint64_t id);
    //! False if the call has ended or its target has begun to leave.
    bool may_send(std::uint64_t id);
    //! Log fields of a call to a leaving target: how long this node has known
    //! of it, how long the call waited, and the store revisions of the caller's
    //! node and of this one. Empty for other calls.
    std::string
    describe_leaving(const inbound_call& call, base::time_ms now) const;
    void on_transfer(std::uint64_t id, http::transfer_result result);
    void check_after_disconnect(std::uint64_t id, const schema::answer& answer);
    //! Reports the crash of the backend server while the call was in flight. \p
    //! refused tells whether the backend server refuses connections.
    void
    on_backend_crash(std::uint64_t id, schema::answer answer, bool refused);
    //! Records that the backend server refuses connections. If it was up until
    //! now, the requests that ended unconfirmed a moment ago are suspected,
    //! too.
    void on_backend_refused();
    //! Remembers a call that ended at the backend server without a response.
    void remember_unconfirmed_run(std::uint64_t id);
    //! Logs a crash report and sends it to the other nodes of the service.
    void report_crash(const schema::crash_report& report);
    void finish(
        std::uint64_t id, schema::answer answer, decisions::completion kind,
        base::duration_ms service_time);
    void record_backend_call(
        const inbound_call& call, std::uint64_t id,
        base::duration_ms service_time);
    //! After a successful probe run, clears the quarantine of the request here
    //! and at the peers.
    void clear_quarantine_after_success(
        const inbound_call& call, const schema::answer& answer);
    void refuse(
        std::uint64_t id, schema::refusal reason,
        const std::string& detail = {});
    void send_answer(inbound_call& call, schema::answer answer);
    //! Sends an answer to another node as far as there is memory for it.
    void send_to_node(transport::link_id link, schema::answer answer);
    //! Ids of the crashes while a request ran, one a line. Tell the caller's
    //! node which target does the probe run.
    std::string crash_ids(std::uint64_t fingerprint);
    void broadcast_crash_report(const schema::crash_report& report);
    //! After the start, asks some nodes of the same service for the crash
    //! reports in force, since a restarted node knows none.
    void query_crash_reports(base::time_ms now);
    //! The listed targets of the local service on other nodes.
    std::vector<decisions::target_view> peer_targets() const;
    //! The request for the backend server; takes the body out of the call.
    http::transfer_request make_transfer(
        std::uint64_t id, inbound_call& call, base::time_ms now) const;
    void add_platform_headers(
        http::header_list& headers, const inbound_call& call,
        base::duration_ms remaining) const;
    //! Takes over what a response says of the backend server itself. Only a
    //! response to this very call counts.
    void read_backend_state(
        const schema::call& call, const http::response& received);
    schema::answer to_answer(
        const schema::call& call, http::transfer_result& result,
        std::uint32_t shed_status, bool nested_call_failed) const;

    node_tables& tables;
    std::unique_ptr<http::http_client> client;
    backend_monitor monitor;
    transport::peer_network* network{nullptr};
    std::function<void(std::uint64_t)> cancel_nested_calls;
    std::uint32_t crash_query_rounds{0};
    base::time_ms next_crash_query{INT64_MIN / 2};
    base::guarded<inbound_table, inbound_calls_rank> inbound;
};
} // namespace bilberrytally::node
