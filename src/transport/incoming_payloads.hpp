#pragma once

#include "base/time.hpp"
#include "schema/messages.hpp"
#include "transport/frame.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrytally::transport
{
//! The messages that the peer of a connection offers, on the receiving side.
//! An offer waits until there is memory for its payload.
class incoming_payloads
{
public:
    //! A message that is offered or being received.
    struct message
    {
        frame_kind kind{frame_kind::hello};
        //! The serialized message without its payload.
        std::string body;
        std::uint64_t size{0};
        //! When the offer arrived, and how long it had taken.
        base::time_ms offered_at;
        base::duration_ms delay;
        //! Memory of the offer, and of the payload once it is accepted.
        held_memory held;
        bool accepted{false};
        std::string payload;
    };

    //! False if the id is used already.
    bool add(std::uint64_t id, message offered);

    //! The offer that has waited longest; null if none waits.
    const message* first_waiting() const;
    std::uint64_t first_waiting_id() const;
    std::size_t waiting_count() const;

    //! Makes room for the payload of the offer that has waited longest.
    void accept_first(held_memory held);

    //! Removes an offer or a message that is being received.
    bool remove(std::uint64_t id);

    //! Adds bytes to the payload of an accepted message. Returns it once it is
    //! complete. False in \p valid if no such bytes were due.
    std::optional<message>
    add_piece(std::uint64_t id, std::string_view data, bool& valid);

    void clear();

private:
    std::map<std::uint64_t, message> messages;
    //! Ids of the offers that wait; ids rise with time.
    std::map<std::uint64_t, const message*> waiting;
};
} // namespace bilberrytally::transport
