#include "decisions/target_table.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bilberrytally::decisions
{
namespace
{
//! Backoff of a target whose connection failed; doubles up to the bound.
constexpr base::duration_ms first_unreachable_backoff{100};
constexpr base::duration_ms max_unreachable_backoff{2000};
//! Time for which a reported shed threshold holds.
constexpr base::duration_ms shed_threshold_lifetime{1000};
//! Weight of a new sample in the moving average of the latency.
constexpr double latency_weight = 0.2;
//! Weight of a call in the moving average of the share of failed calls.
constexpr double failed_share_weight = 0.05;
//! How long it is remembered that a process which is not listed was leaving.
constexpr base::duration_ms leaving_lifetime{600000};
//! Value of `floor` in a load report of a target that sheds no class.
constexpr std::uint32_t no_shed_threshold = 255;
} // namespace

std::string_view to_string(target_state state)
{
    switch (state)
    {
    case target_state::available:
        return "available";
    case target_state::listed_leaving:
        return "listed_leaving";
    case target_state::draining:
        return "draining";
    case target_state::unreachable:
        return "unreachable";
    case target_state::ejected:
        return "ejected";
    }
    return "unknown";
}

target_table::target_table(
    std::string self, std::string zone, policy_variant variant)
    : self(std::move(self)), zone(std::move(zone)), variant(variant)
{
}

void target_table::set_drain_report_lifetime(base::duration_ms lifetime)
{
    this->drain_report_lifetime = lifetime;
}

void target_table::apply(const schema::instance_list& list, base::time_ms now)
{
    this->update_listed_leaving(list, now);
    std::set<std::string> listed;
    for (const auto& instance : list.instances)
    {
        listed.insert(instance.id);
        const auto [entry, added] = this->targets.try_emplace(instance.id);
        auto& target = entry->second;
        const target_address address{instance.id, instance.host, instance.port};
        if (!added && target.address != address)
        {
            target = {};
        }
        if (added || target.address != address)
        {
            target.first_seen = now;
            target.needs_warmup = this->list_known;
        }
        target.address = address;
        target.zone = instance.zone;
        target.started_at_ms = instance.started_at_ms;
        target.listed_leaving =
            instance.state == schema::instance_state::leaving;
    }
    std::erase_if(
        this->targets,
        [&](const auto& entry) { return listed.count(entry.first) == 0; });
    this->list_known = true;
    this->forget_stated_leaving(now);
    this->update_subset();
}

void target_table::update_listed_leaving(
    const schema::instance_list& list, base::time_ms now)
{
    auto& times = this->listed_leaving_times;
    std::erase_if(
        times, [&](const auto& entry)
        { return now - entry.second >= leaving_lifetime; });
    std::set<std::string> live;
    for (const auto& instance : list.instances)
    {
        if (instance.state == schema::instance_state::leaving)
        {
            times.try_emplace(instance.id, now);
            continue;
        }
        live.insert(instance.id);
        times.erase(instance.id);
    }
    for (const auto& [id, known] : this->targets)
    {
        if (live.count(id) == 0)
        {
            times.try_emplace(id, now);
        }
    }
}

std::optional<base::time_ms>
target_table::listed_leaving_since(const std::string& instance) const
{
    const auto found = this->listed_leaving_times.find(instance);
    return found == this->listed_leaving_times.end()
               ? std::nullopt
               : std::optional(found->second);
}

void target_table::on_stated_leaving(
    const target_process& process, base::time_ms now)
{
    this->leaving.try_emplace(process, now);
}

bool target_table::has_stated_leaving(const std::string& instance) const
{
    const auto found = this->targets.find(instance);
    if (found != this->targets.end())
    {
        return this->leaving.contains({instance, found->second.started_at_ms});
    }
    const auto first = this->leaving.lower_bound({instance, 0});
    return first != this->leaving.end() && first->first.instance == instance;
}

std::uint64_t target_table::started_at_ms(const std::string& instance) const
{
    const auto found = this->targets.find(instance);
    return found == this->targets.end() ? 0 : found->second.started_at_ms;
}

bool target_table::is_listed(const target_process& process) const
{
    const auto found = this->targets.find(process.instance);
    return found != this->targets.end() &&
           found->second.started_at_ms == process.started_at_ms;
}

void target_table::forget_stated_leaving(base::time_ms now)
{
    std::erase_if(
        this->leaving,
        [&](const auto& entry)
        {
            const auto& [process, stated_at] = entry;
            return !this->is_listed(process) &&
                   now - stated_at >= leaving_lifetime;
        });
}

void target_table::on_dispatch(
    const std::string& instance, base::time_ms now, std::uint64_t kind)
{
    const auto found = this->targets.find(instance);
    if (found == this->targets.end())
    {
        return;
    }
    auto& target = found->second;
    if (target.in_flight == 0)
    {
        target.unanswered_since = now;
    }
    ++target.in_flight;
    if (this->placed_by_cost)
    {
        ++target.sent_calls;
        target.sent_work_ms += this->costs.expected_ms(kind);
    }
}

void target_table::on_result(
    const std::string& instance, const dispatch_result& result,
    base::time_ms now)
{
    const auto found = this->targets.find(instance);
    if (found == this->targets.end())
    {
        return;
    }
    auto& target = found->second;
    target.in_flight -= std::min(target.in_flight, 1U);
    if (!result.abandoned)
    {
        target.unanswered_since = now;
    }
    if (result.load.valid)
    {
        target.reported_in_flight = result.load.in_flight;
        target.reported_limit = result.load.limit;
        target.reported_input_delay_ms = result.load.input_delay_ms;
        target.reported_at = now;
        target.draining = result.load.draining;
        target.drain_reported_at = now;
        target.floor = result.load.floor;
        target.floor_until = result.load.floor == no_shed_threshold
                                 ? base::time_ms{INT64_MIN / 2}
                                 : now + shed_threshold_lifetime;
    }
    target.failures = result.answered ? 0 : target.failures + 1;
    const bool reached_backend = !result.refused || result.backend_failed;
    if (reached_backend && !result.abandoned)
    {
        target.failed_share +=
            failed_share_weight *
            ((result.backend_failed ? 1.0 : 0.0) - target.failed_share);
    }
    if (!result.refused && !result.backend_failed)
    {
        const auto sample = static_cast<double>(result.latency.count);
        target.latency_ms =
            target.samples == 0
                ? sample
                : target.latency_ms +
                      latency_weight * (sample - target.latency_ms);
        ++target.samples;
    }
    this->update_costs(target, result, now);
    this->update_ejection(target, now);
}

void target_table::on_unreachable(
    const std::string& instance, base::time_ms now)
{
    const auto found = this->targets.find(instance);
    if (found == this->targets.end())
    {
        return;
    }
    auto& target = found->second;
    target.unreachable_backoff =
        target.unreachable_backoff.count == 0
            ? first_unreachable_backoff
            : std::min(target.unreachable_backoff * 2, max_unreachable_backoff);
    target.unreachable_until = now + target.unreachable_backoff;
}

void target_table::on_reachable(const std::string& instance)
{
    const auto found = this->targets.find(instance);
    if (found != this->targets.end())
    {
        found->second.node_disconnected = false;
        found->second.unreachable_backoff = {0};
        found->second.unreachable_until = {INT64_MIN / 2};
    }
}

void target_table::on_draining(
    const std::string& instance, bool draining, base::time_ms now)
{
    const auto found = this->targets.find(instance);
    if (found != this->targets.end())
    {
        found->second.draining = draining;
        found->second.drain_reported_at = now;
    }
}

void target_table::on_node_state(
    const std::string& host, std::uint32_t port, bool draining,
    base::time_ms now)
{
    for (auto& [id, item] : this->targets)
    {
        if (item.address.host == host && item.address.port == port)
        {
            this->on_draining(id, draining, now);
            this->on_reachable(id);
        }
    }
}

void target_table::on_node_disconnected(
    const std::string& host, std::uint32_t port)
{
    for (auto& [id, item] : this->targets)
    {
        item.node_disconnected |=
            item.address.host == host && item.address.port == port;
    }
}

void target_table::on_node_responsive(
    const std::string& host, std::uint32_t port)
{
    for (auto& [id, item] : this->targets)
    {
        if (item.address.host == host && item.address.port == port)
        {
            this->on_reachable(id);
        }
    }
}

std::vector<target_address> target_table::disconnected_targets() const
{
    std::vector<target_address> disconnected;
    for (const auto& id : this->subset)
    {
        const auto& candidate = this->targets.at(id);
        if (candidate.node_disconnected)
        {
            disconnected.push_back(candidate.address);
        }
    }
    return disconnected;
}

std::optional<target_address> target_table::owner(
    std::uint64_t key, const std::set<std::string>& excluded) const
{
    const target* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& [id, candidate] : this->targets)
    {
        if (excluded.count(id) != 0 || this->has_stated_leaving(id))
        {
            continue;
        }
        const auto score = base::hash(id, key);
        if (best == nullptr || score > best_score)
        {
            best = &candidate;
            best_score = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->address);
}

std::optional<target_address> target_table::probe_target(
    std::uint64_t fingerprint, const std::set<std::string>& crashed) const
{
    std::set<std::string> leaving;
    for (const auto& [id, candidate] : this->targets)
    {
        if (candidate.listed_leaving)
        {
            leaving.insert(id);
        }
    }
    auto unsuitable = leaving;
    unsuitable.insert(crashed.begin(), crashed.end());
    const auto sound = this->owner(fingerprint, unsuitable);
    return sound ? sound : this->owner(fingerprint, leaving);
}

std::optional<target_address>
target_table::find(const std::string& instance) const
{
    const auto found = this->targets.find(instance);
    return found == this->targets.end() ? std::nullopt
                                        : std::optional(found->second.address);
}

std::vector<target_view> target_table::view(base::time_ms now) const
{
    std::vector<target_view> rows;
    for (const auto& [id, item] : this->targets)
    {
        const auto floor =
            item.floor_until > now ? item.floor : no_shed_threshold;
        rows.push_back(
            {item.address, item.zone, this->state_of(item, now), item.in_flight,
             item.latency_ms, floor});
    }
    std::sort(
        rows.begin(), rows.end(),
        [](const auto& a, const auto& b) { return a.address < b.address; });
    return rows;
}

bool target_table::contains(const std::string& instance) const
{
    return this->targets.count(instance) != 0;
}

target_state
target_table::state_of(const target& candidate, base::time_ms now) const
{
    const bool expired =
        this->drain_report_lifetime &&
        now - candidate.drain_reported_at >= *this->drain_report_lifetime;
    const bool reports_draining = candidate.draining && !expired;
    if (reports_draining ||
        this->has_stated_leaving(candidate.address.instance))
    {
        return target_state::draining;
    }
    if (candidate.listed_leaving)
    {
        return target_state::listed_leaving;
    }
    if (candidate.node_disconnected || candidate.unreachable_until > now)
    {
        return target_state::unreachable;
    }
    if (candidate.ejected_until > now)
    {
        return target_state::ejected;
    }
    return target_state::available;
}

} // namespace bilberrytally::decisions
