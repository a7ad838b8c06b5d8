#pragma once

#include <string_view>

//! What of a request must be well-formed beside what RESTinio's parser checks.
//! That parser accepts blanks in names, and a request that servers read in two
//! ways hides another one or evades what is done to a field by its name.
namespace bilberrytally::http
{
//! True if this part of a field's name has only the characters of a token
//! (RFC 9110).
bool is_token_part(std::string_view name);

//! Counts the fields of a head that decide where the request ends and to whom
//! it goes.
class request_head_check
{
public:
    void add_field(std::string_view name, std::string_view value);

    //! False if the head can be read in two ways. \p has_length tells whether
    //! it states the length of the body.
    bool is_unambiguous(bool has_length) const;

private:
    int hosts{0};
    int codings{0};
    bool has_unknown_coding{false};
};
} // namespace bilberrytally::http
