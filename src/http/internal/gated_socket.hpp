#pragma once

#include "http/internal/account_service.hpp"
#include "http/internal/upload_gate.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <sys/socket.h>

#include <chrono>
#include <memory>
#include <utility>

namespace bilberrytally::http
{
//! A server's TCP socket whose reads wait while the upload gate of its
//! io_context is closed for it, and that is entered in the io_context's account
//! of connections.
class gated_socket : public asio::ip::tcp::socket
{
public:
    explicit gated_socket(asio::io_context& context)
        : asio::ip::tcp::socket(context),
          gate(&asio::use_service<upload_gate>(context)),
          connections(&asio::use_service<account_service>(context).account)
    {
    }

    gated_socket(gated_socket&&) = default;
    gated_socket& operator=(gated_socket&&) = default;

    ~gated_socket()
    {
        if (this->connection)
        {
            this->connection->release();
        }
    }

    //! Hides the function of the base class, which RESTinio would call.
    void close()
    {
        if (this->connection)
        {
            // The account must not close a descriptor that is used again.
            this->connection->disarm();
        }
        asio::ip::tcp::socket::close();
    }

    template <class Buffer, class Handler>
    void async_read_some(const Buffer& buffer, Handler&& handler)
    {
        // Not opened before, since the acceptor moves the socket and uses the
        // one that it moved from again.
        if (!this->upload)
        {
            this->upload = this->gate->open();
            this->connection = this->connections->open(
                [descriptor = this->native_handle()]
                { ::shutdown(descriptor, SHUT_RDWR); },
                base::now());
        }
        const auto executor = asio::get_associated_executor(handler);
        // A connection that the account has closed reads its end.
        if (this->upload->may_read() || this->connection->is_evicted())
        {
            asio::ip::tcp::socket::async_read_some(
                buffer,
                asio::bind_executor(
                    executor,
                    [upload = this->upload, connection = this->connection,
                     handler = std::forward<Handler>(handler)](
                        const std::error_code& error, std::size_t bytes) mutable
                    {
                        // The system still delivers what it had received.
                        if (connection->is_evicted())
                        {
                            handler(asio::error::connection_reset, 0);
                            return;
                        }
                        upload->on_read(bytes);
                        const connection_scope scope(connection);
                        connection->add_moved(bytes);
                        handler(error, bytes);
                    }));
            return;
        }
        // The handler keeps the owner of this socket alive.
        auto timer = std::make_shared<asio::steady_timer>(
            this->get_executor(), retry_interval);
        timer->async_wait(asio::bind_executor(
            executor,
            [this, timer, buffer, handler = std::forward<Handler>(handler)](
                const std::error_code&) mutable
            { this->async_read_some(buffer, std::move(handler)); }));
    }

    template <class Buffers, class Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        if (this->upload)
        {
            this->upload->on_response();
        }
        const auto executor = asio::get_associated_executor(handler);
        asio::ip::tcp::socket::async_write_some(
            buffers,
            asio::bind_executor(
                executor,
                [connection = this->connection,
                 handler = std::forward<Handler>(handler)](
                    const std::error_code& error, std::size_t bytes) mutable
                {
                    const connection_scope scope(connection);
                    connection->add_moved(bytes);
                    handler(error, bytes);
                }));
    }

private:
    static constexpr std::chrono::milliseconds retry_interval{5};

    upload_gate* gate;
    std::shared_ptr<upload_gate::upload> upload;
    connection_account* connections;
    connection_account::entry_ptr connection;
};
} // namespace bilberrytally::http
