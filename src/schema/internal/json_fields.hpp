#pragma once

#include "base/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytally::schema::internal
{
//! Maximum of a field without an upper bound.
constexpr std::uint64_t no_maximum = UINT64_MAX;

//! Bounds of a field: the value of a number, the length of a text in bytes or
//! the length of a list.
struct bounds
{
    bool required;
    std::uint64_t minimum;
    std::uint64_t maximum;
};

//! Checks that \p json is an object with known keys only. Here and below,
//! \p place is the path of \p json within the document, for error messages.
base::result<void> check_object(
    const nlohmann::json& json, const std::string& place,
    const std::vector<std::string_view>& known);

//! Reads a field to \p out and checks its type and bounds. An absent field
//! leaves \p out as it is, and is an error if it is required.
base::result<void> read_field(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, std::string& out);
base::result<void> read_field(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, std::uint32_t& out);
base::result<void> read_field(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, std::uint64_t& out);
base::result<void> read_field(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, bool& out);

//! Checks that the text \p value starts with \p prefix.
base::result<void> check_prefix(
    const std::string& place, const char* name, std::string_view prefix,
    std::string_view value);

//! Index of a field's text among the allowed texts; -1 if the field is absent.
base::result<int> enum_index(
    const nlohmann::json& json, const std::string& place, const char* name,
    const std::vector<std::string_view>& allowed);

//! Checks that a field is a list of at least the minimum length; it may be
//! absent unless it is required. Does not check the maximum length.
base::result<void> check_list(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range);

//! Reads an enumerator by its name. \p allowed names the enumerators in the
//! order of their values. An absent field leaves \p out as it is.
template <class Enum>
base::result<void> read_enum(
    const nlohmann::json& json, const std::string& place, const char* name,
    const std::vector<std::string_view>& allowed, Enum& out)
{
    BOOST_LEAF_AUTO(index, enum_index(json, place, name, allowed));
    if (index >= 0)
    {
        out = static_cast<Enum>(index);
    }
    return {};
}

//! Reads a list and appends its items to \p out. \p parse converts one item
//! from its JSON and its path. An absent list leaves \p out as it is.
template <class Parse, class Item>
base::result<void> read_list(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, Parse parse, std::vector<Item>& out)
{
    BOOST_LEAF_CHECK(check_list(json, place, name, range));
    if (!json.contains(name))
    {
        return {};
    }
    for (std::size_t i = 0; i < json[name].size(); ++i)
    {
        const auto item_place =
            place + "." + name + "[" + std::to_string(i) + "]";
        BOOST_LEAF_AUTO(item, parse(json[name][i], item_place));
        out.push_back(std::move(item));
    }
    return {};
}
} // namespace bilberrytally::schema::internal
