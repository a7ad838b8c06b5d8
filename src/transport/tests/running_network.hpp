#pragma once

#include "transport/message_codec.hpp"
#include "transport/peer_network.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace bilberrytally::transport
{
constexpr const char* host = "127.0.0.1";
//! Counts the callbacks that the owner of a network received.
struct callback_counts
{
    int up{0};
    int frames{0};
    int unresponsive{0};
    int responsive_again{0};
    int down{0};
    std::vector<std::uint64_t> unsent;
};

inline std::uint32_t free_port()
{
    asio::io_context context;
    const asio::ip::tcp::endpoint any(asio::ip::make_address(host), 0);
    const asio::ip::tcp::acceptor probe(context, any);
    return probe.local_endpoint().port();
}

inline std::unique_ptr<peer_network> open_network(
    asio::io_context& context, std::uint32_t port, callback_counts& counts)
{
    network_events events;
    events.links.on_up = [&counts](auto, const auto&) { ++counts.up; };
    events.links.on_frame = [&counts](auto, const auto&) { ++counts.frames; };
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
inline bool run_until(
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
} // namespace bilberrytally::transport
