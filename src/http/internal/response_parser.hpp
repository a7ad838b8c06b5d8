#pragma once

#include "http/http_types.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrytally::http
{
class message_parser;

//! Parses the responses on one connection, one after the other, and rejects
//! what is not well-formed HTTP/1.1 (RFC 9112). Header names are converted to
//! lower case.
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
    ~response_parser();

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
    void begin_message();
    //! Parses what the input holds of the current message.
    progress parse(std::string_view& input);

    std::uint64_t max_body_bytes;
    bool head_request{false};
    std::unique_ptr<message_parser> current_message;
    //! Received bytes of an incomplete line or head.
    std::string pending;
};

//! Parses the head of a response, interim or final, from the status line to the
//! empty line. Nothing if it is not well-formed.
std::optional<response> parse_response_head(std::string_view head);
} // namespace bilberrytally::http
