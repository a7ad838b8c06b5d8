#pragma once

#include "http/http_types.hpp"

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrytally::http
{
//! Reads the answers on one connection, one after the other, with the
//! http_parser library.
class answer_parser
{
public:
    //! What the bytes fed so far make of the present answer.
    enum class progress
    {
        partial,  //!< More bytes are needed.
        complete, //!< A whole answer; take() gives it.
        malformed,
        too_large,
    };

    explicit answer_parser(std::uint64_t max_body_bytes);

    answer_parser(const answer_parser&) = delete;
    answer_parser& operator=(const answer_parser&) = delete;

    //! Begins a new answer. An answer to HEAD has no body.
    void begin(bool to_head);

    //! Feeds bytes up to the end of the answer; \p bytes keeps what follows.
    progress feed(std::string_view& bytes);

    //! The connection ended: completes an answer that has no length.
    progress end();

    //! The complete answer.
    response take();
    const response& current() const;

    //! Another request may follow on the connection.
    bool keeps_connection() const;

private:
    static int on_field(http_parser* parser, const char* data, size_t size);
    static int on_value(http_parser* parser, const char* data, size_t size);
    static int on_headers(http_parser* parser);
    static int on_body(http_parser* parser, const char* data, size_t size);
    static int on_complete(http_parser* parser);
    static const http_parser_settings& callbacks();

    progress state() const;
    void flush_header();

    http_parser parser{};
    std::uint64_t max_body_bytes;
    response answer;
    std::string field;
    std::string value;
    bool value_seen{false};
    bool to_head{false};
    bool complete{false};
    bool oversized{false};
    bool keeps{false};
};
} // namespace bilberrytally::http
