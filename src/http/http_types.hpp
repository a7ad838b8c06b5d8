#pragma once

#include "schema/messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytally::http
{
using header_list = std::vector<schema::header>;

//! Value of a header (name in lower case), or an empty text.
std::string_view find_header(const header_list& headers, std::string_view name);

//! True for headers that concern one connection only (RFC 9110).
bool is_hop_by_hop(std::string_view name);

//! A request received by the server or sent by the client.
struct request
{
    std::string method;
    //! Path with query.
    std::string target;
    header_list headers;
    std::string body;
};

//! An answer sent by the server or received by the client.
struct response
{
    std::uint32_t status{200};
    header_list headers;
    std::string body;
    //! Close the connection after this answer.
    bool close{false};
};
} // namespace bilberrytally::http
