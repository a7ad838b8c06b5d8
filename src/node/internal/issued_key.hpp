#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrytally::node
{
//! An idempotency key issued by a node. It contains the address of that node,
//! which is the home of the key: the node that holds the record of its sends.
struct issued_key
{
    std::string host;
    std::uint32_t port{0};
    //! Incarnation of the issuing process: a random number that it drew at its
    //! start.
    std::uint64_t incarnation{0};
    //! Sequence number of the key at the issuing process.
    std::uint64_t sequence{0};

    bool operator==(const issued_key&) const = default;

    //! Text form, with an authentication tag so that callers cannot forge keys.
    std::string format(std::string_view secret) const;

    //! True for texts with the prefix of issued keys.
    static bool has_issued_prefix(std::string_view text);

    //! Parses a key; nothing where the tag or the form is wrong.
    static std::optional<issued_key>
    parse(std::string_view text, std::string_view secret);
};
} // namespace bilberrytally::node
