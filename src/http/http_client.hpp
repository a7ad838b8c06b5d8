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
//! How a transfer ended.
enum class transfer_outcome
{
    answered,  //!< A whole answer was received.
    unsent,    //!< No byte of the request was sent.
    broken,    //!< The connection closed after bytes were sent.
    timed_out, //!< No whole answer in time, bytes were sent.
    too_large, //!< The answer exceeds a bound.
    cancelled, //!< Cancelled; bytes may have been sent.
};

//! Result of a transfer.
struct transfer_result
{
    transfer_outcome outcome{transfer_outcome::unsent};
    response answer;
    //! Milliseconds from start to end.
    double duration_ms{0};
};

//! A request to a server given by its IP address.
struct transfer_request
{
    request content;
    std::string host;
    std::uint32_t port{0};
    //! Header by which an answer says which request it belongs to; answers
    //! with another value are skipped. No name where answers do not say.
    schema::header answer_id;
    base::duration_ms timeout;
    base::duration_ms connect_timeout{500};
};

//! Bounds of a client.
struct client_limits
{
    std::uint32_t connections_per_host{930};
    std::uint64_t max_answer_bytes{32U << 20U};
    //! Bytes of answers held by all unfinished transfers.
    std::uint64_t max_held_bytes{128U << 20U};
};

using transfer_handler = std::function<void(transfer_result)>;

//! HTTP/1.1 client on the workers of an io_context. Never sends a request
//! twice: the library's own retry on a reused connection is stopped.
class http_client
{
public:
    static std::unique_ptr<http_client>
    make(asio::io_context& context, const client_limits& limits);

    //! A client that keeps connections to one server on this machine, for
    //! servers that may send answers late or twice.
    static std::unique_ptr<http_client>
    make_pooled(asio::io_context& context, const client_limits& limits);

    virtual ~http_client() = default;

    //! Starts a transfer; \p on_done is called once, on a worker.
    virtual std::uint64_t
    start(transfer_request request, transfer_handler on_done) = 0;

    //! Closes the connection of a transfer that is not done.
    virtual void cancel(std::uint64_t transfer) = 0;

    //! Bytes of answers held by unfinished transfers.
    virtual std::uint64_t held_bytes() const = 0;

    //! Connections kept to one host after new limits from a ticket.
    virtual void set_connections_per_host(std::uint32_t connections) = 0;
};
} // namespace bilberrytally::http
