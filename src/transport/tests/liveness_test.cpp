#include "transport/message_codec.hpp"
#include "transport/peer_network.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <thread>

using namespace bilberrytally;
using namespace bilberrytally::transport;

namespace
{
constexpr const char* host = "127.0.0.1";
constexpr std::uint64_t call_id = 7;

//! Counts the callbacks that the owner of a network received.
struct callback_counts
{
    int up{0};
    int unresponsive{0};
    int responsive_again{0};
    int down{0};
    std::vector<std::uint64_t> unsent;
};

std::uint32_t free_port()
{
    asio::io_context context;
    const asio::ip::tcp::endpoint any(asio::ip::make_address(host), 0);
    const asio::ip::tcp::acceptor probe(context, any);
    return probe.local_endpoint().port();
}

std::unique_ptr<peer_network> open_network(
    asio::io_context& context, std::uint32_t port, callback_counts& counts)
{
    network_events events;
    events.links.on_up = [&counts](auto, const auto&) { ++counts.up; };
    events.links.on_frame = [](auto, const auto&) {};
    events.links.on_down = [&counts](auto, const auto& loss)
    {
        ++counts.down;
        counts.unsent = loss.unsent_calls;
    };
    events.links.on_responsiveness_change =
        [&counts](auto, const auto&, bool unresponsive)
    { ++(unresponsive ? counts.unresponsive : counts.responsive_again); };
    events.links.on_rejected = [](auto) {};
    events.links.logical_time = [] { return std::uint64_t{1}; };
    events.on_datagram = [](const auto&) {};
    schema::hello hello;
    hello.instance = std::to_string(port);
    hello.host = host;
    hello.port = port;
    auto network = peer_network::open(
        context, {host, port}, "key", hello, std::move(events));
    REQUIRE(network);
    return std::move(*network);
}

//! Runs the context until \p done returns true, with a liveness check every
//! 50 ms. Returns false if \p limit passes first.
bool run_until(
    asio::io_context& context, peer_network& network,
    const std::set<link_id>& awaiting, std::chrono::milliseconds limit,
    const std::function<bool()>& done)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done())
    {
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        context.run_for(std::chrono::milliseconds(50));
        context.restart();
        network.check_liveness(awaiting);
    }
    return true;
}
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
    network->send(link, frame_kind::call, "body", call_id);
    CHECK(
        run_until(context, *network, {}, 1s, [&] { return local.down == 1; }));
    CHECK(local.unsent == std::vector<std::uint64_t>{call_id});
    network->close();
    context.run_for(100ms);
}
