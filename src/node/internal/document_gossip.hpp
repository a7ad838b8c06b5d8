#pragma once

#include "base/guarded.hpp"
#include "configuration/configuration_client.hpp"
#include "decisions/poll_schedule.hpp"
#include "node/internal/node_tables.hpp"
#include "transport/peer_network.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberrytally::node
{
//! Where a document came from.
enum class document_source
{
    configuration_service, //!< Received from the configuration service.
    peer, //!< Received from another node, by a dissemination tree or after a
          //!< digest.
};

//! Distributes tickets and instance lists, which only a few nodes watch at the
//! configuration service, to all nodes. A new document is pushed along two
//! dissemination trees in each zone. A gossip digest each second to a random
//! peer repairs what the trees missed.
class document_gossip
{
public:
    //! \p on_targets_changed is called after new instance lists are in force in
    //! the tables.
    document_gossip(
        node_tables& tables,
        std::unique_ptr<configuration::configuration_client> client,
        std::function<void(const schema::service_policy&)> on_local_policy,
        std::function<void()> on_targets_changed);

    void set_network(transport::peer_network& network);

    void on_document(const std::string& text, document_source source);
    void on_digest(const schema::document_digest& digest);
    void on_summary(transport::link_id link, const schema::summary& summary);
    void on_bucket_ids(transport::link_id link, const schema::bucket_ids& ids);

    void tick(base::time_ms now);

    //! Number of requests to the configuration service so far.
    std::uint64_t request_count() const;

private:
    //! A node of the fleet as given in an instance list.
    struct member
    {
        std::string instance;
        std::string zone;
        transport::peer_address address;

        auto operator<=>(const member&) const = default;
    };
    struct gossip_state
    {
        decisions::poll_schedule schedule;
        std::mt19937_64 random;
        std::vector<member> members;
        std::vector<transport::peer_address> seeds;
        //! Index of the last change received from the configuration service.
        std::uint64_t change_index{0};
        base::time_ms next_digest;
        std::uint32_t digests_sent{0};
    };

    static gossip_state
    make_state(const schema::node_settings& settings, std::uint64_t seed);

    void apply(
        const decisions::document& document, document_source source,
        const decisions::merge_outcome& outcome);
    void update_targets(const std::vector<std::string>& services);
    void update_members();
    void push_to_peers(
        const decisions::document& document, bool from_configuration_service);
    void watch_configuration();
    void on_watch_response(const configuration::watch_result& outcome);
    void send_digest(base::time_ms now);
    //! Picks a random peer; port 0 if there is none.
    transport::peer_address pick_peer(gossip_state& state) const;

    node_tables& tables;
    std::unique_ptr<configuration::configuration_client> client;
    std::function<void(const schema::service_policy&)> on_local_policy;
    std::function<void()> on_targets_changed;
    transport::peer_network* network{nullptr};
    std::atomic<bool> watching{false};
    std::atomic<std::uint64_t> requests_sent{0};
    //! Rank 50 in the lock order: after the shared tables, whose ranks are in
    //! node_tables.hpp, and before the connections (60).
    base::guarded<gossip_state, 50> state;
};
} // namespace bilberrytally::node
