#include "directory/fleet_view.hpp"

#include "base/variant_visitor.hpp"

#include <algorithm>

namespace bilberrytally::directory
{
namespace
{
//! For this long after a restore the view prefers its newer knowledge of a
//! target. Targets that run write their entries again within it, and those that
//! have ended leave the store as they miss three heartbeats.
constexpr base::duration_ms outdated_limit{10000};

void add_service(view_change& change, const std::string& service)
{
    auto& names = change.services;
    if (std::find(names.begin(), names.end(), service) == names.end())
    {
        names.push_back(service);
    }
}
} // namespace

fleet_view::fleet_view(item_decoder decode, base::duration_ms removal_hold)
    : decode(std::move(decode)), removal_hold(removal_hold)
{
}

view_change
fleet_view::merge(const schema::published_item& item, base::time_ms now)
{
    view_change change;
    this->begin_state(item.revision, now);
    if (item.revision.epoch < this->epoch_start.epoch)
    {
        this->merge_old_epoch(item, change);
        return change;
    }
    if (this->knows(item))
    {
        return change;
    }
    const auto decoded = this->decode(item);
    if (this->is_replaced(decoded))
    {
        // Peers that ask for the complete state get the version in force.
        return change;
    }
    auto& state = this->item_states[item.key];
    const auto* report = std::get_if<target_entry>(&decoded);
    const bool outdated = report && this->is_outdated(state, item, *report);
    state.item = item;
    state.outdated_until.reset();
    if (outdated)
    {
        state.outdated_until = this->end_of_outdated(state, *report);
        return change;
    }
    this->apply_item(state, decoded, now, change);
    return change;
}

bool fleet_view::knows(const schema::published_item& item) const
{
    const auto known = this->item_states.find(item.key);
    return known != this->item_states.end() &&
           item.revision <= known->second.item.revision;
}

bool fleet_view::is_replaced(const decoded_item& decoded) const
{
    const auto* candidate = std::get_if<fleet_configuration>(&decoded);
    return candidate && this->current_configuration &&
           candidate->version < this->current_configuration->version;
}

view_change fleet_view::merge_from_peer(
    const schema::published_item& item, base::time_ms now)
{
    const bool was_removed = item.revision <= this->complete_revision &&
                             !this->item_states.contains(item.key);
    return was_removed ? view_change{} : this->merge(item, now);
}

void fleet_view::begin_state(
    const schema::store_revision& revision, base::time_ms now)
{
    if (revision.epoch <= this->epoch_start.epoch)
    {
        return;
    }
    this->epoch_start = revision;
    if (!this->item_states.empty())
    {
        this->restored_at = now;
        this->store_regained = now;
    }
}

void fleet_view::merge_old_epoch(
    const schema::published_item& item, view_change& change)
{
    const auto decoded = this->decode(item);
    const auto* configuration = std::get_if<fleet_configuration>(&decoded);
    if (configuration == nullptr)
    {
        return;
    }
    this->apply_configuration(*configuration, change);
    if (change.configuration_changed)
    {
        this->item_states[item.key].item = item;
    }
}

bool fleet_view::is_outdated(
    const item_state& known, const schema::published_item& item,
    const target_entry& report) const
{
    const bool may_be_from_backup =
        this->restored_at && item.revision <= this->epoch_start &&
        known.item.revision.epoch < item.revision.epoch;
    if (!may_be_from_backup || !known.last_report)
    {
        return false;
    }
    if (report.position() != *known.last_report)
    {
        return report.position() < *known.last_report;
    }
    const bool known_to_leave =
        !known.target || known.target->phase == target_phase::draining;
    return known_to_leave && report.phase == target_phase::ready;
}

base::time_ms fleet_view::end_of_outdated(
    const item_state& known, const target_entry& report) const
{
    // A process that drains never becomes ready again.
    const bool same_process =
        report.started_at_ms != 0 &&
        report.started_at_ms == known.last_report->started_at_ms;
    const bool drains =
        known.target && known.target->phase == target_phase::draining;
    return same_process && drains ? base::time_ms{INT64_MAX}
                                  : *this->restored_at + outdated_limit;
}

void fleet_view::apply_item(
    item_state& state, const decoded_item& decoded, base::time_ms now,
    view_change& change)
{
    std::visit(
        base::variant_visitor{
            [&](const fleet_configuration& candidate)
            { this->apply_configuration(candidate, change); },
            [&](const target_entry& target)
            { this->apply_target(state, target, change); },
            [&](const removed_target&)
            { this->apply_removal(state, now, change); },
            [&](const unreadable_item& item)
            {
                // An unreadable entry has no address to use: its target is
                // dropped.
                change.problem = item.problem;
                this->set_target(state, std::nullopt, change);
            },
            [](const unrelated_item&) {}},
        decoded);
}

void fleet_view::apply_configuration(
    const fleet_configuration& candidate, view_change& change)
{
    if (this->current_configuration &&
        candidate.version <= this->current_configuration->version)
    {
        return;
    }
    this->current_configuration = candidate;
    change.configuration_changed = true;
}

void fleet_view::apply_target(
    item_state& state, const target_entry& target, view_change& change)
{
    state.last_report = target.position();
    this->set_target(state, target, change);
}

void fleet_view::set_target(
    item_state& state, std::optional<target_entry> replacement,
    view_change& change)
{
    const auto add_services_at = [&](const target_entry& target)
    {
        for (const auto& key :
             this->keys_by_address[{target.host, target.port}])
        {
            add_service(change, this->item_states.at(key).target->service);
        }
    };
    if (state.target)
    {
        add_services_at(*state.target);
        const target_address address{state.target->host, state.target->port};
        auto& keys = this->keys_by_address.at(address);
        keys.erase(state.item.key);
        if (keys.empty())
        {
            this->keys_by_address.erase(address);
        }
    }
    state.target = std::move(replacement);
    state.removed_until.reset();
    if (state.target)
    {
        this->keys_by_address[{state.target->host, state.target->port}].insert(
            state.item.key);
        add_services_at(*state.target);
    }
}

bool fleet_view::is_superseded(const target_entry& target) const
{
    const auto& keys = this->keys_by_address.at({target.host, target.port});
    return std::any_of(
        keys.begin(), keys.end(),
        [&](const auto& key)
        {
            const auto& other = *this->item_states.at(key).target;
            return other.started_at_ms > target.started_at_ms;
        });
}

void fleet_view::apply_removal(
    item_state& state, base::time_ms now, view_change& change)
{
    if (!state.target || state.removed_until)
    {
        return;
    }
    const bool delay_removal =
        this->store_regained &&
        now - *this->store_regained < this->removal_hold &&
        state.target->phase == target_phase::ready;
    if (delay_removal)
    {
        state.removed_until = *this->store_regained + this->removal_hold;
        return;
    }
    this->set_target(state, std::nullopt, change);
}

view_change fleet_view::end_snapshot(
    const std::vector<std::string>& keys,
    const schema::store_revision& revision, base::time_ms now)
{
    view_change change;
    this->begin_state(revision, now);
    if (revision.epoch < this->epoch_start.epoch)
    {
        return change;
    }
    const std::set<std::string> listed(keys.begin(), keys.end());
    for (auto& [key, state] : this->item_states)
    {
        if (listed.count(key) == 0 && state.item.revision <= revision &&
            !state.item.removed)
        {
            state.item.value.clear();
            state.item.removed = true;
            state.item.revision = revision;
            state.outdated_until.reset();
            this->apply_removal(state, now, change);
        }
    }
    const auto old_epoch = this->complete_revision.epoch;
    this->complete_state(revision);
    if (this->restored_at && old_epoch < revision.epoch)
    {
        change.restore = this->summarize_restore(old_epoch, revision);
    }
    return change;
}

void fleet_view::complete_state(const schema::store_revision& revision)
{
    const bool first_of_epoch = this->complete_revision.number == 0 ||
                                this->complete_revision.epoch < revision.epoch;
    if (first_of_epoch)
    {
        this->first_revision = revision;
    }
    this->complete_revision = std::max(this->complete_revision, revision);
}

restore_summary fleet_view::summarize_restore(
    std::uint64_t old_epoch, const schema::store_revision& revision) const
{
    restore_summary summary{old_epoch, revision};
    for (const auto& [key, state] : this->item_states)
    {
        summary.missing += state.removed_until ? 1 : 0;
        summary.outdated += state.outdated_until ? 1 : 0;
    }
    return summary;
}

void fleet_view::on_store_regained(
    base::time_ms now, std::uint32_t failed_calls)
{
    if (failed_calls > 1)
    {
        this->store_regained = now;
    }
}

view_change fleet_view::tick(base::time_ms now)
{
    view_change change;
    for (auto& [key, state] : this->item_states)
    {
        if (state.removed_until && *state.removed_until <= now)
        {
            this->set_target(state, std::nullopt, change);
        }
        if (state.outdated_until && *state.outdated_until <= now)
        {
            state.outdated_until.reset();
            this->apply_item(state, this->decode(state.item), now, change);
        }
    }
    return change;
}

const std::optional<fleet_configuration>& fleet_view::configuration() const
{
    return this->current_configuration;
}

std::uint64_t fleet_view::configuration_version() const
{
    return this->current_configuration ? this->current_configuration->version
                                       : 0;
}

std::vector<target_entry> fleet_view::targets(const std::string& service) const
{
    std::vector<target_entry> found;
    for (const auto& [key, state] : this->item_states)
    {
        if (state.target && state.target->service == service &&
            !this->is_superseded(*state.target))
        {
            found.push_back(*state.target);
        }
    }
    return found;
}

std::vector<std::string> fleet_view::services() const
{
    std::set<std::string> names;
    for (const auto& [key, state] : this->item_states)
    {
        if (state.target)
        {
            names.insert(state.target->service);
        }
    }
    return {names.begin(), names.end()};
}

std::vector<target_entry> fleet_view::all_targets() const
{
    std::vector<target_entry> found;
    for (const auto& [key, state] : this->item_states)
    {
        if (state.target)
        {
            found.push_back(*state.target);
        }
    }
    return found;
}

std::size_t fleet_view::target_count() const
{
    return this->keys_by_address.size();
}

schema::store_revision fleet_view::revision() const
{
    return this->complete_revision;
}

void fleet_view::advance(const schema::store_revision& revision)
{
    const bool same_epoch = revision.epoch == this->complete_revision.epoch;
    if (same_epoch || this->complete_revision.number == 0)
    {
        this->complete_state(revision);
    }
}

schema::item_list
fleet_view::changes_after(const schema::store_revision& revision) const
{
    schema::item_list list;
    list.after = revision;
    list.revision = this->complete_revision;
    list.complete = revision < this->first_revision;
    for (const auto& [key, state] : this->item_states)
    {
        if (list.complete || state.item.revision > revision)
        {
            list.items.push_back(state.item);
        }
    }
    return list;
}

view_change
fleet_view::end_list(const schema::item_list& list, base::time_ms now)
{
    if (!list.complete)
    {
        if (list.after <= this->complete_revision)
        {
            this->advance(list.revision);
        }
        return {};
    }
    std::vector<std::string> keys;
    for (const auto& item : list.items)
    {
        keys.push_back(item.key);
    }
    return this->end_snapshot(keys, list.revision, now);
}
} // namespace bilberrytally::directory
