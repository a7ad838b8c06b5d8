#pragma once

#include "base/shared_text.hpp"
#include "schema/messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytally::http
{
//! Header fields in the order received or to be sent.
using header_list = std::vector<schema::header>;

//! Returns the value of the first header with this name (names are compared
//! exactly; received names are lower case), or an empty text.
std::string_view find_header(const header_list& headers, std::string_view name);

//! Returns true for headers that must not be forwarded: they concern a single
//! connection (RFC 9110) or are generated for each one (content-length,
//! expect). \p name is in lower case.
bool is_hop_by_hop(std::string_view name);

//! A request received by the server or sent by the client.
struct request
{
    std::string method;
    //! Path and query.
    std::string target;
    header_list headers;
    base::shared_text body;
};

//! A response sent by the server or received by the client.
struct response
{
    std::uint32_t status{200};
    header_list headers;
    std::string body;
    //! Server only: close the connection after this response.
    bool close{false};
};
} // namespace bilberrytally::http
