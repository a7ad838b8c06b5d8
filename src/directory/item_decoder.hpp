#pragma once

#include "directory/fleet_configuration.hpp"
#include "directory/target_entry.hpp"
#include "schema/messages.hpp"

#include <functional>
#include <string>
#include <variant>

namespace bilberrytally::directory
{
//! An item that has no meaning for the node.
struct unrelated_item
{
    bool operator==(const unrelated_item&) const = default;
};

//! An item that is not what its key promises.
struct unreadable_item
{
    std::string problem;

    bool operator==(const unreadable_item&) const = default;
};

//! An entry of a target that was removed.
struct removed_target
{
    std::string instance;

    bool operator==(const removed_target&) const = default;
};

using decoded_item = std::variant<
    fleet_configuration, target_entry, removed_target, unrelated_item,
    unreadable_item>;

//! Reads an item in the platform's own format.
using decode_item = std::function<decoded_item(const schema::published_item&)>;
} // namespace bilberrytally::directory
