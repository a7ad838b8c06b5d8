#pragma once

#include "http/http_types.hpp"

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrytally::http
{
//! Parses the responses on one connection, one after the other, with the
//! http_parser library. Header names are converted to lower case.
class response_parser
{
public:
    //! State of the current response after the bytes fed so far.
    enum class progress
    {
        partial,  //!< More bytes are needed.
        complete, //!< The response is complete; take() returns it.
        malformed,
        too_large,
    };

    explicit response_parser(std::uint64_t max_body_bytes);

    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    //! Starts parsing a new response. A response to HEAD has no body.
    void begin(bool head_request);

    //! Parses bytes up to the end of the response and removes them from
    //! \p bytes.
    progress feed(std::string_view& bytes);

    //! Reports that the connection has ended, which completes a response
    //! without a length. Any other incomplete response is malformed.
    progress end();

    //! Moves the complete response out of the parser.
    response take();
    //! Bytes that the response as parsed so far takes in memory.
    std::uint64_t held_bytes() const;
    //! The response as parsed so far.
    const response& current() const;

    //! True if another request may follow on the connection (keep-alive).
    bool keeps_connection() const;

private:
    static int on_field(http_parser* parser, const char* data, size_t size);
    static int on_value(http_parser* parser, const char* data, size_t size);
    static int on_headers(http_parser* parser);
    static int on_body(http_parser* parser, const char* data, size_t size);
    static int on_complete(http_parser* parser);
    static const http_parser_settings& callbacks();

    progress state() const;
    //! Adds the header field parsed last to the response.
    void flush_header();

    http_parser parser{};
    std::uint64_t max_body_bytes;
    response parsed;
    std::uint64_t head_bytes{0};
    std::string header_name;
    std::string header_value;
    bool header_value_seen{false};
    bool head_request{false};
    bool complete{false};
    bool oversized{false};
    bool keep_alive{false};
};
} // namespace bilberrytally::http
