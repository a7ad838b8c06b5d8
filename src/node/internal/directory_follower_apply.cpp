#include "node/internal/directory_follower.hpp"

#include <algorithm>
#include <cmath>

// The part of directory_follower that puts changes into force in the tables of
// this node.
namespace bilberrytally::node
{
namespace
{
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

//! The largest value if a route has no time-out.
base::duration_ms longest_timeout(const std::vector<directory::route>& routes)
{
    base::duration_ms longest{0};
    for (const auto& route : routes)
    {
        const bool unlimited = route.timeout.count == 0;
        longest = std::max(
            longest, unlimited ? base::duration_ms{INT64_MAX} : route.timeout);
    }
    return longest;
}
} // namespace

void directory_follower::apply(const directory::view_change& change)
{
    if (change.restore)
    {
        this->record_restore(*change.restore);
    }
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
        this->on_targets_changed();
        this->apply_nodes();
        this->update_role();
    }
    if (change.configuration_changed || !change.services.empty())
    {
        this->apply_local_policy();
        this->apply_retry_limits();
    }
}

void directory_follower::record_restore(
    const directory::restore_summary& restore)
{
    this->tables.record_event(
        {0, "store_restored", 0, 0, "",
         "old_epoch=" + std::to_string(restore.old_epoch) +
             " revision=" + schema::to_string(restore.revision) +
             " missing_kept=" + std::to_string(restore.missing) +
             " outdated_kept=" + std::to_string(restore.outdated)});
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
    this->apply_access(configuration);
    this->tables.longest_timeout_ms =
        longest_timeout(configuration.routes).count;
    this->tables.record_event(
        {0, "configuration", 0, 0, "",
         "version=" + std::to_string(configuration.version) +
             " routes=" + std::to_string(configuration.routes.size()) +
             " workspaces=" + std::to_string(configuration.workspaces.size())});
}

void directory_follower::apply_access(
    const directory::fleet_configuration& configuration)
{
    const auto to_ms = [](double seconds)
    { return base::duration_ms{std::llround(seconds * ms_per_s)}; };
    const auto revocation =
        this->fleet.strict_revocation ? this->fleet.revocation_s : 0;
    this->tables.needs_proof = !configuration.workspaces.empty();
    this->quota.apply_workspaces(configuration.workspaces);
    this->tables.access.with(
        [&](access_table& access)
        {
            access.workspaces.replace(configuration);
            access.limits = decisions::access_limits::create(
                to_ms(this->fleet.apply_s), to_ms(revocation));
        });
}

void directory_follower::apply_nodes()
{
    std::vector<quota_node> nodes;
    this->state.with(
        [&](follower_state& state)
        {
            for (const auto& target : state.view.all_targets())
            {
                nodes.push_back(
                    {target.host, target.zone,
                     target.phase == directory::target_phase::draining,
                     target.started_at_ms});
            }
        });
    this->quota.apply_nodes(nodes);
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
                     : schema::instance_state::live,
             target.started_at_ms});
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
            service_targets.set_placement_by_cost(
                this->tables.settings.placement.by_cost);
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
} // namespace bilberrytally::node
