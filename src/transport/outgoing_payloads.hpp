#pragma once

#include "base/shared_text.hpp"
#include "schema/messages.hpp"
#include "transport/outgoing_message.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytally::transport
{
//! The messages of a connection whose payload is too large for one frame, on
//! the sending side. Each is offered to the peer, and sent piece by piece once
//! the peer has accepted it, one after the other.
class outgoing_payloads
{
public:
    //! A piece of an accepted payload.
    struct piece
    {
        std::uint64_t id{0};
        base::shared_text payload;
        //! The part of \c payload to send.
        std::string_view data;
        //! Memory of the whole payload.
        held_memory held;
    };

    //! Adds a message; returns the offer to send.
    schema::payload_offer add(outgoing_message message);

    //! The peer accepts an offer.
    void accept(std::uint64_t id);

    //! Removes a message of which the last piece was not taken yet, for example
    //! since the peer declines it.
    std::optional<outgoing_message> remove(std::uint64_t id);

    //! The offer of the message of this kind for this call.
    std::optional<std::uint64_t>
    find(frame_kind kind, std::uint64_t call) const;

    //! Takes the next piece of the accepted payloads.
    std::optional<piece> next_piece();

    //! Ids of the calls that the messages would send.
    std::vector<std::uint64_t> sent_calls() const;

    //! Number of messages of which the last piece was not taken yet.
    std::size_t size() const;

    void clear();

private:
    std::uint64_t last_id{0};
    std::map<std::uint64_t, outgoing_message> messages;
    //! Ids of accepted offers in the order of acceptance.
    std::deque<std::uint64_t> accepted;
    //! Bytes taken of the payload that is accepted first.
    std::size_t taken{0};
};
} // namespace bilberrytally::transport
