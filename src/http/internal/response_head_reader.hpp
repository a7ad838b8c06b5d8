#pragma once

#include "http/http_types.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrytally::http
{
//! Reads the heads and trailers of a response line by line, and rejects what is
//! not well-formed. For a client whose library frames the response itself.
class response_head_reader
{
public:
    //! Adds a line with its end. False if the transfer must end.
    bool add_line(std::string_view line);

    //! True if the last head was read to its end.
    bool is_complete() const;

    bool is_too_large() const;

    //! Headers of the last complete head.
    const header_list& headers() const;

private:
    void add_to_head(std::string_view line, bool is_first);

    //! Of all heads, interim ones included, and of trailers.
    std::uint64_t received_bytes{0};
    //! Lines of the head that is being read.
    std::string head;
    bool complete{false};
    bool malformed{false};
    header_list parsed_headers;
};
} // namespace bilberrytally::http
