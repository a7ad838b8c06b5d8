#include "transport/frame_codec.hpp"
#include "transport/tests/running_network.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <array>

using namespace bilberrytally;
using namespace bilberrytally::transport;

namespace
{
asio::ip::tcp::socket connect_to(asio::io_context& context, std::uint32_t port)
{
    asio::ip::tcp::socket socket(context);
    socket.connect(
        {asio::ip::make_address(host), static_cast<std::uint16_t>(port)});
    return socket;
}

//! Sets \p closed once the other side has closed the connection.
void watch(asio::ip::tcp::socket& socket, bool& closed)
{
    socket.async_wait(
        asio::socket_base::wait_read,
        [&closed](std::error_code) { closed = true; });
}
} // namespace

TEST_CASE("a large frame is rejected before the handshake")
{
    // Guards against room for a frame whose sender does not know the key.
    using namespace std::chrono_literals;
    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    callback_counts counts;
    const auto port = free_port();
    const auto network = open_network(context, port, counts);
    auto client = connect_to(context, port);
    frame_codec codec("another key");
    frame_header header;
    header.kind = static_cast<std::uint32_t>(frame_kind::hello);
    header.length = 1U << 20U;
    asio::write(client, asio::buffer(codec.seal(header, "")));
    bool closed = false;
    watch(client, closed);
    CHECK(run_until(context, *network, {}, 5s, [&] { return closed; }));
    network->close();
    context.run_for(100ms);
}

TEST_CASE("a connection that stays silent is closed")
{
    using namespace std::chrono_literals;
    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    callback_counts counts;
    const auto port = free_port();
    const auto network = open_network(context, port, counts);
    auto client = connect_to(context, port);
    bool closed = false;
    watch(client, closed);
    CHECK(run_until(context, *network, {}, 10s, [&] { return closed; }));
    network->close();
    context.run_for(100ms);
}
