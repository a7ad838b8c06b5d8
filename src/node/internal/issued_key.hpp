#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrytally::node
{
//! An idempotency key issued by a node; it names its home.
struct issued_key
{
    std::string host;
    std::uint32_t port{0};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};

    bool operator==(const issued_key&) const = default;

    //! Text with a tag, so that callers cannot make keys up.
    std::string format(std::string_view secret) const;

    //! True for texts of the form that nodes issue.
    static bool has_form(std::string_view text);

    //! Nothing where the tag is wrong.
    static std::optional<issued_key>
    parse(std::string_view text, std::string_view secret);
};
} // namespace bilberrytally::node
