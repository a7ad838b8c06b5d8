#pragma once

#include "base/shared_text.hpp"
#include "transport/frame.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace bilberrytally::transport
{
//! A message to be sent to a peer.
struct outgoing_message
{
    frame_kind kind{frame_kind::hello};
    //! The serialized message without its payload.
    std::string body;
    base::shared_text payload;
    //! Id of the call that a call or an answer carries; 0 for none.
    std::uint64_t call{0};
    //! Memory that is held until the message is written; may be null.
    held_memory held;

    //! A message that carries no call and has no payload.
    static outgoing_message plain(frame_kind kind, std::string body = {})
    {
        return {kind, std::move(body), {}, 0, nullptr};
    }

    //! Id of the call that this message sends; 0 if it sends none.
    std::uint64_t sent_call() const
    {
        return this->kind == frame_kind::call ? this->call : 0;
    }
};
} // namespace bilberrytally::transport
