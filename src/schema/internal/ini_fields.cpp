#include "schema/internal/ini_fields.hpp"

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <charconv>

namespace bilberrytally::schema::internal
{
namespace
{
std::string range_text(setting_bounds range)
{
    const auto last = range.maximum == no_maximum
                          ? std::string("unlimited")
                          : std::to_string(range.maximum);
    return std::to_string(range.minimum) + " to " + last;
}
} // namespace

base::result<ini_fields> ini_fields::read(const std::string& file)
{
    namespace property_tree = boost::property_tree;
    property_tree::ptree tree;
    try
    {
        property_tree::read_ini(file, tree);
    }
    catch (const property_tree::ini_parser_error& failure)
    {
        const auto line = failure.line() == 0
                              ? std::string()
                              : ":" + std::to_string(failure.line());
        std::string place = file;
        place += line;
        return base::fail(
            place, failure.message() +
                       ", expected [section], key = value or a comment");
    }
    ini_fields fields;
    fields.file = file;
    for (const auto& [section, keys] : tree)
    {
        if (keys.empty())
        {
            std::string place = file;
            place += ": ";
            place += section;
            return base::fail(place, "expected a key within a [section]");
        }
        for (const auto& [key, value] : keys)
        {
            fields.values.emplace(qualified_key{section, key}, value.data());
        }
    }
    return fields;
}

base::result<bool> ini_fields::extract(
    const char* section, const char* key, bool required, std::string& text)
{
    const auto found = this->values.find({section, key});
    if (found != this->values.end())
    {
        text = found->second;
        this->values.erase(found);
        return true;
    }
    if (required)
    {
        return base::fail(this->place(section, key), "missing, it is required");
    }
    return false;
}

base::result<void> ini_fields::take(
    const char* section, const char* key, setting_bounds range,
    std::string& out)
{
    BOOST_LEAF_AUTO(found, this->extract(section, key, range.required, out));
    if (found && (out.size() < range.minimum || out.size() > range.maximum))
    {
        return base::fail(
            this->place(section, key),
            "expected a text of length " + range_text(range));
    }
    return {};
}

base::result<void> ini_fields::take(
    const char* section, const char* key, setting_bounds range,
    std::uint32_t& out)
{
    std::string text;
    BOOST_LEAF_AUTO(found, this->extract(section, key, range.required, text));
    if (!found)
    {
        return {};
    }
    return this->parse_number(section, key, range, text, out);
}

base::result<void> ini_fields::take(
    const char* section, const char* key, setting_bounds range, double& out)
{
    std::string text;
    BOOST_LEAF_AUTO(found, this->extract(section, key, range.required, text));
    if (!found)
    {
        return {};
    }
    double number = 0;
    const bool whole = boost::conversion::try_lexical_convert(text, number);
    const bool within = number >= static_cast<double>(range.minimum) &&
                        number <= static_cast<double>(range.maximum);
    if (!whole || !within)
    {
        return base::fail(
            this->place(section, key),
            "expected a number, " + range_text(range) + ", not '" + text + "'");
    }
    out = number;
    return {};
}

base::result<void> ini_fields::take_port(
    const char* section, const char* key, setting_bounds range,
    std::uint32_t& out)
{
    std::string text;
    BOOST_LEAF_AUTO(found, this->extract(section, key, range.required, text));
    if (!found)
    {
        return {};
    }
    const auto colon = text.rfind(':');
    const auto start = colon == std::string::npos ? 0 : colon + 1;
    const auto port = std::string_view(text).substr(start);
    return this->parse_number(section, key, range, port, out);
}

base::result<void> ini_fields::parse_number(
    const char* section, const char* key, setting_bounds range,
    std::string_view text, std::uint32_t& out) const
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [last, status] = std::from_chars(text.data(), end, number);
    const bool whole = status == std::errc{} && last == end;
    if (!whole || number < range.minimum || number > range.maximum)
    {
        return base::fail(
            this->place(section, key), "expected a whole number, " +
                                           range_text(range) + ", not '" +
                                           std::string(text) + "'");
    }
    out = static_cast<std::uint32_t>(number);
    return {};
}

base::result<void> ini_fields::take(
    const char* section, const char* key, setting_bounds range, bool& out)
{
    std::string text;
    BOOST_LEAF_AUTO(found, this->extract(section, key, range.required, text));
    if (!found)
    {
        return {};
    }
    if (text != "true" && text != "false")
    {
        return base::fail(
            this->place(section, key),
            "expected true or false, not '" + text + "'");
    }
    out = text == "true";
    return {};
}

base::result<void> ini_fields::check_one_of(
    const char* section, const char* key,
    const std::vector<std::string>& allowed, const std::string& value) const
{
    std::string names;
    for (const auto& item : allowed)
    {
        if (item == value)
        {
            return {};
        }
        names += names.empty() ? "" : ", ";
        names += item;
    }
    return base::fail(
        this->place(section, key),
        "expected one of " + names + ", not '" + value + "'");
}

base::result<void> ini_fields::check_no_unknown_keys() const
{
    if (this->values.empty())
    {
        return {};
    }
    const auto& [section, key] = this->values.begin()->first;
    return base::fail(this->place(section, key), "unknown key");
}

std::string
ini_fields::place(const std::string& section, const std::string& key) const
{
    return this->file + ": [" + section + "] " + key;
}
} // namespace bilberrytally::schema::internal
