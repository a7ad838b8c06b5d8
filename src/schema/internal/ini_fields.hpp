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
//! Maximum of a setting without an upper bound.
constexpr std::uint64_t no_maximum = UINT64_MAX;

//! Bounds of a setting: the value of a number or the length of a text in
//! bytes.
struct setting_bounds
{
    bool required;
    std::uint64_t minimum;
    std::uint64_t maximum;
};

//! The values of an INI file by section and key. Reading a value removes it,
//! so that the values left in the end belong to unknown keys.
class ini_fields
{
public:
    //! Parses \p file; a syntax error names its line.
    static base::result<ini_fields> read(const std::string& file);

    //! Moves a value to \p out and checks it. An absent key leaves \p out as it
    //! is, and is an error if it is required.
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
    //! Like take(), for a port that is written alone or as IP:port.
    base::result<void> take_port(
        const char* section, const char* key, setting_bounds range,
        std::uint32_t& out);

    //! Fails if \p value is not one of the allowed texts.
    base::result<void> check_one_of(
        const char* section, const char* key,
        const std::vector<std::string>& allowed,
        const std::string& value) const;

    //! Fails on the first key that was not taken.
    base::result<void> check_no_unknown_keys() const;

private:
    //! Section and key.
    using qualified_key = std::pair<std::string, std::string>;

    //! Moves the raw text of a key to \p text; false if the key is absent.
    base::result<bool> extract(
        const char* section, const char* key, bool required, std::string& text);
    base::result<void> parse_number(
        const char* section, const char* key, setting_bounds range,
        std::string_view text, std::uint32_t& out) const;
    //! Location of a key for error messages: file, section and key.
    std::string place(const std::string& section, const std::string& key) const;

    std::string file;
    std::map<qualified_key, std::string> values;
};
} // namespace bilberrytally::schema::internal
