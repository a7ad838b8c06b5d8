#include "directory/fleet_view.hpp"

#include "base/variant_visitor.hpp"

#include <algorithm>

namespace bilberrytally::directory
{
namespace
{
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
    auto& state = this->item_states[item.key];
    if (state.item.revision >= item.revision)
    {
        return change;
    }
    state.item = item;
    this->apply_item(state, this->decode(item), now, change);
    return change;
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
    const std::vector<std::string>& keys, std::uint64_t revision,
    base::time_ms now)
{
    view_change change;
    const std::set<std::string> listed(keys.begin(), keys.end());
    for (auto& [key, state] : this->item_states)
    {
        if (listed.count(key) == 0 && state.item.revision <= revision &&
            !state.item.removed)
        {
            state.item.value.clear();
            state.item.removed = true;
            state.item.revision = revision;
            this->apply_removal(state, now, change);
        }
    }
    this->advance(revision);
    return change;
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
    }
    return change;
}

const std::optional<fleet_configuration>& fleet_view::configuration() const
{
    return this->current_configuration;
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

std::uint64_t fleet_view::revision() const
{
    return this->complete_revision;
}

void fleet_view::advance(std::uint64_t revision)
{
    if (this->complete_revision == 0)
    {
        this->first_revision = revision;
    }
    this->complete_revision = std::max(this->complete_revision, revision);
}

schema::item_list fleet_view::changes_after(std::uint64_t revision) const
{
    schema::item_list list;
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
        this->advance(list.revision);
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
