#pragma once

#include "http/http_client.hpp"
#include "http/internal/held_body_meter.hpp"
#include "http/internal/response_parser.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bilberrytally::http
{
//! A connection to a server that carries one request at a time. Not
//! thread-safe: all members must be called on its executor.
class pooled_connection : public std::enable_shared_from_this<pooled_connection>
{
public:
    //! Called when the current request has ended; \p reusable says whether the
    //! connection can carry another one.
    using end_handler =
        std::function<void(transfer_outcome, response, bool reusable)>;
    //! Called when the connection closed while no request was in flight.
    using idle_close_handler = std::function<void()>;
    //! Called when the connections hold more of unfinished responses than
    //! allowed; ends the largest ones.
    using over_limit_handler = std::function<void()>;

    //! \p held counts what all connections of a client hold of unfinished
    //! responses.
    pooled_connection(
        const asio::any_io_executor& executor, const client_limits& limits,
        std::shared_ptr<held_body_meter> held, idle_close_handler on_idle_close,
        over_limit_handler on_over_limit);
    ~pooled_connection();

    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;

    //! Connects, then sends the request.
    void connect_and_send(
        const asio::ip::tcp::endpoint& endpoint,
        const transfer_request& request, end_handler on_done);

    //! Sends a request on the open connection.
    void send(const transfer_request& request, end_handler on_done);

    //! Closes the connection. A request in flight ends with \p outcome, or with
    //! unsent if no byte of it was sent.
    void close(transfer_outcome outcome);

    //! True if a recent request on this connection had this id. A server that
    //! repeats its response to that request would answer the new one by it.
    bool has_carried(const std::string& id) const;

    //! True if anything was received since the current request was sent.
    bool has_received() const;

    //! Bytes of the unfinished response.
    std::uint64_t held_bytes() const;

    //! True while the connection is being established.
    bool is_connecting() const;

    //! How long the server keeps an idle connection open, if it announced that
    //! in a Keep-Alive header.
    std::optional<base::duration_ms> server_idle_limit() const;

private:
    void begin(const transfer_request& request, end_handler on_done);
    void write();
    void read();
    void on_bytes(std::string_view bytes);
    void on_read_end(bool clean_eof);
    void on_response();
    //! True if more was received than the current response explains.
    bool has_received_too_much() const;
    //! Counts the bytes of the unfinished response.
    void update_held_bytes(std::uint64_t bytes);
    //! True if the response carries the id of another request.
    bool is_for_other_request(const response& received) const;
    //! True if the response carries no id, though an earlier request on this
    //! connection may have caused it.
    bool is_of_unknown_request(const response& received) const;
    void finish(transfer_outcome outcome, response received, bool reusable);

    static constexpr std::size_t read_buffer_bytes = 4U << 10U;

    asio::ip::tcp::socket socket;
    response_parser parser;
    std::shared_ptr<held_body_meter> held;
    //! The part of it that this connection holds.
    std::uint64_t own_held_bytes{0};
    //! Bytes received since the current request was sent.
    std::uint64_t received_bytes{0};
    idle_close_handler on_idle_close;
    over_limit_handler on_over_limit;
    end_handler on_done;
    //! The request until it is written.
    std::string outgoing_head;
    base::shared_text outgoing_body;
    schema::header expected_id;
    std::function<bool()> may_send;
    //! Ids of the last requests, the current one included; the latest is last.
    std::deque<std::string> carried_ids;
    bool head_request{false};
    bool connecting{false};
    bool connected{false};
    bool writing{false};
    //! The connection failed while the request was written.
    bool write_failed{false};
    bool may_have_sent{false};
    bool reading{false};
    bool not_reusable{false};
    bool is_closed{false};
    std::optional<base::duration_ms> announced_idle_limit;
    std::array<char, read_buffer_bytes> buffer{};
};

//! Serializes a request without its body; adds Host and Content-Length, but no
//! Expect header.
std::string serialize_head(const transfer_request& request);
} // namespace bilberrytally::http
