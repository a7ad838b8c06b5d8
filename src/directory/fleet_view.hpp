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
//! What the first snapshot after a restore of the store from a backup did to a
//! view.
struct restore_summary
{
    std::uint64_t old_epoch{0};
    schema::store_revision revision;
    //! Targets that the snapshot lacks and that are in use for the time being.
    std::size_t missing{0};
    //! Targets for which it has an older report than the one in use.
    std::size_t outdated{0};

    bool operator==(const restore_summary&) const = default;
};

//! The effect of a change of the view.
struct view_change
{
    //! A newer configuration is in force.
    bool configuration_changed{false};
    //! Services whose targets may have changed, each listed once.
    std::vector<std::string> services;
    //! Why an item could not be read; empty if it could.
    std::string problem;
    //! Set by the first complete state of a new epoch.
    std::optional<restore_summary> restore;

    bool operator==(const view_change&) const = default;
};

//! This node's view of the fleet, merged from the store and from peers in any
//! order. The newest revision of an item wins. Of all configurations the one
//! with the highest version wins; a lower version never replaces it.
//!
//! A store that was restored from a backup (a new epoch) lacks what was written
//! after the backup until it is written again. Until then, or until a time
//! limit, the view keeps what it knew: a ready target that the store lacks, and
//! a newer report of a target than the store has. See
//! docs/design/restored-store.md.
class fleet_view
{
public:
    //! Targets that are removed within \p removal_hold after the store was
    //! regained stay in use until the end of that time.
    explicit fleet_view(item_decoder decode, base::duration_ms removal_hold);

    //! Called before the items of a state of the store at \p revision are
    //! merged. If it begins a new epoch, items up to this revision may come
    //! from the backup.
    void begin_state(const schema::store_revision& revision, base::time_ms now);

    //! Applies an item if its revision is newer than the known one. An item of
    //! an older epoch than the view's is ignored, except a configuration of a
    //! higher version.
    view_change merge(const schema::published_item& item, base::time_ms now);

    //! The same for an item of a list that a peer sent, which may have been
    //! late: an item that the view does not know, though it is complete beyond
    //! the item's revision, was removed since.
    view_change
    merge_from_peer(const schema::published_item& item, base::time_ms now);

    //! Ends a snapshot (a read of all items) whose first page was read at
    //! \p revision. Known items that are not among \p keys and were not changed
    //! after \p revision were removed from the store.
    view_change end_snapshot(
        const std::vector<std::string>& keys,
        const schema::store_revision& revision, base::time_ms now);

    //! The store responds again after \p failed_calls calls in a row failed.
    //! More than one was an outage, in which the store may have lost entries: a
    //! ready target that it removes within the hold time stays in use until
    //! that time ends; a draining one is dropped at once. A single one was a
    //! lost connection.
    void on_store_regained(base::time_ms now, std::uint32_t failed_calls);

    //! Ends what the view keeps for a limited time: drops removed targets and
    //! takes over the store's reports.
    view_change tick(base::time_ms now);

    //! The configuration in force; empty before the first one.
    const std::optional<fleet_configuration>& configuration() const;

    //! Version of the configuration in force; 0 before the first one.
    std::uint64_t configuration_version() const;

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
    schema::store_revision revision() const;
    //! Records that all changes up to \p revision have been merged. The state
    //! of a new epoch is known only from a snapshot.
    void advance(const schema::store_revision& revision);

    //! What a peer lacks that knows all changes up to \p revision: the items
    //! that were changed or removed since, or all items if this view does not
    //! reach back that far and so may not know what was removed.
    schema::item_list
    changes_after(const schema::store_revision& revision) const;

    //! Ends the merge of a list that a peer sent and whose items were merged
    //! one by one. A list of the changes after a revision that this view does
    //! not reach leaves a gap and completes nothing. Known items that a
    //! complete list does not contain, and that were not changed after its
    //! revision, were removed from the store.
    view_change end_list(const schema::item_list& list, base::time_ms now);

private:
    //! Host and port of a target.
    using target_address = std::pair<std::string, std::uint32_t>;

    struct item_state
    {
        schema::published_item item;
        std::optional<target_entry> target;
        //! Position of the newest report; kept when the target is removed.
        std::optional<report_position> last_report;
        //! Set if the target was removed from the store but is still in use:
        //! the end of its hold time.
        std::optional<base::time_ms> removed_until;
        //! Set if the item is older than what is known of the target: until
        //! this time the item is not applied.
        std::optional<base::time_ms> outdated_until;
    };

    //! Merges an item of an older epoch than the view's.
    void
    merge_old_epoch(const schema::published_item& item, view_change& change);
    //! Whether the store states an older report than the view knows, as the
    //! newer one was written after the backup.
    bool is_outdated(
        const item_state& known, const schema::published_item& item,
        const target_entry& report) const;
    //! Whether this or a newer state of the item has been merged.
    bool knows(const schema::published_item& item) const;
    //! Whether a configuration of a higher version is in force.
    bool is_replaced(const decoded_item& decoded) const;
    //! When an outdated report is taken over all the same.
    base::time_ms
    end_of_outdated(const item_state& known, const target_entry& report) const;
    //! Records that the state up to \p revision is complete.
    void complete_state(const schema::store_revision& revision);
    //! Describes the state that the restored store has now.
    restore_summary summarize_restore(
        std::uint64_t old_epoch, const schema::store_revision& revision) const;
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
    //! First revision that was seen of the newest epoch.
    schema::store_revision epoch_start;
    //! When the newest epoch was first seen; empty for the first epoch.
    std::optional<base::time_ms> restored_at;
    //! Revision up to which all changes are known.
    schema::store_revision complete_revision;
    //! Revision from which on all removals are known.
    schema::store_revision first_revision;
};
} // namespace bilberrytally::directory
