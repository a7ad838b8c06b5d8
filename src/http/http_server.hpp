#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "http/http_types.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bilberrytally::http
{
//! Address and limits of an HTTP server.
struct server_settings
{
    //! IP address to listen on.
    std::string address;
    std::uint32_t port{0};
    //! Requests with a larger body get status 413. Beyond four times the
    //! limit (at least 64 KiB, at most 4 MiB over it), the connection is closed
    //! without a response.
    std::uint64_t max_body_bytes{0};
    //! Requests with more header bytes in total get status 431. A single header
    //! field beyond four times the limit (at least 64 KiB) closes the
    //! connection without a response.
    std::uint64_t max_header_bytes{0};
    //! Limit for reading one request.
    base::duration_ms read_timeout;
    //! While the requests of all connections that were read and not answered
    //! yet hold more, only one large one is read on at a time; 0 for no limit.
    //! Binds all servers of the io_context.
    std::uint64_t max_unanswered_bytes{0};
};

//! What the clients of all servers of an io_context may make the process hold;
//! 0 turns a limit off.
struct connection_limits
{
    //! Bytes of connections, their unfinished and unanswered requests and their
    //! unwritten responses.
    std::uint64_t max_held_bytes{0};
    //! Whether a single larger request is still served. Called with a lock
    //! held; always true where it is not set.
    std::function<bool()> allows_large_request{};
    std::uint64_t max_connections{0};
    //! Limit for reading the head of a request, from its first byte on.
    base::duration_ms head_timeout;
    //! Limit for reading a request, from its first byte on.
    base::duration_ms request_timeout;
};

//! What the clients of all servers of an io_context make the process hold.
struct connection_usage
{
    std::uint64_t held_bytes{0};
    std::uint64_t connections{0};
    //! Connections closed because of a limit, since the start.
    std::uint64_t closed{0};
    //! Complete requests refused because of a limit, since the start.
    std::uint64_t refused{0};
    //! True if a limit closed or refused something in the last seconds.
    bool limiting{false};
};

//! Limits the connections of all servers of \p context. When a limit is
//! exceeded, those with the least progress for their bytes are closed.
void limit_connections(
    asio::io_context& context, const connection_limits& limits);

connection_usage connections_in_use(asio::io_context& context);

//! Closes connections whose unfinished request has exceeded its time; to be
//! called at intervals. Returns the usage.
connection_usage check_connections(asio::io_context& context);

//! Sends the response to a request.
using respond = std::function<void(response)>;

//! Handles a request; \p connection identifies the caller's connection. May
//! call respond immediately or later, from any thread, but at most once.
using request_handler =
    std::function<void(std::uint64_t connection, request, respond)>;

//! Called when a connection has been closed.
using closed_handler = std::function<void(std::uint64_t connection)>;

//! HTTP/1.1 server that runs on the worker threads of an io_context.
class http_server
{
public:
    //! Starts to listen; the io_context must already be running. Fails if the
    //! port cannot be opened.
    static base::result<std::unique_ptr<http_server>> open(
        asio::io_context& context, const server_settings& settings,
        request_handler on_request, closed_handler on_closed);

    virtual ~http_server() = default;

    //! Stops accepting connections; open connections continue.
    virtual void close() = 0;

    //! Number of responses not yet written to their socket completely.
    virtual std::size_t unwritten_count() const = 0;

    //! Body bytes of these responses.
    virtual std::uint64_t unwritten_bytes() const = 0;
};
} // namespace bilberrytally::http
