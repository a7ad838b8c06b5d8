#pragma once

#include "base/guarded.hpp"
#include "decisions/view_freshness.hpp"
#include "decisions/watch_group.hpp"
#include "directory/fleet_view.hpp"
#include "directory/store_watcher.hpp"
#include "node/internal/node_tables.hpp"
#include "node/internal/quota_exchange.hpp"
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
//! Applies the routes and targets that the platform's store publishes. Reads
//! them from the store or, if the store does not respond, from peers.
class directory_follower
{
public:
    //! \p on_targets_changed is called after new lists of targets are in force
    //! in the tables.
    directory_follower(
        node_tables& tables, const platform_adapter& adapter,
        std::unique_ptr<directory::store_client> store,
        std::function<void(const schema::service_policy&)> on_local_policy,
        std::function<void()> on_targets_changed, quota_exchange& quota);

    void set_network(transport::peer_network& network);

    void tick(base::time_ms now);
    //! Called when the process has resumed after a suspension: routes and
    //! targets may be outdated, so the store is read again.
    void on_resumed();

    void on_digest(const schema::directory_digest& digest);
    void on_query(transport::link_id link, const schema::item_query& query);
    void on_items(const schema::item_list& list);

    //! Applies the section [fleet] of reloaded settings.
    void set_fleet(const schema::node_settings::fleet_section& fleet);

    //! True if routes and targets are known and requests with access keys can
    //! be judged.
    bool is_ready();

private:
    struct follower_state
    {
        directory::fleet_view view;
        std::unique_ptr<directory::store_watcher> watcher;
        std::mt19937_64 random;
        //! Initial times lie before any other time. They are halved so that
        //! differences to them do not overflow.
        base::time_ms next_digest{INT64_MIN / 2};
        //! When this node's revision changed last.
        base::time_ms revision_changed_at{INT64_MIN / 2};
        schema::store_revision last_revision{};
        //! Since when peers have known a higher revision than this node's watch
        //! has reported.
        std::optional<base::time_ms> behind_since{};
        //! Until targets are known, the node watches the store itself.
        decisions::watch_role role{true, false, {}};
        //! When a digest of another, watching node arrived last.
        base::time_ms watching_peer_heard_at{INT64_MIN / 2};
        //! The revision that a peer was last asked for.
        schema::store_revision queried_revision{};
        base::time_ms queried_at{INT64_MIN / 2};
        base::time_ms next_announcement{INT64_MIN / 2};
        schema::store_revision announced_revision{};
        decisions::view_freshness freshness{};
        //! Digests that arrive earlier may have waited in socket buffers while
        //! the process was suspended.
        base::time_ms trust_digests_from{INT64_MIN / 2};
    };

    //! Sends the known revision to one random peer.
    void send_digest(base::time_ms now);
    //! As a watching node, sends the known revision to the peers assigned to
    //! it.
    void announce_revision(base::time_ms now);
    //! Takes over the proof of freshness that a peer states.
    void on_peer_proof(
        follower_state& state, const schema::directory_digest& digest,
        base::time_ms now);
    //! Age of this node's own proof, as sent in digests.
    std::uint64_t proof_age_ms(base::time_ms now) const;
    void update_role();
    //! Pauses the watch of the store while another node watches on behalf of
    //! this one, and resumes it otherwise.
    void update_watch(follower_state& state, base::time_ms now) const;
    //! Asks a peer that knows \p revision for what this node lacks.
    void query_peer(
        const transport::peer_address& peer,
        const schema::store_revision& revision);
    //! Sends a query for the items after \p after, unless the peers were just
    //! asked for \p revision.
    void send_query(
        const transport::peer_address& peer,
        const schema::store_revision& revision,
        const schema::store_revision& after);
    void record_restore(const directory::restore_summary& restore);
    //! Digest of this node's copy of the store.
    schema::directory_digest make_digest(base::time_ms now, bool watching);
    //! Restarts the watch if the store does not report what peers know.
    void restart_stalled_watch(base::time_ms now);
    std::optional<transport::peer_address>
    pick_peer(follower_state& state) const;

    directory::watcher_events make_events();
    void on_item(const schema::published_item& item);
    //! Applies the change that an item made, and logs if it is unreadable.
    void apply_item(const directory::view_change& change);
    void apply(const directory::view_change& change);
    void apply_configuration();
    //! Tells the quota exchange which nodes there are.
    void apply_nodes();
    void apply_access(const directory::fleet_configuration& configuration);
    //! Publishes the proof of freshness in the tables.
    void update_proof(follower_state& state);
    //! Logs when requests with access keys start or stop to be refused because
    //! the proof of freshness is too old.
    void report_proof(base::time_ms now);
    //! True if the proof of freshness is young enough to accept access keys, or
    //! if there are no workspaces.
    bool accepts_keys(base::time_ms now);
    void apply_targets(const std::string& service);
    void apply_local_policy();
    //! Sets this node's share of the fleet's retry budget.
    void apply_retry_limits();
    //! Time-out of a long poll that keeps the long polls of \p nodes nodes
    //! within their share of the request rate of the store.
    base::duration_ms long_poll_timeout(std::size_t nodes) const;

    node_tables& tables;
    std::function<void(const schema::service_policy&)> on_local_policy;
    std::function<void()> on_targets_changed;
    quota_exchange& quota;
    schema::node_settings::fleet_section fleet;
    //! The retry limits in force use retry_share_with_parent_ids.
    bool limits_use_parent_ids{false};
    //! Whether keys were accepted at the last tick.
    bool accepted_keys{true};
    transport::peer_network* network{nullptr};
    //! Has the rank of node_tables::documents, with which it is never locked
    //! together.
    base::guarded<follower_state, documents_rank> state;
};
} // namespace bilberrytally::node
