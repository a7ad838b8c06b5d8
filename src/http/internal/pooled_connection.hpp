#pragma once

#include "http/http_client.hpp"
#include "http/internal/answer_parser.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
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
    using on_end =
        std::function<void(transfer_outcome, response, bool reusable)>;
    //! Called when the connection closed while no request was in flight.
    using on_idle_close = std::function<void()>;

    pooled_connection(
        const asio::any_io_executor& executor, std::uint64_t max_answer_bytes,
        on_idle_close closed);

    //! Connects, then sends the request.
    void connect_and_send(
        const asio::ip::tcp::endpoint& endpoint,
        const transfer_request& request, on_end done);

    //! Sends a request on the open connection.
    void send(const transfer_request& request, on_end done);

    //! Closes the connection. A request in flight ends with \p outcome, or with
    //! unsent if no byte of it was sent.
    void close(transfer_outcome outcome);

    //! True while the connection is being established.
    bool is_connecting() const;

    //! How long the server keeps an idle connection open, if it announced that
    //! in a Keep-Alive header.
    std::optional<base::duration_ms> idle_limit() const;

private:
    void begin(const transfer_request& request, on_end done);
    void write();
    void read();
    void on_bytes(std::string_view bytes);
    void on_read_end(bool clean);
    void on_answer();
    //! True if the response carries the id of another request.
    bool is_foreign(const response& answer) const;
    void finish(transfer_outcome outcome, response answer, bool reusable);

    static constexpr std::size_t read_buffer_bytes = 4U << 10U;

    asio::ip::tcp::socket socket;
    answer_parser parser;
    on_idle_close closed;
    on_end done;
    std::string outgoing;
    schema::header expected;
    bool to_head{false};
    bool connecting{false};
    bool connected{false};
    bool writing{false};
    bool sent_any{false};
    bool reading{false};
    bool spoiled{false};
    bool dead{false};
    std::optional<base::duration_ms> idle;
    std::array<char, read_buffer_bytes> buffer{};
};

//! Serializes a request; adds Host and Content-Length, but no Expect header.
std::string serialize_request(const transfer_request& request);
} // namespace bilberrytally::http
