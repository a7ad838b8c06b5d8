#include "directory/route_map.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace bilberrytally::directory
{
namespace
{
std::string to_lower(std::string_view text)
{
    std::string result(text);
    std::transform(
        result.begin(), result.end(), result.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string_view without_query(std::string_view request_path)
{
    return request_path.substr(0, request_path.find('?'));
}

std::int64_t total_weight(const route& definition)
{
    return std::accumulate(
        definition.shares.begin(), definition.shares.end(), std::int64_t{0},
        [](std::int64_t sum, const auto& share) { return sum + share.weight; });
}
} // namespace

void route_map::replace(const std::vector<route>& routes, std::uint64_t seed)
{
    auto previous = std::move(this->hosts);
    this->hosts.clear();
    for (const auto& definition : routes)
    {
        const auto host = to_lower(definition.host);
        const auto known = previous.find(host);
        weighted_route entry;
        if (known != previous.end())
        {
            const auto same = std::find_if(
                known->second.begin(), known->second.end(),
                [&](const auto& item)
                { return *item.definition == definition; });
            if (same != known->second.end())
            {
                entry = *same;
            }
        }
        if (!entry.definition)
        {
            entry = make_weighted_route(definition, seed);
        }
        this->hosts[host].push_back(std::move(entry));
    }
    for (auto& [host, entries] : this->hosts)
    {
        std::stable_sort(
            entries.begin(), entries.end(),
            [](const auto& a, const auto& b)
            {
                return a.definition->path_prefix.size() >
                       b.definition->path_prefix.size();
            });
    }
}

route_map::weighted_route
route_map::make_weighted_route(const route& definition, std::uint64_t seed)
{
    weighted_route entry;
    entry.definition = std::make_shared<const route>(definition);
    entry.current_weights.assign(definition.shares.size(), 0);
    const auto total = total_weight(definition);
    if (definition.shares.size() > 1 && total > 0)
    {
        // Nodes start at different points of the round, so that they do not all
        // send to the same service at once.
        const auto skip = static_cast<std::int64_t>(
            base::hash(definition.name, seed) %
            static_cast<std::uint64_t>(total));
        for (std::int64_t i = 0; i < skip; ++i)
        {
            pick_share(entry);
        }
    }
    return entry;
}

std::size_t route_map::pick_share(weighted_route& entry)
{
    const auto& shares = entry.definition->shares;
    std::size_t best = 0;
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        entry.current_weights[i] += shares[i].weight;
        if (entry.current_weights[i] > entry.current_weights[best])
        {
            best = i;
        }
    }
    entry.current_weights[best] -= total_weight(*entry.definition);
    return best;
}

route_choice route_map::choose(std::string_view host, std::string_view path)
{
    auto* found = this->find(host, path);
    if (found == nullptr)
    {
        return {};
    }
    const auto& shares = found->definition->shares;
    const auto index = shares.size() > 1 ? pick_share(*found) : 0;
    return {found->definition, shares[index].service};
}

route_map::weighted_route*
route_map::find(std::string_view host, std::string_view path)
{
    const auto name = to_lower(host.substr(0, host.rfind(':')));
    const auto known = this->hosts.find(name);
    if (known == this->hosts.end())
    {
        return nullptr;
    }
    const auto request_path = without_query(path);
    const auto found = std::find_if(
        known->second.begin(), known->second.end(),
        [&](const auto& entry)
        { return request_path.starts_with(entry.definition->path_prefix); });
    return found == known->second.end() ? nullptr : &*found;
}

std::size_t route_map::size() const
{
    std::size_t count = 0;
    for (const auto& [host, entries] : this->hosts)
    {
        count += entries.size();
    }
    return count;
}
} // namespace bilberrytally::directory
