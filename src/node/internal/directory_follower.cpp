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
//! Time in which a node's own watch tells it what its peers know.
constexpr base::duration_ms settle_time{300};
//! A watch that told nothing for so long of what peers know is left.
constexpr base::duration_ms watch_lost{600};
constexpr base::duration_ms shortest_watch{10000};
//! Waits of a node on which others rely are short, so that it knows at once
//! that the store has left it alone without a word.
constexpr base::duration_ms told_watch{700};
//! It tells others no longer than this after an answer. With telling_lost it
//! is the longest time for which others can miss a change.
constexpr base::duration_ms claim_time{900};
//! Watching nodes tell of themselves at least this often.
constexpr base::duration_ms telling_interval{400};
//! A node that hears of no watching node for so long watches by itself; with
//! its first answer well within the two seconds of a change's bound.
constexpr base::duration_ms telling_lost{600};
//! A peer that was asked has answered by then, or will not.
constexpr base::duration_ms asking_time{100};
//! Changes in quick succession are gathered: small beside the two seconds in
//! which a change is to be in force.
constexpr base::duration_ms gather_time{150};
//! The same for a node that watches for itself alone, as all do while a fleet
//! starts and its targets are listed one after the other.
constexpr base::duration_ms lone_gather_time{800};
constexpr base::duration_ms longest_watch{30000};
//! Share of the store's rate that waiting watches may take.
constexpr std::uint64_t watch_share = 4;
constexpr std::int64_t ms_per_s = 1000;
//! Part of the fleet's budget that is shared out. Where calls are not linked
//! to those that cause them, the rest is for the calls that retries cause
//! further down.
constexpr double retry_share = 0.4;
constexpr double linked_retry_share = 0.7;
constexpr base::duration_ms drain_lapse{1000};
constexpr std::uint32_t queue_limit_ms = 2000;
} // namespace

directory_follower::directory_follower(
    node_tables& tables, const platform_adapter& adapter,
    std::unique_ptr<directory::store_client> store,
    std::function<void(const schema::service_policy&)> on_own_policy)
    : tables(tables), on_own_policy(std::move(on_own_policy)),
      fleet(tables.settings.fleet),
      state(follow_state{
          directory::fleet_view(
              adapter.decode, {tables.settings.platform.removal_hold_ms}),
          nullptr, std::mt19937_64(tables.incarnation)})
{
    this->state.with(
        [&](follow_state& state)
        {
            state.watcher = std::make_unique<directory::store_watcher>(
                std::move(store), this->make_events(), tables.incarnation);
        });
}

void directory_follower::attach(transport::peer_network& network)
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
            [&](follow_state& state)
            { return state.view.end_snapshot(keys, revision, base::now()); });
        this->tables.note(
            {0, "store_snapshot", 0, 0, "",
             "revision=" + std::to_string(revision) +
                 " items=" + std::to_string(keys.size())});
        this->apply(change);
    };
    events.on_advanced = [this](std::uint64_t revision)
    {
        this->state.with([&](follow_state& state)
                         { state.view.advance(revision); });
    };
    events.on_lost = [this](const directory::store_error& error)
    {
        this->tables.note(
            {0, "store_lost", 0, 0, "",
             "reason=" + std::string(directory::to_string(error.failure)) +
                 " detail=\"" + error.detail + "\""});
    };
    events.on_regained = [this](base::duration_ms silent)
    {
        this->state.with([](follow_state& state)
                         { state.view.on_store_regained(base::now()); });
        this->tables.note(
            {0, "store_regained", 0, 0, "",
             "silent_ms=" + std::to_string(silent.count)});
    };
    return events;
}

void directory_follower::on_item(const schema::published_item& item)
{
    const auto change =
        this->state.with([&](follow_state& state)
                         { return state.view.merge(item, base::now()); });
    if (!change.problem.empty())
    {
        this->tables.note(
            {0, "item_ignored", 0, 0, "",
             "problem=\"" + change.problem + "\""});
    }
    this->apply(change);
}

void directory_follower::on_digest(const schema::directory_digest& digest)
{
    const auto now = base::now();
    std::uint64_t own = 0;
    bool settled = false;
    this->state.with(
        [&](follow_state& state)
        {
            own = state.view.revision();
            settled = now - state.advanced >= settle_time;
            const bool behind = digest.revision > own;
            if (behind && !state.behind_since)
            {
                state.behind_since = now;
            }
            if (digest.watching)
            {
                state.heard_watching = now;
            }
        });
    const transport::peer_address peer{digest.host, digest.port};
    if (digest.revision > own)
    {
        this->ask_peer(peer, digest.revision);
        return;
    }
    //! A peer that is behind for longer than its own watch needs is told.
    if (digest.revision < own && settled)
    {
        this->on_query(this->network->link_to(peer), {digest.revision});
    }
}

void directory_follower::ask_peer(
    const transport::peer_address& peer, std::uint64_t revision)
{
    const auto now = base::now();
    const auto after = this->state.with(
        [&](follow_state& state) -> std::optional<std::uint64_t>
        {
            if (state.asked_for >= revision &&
                now - state.asked_at < asking_time)
            {
                return std::nullopt;
            }
            state.asked_for = revision;
            state.asked_at = now;
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
        [&](follow_state& state)
        {
            list.items = state.view.items_after(query.after);
            list.revision = state.view.revision();
        });
    this->network->send(
        link, transport::frame_kind::item_list, transport::encode(list), 0);
}

void directory_follower::on_items(const schema::item_list& list)
{
    const auto before = this->state.with([](follow_state& state)
                                         { return state.view.revision(); });
    for (const auto& item : list.items)
    {
        this->on_item(item);
    }
    //! The list begins at a revision that this node had told.
    this->state.with([&](follow_state& state)
                     { state.view.advance(list.revision); });
    if (list.revision > before && !list.items.empty())
    {
        this->tables.note(
            {0, "items_from_peer", 0, 0, "",
             "after=" + std::to_string(before) +
                 " revision=" + std::to_string(list.revision) +
                 " items=" + std::to_string(list.items.size())});
    }
}

std::optional<transport::peer_address>
directory_follower::pick_peer(follow_state& state) const
{
    const auto& own = this->tables.settings.node;
    std::vector<std::string> hosts;
    for (const auto& target : state.view.all_targets())
    {
        if (target.host != own.address)
        {
            hosts.push_back(target.host);
        }
    }
    if (hosts.empty())
    {
        return std::nullopt;
    }
    return transport::peer_address{
        hosts[state.random() % hosts.size()], own.node_port};
}

void directory_follower::send_digest(base::time_ms now)
{
    const auto& own = this->tables.settings.node;
    schema::directory_digest digest{own.address, own.node_port, 0, false};
    const auto peer = this->state.with(
        [&](follow_state& state) -> std::optional<transport::peer_address>
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

void directory_follower::tell_others(base::time_ms now)
{
    const auto& own = this->tables.settings.node;
    schema::directory_digest digest{own.address, own.node_port, 0, true};
    const auto hosts = this->state.with(
        [&](follow_state& state) -> std::vector<std::string>
        {
            digest.revision = state.view.revision();
            const bool due =
                now >= state.next_telling || digest.revision != state.told;
            const bool heard = !state.watcher->is_lost() &&
                               now - state.watcher->last_answer() < claim_time;
            if (state.role.tells.empty() || !heard || this->tables.draining ||
                !due)
            {
                return {};
            }
            state.next_telling = now + telling_interval;
            state.told = digest.revision;
            return state.role.tells;
        });
    if (hosts.empty())
    {
        return;
    }
    const auto body = transport::encode(digest);
    for (const auto& host : hosts)
    {
        this->network->send_datagram(
            {host, own.node_port}, transport::frame_kind::directory_digest,
            body);
    }
}

void directory_follower::update_role()
{
    std::vector<decisions::fleet_member> members;
    decisions::watch_role role;
    const bool changed = this->state.with(
        [&](follow_state& state)
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
    this->tables.note(
        {0, "watch_role", 0, 0, "",
         std::string("watches=") + (role.watches ? "1" : "0") +
             " tells=" + std::to_string(role.tells.size())});
}

void directory_follower::update_watch(
    follow_state& state, base::time_ms now) const
{
    const bool known = state.view.revision() > 0 && !state.watcher->is_lost();
    const bool told = now - state.heard_watching < telling_lost;
    const bool needed = state.role.watches || !known || !told;
    state.watcher->set_gather_time(
        state.role.assigned ? gather_time : lone_gather_time);
    if (needed && state.watcher->is_paused())
    {
        state.watcher->resume(state.view.revision());
        this->tables.note(
            {0, "watch_resumed", 0, 0, "",
             "silent_ms=" + std::to_string((now - state.heard_watching).count) +
                 " revision=" + std::to_string(state.view.revision())});
    }
    if (!needed && !state.watcher->is_paused())
    {
        state.watcher->pause();
        state.behind_since.reset();
        this->tables.note(
            {0, "watch_paused", 0, 0, "",
             "revision=" + std::to_string(state.view.revision())});
    }
}

void directory_follower::check_progress(base::time_ms now)
{
    bool restarted = false;
    this->state.with(
        [&](follow_state& state)
        {
            const auto revision = state.view.revision();
            if (revision != state.advanced_to)
            {
                state.advanced_to = revision;
                state.advanced = now;
            }
            const bool heard =
                state.behind_since &&
                state.watcher->last_answer() >= *state.behind_since;
            if (heard)
            {
                state.behind_since.reset();
            }
            if (state.behind_since && now - *state.behind_since >= watch_lost &&
                !state.watcher->is_lost() && !state.watcher->is_paused())
            {
                state.behind_since.reset();
                state.watcher->restart();
                restarted = true;
            }
        });
    if (restarted)
    {
        this->tables.note({0, "watch_silent", 0, 0, "", "read anew"});
    }
}

void directory_follower::apply(const directory::view_change& change)
{
    if (change.configuration)
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
    if (change.configuration || !change.services.empty())
    {
        this->apply_own_policy();
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
    const auto nodes = this->state.with([](follow_state& state)
                                        { return state.view.target_count(); });
    this->shared_linked = this->tables.chains_linked;
    const double share = this->shared_linked ? linked_retry_share : retry_share;
    const auto part = this->fleet.retry_extra * share /
                      static_cast<double>(std::max<std::size_t>(nodes, 1));
    const base::duration_ms window{
        std::llround(this->fleet.retry_window_s * ms_per_s)};
    this->tables.routing.with(
        [&](routing_table& table)
        {
            table.fleet_retries.set_limits(
                this->fleet.retry_ratio * share, std::max(part, 1.0), window);
        });
}

void directory_follower::apply_configuration()
{
    const auto configuration = this->state.with(
        [](follow_state& state) { return *state.view.configuration(); });
    this->tables.routes.with(
        [&](directory::route_map& routes)
        { routes.replace(configuration.routes, this->tables.incarnation); });
    this->tables.note(
        {0, "configuration", 0, 0, "",
         "version=" + std::to_string(configuration.version) +
             " routes=" + std::to_string(configuration.routes.size())});
}

void directory_follower::apply_targets(const std::string& service)
{
    const auto now = base::now();
    const auto& own = this->tables.settings.node;
    schema::instance_list list;
    list.service = service;
    const auto targets = this->state.with(
        [&](follow_state& state) { return state.view.targets(service); });
    std::string names;
    for (const auto& target : targets)
    {
        const bool leaving = target.phase == directory::target_phase::draining;
        list.instances.push_back(
            {target.instance, target.zone, target.host, own.node_port,
             leaving ? schema::instance_state::leaving
                     : schema::instance_state::live});
        names += (names.empty() ? "" : ",") + target.instance +
                 (leaving ? ":leaving" : "");
    }
    this->tables.routing.with(
        [&](routing_table& table)
        {
            auto& known =
                table.services
                    .try_emplace(
                        service, own.instance, own.zone, this->tables.variant)
                    .first->second;
            known.set_drain_lapse(drain_lapse);
            known.apply(list, now);
        });
    this->tables.note({0, "targets", 0, 0, service, "list=" + names});
}

void directory_follower::apply_own_policy()
{
    const auto& own = this->tables.settings;
    schema::service_policy policy;
    policy.name = own.node.service;
    policy.slots = own.node.slots;
    policy.shed_status = 0;
    policy.exact_slots = true;
    policy.max_wait_ms = queue_limit_ms;
    this->state.with(
        [&](follow_state& state)
        {
            for (const auto& target : state.view.targets(own.node.service))
            {
                if (target.host == own.node.address &&
                    target.port == own.backend.port)
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
                if (service.name == own.node.service &&
                    service.max_connections > 0)
                {
                    policy.connections = service.max_connections;
                }
            }
        });
    this->on_own_policy(policy);
}

base::duration_ms directory_follower::watch_wait(std::size_t nodes) const
{
    const auto rate = std::max<std::uint64_t>(
        this->tables.settings.platform.reads_per_s / watch_share, 1);
    const auto needed = static_cast<std::int64_t>(
        nodes * static_cast<std::uint64_t>(ms_per_s) / rate);
    return std::clamp(base::duration_ms{needed}, shortest_watch, longest_watch);
}

void directory_follower::tick(base::time_ms now)
{
    const auto change = this->state.with(
        [&](follow_state& state)
        {
            const auto nodes = state.view.target_count();
            this->update_watch(state, now);
            const auto wait =
                state.role.tells.empty() ? this->watch_wait(nodes) : told_watch;
            state.watcher->tick(now, wait);
            return state.view.tick(now);
        });
    this->apply(change);
    if (this->shared_linked != this->tables.chains_linked)
    {
        this->apply_retry_limits();
    }
    this->tell_others(now);
    this->send_digest(now);
    this->check_progress(now);
}

void directory_follower::on_woke()
{
    this->state.with(
        [](follow_state& state)
        {
            //! What watching nodes said before is old, too.
            state.heard_watching = {INT64_MIN / 2};
            state.watcher->resume(state.view.revision());
            state.watcher->restart();
        });
}

bool directory_follower::is_ready()
{
    return this->state.with(
        [](follow_state& state)
        {
            return state.view.configuration().has_value() &&
                   !state.view.services().empty();
        });
}
} // namespace bilberrytally::node
