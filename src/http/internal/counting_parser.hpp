#pragma once

#include "http/internal/account_service.hpp"
#include "http/internal/request_rule.hpp"

#include <restinio/all.hpp>

#include <cstdint>

namespace bilberrytally::http
{
//! Selects the parser callbacks below: they enter what a request takes in
//! memory in the account of connections, and keep nothing of chunks and
//! trailers, which the server does not use. RESTinio's own callbacks record
//! each chunk, which takes more memory than a short chunk itself.
struct counted_http_methods : public restinio::default_http_methods_t
{
};

namespace counting_parser
{
using restinio::impl::http_parser_ctx_t;

//! Memory of a header field in the parser beside its text, with the growth of
//! the list of fields.
constexpr std::uint64_t field_bytes =
    2 * sizeof(restinio::http_header_field_t) + 32;
//! Texts and bodies that grow take up to twice their size.
constexpr std::uint64_t growth_factor = 2;
//! A body of unknown length that exceeds this gets room for the largest one at
//! once, since growth would copy it: memory not yet written to is not resident.
constexpr std::size_t growing_body_bytes = 1U << 20U;

//! Returned by a callback to reject the request and close the connection.
constexpr int malformed_request = -1;

//! The room for a body of known length up to this size comes from the heap,
//! where it may be resident before it is written to.
constexpr std::uint64_t heap_body_bytes = 256U << 10U;

inline http_parser_ctx_t& context_of(http_parser* parser)
{
    return *static_cast<http_parser_ctx_t*>(parser->data);
}

inline void count(std::uint64_t bytes)
{
    if (auto* connection = connection_scope::current())
    {
        connection->add_parsed(bytes);
    }
}

inline int on_message_begin(http_parser* /*parser*/)
{
    if (auto* connection = connection_scope::current())
    {
        connection->begin_message();
    }
    return 0;
}

inline int on_url(http_parser* parser, const char* data, std::size_t size)
{
    count(growth_factor * size);
    return restinio::impl::restinio_url_cb(parser, data, size);
}

inline int on_field(http_parser* parser, const char* data, std::size_t size)
{
    const auto& context = context_of(parser);
    if (!is_token_part({data, size}))
    {
        return malformed_request;
    }
    if (context.m_leading_headers_completed)
    {
        return 0;
    }
    count(growth_factor * size + (context.m_last_was_value ? field_bytes : 0));
    return restinio::impl::restinio_header_field_cb(parser, data, size);
}

inline int on_value(http_parser* parser, const char* data, std::size_t size)
{
    if (context_of(parser).m_leading_headers_completed)
    {
        return 0;
    }
    count(growth_factor * size);
    return restinio::impl::restinio_header_value_cb(parser, data, size);
}

inline bool has_unambiguous_head(http_parser* parser)
{
    request_head_check check;
    context_of(parser).m_header.for_each_field(
        [&](const auto& field)
        { check.add_field(field.name(), field.value()); });
    const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    const bool is_known_version =
        parser->http_major == 1 && parser->http_minor <= 1;
    return is_known_version && check.is_unambiguous(has_length);
}

inline int on_headers_complete(http_parser* parser)
{
    if (!has_unambiguous_head(parser))
    {
        return malformed_request;
    }
    if (auto* connection = connection_scope::current())
    {
        connection->begin_body();
    }
    if (parser->content_length <= heap_body_bytes)
    {
        count(parser->content_length);
    }
    return restinio::impl::restinio_headers_complete_cb(parser);
}

inline int on_body(http_parser* parser, const char* data, std::size_t size)
{
    auto& context = context_of(parser);
    const bool is_chunked = (parser->flags & F_CHUNKED) != 0;
    const bool is_growing =
        is_chunked && context.m_body.size() < growing_body_bytes;
    if (is_growing)
    {
        count(growth_factor * size);
    }
    else if (is_chunked || context.m_body.capacity() > heap_body_bytes)
    {
        count(size);
    }
    const auto total = context.m_body.size() + size;
    const auto limit = context.m_limits.max_body_size();
    if (is_growing && total >= growing_body_bytes && total <= limit)
    {
        context.m_body.reserve(limit);
    }
    return restinio::impl::restinio_body_cb(parser, data, size);
}

inline int ignore(http_parser* /*parser*/)
{
    return 0;
}

inline int on_message_complete(http_parser* parser)
{
    return restinio::impl::restinio_message_complete_cb<counted_http_methods>(
        parser);
}
} // namespace counting_parser
} // namespace bilberrytally::http

namespace restinio::impl
{
//! Used by RESTinio for a server whose traits name counted_http_methods.
template <>
inline http_parser_settings
create_parser_settings<bilberrytally::http::counted_http_methods>() noexcept
{
    namespace callbacks = bilberrytally::http::counting_parser;
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = callbacks::on_message_begin;
    settings.on_url = callbacks::on_url;
    settings.on_header_field = callbacks::on_field;
    settings.on_header_value = callbacks::on_value;
    settings.on_headers_complete = callbacks::on_headers_complete;
    settings.on_body = callbacks::on_body;
    settings.on_chunk_header = callbacks::ignore;
    settings.on_chunk_complete = callbacks::ignore;
    settings.on_message_complete = callbacks::on_message_complete;
    return settings;
}
} // namespace restinio::impl
