#pragma once

#include "base/time.hpp"
#include "http/http_types.hpp"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bilberrytally::http
{
//! How a transfer (a request and its response) ended.
enum class transfer_outcome
{
    answered,  //!< A complete response was received.
    unsent,    //!< No byte of the request was sent; it has not run.
    broken,    //!< The connection ended after bytes were sent.
    timed_out, //!< No complete response in time; bytes were sent.
    too_large, //!< The response exceeds a size limit.
    cancelled, //!< Cancelled; bytes may have been sent.
};

//! Result of a transfer.
struct transfer_result
{
    transfer_outcome outcome{transfer_outcome::unsent};
    //! The response if the outcome is answered; possibly incomplete otherwise.
    response content;
    //! Milliseconds from the start of the transfer to its end.
    double duration_ms{0};
};

//! A request and the server to send it to.
struct transfer_request
{
    request content;
    //! IP address of the server.
    std::string host;
    std::uint32_t port{0};
    //! Header (name in lower case) by which a response identifies its request.
    //! The pooled client skips responses with another value. An empty name
    //! turns the check off.
    schema::header response_id;
    //! Uses a new connection and closes it afterwards. The pooled client does
    //! not apply it.
    bool new_connection{false};
    //! Asked once the connection is established; if it returns false, nothing
    //! is sent and the transfer ends as unsent. Empty for always.
    std::function<bool()> may_send;
    //! Limit for the whole transfer, including the connect.
    base::duration_ms timeout;
    base::duration_ms connect_timeout{500};
};

//! Limits of a client.
struct client_limits
{
    //! Largest number of connections to one host; the pooled client does not
    //! apply it.
    std::uint32_t connections_per_host{930};
    //! Largest response body.
    std::uint64_t max_answer_bytes{32U << 20U};
    //! Limit for the response bodies buffered by all unfinished transfers
    //! together.
    std::uint64_t max_held_bytes{128U << 20U};
    //! A lower limit that depends on what else the process holds; may be empty.
    std::function<std::uint64_t()> room_for_responses{};
};

//! Receives the result of a transfer.
using transfer_handler = std::function<void(transfer_result)>;

//! Asynchronous HTTP/1.1 client that runs on the worker threads of an
//! io_context. Never sends a request twice: libcurl's automatic retry on a
//! reused connection is suppressed. Thread-safe.
class http_client
{
public:
    //! A client based on libcurl.
    static std::unique_ptr<http_client>
    make(asio::io_context& context, const client_limits& limits);

    //! A client that keeps a pool of connections to one server on this machine.
    //! It copes with servers that send responses late or twice, see
    //! transfer_request::response_id.
    static std::unique_ptr<http_client>
    make_pooled(asio::io_context& context, const client_limits& limits);

    virtual ~http_client() = default;

    //! Starts a transfer and returns its id. \p on_done is called once, on a
    //! worker thread; it is not called if the client is destroyed before the
    //! transfer ends.
    virtual std::uint64_t
    start(transfer_request request, transfer_handler on_done) = 0;

    //! Cancels a transfer and closes its connection. Does nothing if the
    //! transfer has already ended.
    virtual void cancel(std::uint64_t transfer) = 0;

    //! Bytes of response bodies buffered by unfinished transfers.
    virtual std::uint64_t held_bytes() const = 0;

    //! Sets the limit of connections to one host; called when a ticket changes
    //! it. The pooled client does not apply it.
    virtual void set_connections_per_host(std::uint32_t connections) = 0;
};
} // namespace bilberrytally::http
