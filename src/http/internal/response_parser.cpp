#include "http/internal/response_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace bilberrytally::http
{
namespace
{
namespace beast = boost::beast;
using beast::http::error;

//! Largest head of a response.
constexpr std::uint32_t max_head_bytes = 1U << 20U;
constexpr int lowest_status = 100;
constexpr int highest_status = 599;
//! Responses below this status (1xx) are interim; the final one follows.
constexpr std::uint32_t first_final_status = 200;
//! Never requested, so that it answers nothing.
constexpr int switching_protocols_status = 101;
constexpr std::string_view chunked_coding = "chunked";
constexpr int version_1_1 = 11;
} // namespace

//! Collects one response, interim or final.
class message_parser : public beast::http::basic_parser<false>
{
public:
    message_parser(std::uint64_t max_body_bytes, bool head_request)
        : max_body_bytes(max_body_bytes)
    {
        this->skip(head_request);
        this->header_limit(max_head_bytes);
        this->body_limit(boost::none);
    }

    //! Parses the head, or what there is of the body; returns the number of
    //! bytes used.
    std::size_t parse(std::string_view input, beast::error_code& problem)
    {
        const bool in_head = !this->is_header_done();
        this->eager(!in_head);
        const auto used =
            this->put(boost::asio::buffer(input.data(), input.size()), problem);
        if (in_head && has_folded_line(input.substr(0, used)))
        {
            problem = error::bad_field;
        }
        return used;
    }

    response parsed;
    std::uint64_t head_bytes{0};

private:
    //! A folded line is obsolete, and hides fields from servers that do not
    //! know it.
    static bool has_folded_line(std::string_view head)
    {
        return head.find("\n ") != std::string_view::npos ||
               head.find("\n\t") != std::string_view::npos;
    }

    void on_request_impl(
        beast::http::verb, beast::string_view, beast::string_view, int,
        beast::error_code&) override
    {
    }

    void on_response_impl(
        int code, beast::string_view, int version,
        beast::error_code& problem) override
    {
        if (code < lowest_status || code > highest_status ||
            code == switching_protocols_status)
        {
            problem = error::bad_status;
            return;
        }
        this->version = version;
        this->parsed.status = static_cast<std::uint32_t>(code);
    }

    void on_field_impl(
        beast::http::field field, beast::string_view name,
        beast::string_view value, beast::error_code& problem) override
    {
        if (this->head_complete)
        {
            // Trailers are checked, but not used.
            return;
        }
        const bool is_unknown_coding =
            field == beast::http::field::transfer_encoding &&
            (!beast::iequals(value, chunked_coding) ||
             this->version != version_1_1);
        if (is_unknown_coding)
        {
            problem = error::bad_transfer_encoding;
            return;
        }
        schema::header header{
            std::string(name.data(), name.size()),
            std::string(value.data(), value.size())};
        std::transform(
            header.name.begin(), header.name.end(), header.name.begin(),
            [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        this->head_bytes +=
            sizeof(header) + header.name.size() + header.value.size();
        this->parsed.headers.push_back(std::move(header));
    }

    void on_header_impl(beast::error_code&) override
    {
        this->head_complete = true;
    }

    void on_body_init_impl(
        const boost::optional<std::uint64_t>&, beast::error_code&) override
    {
    }

    std::size_t
    on_body_impl(beast::string_view data, beast::error_code& problem) override
    {
        return this->add_body(data, problem);
    }

    void on_chunk_header_impl(
        std::uint64_t, beast::string_view, beast::error_code&) override
    {
    }

    std::size_t on_chunk_body_impl(
        std::uint64_t, beast::string_view data,
        beast::error_code& problem) override
    {
        return this->add_body(data, problem);
    }

    void on_finish_impl(beast::error_code&) override
    {
    }

    std::size_t add_body(beast::string_view data, beast::error_code& problem)
    {
        if (data.size() > this->max_body_bytes - this->parsed.body.size())
        {
            problem = error::body_limit;
            return 0;
        }
        this->parsed.body.append(data.data(), data.size());
        return data.size();
    }

    std::uint64_t max_body_bytes;
    int version{0};
    bool head_complete{false};
};

response_parser::response_parser(std::uint64_t max_body_bytes)
    : max_body_bytes(max_body_bytes)
{
    this->begin(false);
}

response_parser::~response_parser() = default;

void response_parser::begin(bool head_request)
{
    this->head_request = head_request;
    this->pending.clear();
    this->begin_message();
}

void response_parser::begin_message()
{
    this->current_message = std::make_unique<message_parser>(
        this->max_body_bytes, this->head_request);
}

response_parser::progress response_parser::feed(std::string_view& bytes)
{
    std::string_view input = bytes;
    const bool continues = !this->pending.empty();
    if (continues)
    {
        this->pending.append(bytes);
        input = this->pending;
    }
    const auto result = this->parse(input);
    if (result != progress::partial)
    {
        // What is left was received last.
        bytes.remove_prefix(
            bytes.size() - std::min(bytes.size(), input.size()));
        this->pending.clear();
        return result;
    }
    bytes = {};
    if (continues)
    {
        this->pending.erase(0, this->pending.size() - input.size());
    }
    else
    {
        this->pending.assign(input);
    }
    return result;
}

response_parser::progress response_parser::parse(std::string_view& input)
{
    while (!input.empty())
    {
        beast::error_code problem;
        const auto used = this->current_message->parse(input, problem);
        input.remove_prefix(used);
        if (problem == error::need_more)
        {
            return progress::partial;
        }
        if (problem == error::body_limit || problem == error::header_limit)
        {
            return progress::too_large;
        }
        if (problem)
        {
            return progress::malformed;
        }
        if (!this->current_message->is_done())
        {
            continue;
        }
        if (this->current().status >= first_final_status)
        {
            return progress::complete;
        }
        this->begin_message();
    }
    return progress::partial;
}

response_parser::progress response_parser::end()
{
    if (!this->pending.empty() || !this->current_message->got_some())
    {
        return progress::malformed;
    }
    beast::error_code problem;
    this->current_message->put_eof(problem);
    return !problem && this->current_message->is_done() ? progress::complete
                                                        : progress::malformed;
}

std::uint64_t response_parser::held_bytes() const
{
    return this->current_message->head_bytes + this->current().body.size() +
           this->pending.size();
}

response response_parser::take()
{
    return std::exchange(this->current_message->parsed, {});
}

const response& response_parser::current() const
{
    return this->current_message->parsed;
}

bool response_parser::keeps_connection() const
{
    return this->current_message->keep_alive();
}

std::optional<response> parse_response_head(std::string_view head)
{
    // As a response to HEAD, which ends with its head.
    message_parser parser(0, true);
    beast::error_code problem;
    const auto used = parser.parse(head, problem);
    const bool is_whole = !problem && parser.is_done() && used == head.size();
    return is_whole ? std::optional(std::move(parser.parsed)) : std::nullopt;
}
} // namespace bilberrytally::http
