#include "http/http_types.hpp"

#include <algorithm>
#include <array>

namespace bilberrytally::http
{
namespace
{
//! The hop-by-hop headers, and content-length and expect, which are generated
//! for each connection.
constexpr std::array<std::string_view, 11> unforwarded_headers{
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect"};
} // namespace

std::string_view find_header(const header_list& headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(),
        [&](const auto& header) { return header.name == name; });
    return found == headers.end() ? std::string_view{} : found->value;
}

bool is_hop_by_hop(std::string_view name)
{
    return std::find(
               unforwarded_headers.begin(), unforwarded_headers.end(), name) !=
           unforwarded_headers.end();
}
} // namespace bilberrytally::http
