#include "transport/frame_buffer.hpp"
#include "transport/frame_codec.hpp"
#include "transport/tests/running_network.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace bilberrytally;
using namespace bilberrytally::transport;

namespace
{
constexpr std::size_t max_body = 1U << 20U;

//! Feeds \p bytes in pieces of at most \p piece bytes; returns the bodies.
std::vector<std::string>
split(frame_buffer& buffer, const std::string& bytes, std::size_t piece)
{
    std::vector<std::string> bodies;
    for (std::size_t at = 0; at < bytes.size();)
    {
        const auto space = buffer.free_space();
        const auto count = std::min({piece, bytes.size() - at, space.size()});
        std::copy_n(bytes.data() + at, count, space.data());
        buffer.commit(count);
        at += count;
        while (auto frame = buffer.next())
        {
            bodies.push_back(frame->body + frame->payload);
        }
    }
    return bodies;
}

std::string
serialize(frame_codec& codec, const std::vector<std::string>& bodies)
{
    std::string bytes;
    for (const auto& body : bodies)
    {
        frame_header header;
        header.length = static_cast<std::uint32_t>(body.size());
        // Any part of the body may be the payload.
        header.payload = header.length / 3 * 2;
        const std::string_view whole = body;
        const auto body_size = header.length - header.payload;
        const auto sealed = codec.seal(
            header, whole.substr(0, body_size), whole.substr(body_size));
        bytes.append(sealed.begin(), sealed.end()).append(body);
    }
    return bytes;
}
} // namespace

TEST_CASE("frames are split the same however the bytes arrive")
{
    frame_codec codec("key");
    const bool held = rc::check(
        "frames in pieces",
        [&]
        {
            const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::element<std::size_t>(
                    0, 1, 700, 5000, 16312, 16313, 40000));
            const auto piece = *rc::gen::inRange<std::size_t>(1, 30000);
            std::vector<std::string> bodies;
            for (const auto size : sizes)
            {
                bodies.emplace_back(
                    size, static_cast<char>('a' + bodies.size() % 20));
            }
            frame_buffer buffer(max_body);
            RC_ASSERT(split(buffer, serialize(codec, bodies), piece) == bodies);
            RC_ASSERT(buffer.error() == frame_error::none);
        });
    CHECK(held);
}

TEST_CASE("a frame above the maximum is an error, not an allocation")
{
    frame_codec codec("key");
    frame_header header;
    header.length = max_body + 1;
    const auto sealed = codec.seal(header, "");
    frame_buffer buffer(max_body);
    CHECK(split(buffer, {sealed.begin(), sealed.end()}, 10).empty());
    CHECK(buffer.error() == frame_error::oversize);
}

TEST_CASE("a burst of calls takes few turns of the event loop")
{
    constexpr int burst = 1000;
    asio::io_context context;
    callback_counts local;
    callback_counts remote;
    const auto port = free_port();
    const auto network = open_network(context, free_port(), local);
    const auto peer = open_network(context, port, remote);
    const auto link = network->link_to({host, port});
    const auto limit = std::chrono::seconds(5);
    REQUIRE(run_until(
        context, *network, {link}, limit, [&] { return local.up > 0; }));
    const std::string body(700, 'b');
    for (int i = 0; i < burst; ++i)
    {
        network->send(link, frame_kind::call, body);
    }
    // All workers do here is done in this thread, one handler a turn.
    int turns = 0;
    while (remote.frames < burst && context.run_one_for(limit) == 1)
    {
        ++turns;
    }
    CHECK(remote.frames == burst);
    CHECK(turns < burst / 2);
    network->close();
    peer->close();
    context.run_for(std::chrono::milliseconds(100));
}
