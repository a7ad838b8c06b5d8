#pragma once

#include "base/guarded.hpp"
#include "base/verdict.hpp"
#include "decisions/admission.hpp"
#include "decisions/quarantine.hpp"
#include "decisions/retry_budget.hpp"
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

//! What a call down the graph takes from the call that causes it.
struct parent_context
{
    std::uint64_t root{0};
    std::uint32_t depth{0};
    std::uint32_t priority{0};
    base::time_ms deadline;
    std::uint32_t budget{0};
    bool rerun{false};
    //! False where the call would be an extra dispatch and none is left.
    bool affordable{true};
    //! The call being served.
    std::uint64_t serving{0};
};

//! A row for operators: a call at the own backend server.
struct serving_view
{
    std::uint64_t id{0};
    std::uint64_t root{0};
    std::string path;
    std::string_view state;
    std::uint32_t priority{0};
    std::uint32_t depth{0};
    base::duration_ms age;
};

//! Answer for a call that was not served.
schema::answer make_refusal(base::verdict verdict, schema::refusal reason);

//! The calls at the own backend server: admission, dispatch, verdicts.
class target_side
{
public:
    target_side(node_tables& tables, std::unique_ptr<http::http_client> client);

    //! Connects the parts that are made later.
    void attach(
        transport::peer_network& network,
        std::function<void(std::uint64_t)> cancel_children);

    //! A call from another node.
    void on_call(
        transport::link_id link, schema::call call, base::duration_ms delay);
    void on_cancel(transport::link_id link, std::uint64_t remote_call);
    void on_link_down(transport::link_id link);

    //! A call from the own caller's side; returns an id for cancel().
    std::uint64_t offer_local(
        const schema::call& call, base::time_ms deadline, answer_handler reply);
    void cancel(std::uint64_t serving);

    //! Context for a call that the backend server makes while serving;
    //! takes a part of the retry budget.
    std::optional<parent_context> take_context(std::uint64_t serving);
    //! Context for a call whose id begins with that of a request being served.
    std::optional<parent_context> find_context(std::string_view request_id);
    //! A call that the backend server made while serving has failed.
    void note_child_failure(std::uint64_t serving);
    //! Returns what a call down the graph did not spend, with the number of
    //! dispatches that it caused.
    void give_back(
        std::uint64_t serving, std::uint32_t budget, std::uint32_t dispatches);

    void on_strike(const schema::strike& strike);
    void on_policy(const schema::service_policy& policy);
    void tick(base::time_ms now);

    schema::load_report load(base::time_ms now);
    std::size_t calls();
    std::vector<serving_view> view();
    std::vector<decisions::quarantine_view> quarantined();

private:
    enum class phase
    {
        waiting,
        on_hold, //!< Waits for the running trial of another struck request.
        running,
        probing, //!< The connection broke; is the backend server alive?
    };

    static std::string_view to_string(phase state);

    struct serving_call
    {
        schema::call call;
        answer_handler reply;
        transport::link_id link{0};
        base::time_ms deadline;
        base::time_ms arrived;
        base::time_ms started;
        decisions::retry_budget budget{0};
        std::uint32_t descendants{0};
        phase state{phase::waiting};
        bool trial{false};
        //! A call that the backend server made for this one has failed.
        bool child_failed{false};
        std::uint64_t transfer{0};
    };

    struct serving_table
    {
        decisions::admission admission;
        decisions::quarantine quarantine;
        std::unordered_map<std::uint64_t, serving_call> calls;
        std::map<std::pair<transport::link_id, std::uint64_t>, std::uint64_t>
            by_remote;
        //! By the id of the caller's attempt.
        std::unordered_map<std::string, std::uint64_t> by_request;
        std::deque<std::uint64_t> trial_queue;
        std::map<transport::link_id, base::time_ms> last_load;
        std::uint32_t shed_status{0};
        std::uint64_t deaths{0};

        serving_table(
            std::uint32_t slots, const decisions::policy_variant& variant)
            : admission(slots, variant)
        {
        }
    };

    //! A call taken out of the tables, and calls that waited for its trial.
    struct removed_call
    {
        serving_call call;
        std::vector<std::uint64_t> released;
    };

    std::optional<removed_call>
    remove(serving_table& table, std::uint64_t id) const;
    std::uint64_t add(serving_call fresh);
    std::string request_id(const schema::call& call) const;
    void admit(std::uint64_t id);
    std::optional<schema::refusal>
    refusal_before_admission(const serving_call& call) const;
    schema::refusal
    check_quarantine(serving_table& table, std::uint64_t id, base::time_ms now);
    void apply(const decisions::admission_actions& actions);
    void start(std::uint64_t id);
    void on_transfer(std::uint64_t id, http::transfer_result result);
    void probe_after_break(std::uint64_t id, const schema::answer& answer);
    //! \p down: the backend server does not accept connections.
    void on_backend_death(std::uint64_t id, schema::answer answer, bool down);
    void finish(
        std::uint64_t id, schema::answer answer, decisions::completion kind,
        base::duration_ms service_time);
    void note_served(
        const serving_call& call, std::uint64_t id,
        base::duration_ms service_time);
    void end_trial(const serving_call& call, const schema::answer& answer);
    void refuse(
        std::uint64_t id, schema::refusal reason,
        const std::string& detail = {});
    void send_answer(serving_call& call, schema::answer answer);
    void broadcast_strike(const schema::strike& strike);
    http::transfer_request make_transfer(
        std::uint64_t id, const serving_call& call, base::time_ms now) const;
    void add_routed_headers(
        http::header_list& headers, const serving_call& call,
        base::duration_ms remaining) const;
    schema::answer to_answer(
        const schema::call& call, http::transfer_result& result,
        std::uint32_t shed_status, bool child_failed) const;

    node_tables& tables;
    std::unique_ptr<http::http_client> client;
    backend_monitor monitor;
    transport::peer_network* network{nullptr};
    std::function<void(std::uint64_t)> cancel_children;
    base::guarded<serving_table, serving_rank> serving;
};
} // namespace bilberrytally::node
