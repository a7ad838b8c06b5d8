#include "decisions/dissemination_tree.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bilberrytally::decisions
{
namespace
{
//! Children of a node in each dissemination tree.
constexpr std::size_t fan_out = 4;
//! Hash seed of the order of watchers, so that it differs from the trees. The
//! value is arbitrary, but must be equal in all nodes.
constexpr std::uint64_t watcher_seed = 0x7265616465727300;

//! Members with their hashes, in ascending order.
using ranked_members = std::vector<std::pair<std::uint64_t, std::string>>;

ranked_members
rank_members(const std::vector<std::string>& members, std::uint64_t seed)
{
    ranked_members order;
    order.reserve(members.size());
    for (const auto& member : members)
    {
        order.emplace_back(base::hash(member, seed), member);
    }
    std::sort(order.begin(), order.end());
    return order;
}
} // namespace

std::vector<std::string> dissemination_children(
    const std::vector<std::string>& members, const std::string& self,
    std::uint64_t document_digest, bool new_to_zone)
{
    std::set<std::string> children;
    for (std::uint64_t tree = 0; tree < dissemination_trees; ++tree)
    {
        const auto order =
            rank_members(members, base::combine(document_digest, tree));
        const auto own_rank = std::pair(
            base::hash(self, base::combine(document_digest, tree)), self);
        const auto position = static_cast<std::size_t>(
            std::lower_bound(order.begin(), order.end(), own_rank) -
            order.begin());
        const auto first = position * fan_out + 1;
        for (auto i = first; i < first + fan_out && i < order.size(); ++i)
        {
            children.insert(order[i].second);
        }
        if (new_to_zone && !order.empty())
        {
            children.insert(order.front().second);
        }
    }
    children.erase(self);
    return {children.begin(), children.end()};
}

std::uint32_t
watcher_rank(const std::vector<std::string>& members, const std::string& self)
{
    const auto own_rank = base::hash(self, watcher_seed);
    return static_cast<std::uint32_t>(std::count_if(
        members.begin(), members.end(),
        [&](const auto& member)
        { return base::hash(member, watcher_seed) < own_rank; }));
}
} // namespace bilberrytally::decisions
