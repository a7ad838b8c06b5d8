#include "http/internal/answer_parser.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace bilberrytally::http
{
namespace
{
//! Responses below this status (1xx) are interim; the final one follows.
constexpr unsigned first_final_status = 200;

answer_parser& self_of(http_parser* parser)
{
    return *static_cast<answer_parser*>(parser->data);
}
} // namespace

answer_parser::answer_parser(std::uint64_t max_body_bytes)
    : max_body_bytes(max_body_bytes)
{
    this->begin(false);
}

void answer_parser::begin(bool to_head)
{
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    this->answer = {};
    this->field.clear();
    this->value.clear();
    this->value_seen = false;
    this->to_head = to_head;
    this->complete = false;
    this->oversized = false;
    this->keeps = false;
}

answer_parser::progress answer_parser::feed(std::string_view& bytes)
{
    const auto used = http_parser_execute(
        &this->parser, &callbacks(), bytes.data(), bytes.size());
    bytes.remove_prefix(std::min(used, bytes.size()));
    return this->state();
}

answer_parser::progress answer_parser::end()
{
    http_parser_execute(&this->parser, &callbacks(), nullptr, 0);
    const auto result = this->state();
    return result == progress::partial ? progress::malformed : result;
}

answer_parser::progress answer_parser::state() const
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

response answer_parser::take()
{
    return std::exchange(this->answer, {});
}

const response& answer_parser::current() const
{
    return this->answer;
}

bool answer_parser::keeps_connection() const
{
    return this->keeps;
}

void answer_parser::flush_header()
{
    if (this->field.empty())
    {
        return;
    }
    this->answer.headers.push_back(
        {std::exchange(this->field, {}), std::exchange(this->value, {})});
    this->value_seen = false;
}

int answer_parser::on_field(http_parser* parser, const char* data, size_t size)
{
    auto& self = self_of(parser);
    if (self.value_seen)
    {
        self.flush_header();
    }
    for (const unsigned char c : std::string_view(data, size))
    {
        self.field += static_cast<char>(std::tolower(c));
    }
    return 0;
}

int answer_parser::on_value(http_parser* parser, const char* data, size_t size)
{
    auto& self = self_of(parser);
    self.value_seen = true;
    self.value.append(data, size);
    return 0;
}

int answer_parser::on_headers(http_parser* parser)
{
    auto& self = self_of(parser);
    self.flush_header();
    self.answer.status = parser->status_code;
    // Returning 1 tells http_parser that no body follows.
    return self.to_head ? 1 : 0;
}

int answer_parser::on_body(http_parser* parser, const char* data, size_t size)
{
    auto& self = self_of(parser);
    if (self.answer.body.size() + size > self.max_body_bytes)
    {
        self.oversized = true;
        return 1;
    }
    self.answer.body.append(data, size);
    return 0;
}

int answer_parser::on_complete(http_parser* parser)
{
    auto& self = self_of(parser);
    if (parser->status_code < first_final_status)
    {
        self.answer = {};
        return 0;
    }
    self.flush_header();
    self.complete = true;
    self.keeps = http_should_keep_alive(parser) != 0;
    // Stops parsing, since bytes after the response are not part of it.
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings& answer_parser::callbacks()
{
    static const http_parser_settings settings = []
    {
        http_parser_settings fresh;
        http_parser_settings_init(&fresh);
        fresh.on_header_field = on_field;
        fresh.on_header_value = on_value;
        fresh.on_headers_complete = on_headers;
        fresh.on_body = on_body;
        fresh.on_message_complete = on_complete;
        return fresh;
    }();
    return settings;
}
} // namespace bilberrytally::http
