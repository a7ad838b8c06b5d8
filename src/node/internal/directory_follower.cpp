#include "node/internal/directory_follower.hpp"

#include "base/hash.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberrytally::node
{
namespace
{
constexpr base::duration_ms digest_interval{500};
//! Items are sent to a peer that is behind only if this node's revision has not
//! changed for this long. The peer's own watch normally reports the change
//! earlier.
constexpr base::duration_ms settle_time{300};
//! The watch is restarted if the store has not responded for this long after a
//! peer announced a higher revision.
constexpr base::duration_ms watch_stall_limit{600};
//! Lower bound of the time-out of a long poll at the store.
constexpr base::duration_ms min_long_poll_timeout{10000};
//! Time-out of a long poll at the store if other nodes rely on this node's
//! watch. It is short, so that the node soon detects a store that stopped
//! responding without closing the connection.
constexpr base::duration_ms announcing_long_poll_timeout{700};
//! A watching node sends digests no longer than this after the store's last
//! response. Together with announce_timeout this is the longest time for which
//! other nodes can miss a change.
constexpr base::duration_ms response_validity{900};
//! Watching nodes send a digest at least this often.
constexpr base::duration_ms announce_interval{400};
//! A node that has received no digest of a watching node for this long watches
//! the store itself. The store's first response then comes well within the two
//! seconds in which a change is to be in force.
constexpr base::duration_ms announce_timeout{600};
//! A peer that has not answered a query by then is taken not to answer; another
//! query may be sent.
constexpr base::duration_ms query_timeout{100};
//! Changes that arrive within this time are applied as one batch. It is short
//! compared to the two seconds in which a change is to be in force.
constexpr base::duration_ms batch_interval{150};
//! The same for a node that watches for itself alone, although it is not
//! assigned to watch. All nodes do so while a fleet starts and its targets are
//! listed one after another.
constexpr base::duration_ms unassigned_batch_interval{800};
//! Upper bound of the time-out of a long poll at the store.
constexpr base::duration_ms max_long_poll_timeout{30000};
//! Long polls may use at most this fraction (1/n) of the store's permitted
//! request rate, platform.reads_per_s.
constexpr std::uint64_t long_poll_rate_divisor = 4;
constexpr std::int64_t ms_per_s = 1000;
//! Share of the fleet's retry budget that is divided among the nodes if nested
//! calls do not name the requests that cause them. The rest is kept for the
//! nested calls that retries cause.
constexpr double retry_share_without_parent_ids = 0.4;
//! The same if nested calls name the requests that cause them.
constexpr double retry_share_with_parent_ids = 0.7;
//! A target's report that it is draining is valid for this long.
constexpr base::duration_ms drain_report_lifetime{1000};
//! The longest wait in the local backend server's queue. Takes the place of
//! max_wait_ms in tickets, which the store does not publish.
constexpr std::uint32_t max_queue_wait_ms = 2000;
} // namespace

directory_follower::directory_follower(
    node_tables& tables, const platform_adapter& adapter,
    std::unique_ptr<directory::store_client> store,
    std::function<void(const schema::service_policy&)> on_local_policy)
    : tables(tables), on_local_policy(std::move(on_local_policy)),
      fleet(tables.settings.fleet),
      state(follower_state{
          directory::fleet_view(
              adapter.decode, {tables.settings.platform.removal_hold_ms}),
          nullptr, std::mt19937_64(tables.incarnation)})
{
    this->state.with(
        [&](follower_state& state)
        {
            state.watcher = std::make_unique<directory::store_watcher>(
                std::move(store), this->make_events(), tables.incarnation);
        });
}

void directory_follower::set_network(transport::peer_network& network)
{
    this->network = &network;
}

directory::watcher_events directory_follower::make_events()
{
    directory::watcher_events events;
    events.on_item = [this](const auto& item) { this->on_item(item); };
    events.on_snapshot = [this](const auto& keys, std::uint64_t revision)
    {
        const auto change = this->state.with(
            [&](follower_state& state)
            { return state.view.end_snapshot(keys, revision, base::now()); });
        this->tables.record_event(
            {0, "store_snapshot", 0, 0, "",
             "revision=" + std::to_string(revision) +
                 " items=" + std::to_string(keys.size())});
        this->apply(change);
    };
    events.on_advanced = [this](std::uint64_t revision)
    {
        this->state.with([&](follower_state& state)
                         { state.view.advance(revision); });
    };
    events.on_lost = [this](const directory::store_error& error)
    {
        this->tables.record_event(
            {0, "store_lost", 0, 0, "",
             "reason=" + std::string(directory::to_string(error.failure)) +
                 " detail=\"" + error.detail + "\""});
    };
    events.on_regained = [this](base::duration_ms outage)
    {
        this->state.with([](follower_state& state)
                         { state.view.on_store_regained(base::now()); });
        this->tables.record_event(
            {0, "store_regained", 0, 0, "",
             "silent_ms=" + std::to_string(outage.count)});
    };
    return events;
}

void directory_follower::on_item(const schema::published_item& item)
{
    const auto change =
        this->state.with([&](follower_state& state)
                         { return state.view.merge(item, base::now()); });
    if (!change.problem.empty())
    {
        this->tables.record_event(
            {0, "item_ignored", 0, 0, "",
             "problem=\"" + change.problem + "\""});
    }
    this->apply(change);
}

void directory_follower::on_digest(const schema::directory_digest& digest)
{
    const auto now = base::now();
    std::uint64_t local_revision = 0;
    bool settled = false;
    this->state.with(
        [&](follower_state& state)
        {
            local_revision = state.view.revision();
            settled = now - state.revision_changed_at >= settle_time;
            const bool behind = digest.revision > local_revision;
            if (behind && !state.behind_since)
            {
                state.behind_since = now;
            }
            if (digest.watching)
            {
                state.watching_peer_heard_at = now;
            }
        });
    const transport::peer_address peer{digest.host, digest.port};
    if (digest.revision > local_revision)
    {
        this->query_peer(peer, digest.revision);
        return;
    }
    // A peer that is still behind after the time that its own watch needs gets
    // the items.
    if (digest.revision < local_revision && settled)
    {
        this->on_query(this->network->link_to(peer), {digest.revision});
    }
}

void directory_follower::query_peer(
    const transport::peer_address& peer, std::uint64_t revision)
{
    const auto now = base::now();
    const auto after = this->state.with(
        [&](follower_state& state) -> std::optional<std::uint64_t>
        {
            if (state.queried_revision >= revision &&
                now - state.queried_at < query_timeout)
            {
                return std::nullopt;
            }
            state.queried_revision = revision;
            state.queried_at = now;
            return state.view.revision();
        });
    if (after)
    {
        this->network->send(
            this->network->link_to(peer), transport::frame_kind::item_query,
            transport::encode(schema::item_query{*after}), 0);
    }
}

void directory_follower::on_query(
    transport::link_id link, const schema::item_query& query)
{
    schema::item_list list;
    this->state.with(
        [&](follower_state& state)
        {
            list.items = state.view.items_after(query.after);
            list.revision = state.view.revision();
        });
    this->network->send(
        link, transport::frame_kind::item_list, transport::encode(list), 0);
}

void directory_follower::on_items(const schema::item_list& list)
{
    const auto old_revision = this->state.with(
        [](follower_state& state) { return state.view.revision(); });
    for (const auto& item : list.items)
    {
        this->on_item(item);
    }
    // The list begins at the revision that this node sent in its query or
    // digest, so nothing is missing up to the list's revision.
    this->state.with([&](follower_state& state)
                     { state.view.advance(list.revision); });
    if (list.revision > old_revision && !list.items.empty())
    {
        this->tables.record_event(
            {0, "items_from_peer", 0, 0, "",
             "after=" + std::to_string(old_revision) +
                 " revision=" + std::to_string(list.revision) +
                 " items=" + std::to_string(list.items.size())});
    }
}

std::optional<transport::peer_address>
directory_follower::pick_peer(follower_state& state) const
{
    const auto& local = this->tables.settings.node;
    std::vector<std::string> hosts;
    for (const auto& target : state.view.all_targets())
    {
        if (target.host != local.address)
        {
            hosts.push_back(target.host);
        }
    }
    if (hosts.empty())
    {
        return std::nullopt;
    }
    return transport::peer_address{
        hosts[state.random() % hosts.size()], local.node_port};
}

void directory_follower::send_digest(base::time_ms now)
{
    const auto& local = this->tables.settings.node;
    schema::directory_digest digest{local.address, local.node_port, 0, false};
    const auto peer = this->state.with(
        [&](follower_state& state) -> std::optional<transport::peer_address>
        {
            if (now < state.next_digest)
            {
                return std::nullopt;
            }
            state.next_digest = now + digest_interval;
            digest.revision = state.view.revision();
            return this->pick_peer(state);
        });
    if (peer)
    {
        this->network->send_datagram(
            *peer, transport::frame_kind::directory_digest,
            transport::encode(digest));
    }
}

void directory_follower::announce_revision(base::time_ms now)
{
    const auto& local = this->tables.settings.node;
    schema::directory_digest digest{local.address, local.node_port, 0, true};
    const auto hosts = this->state.with(
        [&](follower_state& state) -> std::vector<std::string>
        {
            digest.revision = state.view.revision();
            const bool announcement_due =
                now >= state.next_announcement ||
                digest.revision != state.announced_revision;
            const bool watch_current =
                !state.watcher->is_store_lost() &&
                now - state.watcher->last_success_time() < response_validity;
            if (state.role.peers_to_notify.empty() || !watch_current ||
                this->tables.draining || !announcement_due)
            {
                return {};
            }
            state.next_announcement = now + announce_interval;
            state.announced_revision = digest.revision;
            return state.role.peers_to_notify;
        });
    if (hosts.empty())
    {
        return;
    }
    const auto body = transport::encode(digest);
    for (const auto& host : hosts)
    {
        this->network->send_datagram(
            {host, local.node_port}, transport::frame_kind::directory_digest,
            body);
    }
}

void directory_follower::update_role()
{
    std::vector<decisions::fleet_member> members;
    decisions::watch_role role;
    const bool changed = this->state.with(
        [&](follower_state& state)
        {
            for (const auto& target : state.view.all_targets())
            {
                members.push_back({target.host, target.zone});
            }
            role = decisions::choose_watch_role(
                this->tables.settings.node.address, std::move(members));
            return std::exchange(state.role, role) != role;
        });
    if (!changed)
    {
        return;
    }
    this->tables.record_event(
        {0, "watch_role", 0, 0, "",
         std::string("watches=") + (role.watches ? "1" : "0") +
             " tells=" + std::to_string(role.peers_to_notify.size())});
}

void directory_follower::update_watch(
    follower_state& state, base::time_ms now) const
{
    const bool store_current =
        state.view.revision() > 0 && !state.watcher->is_store_lost();
    const bool announced =
        now - state.watching_peer_heard_at < announce_timeout;
    const bool needed = state.role.watches || !store_current || !announced;
    state.watcher->set_batch_interval(
        state.role.assigned ? batch_interval : unassigned_batch_interval);
    if (needed && state.watcher->is_paused())
    {
        state.watcher->resume(state.view.revision());
        this->tables.record_event(
            {0, "watch_resumed", 0, 0, "",
             "silent_ms=" +
                 std::to_string((now - state.watching_peer_heard_at).count) +
                 " revision=" + std::to_string(state.view.revision())});
    }
    if (!needed && !state.watcher->is_paused())
    {
        state.watcher->pause();
        state.behind_since.reset();
        this->tables.record_event(
            {0, "watch_paused", 0, 0, "",
             "revision=" + std::to_string(state.view.revision())});
    }
}

void directory_follower::restart_stalled_watch(base::time_ms now)
{
    bool restarted = false;
    this->state.with(
        [&](follower_state& state)
        {
            const auto revision = state.view.revision();
            if (revision != state.last_revision)
            {
                state.last_revision = revision;
                state.revision_changed_at = now;
            }
            const bool watch_responded =
                state.behind_since &&
                state.watcher->last_success_time() >= *state.behind_since;
            if (watch_responded)
            {
                state.behind_since.reset();
            }
            if (state.behind_since &&
                now - *state.behind_since >= watch_stall_limit &&
                !state.watcher->is_store_lost() && !state.watcher->is_paused())
            {
                state.behind_since.reset();
                state.watcher->restart();
                restarted = true;
            }
        });
    if (restarted)
    {
        this->tables.record_event(
            {0, "watch_silent", 0, 0, "", "watch restarted"});
    }
}

void directory_follower::apply(const directory::view_change& change)
{
    if (change.configuration_changed)
    {
        this->apply_configuration();
    }
    for (const auto& service : change.services)
    {
        this->apply_targets(service);
    }
    if (!change.services.empty())
    {
        this->update_role();
    }
    if (change.configuration_changed || !change.services.empty())
    {
        this->apply_local_policy();
        this->apply_retry_limits();
    }
}

void directory_follower::set_fleet(
    const schema::node_settings::fleet_section& fleet)
{
    this->fleet = fleet;
    this->apply_retry_limits();
}

void directory_follower::apply_retry_limits()
{
    const auto nodes = this->state.with([](follower_state& state)
                                        { return state.view.target_count(); });
    this->limits_use_parent_ids = this->tables.parent_ids_seen;
    const double share = this->limits_use_parent_ids
                             ? retry_share_with_parent_ids
                             : retry_share_without_parent_ids;
    const auto node_share =
        this->fleet.retry_extra * share /
        static_cast<double>(std::max<std::size_t>(nodes, 1));
    const base::duration_ms window{
        std::llround(this->fleet.retry_window_s * ms_per_s)};
    this->tables.routing.with(
        [&](routing_table& table)
        {
            table.routed_retries.set_limits(
                this->fleet.retry_ratio * share, std::max(node_share, 1.0),
                window);
        });
}

void directory_follower::apply_configuration()
{
    const auto configuration = this->state.with(
        [](follower_state& state) { return *state.view.configuration(); });
    this->tables.routes.with(
        [&](directory::route_map& routes)
        { routes.replace(configuration.routes, this->tables.incarnation); });
    this->tables.record_event(
        {0, "configuration", 0, 0, "",
         "version=" + std::to_string(configuration.version) +
             " routes=" + std::to_string(configuration.routes.size())});
}

void directory_follower::apply_targets(const std::string& service)
{
    const auto now = base::now();
    const auto& local = this->tables.settings.node;
    schema::instance_list list;
    list.service = service;
    const auto targets = this->state.with(
        [&](follower_state& state) { return state.view.targets(service); });
    std::string names;
    for (const auto& target : targets)
    {
        const bool leaving = target.phase == directory::target_phase::draining;
        list.instances.push_back(
            {target.instance, target.zone, target.host, local.node_port,
             leaving ? schema::instance_state::leaving
                     : schema::instance_state::live});
        names += (names.empty() ? "" : ",") + target.instance +
                 (leaving ? ":leaving" : "");
    }
    this->tables.routing.with(
        [&](routing_table& table)
        {
            auto& service_targets = table.services
                                        .try_emplace(
                                            service, local.instance, local.zone,
                                            this->tables.variant)
                                        .first->second;
            service_targets.set_drain_report_lifetime(drain_report_lifetime);
            service_targets.apply(list, now);
        });
    this->tables.record_event({0, "targets", 0, 0, service, "list=" + names});
}

void directory_follower::apply_local_policy()
{
    const auto& local = this->tables.settings;
    schema::service_policy policy;
    policy.name = local.node.service;
    policy.slots = local.node.slots;
    policy.shed_status = 0;
    policy.exact_slots = true;
    policy.max_wait_ms = max_queue_wait_ms;
    this->state.with(
        [&](follower_state& state)
        {
            for (const auto& target : state.view.targets(local.node.service))
            {
                if (target.host == local.node.address &&
                    target.port == local.backend.port)
                {
                    policy.slots = std::max(target.slots, 1U);
                }
            }
            if (!state.view.configuration())
            {
                return;
            }
            for (const auto& service : state.view.configuration()->services)
            {
                if (service.name == local.node.service &&
                    service.max_connections > 0)
                {
                    policy.connections = service.max_connections;
                }
            }
        });
    this->on_local_policy(policy);
}

base::duration_ms directory_follower::long_poll_timeout(std::size_t nodes) const
{
    const auto rate = std::max<std::uint64_t>(
        this->tables.settings.platform.reads_per_s / long_poll_rate_divisor, 1);
    const auto needed = static_cast<std::int64_t>(
        nodes * static_cast<std::uint64_t>(ms_per_s) / rate);
    return std::clamp(
        base::duration_ms{needed}, min_long_poll_timeout,
        max_long_poll_timeout);
}

void directory_follower::tick(base::time_ms now)
{
    const auto change = this->state.with(
        [&](follower_state& state)
        {
            const auto nodes = state.view.target_count();
            this->update_watch(state, now);
            const auto timeout = state.role.peers_to_notify.empty()
                                     ? this->long_poll_timeout(nodes)
                                     : announcing_long_poll_timeout;
            state.watcher->tick(now, timeout);
            return state.view.tick(now);
        });
    this->apply(change);
    if (this->limits_use_parent_ids != this->tables.parent_ids_seen)
    {
        this->apply_retry_limits();
    }
    this->announce_revision(now);
    this->send_digest(now);
    this->restart_stalled_watch(now);
}

void directory_follower::on_resumed()
{
    this->state.with(
        [](follower_state& state)
        {
            // Digests of watching nodes from before the suspension are
            // outdated, too.
            state.watching_peer_heard_at = {INT64_MIN / 2};
            state.watcher->resume(state.view.revision());
            state.watcher->restart();
        });
}

bool directory_follower::is_ready()
{
    return this->state.with(
        [](follower_state& state)
        {
            return state.view.configuration().has_value() &&
                   !state.view.services().empty();
        });
}
} // namespace bilberrytally::node
