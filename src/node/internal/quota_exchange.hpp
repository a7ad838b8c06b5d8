#pragma once

#include "decisions/quota_grants.hpp"
#include "decisions/quota_slots.hpp"
#include "decisions/quota_tokens.hpp"
#include "directory/fleet_configuration.hpp"
#include "node/internal/node_tables.hpp"
#include "transport/peer_network.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberrytally::node
{
using decisions::quota_decision;
using decisions::quota_node;

//! Decides whether the requests of workspaces are within their quotas: asks the
//! holders of slots for tokens, and grants tokens of the slots that this node
//! holds. Not thread-safe: to be used on the only worker thread of a node in
//! routed mode.
class quota_exchange
{
public:
    //! Age of the proof that this node's copy of the store is current; nothing
    //! without a proof.
    using proof_age = std::function<std::optional<base::duration_ms>()>;
    using decision_handler = std::function<void(quota_decision)>;

    quota_exchange(node_tables& tables, proof_age age);

    void set_network(transport::peer_network& network);

    //! Applies the workspaces of a configuration.
    void apply_workspaces(const std::vector<directory::workspace>& workspaces);

    //! Applies a complete list of nodes. Must be called before the proof that
    //! covers the list is reported by the function given at construction.
    void apply_nodes(const std::vector<quota_node>& nodes);

    //! Decides on a request of a workspace. Calls \p on_decision at once if a
    //! token is at hand, otherwise within 0.3 s.
    void acquire(
        const std::shared_ptr<const directory::workspace>& workspace,
        decision_handler on_decision);

    //! To be called every 10 ms.
    void tick(base::time_ms now);

    void on_request(const schema::quota_request& request);
    void on_grant(const schema::quota_grant& grant);

private:
    struct use
    {
        std::uint64_t granted{0};
        std::uint64_t refused{0};
    };

    void update_proof(base::time_ms now);
    void send_asks(base::time_ms now);
    //! Sends what is asked of one node, in as many datagrams as needed.
    void send_request(
        const std::string& holder, std::uint64_t number,
        const std::vector<schema::quota_ask>& asks);
    decisions::slot_grant
    grant(const schema::quota_ask& ask, base::time_ms now);
    //! Calls the handlers of requests that have been decided on.
    void finish_decided(base::time_ms now);
    void count(std::uint64_t workspace, const quota_decision& decision);
    void record_changes(base::time_ms now);
    void publish_use(base::time_ms now);
    std::string name_of(std::uint64_t workspace) const;

    node_tables& tables;
    proof_age age;
    transport::peer_network* network{nullptr};
    decisions::quota_slots slots;
    decisions::quota_grants grants;
    decisions::quota_tokens tokens;
    //! Names of the workspaces with a quota, by id.
    std::unordered_map<std::uint64_t, std::string> names;
    //! Requests that wait for a decision, by number.
    std::unordered_map<std::uint64_t, decision_handler> waiting;
    std::uint64_t last_request{0};
    //! Use since \c uses_since, by id of the workspace.
    std::unordered_map<std::uint64_t, use> uses;
    base::time_ms uses_since;
};
} // namespace bilberrytally::node
