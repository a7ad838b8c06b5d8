#include "http/internal/pooled_connection.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bilberrytally::http
{
namespace
{
constexpr std::int64_t ms_per_s = 1000;
constexpr std::string_view timeout_parameter = "timeout=";
//! Bytes that may precede or surround a response body: headers, interim
//! responses, responses to earlier requests and the framing of chunks.
constexpr std::uint64_t max_overhead_bytes = 1U << 20U;
//! The framing of a chunk with one byte of data takes 6 bytes.
constexpr std::uint64_t max_overhead_per_body_byte = 8;
//! Number of requests whose ids a connection remembers.
constexpr std::size_t max_carried_ids = 16;

//! Parses the timeout (in seconds) of a Keep-Alive header.
std::optional<base::duration_ms> parse_keep_alive(std::string_view value)
{
    const auto at = value.find(timeout_parameter);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto text = value.substr(at + timeout_parameter.size());
    std::int64_t seconds = 0;
    const auto [last, status] =
        std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (status != std::errc{})
    {
        return std::nullopt;
    }
    return base::duration_ms{seconds * ms_per_s};
}
} // namespace

std::string serialize_head(const transfer_request& request)
{
    const auto& content = request.content;
    constexpr std::size_t usual_header_bytes = 512;
    std::string bytes;
    bytes.reserve(usual_header_bytes);
    bytes.append(content.method).append(" ").append(content.target);
    bytes.append(" HTTP/1.1\r\n");
    bool has_host = false;
    for (const auto& header : content.headers)
    {
        has_host |= header.name == "host" || header.name == "Host";
        bytes.append(header.name).append(": ").append(header.value);
        bytes.append("\r\n");
    }
    if (!has_host)
    {
        bytes.append("host: ").append(request.host);
        bytes.append(":").append(std::to_string(request.port)).append("\r\n");
    }
    const bool has_body = !content.body.empty() || content.method == "POST" ||
                          content.method == "PUT" || content.method == "PATCH";
    if (has_body)
    {
        bytes.append("content-length: ");
        bytes.append(std::to_string(content.body.size())).append("\r\n");
    }
    bytes.append("\r\n");
    return bytes;
}

pooled_connection::pooled_connection(
    const asio::any_io_executor& executor, const client_limits& limits,
    std::shared_ptr<held_body_meter> held, idle_close_handler on_idle_close,
    over_limit_handler on_over_limit)
    : socket(executor), parser(limits.max_answer_bytes), held(std::move(held)),
      on_idle_close(std::move(on_idle_close)),
      on_over_limit(std::move(on_over_limit))
{
}

pooled_connection::~pooled_connection()
{
    this->update_held_bytes(0);
}

void pooled_connection::connect_and_send(
    const asio::ip::tcp::endpoint& endpoint, const transfer_request& request,
    end_handler on_done)
{
    this->begin(request, std::move(on_done));
    this->connecting = true;
    auto self = this->shared_from_this();
    this->socket.async_connect(
        endpoint,
        [self](std::error_code error)
        {
            self->connecting = false;
            if (self->is_closed)
            {
                return;
            }
            if (error)
            {
                self->close(transfer_outcome::unsent);
                return;
            }
            if (self->may_send && !self->may_send())
            {
                self->close(transfer_outcome::unsent);
                return;
            }
            self->connected = true;
            std::error_code ignored;
            self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
            self->read();
        });
}

void pooled_connection::send(
    const transfer_request& request, end_handler on_done)
{
    this->begin(request, std::move(on_done));
    this->write();
}

void pooled_connection::begin(
    const transfer_request& request, end_handler on_done)
{
    this->on_done = std::move(on_done);
    this->outgoing_head = serialize_head(request);
    this->outgoing_body = request.content.body;
    this->expected_id = request.response_id;
    this->may_send = request.may_send;
    this->carried_ids.push_back(request.response_id.value);
    if (this->carried_ids.size() > max_carried_ids)
    {
        this->carried_ids.pop_front();
    }
    this->head_request = request.content.method == "HEAD";
    this->may_have_sent = false;
    this->received_bytes = 0;
    this->parser.begin(this->head_request);
}

void pooled_connection::write()
{
    this->writing = true;
    // From here on, bytes may have reached the server.
    this->may_have_sent = true;
    auto self = this->shared_from_this();
    const std::array<asio::const_buffer, 2> buffers{
        asio::buffer(this->outgoing_head),
        asio::buffer(this->outgoing_body.text())};
    asio::async_write(
        this->socket, buffers,
        [self](std::error_code error, std::size_t)
        {
            self->writing = false;
            self->write_failed |= static_cast<bool>(error);
            self->outgoing_head.clear();
            self->outgoing_body = {};
            if (error && !self->is_closed && !self->reading)
            {
                self->close(transfer_outcome::broken);
            }
            // Otherwise the end of reading decides the outcome: the server may
            // have responded before it stopped reading the request.
        });
}

void pooled_connection::read()
{
    this->reading = true;
    auto self = this->shared_from_this();
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [self](std::error_code error, std::size_t length)
        {
            self->reading = false;
            if (self->is_closed)
            {
                return;
            }
            if (error)
            {
                self->on_read_end(error == asio::error::eof);
                return;
            }
            self->on_bytes(std::string_view(self->buffer.data(), length));
            if (!self->is_closed)
            {
                self->read();
            }
        });
}

void pooled_connection::on_bytes(std::string_view bytes)
{
    while (!bytes.empty() && !this->is_closed)
    {
        if (!this->on_done)
        {
            // Bytes outside of a response.
            this->close(transfer_outcome::broken);
            return;
        }
        this->received_bytes += bytes.size();
        switch (this->parser.feed(bytes))
        {
        case response_parser::progress::partial:
            this->update_held_bytes(this->parser.held_bytes());
            if (this->has_received_too_much())
            {
                this->close(transfer_outcome::too_large);
            }
            else if (this->held->is_over())
            {
                this->on_over_limit();
            }
            return;
        case response_parser::progress::complete:
            this->not_reusable |= !bytes.empty();
            this->on_response();
            break;
        case response_parser::progress::malformed:
            this->close(transfer_outcome::broken);
            return;
        case response_parser::progress::too_large:
            this->close(transfer_outcome::too_large);
            return;
        }
    }
}

bool pooled_connection::has_received_too_much() const
{
    const auto max_received =
        max_overhead_bytes +
        (1 + max_overhead_per_body_byte) * this->parser.current().body.size();
    return this->received_bytes > max_received;
}

std::uint64_t pooled_connection::held_bytes() const
{
    return this->own_held_bytes;
}

void pooled_connection::update_held_bytes(std::uint64_t bytes)
{
    this->held->update(this->own_held_bytes, bytes);
    this->own_held_bytes = bytes;
}

void pooled_connection::on_read_end(bool clean_eof)
{
    // The system reports a reset once: if writing has met it, reading meets a
    // plain end.
    const bool is_end = clean_eof && !this->writing && !this->write_failed;
    const bool completed =
        is_end && this->on_done &&
        this->parser.end() == response_parser::progress::complete;
    if (completed && !this->is_for_other_request(this->parser.current()))
    {
        this->not_reusable = true;
        this->on_response();
        return;
    }
    this->close(transfer_outcome::broken);
}

void pooled_connection::on_response()
{
    const bool keep_alive = this->parser.keeps_connection();
    auto received = this->parser.take();
    if (this->is_of_unknown_request(received))
    {
        this->close(transfer_outcome::broken);
        return;
    }
    if (this->is_for_other_request(received))
    {
        // A late second response to an earlier request; the response to the
        // current request follows.
        this->not_reusable = true;
        if (!keep_alive)
        {
            this->close(transfer_outcome::broken);
            return;
        }
        this->parser.begin(this->head_request);
        return;
    }
    const auto announced =
        parse_keep_alive(find_header(received.headers, "keep-alive"));
    this->announced_idle_limit =
        announced ? announced : this->announced_idle_limit;
    // A server that responded early still expects the rest of the request
    // body, so that the connection cannot be reused.
    const bool reusable = keep_alive && !this->not_reusable && !this->writing;
    this->finish(transfer_outcome::answered, std::move(received), reusable);
}

bool pooled_connection::is_for_other_request(const response& received) const
{
    if (this->expected_id.name.empty())
    {
        return false;
    }
    const auto id = find_header(received.headers, this->expected_id.name);
    return !id.empty() && id != this->expected_id.value;
}

bool pooled_connection::is_of_unknown_request(const response& received) const
{
    return this->carried_ids.size() > 1 && !this->expected_id.value.empty() &&
           find_header(received.headers, this->expected_id.name).empty();
}

bool pooled_connection::has_carried(const std::string& id) const
{
    return !id.empty() &&
           std::find(this->carried_ids.begin(), this->carried_ids.end(), id) !=
               this->carried_ids.end();
}

void pooled_connection::finish(
    transfer_outcome outcome, response received, bool reusable)
{
    auto handler = std::exchange(this->on_done, nullptr);
    this->update_held_bytes(0);
    if (!reusable && !this->is_closed)
    {
        this->is_closed = true;
        std::error_code ignored;
        this->socket.close(ignored);
    }
    if (handler)
    {
        handler(outcome, std::move(received), reusable);
    }
}

void pooled_connection::close(transfer_outcome outcome)
{
    if (this->is_closed)
    {
        return;
    }
    this->is_closed = true;
    std::error_code ignored;
    this->socket.close(ignored);
    if (this->on_done)
    {
        const bool unsent = !this->may_have_sent;
        this->finish(
            unsent ? transfer_outcome::unsent : outcome, response{}, false);
        return;
    }
    if (this->on_idle_close)
    {
        this->on_idle_close();
    }
}

bool pooled_connection::has_received() const
{
    return this->received_bytes > 0;
}

bool pooled_connection::is_connecting() const
{
    return this->connecting;
}

std::optional<base::duration_ms> pooled_connection::server_idle_limit() const
{
    return this->announced_idle_limit;
}
} // namespace bilberrytally::http
