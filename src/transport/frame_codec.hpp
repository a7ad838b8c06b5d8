#pragma once

#include "transport/frame.hpp"

#include <memory>
#include <string>
#include <string_view>

struct evp_mac_ctx_st;

namespace bilberrytally::transport
{
//! Writes and checks frames: magic, version, lengths, checksum and a keyed
//! tag (HMAC-SHA-256, truncated). Not safe for use by two threads at once.
class frame_codec
{
public:
    explicit frame_codec(std::string_view key);

    //! Header bytes, checksum and tag for a body.
    header_bytes seal(const frame_header& header, std::string_view body);

    //! Reads the header before its body is there; \p max_body in bytes.
    static frame_error parse_header(
        const header_bytes& bytes, std::size_t max_body, frame_header& out);

    //! Checks checksum and tag once the body is there.
    frame_error check(const header_bytes& bytes, std::string_view body);

private:
    struct context_deleter
    {
        void operator()(evp_mac_ctx_st* context) const;
    };
    using tag = std::array<char, 16>;

    tag compute_tag(const header_bytes& bytes, std::string_view body);

    std::unique_ptr<evp_mac_ctx_st, context_deleter> context;
};
} // namespace bilberrytally::transport
