#pragma once

#include "decisions/memory_shares.hpp"
#include "transport/frame.hpp"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace bilberrytally::node
{
//! Counts what this process holds for other nodes and for responses, and
//! decides whether more may be held. What clients make it hold is counted by
//! the HTTP servers. Thread-safe.
class memory_account
{
public:
    //! \p machine_bytes is the memory of the machine, 0 for no limit; \p
    //! context runs the HTTP servers.
    memory_account(asio::io_context& context, std::uint64_t machine_bytes);

    //! Sets the bytes of the backend server's unfinished responses. To be set
    //! before the first call arrives.
    void set_unfinished_responses(std::function<std::uint64_t()> bytes);

    //! Holds memory as long as the result lives; null if there is no room.
    transport::held_memory
    reserve(decisions::memory_use use, std::uint64_t bytes);

    //! Holds memory that is needed in any case.
    transport::held_memory hold(decisions::memory_use use, std::uint64_t bytes);

    //! Most that the backend server's unfinished responses may hold now.
    std::uint64_t room_for_unfinished_responses() const;

    //! True if one client may hold more than the share of all clients. Takes no
    //! lock.
    bool allows_large_client() const;

    decisions::held_bytes held() const;

private:
    struct counters
    {
        std::atomic<std::uint64_t> calls{0};
        std::atomic<std::uint64_t> responses{0};
        std::atomic<std::uint64_t> answers{0};
    };

    static std::atomic<std::uint64_t>&
    counter_of(counters& all, decisions::memory_use use);
    //! What is held for all but clients.
    decisions::held_bytes held_for_others() const;

    asio::io_context& context;
    decisions::memory_shares shares;
    //! Shared with what reserve() and hold() return.
    std::shared_ptr<counters> counted;
    std::function<std::uint64_t()> unfinished_responses;
};
} // namespace bilberrytally::node
