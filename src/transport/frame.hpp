#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace bilberrytally::transport
{
//! Kind of a message between nodes; the value is sent on the wire.
enum class frame_kind : std::uint32_t
{
    hello = 1, //!< First frame in each direction of a connection.
    call,
    answer,
    cancel,
    availability_notice, //!< The sender's availability (draining) changed.
    crash_report,        //!< A crash report about a suspected request.
    document,            //!< A configuration document.
    bucket_summary,      //!< Bucket hashes of the documents in force.
    bucket_ids,          //!< Ids of the documents in the buckets that differ.
    gossip_digest,       //!< Gossip digest of the configuration, a datagram.
    ping,
    pong,
    directory_digest, //!< Gossip digest of the directory, a datagram.
    item_query,       //!< Asks a peer for items of the directory.
    item_list,        //!< Items of the directory.
    crash_query,      //!< Asks a peer for the crash reports that it knows.
    quota_request,    //!< Asks a holder of quota slots for tokens, a datagram.
    quota_grant,      //!< Tokens of quota slots, a datagram.
    unanswered_calls, //!< Calls whose answers were lost with a connection.
    payload_offer,    //!< A message with a payload too large for one frame.
    payload_accept,   //!< The offered payload may be sent.
    payload_decline,  //!< The offered message is not taken.
    payload_withdraw, //!< The offered message is not sent any more.
    payload_piece,    //!< A piece of an accepted payload.
};

//! Contents of the fixed-size header that precedes each body.
struct frame_header
{
    //! A frame_kind; not validated.
    std::uint32_t kind{0};
    //! Body length in bytes.
    std::uint32_t length{0};
    //! Length of the payload, the last part of the body: bytes that belong to
    //! the message but are not serialized with it.
    std::uint32_t payload{0};
    //! Sequence number of the frame in its connection, from 1; 0 in datagrams.
    std::uint64_t sequence{0};
    //! Session id that the receiver announced in its hello; 0 before that and
    //! in datagrams.
    std::uint64_t session{0};
    //! Send time on the sender's monotonic clock, in ms.
    std::int64_t sent_at{0};
    //! Send time on the sender's hybrid logical clock.
    std::uint64_t logical_time{0};

    bool operator==(const frame_header&) const = default;
};

//! Memory that counts as held until the last copy is gone.
using held_memory = std::shared_ptr<void>;

//! A received frame that passed all checks.
struct frame
{
    frame_kind kind{frame_kind::hello};
    //! The serialized message.
    std::string body;
    std::string payload;
    //! Queueing delay on the way, see delay_meter; 0 for datagrams.
    base::duration_ms delay;
    //! Send time on the sender's hybrid logical clock.
    std::uint64_t logical_time{0};
    //! Memory reserved for the payload; null for a small one.
    held_memory held;
};

//! Why a received frame was rejected.
enum class frame_error
{
    none,
    garbage,  //!< Unknown magic number or version, or shorter than a header.
    oversize, //!< The body is longer than allowed.
    bad_tag,  //!< The authentication tag or the checksum is wrong.
    replayed, //!< Unexpected sequence number or session id after the handshake.
    malformed, //!< Undecodable body, or no valid hello as the first frame.
};

//! Name of the error, as used in logs.
const char* to_string(frame_error error);

//! Size of an encoded header.
constexpr std::size_t frame_header_bytes = 72;
//! An encoded header: the header fields, a checksum and a tag.
using header_bytes = std::array<char, frame_header_bytes>;
} // namespace bilberrytally::transport
