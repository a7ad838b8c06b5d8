#include "node/internal/directory_follower.hpp"

#include <algorithm>
#include <utility>

namespace bilberrytally::node
{
namespace
{
//! The watch is restarted if the store has not responded for this long after a
//! peer announced a higher revision.
constexpr base::duration_ms watch_stall_limit{600};
//! Lower bound of the time-out of a long poll at the store. A connection that
//! has gone silent is noticed only when a poll on it fails, which must not take
//! longer than a change may take to be in force.
constexpr base::duration_ms min_long_poll_timeout{1700};
//! Time-out of a long poll at the store if other nodes rely on this node's
//! watch. It is short, so that the node soon detects a store that stopped
//! responding without closing the connection.
constexpr base::duration_ms announcing_long_poll_timeout{700};
//! A node that has received no digest of a watching node for this long watches
//! the store itself. The store's first response then comes well within the two
//! seconds in which a change is to be in force.
constexpr base::duration_ms announce_timeout{600};
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
//! Digests that arrive within this time after the process has resumed may have
//! been sent before; their ages are not trusted.
constexpr base::duration_ms digest_distrust_time{200};
constexpr std::int64_t ms_per_s = 1000;
} // namespace

directory_follower::directory_follower(
    node_tables& tables, const platform_adapter& adapter,
    std::unique_ptr<directory::store_client> store,
    std::function<void(const schema::service_policy&)> on_local_policy,
    std::function<void()> on_targets_changed, quota_exchange& quota)
    : tables(tables), on_local_policy(std::move(on_local_policy)),
      on_targets_changed(std::move(on_targets_changed)), quota(quota),
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
    events.on_snapshot_begin = [this](const schema::store_revision& revision)
    {
        this->state.with([&](follower_state& state)
                         { state.view.begin_state(revision, base::now()); });
    };
    events.on_snapshot =
        [this](const auto& keys, const schema::store_revision& revision)
    {
        const auto change = this->state.with(
            [&](follower_state& state)
            { return state.view.end_snapshot(keys, revision, base::now()); });
        this->tables.record_event(
            {0, "store_snapshot", 0, 0, "",
             "revision=" + schema::to_string(revision) +
                 " items=" + std::to_string(keys.size())});
        this->apply(change);
    };
    events.on_advanced = [this](const schema::store_revision& revision)
    {
        this->state.with([&](follower_state& state)
                         { state.view.advance(revision); });
    };
    events.on_current =
        [this](const schema::store_revision& revision, base::time_ms asked_at)
    {
        this->state.with(
            [&](follower_state& state)
            {
                state.freshness.on_claim(revision, asked_at);
                this->update_proof(state);
            });
    };
    events.on_lost = [this](const directory::store_error& error)
    {
        this->tables.record_event(
            {0, "store_lost", 0, 0, "",
             "reason=" + std::string(directory::to_string(error.failure)) +
                 " detail=\"" + error.detail + "\""});
    };
    events.on_regained =
        [this](base::duration_ms outage, std::uint32_t failed_calls)
    {
        this->state.with(
            [&](follower_state& state)
            { state.view.on_store_regained(base::now(), failed_calls); });
        this->tables.record_event(
            {0, "store_regained", 0, 0, "",
             "silent_ms=" + std::to_string(outage.count) +
                 " failed_calls=" + std::to_string(failed_calls)});
    };
    return events;
}

void directory_follower::on_item(const schema::published_item& item)
{
    this->apply_item(
        this->state.with([&](follower_state& state)
                         { return state.view.merge(item, base::now()); }));
}

void directory_follower::apply_item(const directory::view_change& change)
{
    if (!change.problem.empty())
    {
        this->tables.record_event(
            {0, "item_ignored", 0, 0, "",
             "problem=\"" + change.problem + "\""});
    }
    this->apply(change);
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
        state.view.revision().number > 0 && !state.watcher->is_store_lost();
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
                 " revision=" + schema::to_string(state.view.revision())});
    }
    if (!needed && !state.watcher->is_paused())
    {
        state.watcher->pause();
        state.behind_since.reset();
        this->tables.record_event(
            {0, "watch_paused", 0, 0, "",
             "revision=" + schema::to_string(state.view.revision())});
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
            const auto timeout =
                state.role.peers_to_notify.empty() && !this->tables.needs_proof
                    ? this->long_poll_timeout(nodes)
                    : announcing_long_poll_timeout;
            state.watcher->tick(now, timeout);
            this->tables.directory_revision.with(
                [&](schema::store_revision& known)
                { known = state.view.revision(); });
            this->update_proof(state);
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
    this->report_proof(now);
}

void directory_follower::update_proof(follower_state& state)
{
    state.freshness.on_revision(state.view.revision());
    if (const auto proven_at = state.freshness.proven_at())
    {
        this->tables.view_proven_at_ms = proven_at->count;
    }
}

void directory_follower::report_proof(base::time_ms now)
{
    const bool accepts = this->accepts_keys(now);
    if (std::exchange(this->accepted_keys, accepts) == accepts)
    {
        return;
    }
    const auto age = this->tables.view_age(now);
    this->tables.record_event(
        {0, accepts ? "view_proven" : "view_unproven", 0, 0, "",
         "age_ms=" + (age ? std::to_string(age->count) : "none")});
}

bool directory_follower::accepts_keys(base::time_ms now)
{
    return this->tables.access.with(
        [&](access_table& access)
        {
            return access.workspaces.empty() ||
                   access.limits.proves_validity(this->tables.view_age(now));
        });
}

void directory_follower::on_resumed()
{
    this->state.with(
        [](follower_state& state)
        {
            state.trust_digests_from = base::now() + digest_distrust_time;
            // Digests of watching nodes from before the suspension are
            // outdated, too.
            state.watching_peer_heard_at = {INT64_MIN / 2};
            state.watcher->resume(state.view.revision());
            state.watcher->restart();
        });
}

bool directory_follower::is_ready()
{
    const bool known = this->state.with(
        [](follower_state& state)
        {
            return state.view.configuration().has_value() &&
                   !state.view.services().empty();
        });
    return known && this->accepts_keys(base::now());
}
} // namespace bilberrytally::node
