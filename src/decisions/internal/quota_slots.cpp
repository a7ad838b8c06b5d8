#include "decisions/quota_slots.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace bilberrytally::decisions
{
namespace
{
//! Bounds the dropped nodes that are remembered.
constexpr std::size_t max_dropped_nodes = 4096;
} // namespace

std::uint64_t quota_id(std::string_view workspace)
{
    return base::hash_parts({workspace});
}

double quota_limit::slot_rate_per_s() const
{
    return this->rate_per_s / quota_slot_count;
}

double quota_limit::slot_capacity() const
{
    return this->burst / quota_slot_count + 1;
}

quota_slots::quota_slots(
    std::string self, std::string zone, base::duration_ms memory)
    : self(std::move(self)), zone(std::move(zone)), memory(memory)
{
}

void quota_slots::apply(const std::vector<quota_node>& nodes, base::time_ms now)
{
    this->forget_drops(now);
    ++this->generation;
    for (const auto& listed : nodes)
    {
        if (!listed.leaving)
        {
            this->add(listed, now);
        }
    }
    this->drop_unlisted(now);
}

void quota_slots::add(const quota_node& listed, base::time_ms now)
{
    auto [found, added] = this->nodes.try_emplace(listed.address);
    auto& entry = found->second;
    const bool seen = !added && entry.generation == this->generation;
    const auto version =
        seen ? std::max(entry.version, listed.version) : listed.version;
    const bool listed_again = !added && entry.version != version;
    const bool moved = !added && entry.zone != listed.zone;
    entry.generation = this->generation;
    entry.version = version;
    entry.zone = listed.zone;
    if (added)
    {
        entry.hash = base::hash_parts({listed.address});
        this->on_added(listed.address, entry);
    }
    if (listed_again)
    {
        this->record_drop(entry.hash, now);
    }
    if (moved)
    {
        this->on_dropped(listed.address);
    }
    if (listed.address == this->self && (added || listed_again))
    {
        this->self_listed_at = now;
    }
}

void quota_slots::drop_unlisted(base::time_ms now)
{
    for (auto entry = this->nodes.begin(); entry != this->nodes.end();)
    {
        if (entry->second.generation == this->generation)
        {
            ++entry;
            continue;
        }
        this->record_drop(entry->second.hash, now);
        this->on_dropped(entry->first);
        if (entry->first == this->self)
        {
            this->self_listed_at.reset();
        }
        entry = this->nodes.erase(entry);
    }
}

void quota_slots::record_drop(std::uint64_t hash, base::time_ms now)
{
    if (this->dropped.size() >= max_dropped_nodes)
    {
        this->forgotten_until = this->dropped.front().dropped_at;
        this->dropped.pop_front();
    }
    this->dropped.push_back({hash, now});
}

void quota_slots::forget_drops(base::time_ms now)
{
    while (!this->dropped.empty() &&
           now - this->dropped.front().dropped_at > this->memory)
    {
        this->dropped.pop_front();
    }
}

void quota_slots::on_added(const std::string& address, const node& added)
{
    for (auto& [workspace, slots] : this->cache)
    {
        for (std::uint32_t slot = 0; slot < quota_slot_count; ++slot)
        {
            auto& current = slots[slot];
            const auto added_score = score(workspace, slot, added.hash);
            if (current.address.empty() ||
                std::tie(added_score, address) >
                    std::tie(current.score, current.address))
            {
                current = {address, added.zone, added_score};
            }
        }
    }
}

void quota_slots::on_dropped(const std::string& address)
{
    for (auto cached = this->cache.begin(); cached != this->cache.end();)
    {
        const auto& slots = cached->second;
        const bool holds = std::any_of(
            slots.begin(), slots.end(),
            [&](const auto& slot) { return slot.address == address; });
        cached = holds ? this->cache.erase(cached) : std::next(cached);
    }
}

void quota_slots::retain(const std::unordered_set<std::uint64_t>& workspaces)
{
    std::erase_if(
        this->cache, [&](const auto& cached)
        { return workspaces.count(cached.first) == 0; });
}

std::string quota_slots::holder(std::uint64_t workspace, std::uint32_t slot)
{
    return this->find(workspace)[slot].address;
}

std::vector<std::uint32_t> quota_slots::order(std::uint64_t workspace)
{
    const auto& slots = this->find(workspace);
    std::vector<std::tuple<bool, std::uint64_t, std::uint32_t>> ranks;
    const auto own_hash =
        base::combine(workspace, base::hash_parts({this->self}));
    for (std::uint32_t slot = 0; slot < quota_slot_count; ++slot)
    {
        if (!slots[slot].address.empty())
        {
            ranks.emplace_back(
                slots[slot].zone != this->zone, base::combine(own_hash, slot),
                slot);
        }
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<std::uint32_t> result;
    result.reserve(ranks.size());
    for (const auto& rank : ranks)
    {
        result.push_back(std::get<std::uint32_t>(rank));
    }
    return result;
}

std::optional<base::time_ms>
quota_slots::held_since(std::uint64_t workspace, std::uint32_t slot)
{
    const auto& current = this->find(workspace)[slot];
    if (!this->self_listed_at || current.address != this->self)
    {
        return std::nullopt;
    }
    auto since = std::max(*this->self_listed_at, this->forgotten_until);
    for (const auto& other : this->dropped)
    {
        if (other.dropped_at > since &&
            score(workspace, slot, other.hash) >= current.score)
        {
            since = other.dropped_at;
        }
    }
    return since;
}

std::uint64_t quota_slots::score(
    std::uint64_t workspace, std::uint32_t slot, std::uint64_t node)
{
    return base::combine(workspace + slot, node);
}

const quota_slots::holders& quota_slots::find(std::uint64_t workspace)
{
    const auto [found, added] = this->cache.try_emplace(workspace);
    if (added)
    {
        for (std::uint32_t slot = 0; slot < quota_slot_count; ++slot)
        {
            found->second[slot] = this->choose(workspace, slot);
        }
    }
    return found->second;
}

quota_slots::slot_holder
quota_slots::choose(std::uint64_t workspace, std::uint32_t slot) const
{
    slot_holder best;
    for (const auto& [address, candidate] : this->nodes)
    {
        const auto candidate_score = score(workspace, slot, candidate.hash);
        if (best.address.empty() || std::tie(candidate_score, address) >
                                        std::tie(best.score, best.address))
        {
            best = {address, candidate.zone, candidate_score};
        }
    }
    return best;
}
} // namespace bilberrytally::decisions
