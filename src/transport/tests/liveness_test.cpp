#include "transport/tests/running_network.hpp"

#include <asio/executor_work_guard.hpp>

#include <doctest/doctest.h>

using namespace bilberrytally;
using namespace bilberrytally::transport;

namespace
{
constexpr std::uint64_t call_id = 7;
} // namespace

TEST_CASE("an unresponsive peer is reported long before it is disconnected")
{
    using namespace std::chrono_literals;
    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    callback_counts local;
    callback_counts remote;
    const auto port = free_port();
    const auto network = open_network(context, free_port(), local);
    const auto peer = open_network(context, port, remote);
    const auto link = network->link_to({host, port});
    REQUIRE(
        run_until(context, *network, {link}, 5s, [&] { return local.up > 0; }));

    network->set_partitioned_ports({port});
    CHECK(run_until(
        context, *network, {link}, 1s,
        [&] { return local.unresponsive == 1; }));
    CHECK(local.down == 0);
    network->set_partitioned_ports({});
    // The partition dropped the first ping. Any frame from the peer shows that
    // it is responsive again.
    peer->send_to_all(frame_kind::ping, {});
    CHECK(run_until(
        context, *network, {link}, 1s,
        [&] { return local.responsive_again == 1; }));

    network->set_partitioned_ports({port});
    CHECK(run_until(
        context, *network, {link}, 4s, [&] { return local.down == 1; }));
    CHECK(local.unresponsive == 2);
    network->close();
    peer->close();
    context.run_for(100ms);
}

TEST_CASE("a connection without handshake is closed and its calls are unsent")
{
    using namespace std::chrono_literals;
    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    // The kernel accepts the connection, but no hello is ever sent.
    asio::ip::tcp::acceptor silent_server(
        context, asio::ip::tcp::endpoint(asio::ip::make_address(host), 0));
    callback_counts local;
    const auto network = open_network(context, free_port(), local);
    const auto link =
        network->link_to({host, silent_server.local_endpoint().port()});
    network->send(link, {frame_kind::call, "body", {}, call_id, nullptr});
    CHECK(
        run_until(context, *network, {}, 1s, [&] { return local.down == 1; }));
    CHECK(local.unsent == std::vector<std::uint64_t>{call_id});
    network->close();
    context.run_for(100ms);
}
