#pragma once

#include "base/guarded.hpp"
#include "decisions/watch_group.hpp"
#include "directory/fleet_view.hpp"
#include "directory/store_watcher.hpp"
#include "node/internal/node_tables.hpp"
#include "node/platform_adapter.hpp"
#include "transport/peer_network.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bilberrytally::node
{
//! Keeps routes and targets in force as the platform's store publishes them,
//! read from the store and, where it does not answer, from peers.
class directory_follower
{
public:
    directory_follower(
        node_tables& tables, const platform_adapter& adapter,
        std::unique_ptr<directory::store_client> store,
        std::function<void(const schema::service_policy&)> on_own_policy);

    void attach(transport::peer_network& network);

    void tick(base::time_ms now);
    //! This process stood still: what it knows may be old.
    void on_woke();

    void on_digest(const schema::directory_digest& digest);
    void on_query(transport::link_id link, const schema::item_query& query);
    void on_items(const schema::item_list& list);

    //! Takes the fleet's bounds of new settings.
    void set_fleet(const schema::node_settings::fleet_section& fleet);

    //! Routes and targets are known.
    bool is_ready();

private:
    struct follow_state
    {
        directory::fleet_view view;
        std::unique_ptr<directory::store_watcher> watcher;
        std::mt19937_64 random;
        base::time_ms next_digest{INT64_MIN / 2};
        //! When this node came to know its highest revision.
        base::time_ms advanced{INT64_MIN / 2};
        std::uint64_t advanced_to{0};
        //! Peers knew more than the store's watch told since then.
        std::optional<base::time_ms> behind_since{};
        decisions::watch_role role{true, false, {}};
        //! When a watching node told of itself last.
        base::time_ms heard_watching{INT64_MIN / 2};
        //! What peers were asked for last.
        std::uint64_t asked_for{0};
        base::time_ms asked_at{INT64_MIN / 2};
        base::time_ms next_telling{INT64_MIN / 2};
        std::uint64_t told{0};
    };

    void send_digest(base::time_ms now);
    //! As a watching node, tells the others what is known.
    void tell_others(base::time_ms now);
    void update_role();
    //! Watches the store only where no other node does it for this one.
    void update_watch(follow_state& state, base::time_ms now) const;
    void ask_peer(const transport::peer_address& peer, std::uint64_t revision);
    void check_progress(base::time_ms now);
    std::optional<transport::peer_address> pick_peer(follow_state& state) const;

    directory::watcher_events make_events();
    void on_item(const schema::published_item& item);
    void apply(const directory::view_change& change);
    void apply_configuration();
    void apply_targets(const std::string& service);
    void apply_own_policy();
    //! Shares the fleet's retry budget among its nodes.
    void apply_retry_limits();
    base::duration_ms watch_wait(std::size_t nodes) const;

    node_tables& tables;
    std::function<void(const schema::service_policy&)> on_own_policy;
    schema::node_settings::fleet_section fleet;
    //! The retry budget is shared out as for linked calls.
    bool shared_linked{false};
    transport::peer_network* network{nullptr};
    base::guarded<follow_state, documents_rank> state;
};
} // namespace bilberrytally::node
