#include "directory/route_map.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace bilberrytally::directory
{
namespace
{
std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(
        result.begin(), result.end(), result.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string_view without_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::int64_t total_weight(const route& way)
{
    return std::accumulate(
        way.shares.begin(), way.shares.end(), std::int64_t{0},
        [](std::int64_t sum, const auto& share) { return sum + share.weight; });
}
} // namespace

void route_map::replace(const std::vector<route>& routes, std::uint64_t seed)
{
    auto previous = std::move(this->hosts);
    this->hosts.clear();
    for (const auto& way : routes)
    {
        const auto host = lower(way.host);
        const auto known = previous.find(host);
        dealing entry;
        if (known != previous.end())
        {
            const auto same = std::find_if(
                known->second.begin(), known->second.end(),
                [&](const auto& item) { return *item.way == way; });
            if (same != known->second.end())
            {
                entry = *same;
            }
        }
        if (!entry.way)
        {
            entry = make_dealing(way, seed);
        }
        this->hosts[host].push_back(std::move(entry));
    }
    for (auto& [host, entries] : this->hosts)
    {
        std::stable_sort(
            entries.begin(), entries.end(),
            [](const auto& a, const auto& b)
            { return a.way->path_prefix.size() > b.way->path_prefix.size(); });
    }
}

route_map::dealing route_map::make_dealing(const route& way, std::uint64_t seed)
{
    dealing entry;
    entry.way = std::make_shared<const route>(way);
    entry.credit.assign(way.shares.size(), 0);
    const auto total = total_weight(way);
    if (way.shares.size() > 1 && total > 0)
    {
        //! Nodes start at different places of the round.
        const auto skip = static_cast<std::int64_t>(
            base::hash(way.name, seed) % static_cast<std::uint64_t>(total));
        for (std::int64_t i = 0; i < skip; ++i)
        {
            deal(entry);
        }
    }
    return entry;
}

std::size_t route_map::deal(dealing& entry)
{
    const auto& shares = entry.way->shares;
    std::size_t best = 0;
    for (std::size_t i = 0; i < shares.size(); ++i)
    {
        entry.credit[i] += shares[i].weight;
        if (entry.credit[i] > entry.credit[best])
        {
            best = i;
        }
    }
    entry.credit[best] -= total_weight(*entry.way);
    return best;
}

route_choice route_map::choose(std::string_view host, std::string_view path)
{
    auto* found = this->find(host, path);
    if (found == nullptr)
    {
        return {};
    }
    const auto& shares = found->way->shares;
    const auto part = shares.size() > 1 ? deal(*found) : 0;
    return {found->way, shares[part].service};
}

route_map::dealing*
route_map::find(std::string_view host, std::string_view path)
{
    const auto name = lower(host.substr(0, host.rfind(':')));
    const auto known = this->hosts.find(name);
    if (known == this->hosts.end())
    {
        return nullptr;
    }
    const auto target = without_query(path);
    const auto found = std::find_if(
        known->second.begin(), known->second.end(),
        [&](const auto& entry)
        { return target.starts_with(entry.way->path_prefix); });
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
