#pragma once

#include "base/guarded.hpp"
#include "directory/route_map.hpp"
#include "http/http_server.hpp"
#include "node/internal/issued_key.hpp"
#include "node/internal/node_tables.hpp"
#include "node/internal/origin_call.hpp"
#include "node/internal/target_side.hpp"
#include "transport/peer_network.hpp"

#include <set>

namespace bilberrytally::node
{
//! Requests of callers: context, keys, choice of target, retries, answers.
class caller_side
{
public:
    caller_side(node_tables& tables, target_side& targets);

    void attach(transport::peer_network& network);

    //! A request of a caller or of the own backend server.
    void on_request(
        std::uint64_t connection, const http::request& request,
        http::respond respond);
    void on_connection_closed(std::uint64_t connection);

    //! A call whose key has its home here.
    void on_home_call(
        transport::link_id link, schema::call call, base::duration_ms delay);
    void on_home_cancel(transport::link_id link, std::uint64_t remote_call);

    void on_answer(transport::link_id link, schema::answer answer);
    void
    on_link_down(transport::link_id link, const transport::link_loss& loss);
    //! The node of a connection gives no sign of life, or does again.
    void on_link_silent(
        transport::link_id link, const transport::peer_address& peer,
        bool silent);
    //! Opens lost connections again, so that no call has to wait for them.
    void restore_links();

    //! The call that caused these has ended.
    void cancel_children(std::uint64_t serving);

    //! Ends calls whose deadline has passed.
    void tick(base::time_ms now);

    //! Connections on which an answer is awaited.
    std::set<transport::link_id> awaiting_links();
    std::size_t calls();

private:
    //! How an attempt ended.
    struct attempt_end
    {
        schema::answer answer;
        bool answered{false};
        //! Cancelled here since it took too long.
        bool abandoned{false};
    };

    void refuse_over_budget(const origin_call& call);
    void issue_key(const http::respond& respond);
    std::string next_key();
    origin_call make_call(
        std::uint64_t connection, const http::request& request,
        const schema::service_policy& policy,
        const schema::route_policy& route);
    void apply_context(
        origin_call& fresh, const http::request& request,
        const schema::service_policy& policy,
        const schema::route_policy& route);
    answer_handler
    make_http_reply(const origin_call& call, http::respond respond);
    void on_routed_request(
        std::uint64_t connection, const http::request& request,
        http::respond respond);
    origin_call make_routed_call(
        std::uint64_t connection, const http::request& request,
        const directory::route_choice& choice);
    answer_handler
    make_routed_reply(const origin_call& call, http::respond respond);
    bool may_retry_routed(origin_call& call, const schema::answer& answer);
    bool has_untried_target(const origin_call& call);
    bool has_spare_target(const origin_call& call);
    void log_outcome(const origin_call& call, const schema::answer& answer);
    //! Takes over what a call down the graph shares with the one that causes
    //! it, where its id tells which that is.
    void join_chain(origin_call& fresh, std::string_view request_id);
    //! When a refused caller is to come back.
    static base::duration_ms retry_after();
    bool resend_allowed(const origin_call& call);
    void route_by_key(origin_call fresh);
    void send_home(origin_call fresh, const decisions::target_address& home);
    //! Runs a send with a key that this process issued, if it did.
    void run_issued(origin_call fresh, const issued_key& key);
    void run_at_home(origin_call fresh, std::uint64_t sequence, bool issued);
    void begin(origin_call fresh);

    void dispatch(std::uint64_t id);
    bool is_own(const decisions::target_address& target) const;
    std::optional<decisions::target_address>
    choose_target(const origin_call& call, schema::refusal& reason);
    void refuse_dispatch(std::uint64_t id, schema::refusal reason);
    void dispatch_local(std::uint64_t id, std::uint64_t attempt);
    void dispatch_remote(
        std::uint64_t id, std::uint64_t attempt,
        const decisions::target_address& target);

    void on_attempt_end(std::uint64_t attempt, attempt_end end);
    void plan_reroute(origin_table& table, const origin_call& call);
    void reroute_slow(base::time_ms now);
    void give_up_late(base::time_ms now);
    void report_result(
        const origin_call& call, const attempt_state& state,
        const attempt_end& end);
    bool may_retry(origin_call& call, const schema::answer& answer);
    void prepare_retry(origin_call& call, const schema::answer& answer);
    void complete(std::uint64_t id, schema::answer answer);
    void complete_key(const origin_call& call, const schema::answer& answer);
    void cancel(std::uint64_t id);
    //! Cancels all attempts in progress.
    void stop_attempts(const origin_call& call);
    void stop_attempt(const attempt_state& state);
    //! Sends a slow call to another target too; \p any_target: also where
    //! none has spare slots.
    void hedge(std::uint64_t attempt, bool any_target);
    void note_node(const transport::peer_address& peer, bool lost);
    //! One of two attempts ended. Returns true where the call waits for the
    //! other one, which is put into \p superfluous where it is not needed.
    bool settle_hedge(
        origin_table& table, origin_call& call, std::uint64_t attempt,
        const attempt_end& end, attempt_state& superfluous);
    //! Goes on with the earlier attempt alone; false where there is none.
    static bool return_to_earlier(origin_call& call);

    node_tables& tables;
    target_side& targets;
    transport::peer_network* network{nullptr};
    base::guarded<origin_table, calls_rank> origins;
};
} // namespace bilberrytally::node
