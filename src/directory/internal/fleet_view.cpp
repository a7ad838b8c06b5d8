#include "directory/fleet_view.hpp"

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

template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;
} // namespace

fleet_view::fleet_view(decode_item decode, base::duration_ms removal_hold)
    : decode(std::move(decode)), removal_hold(removal_hold)
{
}

view_change
fleet_view::merge(const schema::published_item& item, base::time_ms now)
{
    view_change change;
    auto& known = this->entries[item.key];
    if (known.item.revision >= item.revision)
    {
        return change;
    }
    known.item = item;
    this->take(known, this->decode(item), now, change);
    return change;
}

void fleet_view::take(
    entry& known, const decoded_item& decoded, base::time_ms now,
    view_change& change)
{
    std::visit(
        overloaded{
            [&](const fleet_configuration& fresh)
            { this->take_configuration(fresh, change); },
            [&](const target_entry& fresh)
            { this->take_target(known, fresh, change); },
            [&](const removed_target&)
            { this->take_removal(known, now, change); },
            [&](const unreadable_item& item)
            {
                //! It names no target to use.
                change.problem = item.problem;
                this->set_target(known, std::nullopt, change);
            },
            [](const unrelated_item&) {}},
        decoded);
}

void fleet_view::take_configuration(
    const fleet_configuration& fresh, view_change& change)
{
    if (this->current && fresh.version <= this->current->version)
    {
        return;
    }
    this->current = fresh;
    change.configuration = true;
}

void fleet_view::take_target(
    entry& known, const target_entry& fresh, view_change& change)
{
    this->set_target(known, fresh, change);
}

void fleet_view::set_target(
    entry& known, std::optional<target_entry> fresh, view_change& change)
{
    const auto note_place = [&](const target_entry& target)
    {
        for (const auto& key : this->by_place[{target.host, target.port}])
        {
            add_service(change, this->entries.at(key).target->service);
        }
    };
    if (known.target)
    {
        note_place(*known.target);
        const target_place place{known.target->host, known.target->port};
        auto& keys = this->by_place.at(place);
        keys.erase(known.item.key);
        if (keys.empty())
        {
            this->by_place.erase(place);
        }
    }
    known.target = std::move(fresh);
    known.removed_until.reset();
    if (known.target)
    {
        this->by_place[{known.target->host, known.target->port}].insert(
            known.item.key);
        note_place(*known.target);
    }
}

bool fleet_view::is_superseded(const target_entry& target) const
{
    const auto& keys = this->by_place.at({target.host, target.port});
    return std::any_of(
        keys.begin(), keys.end(),
        [&](const auto& key)
        {
            const auto& other = *this->entries.at(key).target;
            return other.started_at_ms > target.started_at_ms;
        });
}

void fleet_view::take_removal(
    entry& known, base::time_ms now, view_change& change)
{
    if (!known.target || known.removed_until)
    {
        return;
    }
    const bool hold = this->regained &&
                      now - *this->regained < this->removal_hold &&
                      known.target->phase == target_phase::ready;
    if (hold)
    {
        known.removed_until = *this->regained + this->removal_hold;
        return;
    }
    this->set_target(known, std::nullopt, change);
}

view_change fleet_view::end_snapshot(
    const std::vector<std::string>& keys, std::uint64_t revision,
    base::time_ms now)
{
    view_change change;
    const std::set<std::string> listed(keys.begin(), keys.end());
    for (auto& [key, known] : this->entries)
    {
        if (listed.count(key) == 0 && known.item.revision <= revision &&
            !known.item.removed)
        {
            known.item.value.clear();
            known.item.removed = true;
            known.item.revision = revision;
            this->take_removal(known, now, change);
        }
    }
    this->advance(revision);
    return change;
}

void fleet_view::on_store_regained(base::time_ms now)
{
    this->regained = now;
}

view_change fleet_view::tick(base::time_ms now)
{
    view_change change;
    for (auto& [key, known] : this->entries)
    {
        if (known.removed_until && *known.removed_until <= now)
        {
            this->set_target(known, std::nullopt, change);
        }
    }
    return change;
}

const std::optional<fleet_configuration>& fleet_view::configuration() const
{
    return this->current;
}

std::vector<target_entry> fleet_view::targets(const std::string& service) const
{
    std::vector<target_entry> found;
    for (const auto& [key, known] : this->entries)
    {
        if (known.target && known.target->service == service &&
            !this->is_superseded(*known.target))
        {
            found.push_back(*known.target);
        }
    }
    return found;
}

std::vector<std::string> fleet_view::services() const
{
    std::set<std::string> names;
    for (const auto& [key, known] : this->entries)
    {
        if (known.target)
        {
            names.insert(known.target->service);
        }
    }
    return {names.begin(), names.end()};
}

std::vector<target_entry> fleet_view::all_targets() const
{
    std::vector<target_entry> found;
    for (const auto& [key, known] : this->entries)
    {
        if (known.target)
        {
            found.push_back(*known.target);
        }
    }
    return found;
}

std::size_t fleet_view::target_count() const
{
    return this->by_place.size();
}

std::uint64_t fleet_view::revision() const
{
    return this->complete;
}

void fleet_view::advance(std::uint64_t revision)
{
    this->complete = std::max(this->complete, revision);
}

std::vector<schema::published_item>
fleet_view::items_after(std::uint64_t revision) const
{
    std::vector<schema::published_item> found;
    for (const auto& [key, known] : this->entries)
    {
        if (known.item.revision > revision)
        {
            found.push_back(known.item);
        }
    }
    return found;
}
} // namespace bilberrytally::directory
