#pragma once

#include <cstdint>

namespace bilberrytally::decisions
{
//! What memory is held for.
enum class memory_use
{
    clients,   //!< Connections of clients, their requests and their responses.
    calls,     //!< Calls of other nodes, from their offer to their answer.
    responses, //!< Responses of the backend server, until they are passed on.
    answers,   //!< Answers of other nodes while they are received.
};

//! Bytes held for each use.
struct held_bytes
{
    std::uint64_t clients{0};
    std::uint64_t calls{0};
    std::uint64_t responses{0};
    std::uint64_t answers{0};

    bool operator==(const held_bytes&) const = default;

    std::uint64_t total() const;
    std::uint64_t of(memory_use use) const;
};

//! Shares out the memory of a machine. All uses together get half of it, one of
//! them a quarter at most; the rest is for the node itself and for what is held
//! uncounted. Whatever the others hold, each use keeps a small share, so that
//! no two of them wait for each other.
class memory_shares
{
public:
    //! \p machine_bytes is the memory of the machine; 0 for no limit.
    explicit memory_shares(std::uint64_t machine_bytes);

    //! What each use keeps whatever the others hold.
    std::uint64_t least_share() const;

    //! Most that may be held for a use beside what is held for the others.
    std::uint64_t room(memory_use use, const held_bytes& held) const;

    //! True if \p bytes more may be held for a use. A single large message
    //! passes if hardly anything else is held; small ones get a little more
    //! than the share.
    bool
    has_room(memory_use use, std::uint64_t bytes, const held_bytes& held) const;

    //! True if a single client may hold more than the share of all clients,
    //! given what is held for the other uses.
    bool allows_large_client(std::uint64_t held_for_others) const;

private:
    //! True if a single large message may pass beside these bytes.
    bool is_hardly_used(std::uint64_t bytes) const;

    std::uint64_t machine_bytes;
};
} // namespace bilberrytally::decisions
