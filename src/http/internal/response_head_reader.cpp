#include "http/internal/response_head_reader.hpp"

#include "http/internal/response_parser.hpp"

#include <utility>

namespace bilberrytally::http
{
namespace
{
//! Limit of the heads and trailers of a response.
constexpr std::uint64_t max_head_bytes = 256U << 10U;
constexpr std::string_view line_end = "\r\n";

bool is_trailer(std::string_view line)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    head.append(line);
    head.append(line == line_end ? "" : line_end);
    return parse_response_head(head).has_value();
}
} // namespace

bool response_head_reader::add_line(std::string_view line)
{
    this->received_bytes += line.size();
    if (this->is_too_large())
    {
        return false;
    }
    const bool is_first = line.starts_with("HTTP/");
    if (this->complete && !is_first)
    {
        this->malformed |= !is_trailer(line);
    }
    else
    {
        this->add_to_head(line, is_first);
    }
    return !this->malformed;
}

void response_head_reader::add_to_head(std::string_view line, bool is_first)
{
    if (is_first)
    {
        this->head.clear();
        this->complete = false;
    }
    this->head.append(line);
    if (line != line_end && line != "\n")
    {
        return;
    }
    auto parsed = parse_response_head(this->head);
    this->malformed |= !parsed;
    this->complete = parsed.has_value();
    if (parsed)
    {
        this->parsed_headers = std::move(parsed->headers);
    }
}

bool response_head_reader::is_complete() const
{
    return this->complete;
}

bool response_head_reader::is_too_large() const
{
    return this->received_bytes > max_head_bytes;
}

const header_list& response_head_reader::headers() const
{
    return this->parsed_headers;
}
} // namespace bilberrytally::http
