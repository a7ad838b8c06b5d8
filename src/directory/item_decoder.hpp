#pragma once

#include "directory/fleet_configuration.hpp"
#include "directory/target_entry.hpp"
#include "schema/messages.hpp"

#include <functional>
#include <string>
#include <variant>

namespace bilberrytally::directory
{
//! An item that the node does not use.
struct unrelated_item
{
    bool operator==(const unrelated_item&) const = default;
};

//! An item whose value is not in the format that its key calls for.
struct unreadable_item
{
    //! Key, field and what was expected.
    std::string problem;

    bool operator==(const unreadable_item&) const = default;
};

//! The entry of a target was removed from the store.
struct removed_target
{
    std::string instance;

    bool operator==(const removed_target&) const = default;
};

//! What a published item means to the node.
using decoded_item = std::variant<
    fleet_configuration, target_entry, removed_target, unrelated_item,
    unreadable_item>;

//! Decodes an item from the platform's format. It reports problems by
//! unreadable_item.
using item_decoder = std::function<decoded_item(const schema::published_item&)>;
} // namespace bilberrytally::directory
