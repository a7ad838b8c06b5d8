#pragma once

#include "transport/frame.hpp"

#include <memory>
#include <string>
#include <string_view>

struct evp_mac_ctx_st;

namespace bilberrytally::transport
{
//! Encodes and verifies frame headers: magic number with protocol version,
//! header fields, a checksum of the body and an authentication tag over header
//! and body (HMAC-SHA-256, truncated to 16 bytes). Not thread-safe.
class frame_codec
{
public:
    //! \p key is the HMAC key that all nodes share.
    explicit frame_codec(std::string_view key);

    //! Encodes the header of a frame with its checksum and tag. \p payload
    //! follows \p body.
    header_bytes seal(
        const frame_header& header, std::string_view body,
        std::string_view payload = {});

    //! Decodes a header before its body has arrived. \p max_body is the largest
    //! body length allowed, in bytes. Does not verify checksum and tag.
    static frame_error parse_header(
        const header_bytes& bytes, std::size_t max_body, frame_header& out);

    //! Verifies checksum and tag once the body has arrived.
    frame_error verify(
        const header_bytes& bytes, std::string_view body,
        std::string_view payload = {});

private:
    struct context_deleter
    {
        void operator()(evp_mac_ctx_st* context) const;
    };
    using tag = std::array<char, 16>;

    tag compute_tag(
        const header_bytes& bytes, std::string_view body,
        std::string_view payload);

    std::unique_ptr<evp_mac_ctx_st, context_deleter> mac_context;
};
} // namespace bilberrytally::transport
