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
//! What a merge changed.
struct view_change
{
    //! A newer configuration came into force.
    bool configuration{false};
    //! Services whose targets changed.
    std::vector<std::string> services;
    //! Why an item was ignored; empty where it was not.
    std::string problem;

    bool operator==(const view_change&) const = default;
};

//! What this node believes of the fleet, merged from the store and from peers
//! in any order. A newer revision of an item wins; the configuration with the
//! highest version wins for good.
class fleet_view
{
public:
    explicit fleet_view(decode_item decode, base::duration_ms removal_hold);

    //! Takes an item; one that is not newer than the known one is ignored.
    view_change merge(const schema::published_item& item, base::time_ms now);

    //! Ends a read of all items that began at \p revision: items that were
    //! not among \p keys are gone from the store.
    view_change end_snapshot(
        const std::vector<std::string>& keys, std::uint64_t revision,
        base::time_ms now);

    //! The store answers again after a time without answers. Targets that are
    //! removed may be published again shortly.
    void on_store_regained(base::time_ms now);

    //! Ends the hold of removed targets.
    view_change tick(base::time_ms now);

    //! Nothing before the first configuration.
    const std::optional<fleet_configuration>& configuration() const;

    //! Targets of a service that may be used, by instance id. Of those that
    //! are published at one address only the one that started last is alive.
    std::vector<target_entry> targets(const std::string& service) const;
    std::vector<std::string> services() const;
    std::vector<target_entry> all_targets() const;
    //! Addresses at which targets are published.
    std::size_t target_count() const;

    //! All changes up to this revision are known.
    std::uint64_t revision() const;
    //! All changes up to \p revision have been merged.
    void advance(std::uint64_t revision);

    //! Items changed after \p revision, for a peer that lacks them.
    std::vector<schema::published_item>
    items_after(std::uint64_t revision) const;

private:
    //! Host and port.
    using target_place = std::pair<std::string, std::uint32_t>;

    struct entry
    {
        schema::published_item item;
        std::optional<target_entry> target;
        //! Removed in the store; used until this time.
        std::optional<base::time_ms> removed_until;
    };

    void take(
        entry& known, const decoded_item& decoded, base::time_ms now,
        view_change& change);
    void
    take_configuration(const fleet_configuration& fresh, view_change& change);
    void
    take_target(entry& known, const target_entry& fresh, view_change& change);
    void take_removal(entry& known, base::time_ms now, view_change& change);
    //! Replaces the target that an entry names, by none to drop it.
    void set_target(
        entry& known, std::optional<target_entry> fresh, view_change& change);
    //! A target that started later is published at the same address.
    bool is_superseded(const target_entry& target) const;

    decode_item decode;
    base::duration_ms removal_hold;
    std::optional<base::time_ms> regained;
    std::map<std::string, entry> entries;
    //! Keys of the entries that name a target at an address.
    std::map<target_place, std::set<std::string>> by_place;
    std::optional<fleet_configuration> current;
    std::uint64_t complete{0};
};
} // namespace bilberrytally::directory
