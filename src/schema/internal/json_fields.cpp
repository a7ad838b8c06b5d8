#include "schema/internal/json_fields.hpp"

namespace bilberrytally::schema::internal
{
namespace
{
//! Path of the field \p name of the object at \p place.
std::string at(const std::string& place, std::string_view name)
{
    return place + "." + std::string(name);
}

std::string range_text(bounds range)
{
    const auto last = range.maximum == no_maximum
                          ? std::string("unlimited")
                          : std::to_string(range.maximum);
    return std::to_string(range.minimum) + " to " + last;
}

//! False if the field is absent; an error if it is required, too.
base::result<bool> is_present(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range)
{
    if (json.contains(name))
    {
        return true;
    }
    if (range.required)
    {
        return base::fail(at(place, name), "missing, it is required");
    }
    return false;
}

template <class Number>
base::result<void> read_number(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, Number& out)
{
    BOOST_LEAF_AUTO(present, is_present(json, place, name, range));
    if (!present)
    {
        return {};
    }
    const auto& value = json[name];
    const auto expected = "expected a whole number, " + range_text(range);
    if (!value.is_number_unsigned())
    {
        return base::fail(at(place, name), expected);
    }
    const auto number = value.get<std::uint64_t>();
    if (number < range.minimum || number > range.maximum)
    {
        return base::fail(at(place, name), expected);
    }
    out = static_cast<Number>(number);
    return {};
}
} // namespace

base::result<void> check_object(
    const nlohmann::json& json, const std::string& place,
    const std::vector<std::string_view>& known)
{
    if (!json.is_object())
    {
        return base::fail(place, "expected an object");
    }
    for (const auto& [key, value] : json.items())
    {
        if (std::find(known.begin(), known.end(), key) == known.end())
        {
            return base::fail(at(place, key), "unknown key");
        }
    }
    return {};
}

base::result<void> read_field(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, std::string& out)
{
    BOOST_LEAF_AUTO(present, is_present(json, place, name, range));
    if (!present)
    {
        return {};
    }
    if (!json[name].is_string())
    {
        return base::fail(at(place, name), "expected a text");
    }
    out = json[name].get<std::string>();
    if (out.size() < range.minimum || out.size() > range.maximum)
    {
        return base::fail(
            at(place, name), "expected a text of length " + range_text(range));
    }
    return {};
}

base::result<void> read_field(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, std::uint32_t& out)
{
    range.maximum = std::min<std::uint64_t>(range.maximum, UINT32_MAX);
    return read_number(json, place, name, range, out);
}

base::result<void> read_field(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, std::uint64_t& out)
{
    return read_number(json, place, name, range, out);
}

base::result<void> read_field(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range, bool& out)
{
    BOOST_LEAF_AUTO(present, is_present(json, place, name, range));
    if (!present)
    {
        return {};
    }
    if (!json[name].is_boolean())
    {
        return base::fail(at(place, name), "expected true or false");
    }
    out = json[name].get<bool>();
    return {};
}

base::result<void> check_prefix(
    const std::string& place, const char* name, std::string_view prefix,
    std::string_view value)
{
    if (!value.starts_with(prefix))
    {
        return base::fail(
            at(place, name),
            "expected a text that starts with " + std::string(prefix));
    }
    return {};
}

base::result<int> enum_index(
    const nlohmann::json& json, const std::string& place, const char* name,
    const std::vector<std::string_view>& allowed)
{
    if (!json.contains(name))
    {
        return -1;
    }
    const auto& value = json[name];
    for (std::size_t i = 0; i < allowed.size() && value.is_string(); ++i)
    {
        if (value.get<std::string>() == allowed[i])
        {
            return static_cast<int>(i);
        }
    }
    std::string names;
    for (const auto item : allowed)
    {
        names += (names.empty() ? "" : ", ") + std::string(item);
    }
    return base::fail(at(place, name), "expected one of " + names);
}

base::result<void> check_list(
    const nlohmann::json& json, const std::string& place, const char* name,
    bounds range)
{
    BOOST_LEAF_AUTO(present, is_present(json, place, name, range));
    if (!present)
    {
        return {};
    }
    if (!json[name].is_array())
    {
        return base::fail(at(place, name), "expected a list");
    }
    if (json[name].size() < range.minimum)
    {
        return base::fail(
            at(place, name), "expected a list of length " + range_text(range));
    }
    return {};
}
} // namespace bilberrytally::schema::internal
