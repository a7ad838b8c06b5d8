#pragma once

#include "transport/frame.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bilberrytally::transport
{
//! A frame as it was received, before its checksum and tag are verified.
struct received_frame
{
    frame_header header;
    header_bytes header_as_sent{};
    std::string body;
    std::string payload;
};

//! Splits the bytes of a connection into frames. Many small frames are read at
//! once; the body of a frame that exceeds the buffer is read in place.
class frame_buffer
{
public:
    //! \p max_body is the largest body length accepted, in bytes.
    explicit frame_buffer(std::size_t max_body);

    //! Changes the limit for the frames that follow.
    void set_max_body(std::size_t bytes);

    //! Where the next bytes are to be stored; never empty after next() has
    //! returned nothing. Valid until the next call of commit() or next().
    std::span<char> free_space();

    //! Adds \p count bytes that were stored in free_space().
    void commit(std::size_t count);

    //! Takes the next complete frame; nothing if bytes are missing or a header
    //! is invalid, see error().
    std::optional<received_frame> next();

    //! Why the bytes cannot be read as frames.
    frame_error error() const;

private:
    std::size_t stored() const;
    //! The part of the large frame that is received next.
    std::span<char> missing_of_large();
    std::optional<received_frame> take_large();
    void begin_large(const frame_header& header, const header_bytes& as_sent);

    std::size_t max_body;
    frame_error problem{frame_error::none};
    std::vector<char> bytes;
    //! The part of \c bytes that holds received bytes.
    std::size_t begin{0};
    std::size_t end{0};
    //! A frame whose body does not fit in \c bytes.
    std::optional<received_frame> large;
    std::size_t large_received{0};
};
} // namespace bilberrytally::transport
