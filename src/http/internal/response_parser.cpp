#include "http/internal/response_parser.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace bilberrytally::http
{
namespace
{
//! Responses below this status (1xx) are interim; the final one follows.
constexpr unsigned first_final_status = 200;
//! Responses with these have no body, whatever length they state (RFC 9110).
constexpr unsigned no_content_status = 204;
constexpr unsigned not_modified_status = 304;

response_parser& self_of(http_parser* parser)
{
    return *static_cast<response_parser*>(parser->data);
}
} // namespace

response_parser::response_parser(std::uint64_t max_body_bytes)
    : max_body_bytes(max_body_bytes)
{
    this->begin(false);
}

void response_parser::begin(bool head_request)
{
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    this->parsed = {};
    this->head_bytes = 0;
    this->header_name.clear();
    this->header_value.clear();
    this->header_value_seen = false;
    this->head_request = head_request;
    this->complete = false;
    this->oversized = false;
    this->keep_alive = false;
}

response_parser::progress response_parser::feed(std::string_view& bytes)
{
    const auto used = http_parser_execute(
        &this->parser, &callbacks(), bytes.data(), bytes.size());
    bytes.remove_prefix(std::min(used, bytes.size()));
    return this->state();
}

response_parser::progress response_parser::end()
{
    http_parser_execute(&this->parser, &callbacks(), nullptr, 0);
    const auto result = this->state();
    return result == progress::partial ? progress::malformed : result;
}

response_parser::progress response_parser::state() const
{
    if (this->complete)
    {
        return progress::complete;
    }
    if (this->oversized)
    {
        return progress::too_large;
    }
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    return error == HPE_OK ? progress::partial : progress::malformed;
}

std::uint64_t response_parser::held_bytes() const
{
    return this->head_bytes + this->parsed.body.size();
}

response response_parser::take()
{
    return std::exchange(this->parsed, {});
}

const response& response_parser::current() const
{
    return this->parsed;
}

bool response_parser::keeps_connection() const
{
    return this->keep_alive;
}

void response_parser::flush_header()
{
    if (this->header_name.empty())
    {
        return;
    }
    this->head_bytes += sizeof(schema::header) + this->header_name.size() +
                        this->header_value.size();
    this->parsed.headers.push_back(
        {std::exchange(this->header_name, {}),
         std::exchange(this->header_value, {})});
    this->header_value_seen = false;
}

int response_parser::on_field(
    http_parser* parser, const char* data, size_t size)
{
    auto& self = self_of(parser);
    if (self.header_value_seen)
    {
        self.flush_header();
    }
    for (const unsigned char c : std::string_view(data, size))
    {
        self.header_name += static_cast<char>(std::tolower(c));
    }
    return 0;
}

int response_parser::on_value(
    http_parser* parser, const char* data, size_t size)
{
    auto& self = self_of(parser);
    self.header_value_seen = true;
    self.header_value.append(data, size);
    return 0;
}

int response_parser::on_headers(http_parser* parser)
{
    auto& self = self_of(parser);
    self.flush_header();
    self.parsed.status = parser->status_code;
    const bool without_body = self.head_request ||
                              parser->status_code == no_content_status ||
                              parser->status_code == not_modified_status;
    // Returning 1 tells http_parser that no body follows.
    return without_body ? 1 : 0;
}

int response_parser::on_body(http_parser* parser, const char* data, size_t size)
{
    auto& self = self_of(parser);
    if (self.parsed.body.size() + size > self.max_body_bytes)
    {
        self.oversized = true;
        return 1;
    }
    self.parsed.body.append(data, size);
    return 0;
}

int response_parser::on_complete(http_parser* parser)
{
    auto& self = self_of(parser);
    if (parser->status_code < first_final_status)
    {
        self.parsed = {};
        self.head_bytes = 0;
        return 0;
    }
    self.flush_header();
    self.complete = true;
    self.keep_alive = http_should_keep_alive(parser) != 0;
    // Stops parsing, since bytes after the response are not part of it.
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings& response_parser::callbacks()
{
    static const http_parser_settings settings = []
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_header_field = on_field;
        callbacks.on_header_value = on_value;
        callbacks.on_headers_complete = on_headers;
        callbacks.on_body = on_body;
        callbacks.on_message_complete = on_complete;
        return callbacks;
    }();
    return settings;
}
} // namespace bilberrytally::http
