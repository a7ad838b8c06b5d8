#pragma once

#include "http/internal/upload_gate.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace bilberrytally::http
{
//! A server's TCP socket whose reads wait while the upload gate of its
//! io_context is closed for it.
class gated_socket : public asio::ip::tcp::socket
{
public:
    explicit gated_socket(asio::io_context& context)
        : asio::ip::tcp::socket(context),
          gate(&asio::use_service<upload_gate>(context))
    {
    }

    template <class Buffer, class Handler>
    void async_read_some(const Buffer& buffer, Handler&& handler)
    {
        // Not opened before, since the acceptor moves the socket and uses the
        // one that it moved from again.
        if (!this->upload)
        {
            this->upload = this->gate->open();
        }
        const auto executor = asio::get_associated_executor(handler);
        if (this->upload->may_read())
        {
            asio::ip::tcp::socket::async_read_some(
                buffer,
                asio::bind_executor(
                    executor,
                    [upload = this->upload,
                     handler = std::forward<Handler>(handler)](
                        const std::error_code& error, std::size_t bytes) mutable
                    {
                        upload->on_read(bytes);
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
        asio::ip::tcp::socket::async_write_some(
            buffers, std::forward<Handler>(handler));
    }

private:
    static constexpr std::chrono::milliseconds retry_interval{5};

    upload_gate* gate;
    std::shared_ptr<upload_gate::upload> upload;
};
} // namespace bilberrytally::http
