#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace bilberrytally::transport
{
//! Kind of a message between nodes.
enum class frame_kind : std::uint32_t
{
    hello = 1,
    call,
    answer,
    cancel,
    notice,
    strike,
    document,
    summary,
    bucket_ids,
    digest,
    ping,
    pong,
    directory_digest,
    item_query,
    item_list,
};

//! Fixed part before each body, in the byte order of the wire.
struct frame_header
{
    std::uint32_t kind{0};
    //! Body length in bytes.
    std::uint32_t length{0};
    //! Position in the connection, rising by one.
    std::uint64_t sequence{0};
    //! Session that the receiver announced; 0 before it has.
    std::uint64_t session{0};
    //! Sender's monotonic clock, ms.
    std::int64_t sent_at{0};
    //! Sender's hybrid logical time.
    std::uint64_t logical_time{0};

    bool operator==(const frame_header&) const = default;
};

//! A received message.
struct frame
{
    frame_kind kind{frame_kind::hello};
    std::string body;
    //! Time that the frame spent in buffers on its way, beyond the usual.
    base::duration_ms delay;
    std::uint64_t logical_time{0};
};

//! Why received bytes were dropped.
enum class frame_error
{
    none,
    garbage,   //!< Unknown magic or version.
    oversize,  //!< Longer than allowed.
    bad_tag,   //!< The keyed tag or the checksum is wrong.
    replayed,  //!< Sequence or session is not the expected one.
    malformed, //!< The body is not a message of its kind.
};

const char* to_string(frame_error error);

constexpr std::size_t frame_header_bytes = 72;
using header_bytes = std::array<char, frame_header_bytes>;
} // namespace bilberrytally::transport
