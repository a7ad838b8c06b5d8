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
constexpr std::uint64_t no_maximum = UINT64_MAX;

//! Bounds of a field: value of a number, length of a text or list.
struct bounds
{
    bool required;
    std::uint64_t minimum;
    std::uint64_t maximum;
};

//! Checks that \p json is an object with known keys only.
base::result<void> check_object(
    const nlohmann::json& json, const std::string& place,
    const std::vector<std::string_view>& known);

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

//! Checks that a text starts as required.
base::result<void> check_prefix(
    const std::string& place, const char* name, std::string_view prefix,
    std::string_view value);

//! Index of a text among the allowed ones; nothing where the key is absent.
base::result<int> enum_index(
    const nlohmann::json& json, const std::string& place, const char* name,
    const std::vector<std::string_view>& allowed);

//! Checks presence and length of a list.
base::result<void> check_list(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range);

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
