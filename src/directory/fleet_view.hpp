#pragma once

#include "directory/item_decoder.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberrytally::directory
{
//! The effect of a change of the view.
struct view_change
{
    //! A newer configuration is in force.
    bool configuration_changed{false};
    //! Services whose targets may have changed, each listed once.
    std::vector<std::string> services;
    //! Why an item could not be read; empty if it could.
    std::string problem;

    bool operator==(const view_change&) const = default;
};

//! This node's view of the fleet, merged from the store and from peers in any
//! order. The newest revision of an item wins. Of all configurations the one
//! with the highest version wins; a lower version never replaces it.
class fleet_view
{
public:
    //! Targets that are removed within \p removal_hold after the store was
    //! regained stay in use until the end of that time.
    explicit fleet_view(item_decoder decode, base::duration_ms removal_hold);

    //! Applies an item if its revision is newer than the known one.
    view_change merge(const schema::published_item& item, base::time_ms now);

    //! Ends a snapshot (a read of all items) whose first page was read at
    //! \p revision. Known items that are not among \p keys and were not changed
    //! after \p revision were removed from the store.
    view_change end_snapshot(
        const std::vector<std::string>& keys, std::uint64_t revision,
        base::time_ms now);

    //! The store responds again after \p failed_calls calls in a row failed.
    //! More than one was an outage, in which the store may have lost entries: a
    //! ready target that it removes within the hold time stays in use until
    //! that time ends; a draining one is dropped at once. A single one was a
    //! lost connection.
    void on_store_regained(base::time_ms now, std::uint32_t failed_calls);

    //! Drops removed targets whose hold time is over.
    view_change tick(base::time_ms now);

    //! The configuration in force; empty before the first one.
    const std::optional<fleet_configuration>& configuration() const;

    //! Targets of a service, draining ones included, in the order of their
    //! keys. Of
    //! several targets published at one address only the one that started last
    //! is returned, as the others no longer run.
    std::vector<target_entry> targets(const std::string& service) const;
    //! Services that have published targets.
    std::vector<std::string> services() const;
    //! All published targets, superseded ones included.
    std::vector<target_entry> all_targets() const;
    //! Number of distinct addresses at which targets are published.
    std::size_t target_count() const;

    //! Revision of the store up to which all changes are known.
    std::uint64_t revision() const;
    //! Records that all changes up to \p revision have been merged.
    void advance(std::uint64_t revision);

    //! What a peer lacks that knows all changes up to \p revision: the items
    //! that were changed or removed since, or all items if this view does not
    //! reach back that far and so may not know what was removed.
    schema::item_list changes_after(std::uint64_t revision) const;

    //! Ends the merge of a list that a peer sent and whose items were merged
    //! one by one. Known items that a complete list does not contain, and that
    //! were not changed after its revision, were removed from the store.
    view_change end_list(const schema::item_list& list, base::time_ms now);

private:
    //! Host and port of a target.
    using target_address = std::pair<std::string, std::uint32_t>;

    struct item_state
    {
        schema::published_item item;
        std::optional<target_entry> target;
        //! Set if the target was removed from the store but is still in use:
        //! the end of its hold time.
        std::optional<base::time_ms> removed_until;
    };

    void apply_item(
        item_state& state, const decoded_item& decoded, base::time_ms now,
        view_change& change);
    void apply_configuration(
        const fleet_configuration& candidate, view_change& change);
    void apply_target(
        item_state& state, const target_entry& target, view_change& change);
    void
    apply_removal(item_state& state, base::time_ms now, view_change& change);
    //! Replaces the target of an item, or drops it if \p replacement is
    //! empty.
    void set_target(
        item_state& state, std::optional<target_entry> replacement,
        view_change& change);
    //! Whether a target that started later is published at the same address.
    bool is_superseded(const target_entry& target) const;

    item_decoder decode;
    base::duration_ms removal_hold;
    //! When the store last responded again after an outage.
    std::optional<base::time_ms> store_regained;
    //! By key of the item.
    std::map<std::string, item_state> item_states;
    //! Keys of the items whose target is published at an address.
    std::map<target_address, std::set<std::string>> keys_by_address;
    std::optional<fleet_configuration> current_configuration;
    //! Revision up to which all changes are known.
    std::uint64_t complete_revision{0};
    //! Revision from which on all removals are known.
    std::uint64_t first_revision{0};
};
} // namespace bilberrytally::directory
