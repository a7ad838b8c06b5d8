#include "node/internal/issued_key.hpp"

#include "base/hash.hpp"

#include <array>
#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace bilberrytally::node
{
namespace
{
constexpr std::string_view prefix = "bt1_";
constexpr char separator = '_';
constexpr std::size_t tag_bytes = 8;

std::string compute_tag(std::string_view text, std::string_view secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(
        EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(),
        digest.data(), &length);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < tag_bytes; ++i)
    {
        value = (value << 8U) | digest[i];
    }
    return base::to_hex(value);
}

std::string_view take_last_field(std::string_view& text)
{
    const auto position = text.rfind(separator);
    if (position == std::string_view::npos)
    {
        return {};
    }
    const auto part = text.substr(position + 1);
    text = text.substr(0, position);
    return part;
}

template <class Number>
bool parse_number(std::string_view text, int numeral_base, Number& out)
{
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, out, numeral_base);
    return result.ec == std::errc{} && result.ptr == end;
}
} // namespace

std::string issued_key::format(std::string_view secret) const
{
    const auto text = std::string(prefix) + this->host + separator +
                      std::to_string(this->port) + separator +
                      base::to_hex(this->incarnation) + separator +
                      std::to_string(this->sequence);
    return text + separator + compute_tag(text, secret);
}

bool issued_key::has_issued_prefix(std::string_view text)
{
    return text.starts_with(prefix);
}

std::optional<issued_key>
issued_key::parse(std::string_view text, std::string_view secret)
{
    const auto tag = take_last_field(text);
    const auto expected = compute_tag(text, secret);
    const bool tag_matches =
        tag.size() == expected.size() &&
        CRYPTO_memcmp(tag.data(), expected.data(), expected.size()) == 0;
    if (!tag_matches || !has_issued_prefix(text))
    {
        return std::nullopt;
    }
    constexpr int decimal = 10;
    constexpr int hexadecimal = 16;
    issued_key key;
    const bool complete =
        parse_number(take_last_field(text), decimal, key.sequence) &&
        parse_number(take_last_field(text), hexadecimal, key.incarnation) &&
        parse_number(take_last_field(text), decimal, key.port);
    if (!complete)
    {
        return std::nullopt;
    }
    key.host = text.substr(prefix.size());
    return key;
}
} // namespace bilberrytally::node
