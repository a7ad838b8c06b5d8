#pragma once

#include "directory/fleet_view.hpp"

#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

//! Items, snapshots and lists for tests of a store that is restored from a
//! backup.
namespace bilberrytally::directory::restore_testing
{
//! Value of a target's item: "PHASE START REPORT".
inline std::string
entry(const std::string& phase, std::uint64_t started_at, std::uint64_t report)
{
    return phase + " " + std::to_string(started_at) + " " +
           std::to_string(report);
}

//! Decodes the items of these tests: "c" holds the version of a configuration,
//! "t/ID" a target of the service "s".
inline decoded_item decode(const schema::published_item& item)
{
    if (item.key == "c")
    {
        fleet_configuration configuration;
        configuration.version = std::strtoull(item.value.c_str(), nullptr, 10);
        return configuration;
    }
    target_entry target;
    target.instance = item.key.substr(2);
    if (item.removed)
    {
        return removed_target{target.instance};
    }
    target.service = "s";
    target.host = target.instance;
    std::string phase;
    std::istringstream(item.value) >> phase >> target.started_at_ms >>
        target.report_number;
    target.phase =
        phase == "ready" ? target_phase::ready : target_phase::draining;
    return target;
}

inline schema::published_item item(
    const std::string& key, const std::string& value, std::uint64_t epoch,
    std::uint64_t number)
{
    return {key, value, {epoch, number}, value.empty()};
}

//! Passes a complete state of the store to the view.
inline view_change apply_snapshot(
    fleet_view& view, const std::vector<schema::published_item>& items,
    const schema::store_revision& revision, base::time_ms now)
{
    std::vector<std::string> keys;
    view.begin_state(revision, now);
    for (const auto& listed : items)
    {
        keys.push_back(listed.key);
        view.merge(listed, now);
    }
    return view.end_snapshot(keys, revision, now);
}

inline void
apply_list(fleet_view& view, const schema::item_list& list, base::time_ms now)
{
    view.begin_state(list.revision, now);
    for (const auto& listed : list.items)
    {
        view.merge_from_peer(listed, now);
    }
    view.end_list(list, now);
}

} // namespace bilberrytally::directory::restore_testing
