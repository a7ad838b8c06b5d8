#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberrytally::schema::internal
{
constexpr std::uint64_t no_maximum = UINT64_MAX;

//! Bounds of a setting: value of a number, length of a text.
struct setting_bounds
{
    bool required;
    std::uint64_t minimum;
    std::uint64_t maximum;
};

//! The keys of an INI file, taken one by one so that unknown ones remain.
class ini_fields
{
public:
    //! Reads the file; a syntax error names its line.
    static base::result<ini_fields> read(const std::string& file);

    base::result<void> take(
        const char* section, const char* key, setting_bounds range,
        std::string& out);
    base::result<void> take(
        const char* section, const char* key, setting_bounds range,
        std::uint32_t& out);
    base::result<void>
    take(const char* section, const char* key, setting_bounds range, bool& out);

    base::result<void> take(
        const char* section, const char* key, setting_bounds range,
        double& out);
    //! A port, written alone or as IP:port.
    base::result<void> take_port(
        const char* section, const char* key, setting_bounds range,
        std::uint32_t& out);

    //! Fails on a text that is not among the allowed ones.
    base::result<void> check_one_of(
        const char* section, const char* key,
        const std::vector<std::string>& allowed,
        const std::string& value) const;

    //! Fails on the first key that no setting has taken.
    base::result<void> check_all_taken() const;

private:
    using name = std::pair<std::string, std::string>;

    //! Moves the raw text of a key to \p text; false where it is absent.
    base::result<bool> extract(
        const char* section, const char* key, bool required, std::string& text);
    base::result<void> parse_number(
        const char* section, const char* key, setting_bounds range,
        std::string_view text, std::uint32_t& out) const;
    std::string place(const std::string& section, const std::string& key) const;

    std::string file;
    std::map<name, std::string> values;
};
} // namespace bilberrytally::schema::internal
