#include "transport/frame_codec.hpp"

#include "base/hash.hpp"

#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

namespace bilberrytally::transport
{
namespace
{
//! Identifies the protocol ("BTL") and, in the lowest byte, its version.
constexpr std::uint32_t magic = 0x42544c03;
// Layout of the header, as byte offsets: magic number 0, kind 4, body length
// 8, payload length 12, sequence number 16, session id 24, send time 32,
// logical time 40, checksum of the body 48, tag 56.
constexpr std::size_t checksum_offset = 48;
constexpr std::size_t tag_offset = 56;

//! Stores a number in host byte order; all nodes must have the same byte order.
template <class Number>
void put(header_bytes& bytes, std::size_t offset, Number value)
{
    std::memcpy(bytes.data() + offset, &value, sizeof(value));
}

//! Loads a number in host byte order.
template <class Number>
Number get(const header_bytes& bytes, std::size_t offset)
{
    Number value;
    std::memcpy(&value, bytes.data() + offset, sizeof(value));
    return value;
}

std::uint64_t checksum(std::string_view body, std::string_view payload)
{
    const auto body_hash = base::hash(body);
    return payload.empty() ? body_hash
                           : base::combine(body_hash, base::hash(payload));
}
} // namespace

const char* to_string(frame_error error)
{
    switch (error)
    {
    case frame_error::none:
        return "none";
    case frame_error::garbage:
        return "garbage";
    case frame_error::oversize:
        return "oversize";
    case frame_error::bad_tag:
        return "bad_tag";
    case frame_error::replayed:
        return "replayed";
    case frame_error::malformed:
        return "malformed";
    }
    return "unknown";
}

void frame_codec::context_deleter::operator()(evp_mac_ctx_st* context) const
{
    EVP_MAC_CTX_free(context);
}

frame_codec::frame_codec(std::string_view key)
{
    EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    this->mac_context.reset(EVP_MAC_CTX_new(algorithm));
    EVP_MAC_free(algorithm);
    char digest_name[] = "SHA256";
    const OSSL_PARAM parameters[] = {
        OSSL_PARAM_construct_utf8_string("digest", digest_name, 0),
        OSSL_PARAM_construct_end()};
    EVP_MAC_init(
        this->mac_context.get(),
        reinterpret_cast<const unsigned char*>(key.data()), key.size(),
        parameters);
}

header_bytes frame_codec::seal(
    const frame_header& header, std::string_view body, std::string_view payload)
{
    header_bytes bytes{};
    put(bytes, 0, magic);
    put(bytes, 4, header.kind);
    put(bytes, 8, header.length);
    put(bytes, 12, header.payload);
    put(bytes, 16, header.sequence);
    put(bytes, 24, header.session);
    put(bytes, 32, header.sent_at);
    put(bytes, 40, header.logical_time);
    put(bytes, checksum_offset, checksum(body, payload));
    const auto tag = this->compute_tag(bytes, body, payload);
    std::memcpy(bytes.data() + tag_offset, tag.data(), tag.size());
    return bytes;
}

frame_error frame_codec::parse_header(
    const header_bytes& bytes, std::size_t max_body, frame_header& out)
{
    if (get<std::uint32_t>(bytes, 0) != magic)
    {
        return frame_error::garbage;
    }
    out.kind = get<std::uint32_t>(bytes, 4);
    out.length = get<std::uint32_t>(bytes, 8);
    out.payload = get<std::uint32_t>(bytes, 12);
    out.sequence = get<std::uint64_t>(bytes, 16);
    out.session = get<std::uint64_t>(bytes, 24);
    out.sent_at = get<std::int64_t>(bytes, 32);
    out.logical_time = get<std::uint64_t>(bytes, 40);
    if (out.payload > out.length)
    {
        return frame_error::garbage;
    }
    return out.length > max_body ? frame_error::oversize : frame_error::none;
}

frame_error frame_codec::verify(
    const header_bytes& bytes, std::string_view body, std::string_view payload)
{
    if (get<std::uint64_t>(bytes, checksum_offset) != checksum(body, payload))
    {
        return frame_error::bad_tag;
    }
    const auto expected = this->compute_tag(bytes, body, payload);
    const bool same =
        CRYPTO_memcmp(
            bytes.data() + tag_offset, expected.data(), expected.size()) == 0;
    return same ? frame_error::none : frame_error::bad_tag;
}

frame_codec::tag frame_codec::compute_tag(
    const header_bytes& bytes, std::string_view body, std::string_view payload)
{
    const auto as_bytes = [](const char* data)
    { return reinterpret_cast<const unsigned char*>(data); };
    auto* mac = this->mac_context.get();
    EVP_MAC_init(mac, nullptr, 0, nullptr);
    EVP_MAC_update(mac, as_bytes(bytes.data()), tag_offset);
    EVP_MAC_update(mac, as_bytes(body.data()), body.size());
    EVP_MAC_update(mac, as_bytes(payload.data()), payload.size());
    std::array<unsigned char, EVP_MAX_MD_SIZE> full_tag{};
    std::size_t length = 0;
    EVP_MAC_final(mac, full_tag.data(), &length, full_tag.size());
    tag truncated{};
    std::memcpy(truncated.data(), full_tag.data(), truncated.size());
    return truncated;
}
} // namespace bilberrytally::transport
