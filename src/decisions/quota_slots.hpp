#pragma once

#include "base/time.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bilberrytally::decisions
{
//! Number of slots that share the quota of a workspace. It is fixed, so that a
//! change of the node list moves few slots.
constexpr std::uint32_t quota_slot_count = 6;

//! Id by which nodes refer to the quota of a workspace.
std::uint64_t quota_id(std::string_view workspace);

//! Limit on the requests of a workspace over all nodes together.
struct quota_limit
{
    std::uint64_t workspace{0};
    double rate_per_s{0};
    //! Requests that may be sent at once beyond the rate.
    double burst{0};

    auto operator<=>(const quota_limit&) const = default;

    //! Rate of one slot.
    double slot_rate_per_s() const;
    //! Largest number of tokens in one slot. One more than its share of the
    //! burst, as a slot grants whole tokens only.
    double slot_capacity() const;
};

//! A listed node that may hold slots.
struct quota_node
{
    std::string address;
    std::string zone;
    //! The node stops soon and holds no slots.
    bool leaving{false};
    //! A number that differs whenever the node was listed again; 0 if unknown.
    std::uint64_t version{0};

    auto operator<=>(const quota_node&) const = default;
};

//! Chooses the nodes that hold the slots of each workspace by rendezvous
//! hashing over the listed nodes that are not leaving. All nodes that know the
//! same list choose the same holders.
class quota_slots
{
public:
    //! \p self is the address of this node, \p zone its availability zone.
    //! Nodes that were dropped from the list are remembered for \p memory.
    quota_slots(std::string self, std::string zone, base::duration_ms memory);

    //! Applies a complete list of nodes. Of several entries with one address,
    //! those that are not leaving count.
    void apply(const std::vector<quota_node>& nodes, base::time_ms now);

    //! Forgets the cached holders of all workspaces but these.
    void retain(const std::unordered_set<std::uint64_t>& workspaces);

    //! Address of the node that holds a slot; empty if no node is listed.
    std::string holder(std::uint64_t workspace, std::uint32_t slot);

    //! Slots that have a holder, in the order in which this node asks them:
    //! those held in its own availability zone first. Within a zone, each node
    //! has an order of its own, which spreads the demand.
    std::vector<std::uint32_t> order(std::uint64_t workspace);

    //! Since when this node holds a slot without a break, as far as its lists
    //! tell; nothing if it does not hold it.
    std::optional<base::time_ms>
    held_since(std::uint64_t workspace, std::uint32_t slot);

private:
    struct node
    {
        std::string zone;
        std::uint64_t version{0};
        std::uint64_t hash{0};
        //! The last list that contained the node.
        std::uint64_t generation{0};
    };
    struct slot_holder
    {
        std::string address;
        std::string zone;
        std::uint64_t score{0};
    };
    using holders = std::array<slot_holder, quota_slot_count>;
    struct dropped_node
    {
        std::uint64_t hash{0};
        base::time_ms dropped_at;
    };

    static std::uint64_t
    score(std::uint64_t workspace, std::uint32_t slot, std::uint64_t node);
    void add(const quota_node& listed, base::time_ms now);
    void drop_unlisted(base::time_ms now);
    void record_drop(std::uint64_t hash, base::time_ms now);
    void on_added(const std::string& address, const node& added);
    void on_dropped(const std::string& address);
    void forget_drops(base::time_ms now);
    const holders& find(std::uint64_t workspace);
    slot_holder choose(std::uint64_t workspace, std::uint32_t slot) const;

    std::string self;
    std::string zone;
    base::duration_ms memory;
    std::uint64_t generation{0};
    //! By address.
    std::unordered_map<std::string, node> nodes;
    std::optional<base::time_ms> self_listed_at;
    //! Nodes that were dropped within the memory, the oldest first.
    std::deque<dropped_node> dropped;
    //! Until when drops have been forgotten for lack of room.
    base::time_ms forgotten_until{INT64_MIN / 2};
    //! Holders by workspace, computed when first asked for.
    std::unordered_map<std::uint64_t, holders> cache;
};
} // namespace bilberrytally::decisions
