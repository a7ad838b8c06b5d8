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
//! Address and limits of a server.
struct server_settings
{
    std::string address;
    std::uint32_t port{0};
    //! Larger bodies are answered with 413 up to a multiple, then cut.
    std::uint64_t max_body_bytes{0};
    //! Larger header sums are answered with 431 up to a multiple, then cut.
    std::uint64_t max_header_bytes{0};
    base::duration_ms read_timeout;
};

using respond = std::function<void(response)>;

//! Handles a request; \p connection identifies the caller's connection. May
//! answer at once or later, from any thread, at most once.
using request_handler =
    std::function<void(std::uint64_t connection, request, respond)>;

//! Told that the caller closed its connection.
using closed_handler = std::function<void(std::uint64_t connection)>;

//! HTTP/1.1 server on the workers of an io_context, which must be running.
class http_server
{
public:
    static base::result<std::unique_ptr<http_server>> open(
        asio::io_context& context, const server_settings& settings,
        request_handler on_request, closed_handler on_closed);

    virtual ~http_server() = default;

    //! Stops accepting connections; open ones go on.
    virtual void close() = 0;

    //! Answers that are not yet handed to the system as a whole.
    virtual std::size_t unwritten() const = 0;
};
} // namespace bilberrytally::http
