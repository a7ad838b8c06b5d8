#include "http/internal/request_rule.hpp"

#include <algorithm>
#include <cctype>

namespace bilberrytally::http
{
namespace
{
constexpr std::string_view host_name = "host";
constexpr std::string_view coding_name = "transfer-encoding";
constexpr std::string_view chunked_coding = "chunked";

bool is_token_character(unsigned char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return is_letter || (c >= '0' && c <= '9') ||
           symbols.find(static_cast<char>(c)) != std::string_view::npos;
}

//! \p lower is in lower case.
bool equals_ignoring_case(std::string_view text, std::string_view lower)
{
    return std::equal(
        text.begin(), text.end(), lower.begin(), lower.end(),
        [](unsigned char one, char other)
        { return std::tolower(one) == other; });
}
} // namespace

bool is_token_part(std::string_view name)
{
    return std::all_of(name.begin(), name.end(), is_token_character);
}

void request_head_check::add_field(
    std::string_view name, std::string_view value)
{
    if (equals_ignoring_case(name, host_name))
    {
        ++this->hosts;
    }
    else if (equals_ignoring_case(name, coding_name))
    {
        ++this->codings;
        this->has_unknown_coding |=
            !equals_ignoring_case(value, chunked_coding);
    }
}

bool request_head_check::is_unambiguous(bool has_length) const
{
    return this->hosts <= 1 && this->codings <= 1 &&
           !this->has_unknown_coding && !(this->codings > 0 && has_length);
}
} // namespace bilberrytally::http
