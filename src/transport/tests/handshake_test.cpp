#include "transport/frame_codec.hpp"
#include "transport/tests/running_network.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <memory>

using namespace bilberrytally;
using namespace bilberrytally::transport;
using namespace std::chrono_literals;

namespace
{
//! A node and a client that is connected to its port for other nodes.
struct connected_client
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        asio::make_work_guard(this->context)};
    callback_counts counts;
    std::uint32_t port{free_port()};
    std::unique_ptr<peer_network> network{
        open_network(this->context, this->port, this->counts)};
    asio::ip::tcp::socket socket{this->context};

    connected_client()
    {
        this->socket.connect(
            {asio::ip::make_address(host),
             static_cast<std::uint16_t>(this->port)});
    }

    ~connected_client()
    {
        this->network->close();
        this->context.run_for(100ms);
    }

    connected_client(const connected_client&) = delete;
    connected_client& operator=(const connected_client&) = delete;

    //! True if the node closes the connection before \p limit has passed.
    bool is_closed_within(std::chrono::milliseconds limit)
    {
        bool closed = false;
        this->socket.async_wait(
            asio::socket_base::wait_read,
            [&closed](std::error_code) { closed = true; });
        return run_until(
            this->context, *this->network, {}, limit, [&] { return closed; });
    }
};
} // namespace

TEST_CASE("a large frame is rejected before the handshake")
{
    // Guards against room for a frame whose sender does not know the key.
    connected_client client;
    frame_codec codec("another key");
    frame_header header;
    header.kind = static_cast<std::uint32_t>(frame_kind::hello);
    header.length = 1U << 20U;
    asio::write(client.socket, asio::buffer(codec.seal(header, "")));
    CHECK(client.is_closed_within(5s));
}

TEST_CASE("a connection that stays silent is closed")
{
    connected_client client;
    CHECK(client.is_closed_within(10s));
}
