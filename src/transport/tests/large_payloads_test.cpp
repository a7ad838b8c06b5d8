#include "transport/tests/running_network.hpp"

#include <asio/executor_work_guard.hpp>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::transport;
using namespace std::chrono_literals;

namespace
{
constexpr std::uint64_t call_id = 7;
constexpr std::size_t large_bytes = 3'000'000;

//! A node that counts the memory of the messages that it receives.
struct receiving_node
{
    std::uint64_t limit{UINT64_MAX};
    std::uint64_t held{0};
    std::uint64_t most_held{0};
    int declined{0};
    int up{0};
    std::vector<std::uint64_t> unsent;
    std::vector<frame> frames;
    std::uint32_t port{free_port()};
    std::unique_ptr<peer_network> network;

    explicit receiving_node(asio::io_context& context)
    {
        network_events events;
        events.links.on_up = [this](auto, const auto&) { ++this->up; };
        events.links.on_frame = [this](auto, frame received)
        { this->frames.push_back(std::move(received)); };
        events.links.on_down = [this](auto, const auto& loss)
        { this->unsent = loss.unsent_calls; };
        events.links.on_responsiveness_change = [](auto, const auto&, bool) {};
        events.links.on_rejected = [](auto) {};
        events.links.logical_time = [] { return std::uint64_t{1}; };
        events.links.reserve = [this](auto, std::uint64_t bytes)
        { return this->reserve(bytes); };
        events.links.on_declined = [this](auto, auto, auto call, const auto&)
        { this->declined += call == call_id ? 1 : 0; };
        events.on_datagram = [](const auto&) {};
        schema::hello hello;
        hello.instance = std::to_string(this->port);
        hello.host = host;
        hello.port = this->port;
        auto opened = peer_network::open(
            context, {host, this->port}, "key", hello, std::move(events));
        REQUIRE(opened);
        this->network = std::move(*opened);
    }

    held_memory reserve(std::uint64_t bytes)
    {
        if (this->held + bytes > this->limit)
        {
            return nullptr;
        }
        this->held += bytes;
        this->most_held = std::max(this->most_held, this->held);
        return {this, [this, bytes](void*) { this->held -= bytes; }};
    }
};

outgoing_message large_call(char letter, std::uint64_t call = call_id)
{
    return {
        frame_kind::call, "head", std::string(large_bytes, letter), call,
        nullptr};
}

//! Two connected nodes.
struct node_pair
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        asio::make_work_guard(this->context)};
    receiving_node sender{this->context};
    receiving_node receiver{this->context};
    link_id link{this->sender.network->link_to({host, this->receiver.port})};

    ~node_pair()
    {
        this->sender.network->close();
        this->receiver.network->close();
        this->context.run_for(100ms);
        this->receiver.frames.clear();
        this->sender.frames.clear();
    }

    bool run_until(const std::function<bool()>& done)
    {
        return transport::run_until(
            this->context, *this->sender.network, {}, 10s,
            [&]
            {
                this->sender.network->resume_offers();
                this->receiver.network->resume_offers();
                return done();
            });
    }
};
} // namespace

TEST_CASE("a large payload arrives whole, with its memory")
{
    node_pair nodes;
    nodes.sender.network->send(nodes.link, large_call('a'));
    auto& frames = nodes.receiver.frames;
    REQUIRE(nodes.run_until([&] { return !frames.empty(); }));
    CHECK(frames[0].body == "head");
    CHECK(frames[0].payload == std::string(large_bytes, 'a'));
    CHECK(nodes.receiver.held >= large_bytes);
    frames.clear();
    CHECK(nodes.receiver.held == 0);
}

TEST_CASE("payloads wait for memory instead of exceeding it")
{
    node_pair nodes;
    nodes.receiver.limit = large_bytes + 1000;
    constexpr int count = 4;
    for (int i = 0; i < count; ++i)
    {
        nodes.sender.network->send(nodes.link, large_call('a'));
    }
    int received = 0;
    REQUIRE(nodes.run_until(
        [&]
        {
            received += static_cast<int>(nodes.receiver.frames.size());
            nodes.receiver.frames.clear();
            return received == count;
        }));
    CHECK(nodes.receiver.most_held <= nodes.receiver.limit);
    CHECK(nodes.sender.declined == 0);
}

TEST_CASE("an offer for which there is no memory is declined in the end")
{
    node_pair nodes;
    nodes.receiver.limit = large_bytes / 2;
    nodes.sender.network->send(nodes.link, large_call('a'));
    CHECK(nodes.run_until([&] { return nodes.sender.declined == 1; }));
    CHECK(nodes.receiver.frames.empty());
    CHECK(nodes.receiver.held == 0);
    CHECK(nodes.sender.network->unwritten_count() == 0);
}

TEST_CASE("a withdrawn message does not arrive")
{
    node_pair nodes;
    nodes.receiver.limit = large_bytes / 2;
    nodes.sender.network->send(nodes.link, large_call('a'));
    REQUIRE(nodes.run_until([&] { return nodes.receiver.held > 0; }));
    nodes.sender.network->withdraw(nodes.link, frame_kind::call, call_id);
    CHECK(nodes.run_until([&] { return nodes.receiver.held == 0; }));
    nodes.receiver.limit = UINT64_MAX;
    nodes.sender.network->send(nodes.link, large_call('b'));
    auto& frames = nodes.receiver.frames;
    REQUIRE(nodes.run_until([&] { return !frames.empty(); }));
    CHECK(frames[0].payload[0] == 'b');
}

TEST_CASE("small messages pass between the pieces of a large one")
{
    node_pair nodes;
    REQUIRE(nodes.run_until([&] { return nodes.sender.up == 1; }));
    nodes.sender.network->send(nodes.link, large_call('a'));
    nodes.sender.network->send(nodes.link, frame_kind::document, "small");
    auto& frames = nodes.receiver.frames;
    REQUIRE(nodes.run_until([&] { return frames.size() == 2; }));
    CHECK(frames[0].kind == frame_kind::document);
}

TEST_CASE("two nodes that send to each other do not wait for each other")
{
    node_pair nodes;
    REQUIRE(nodes.run_until([&] { return nodes.receiver.up == 1; }));
    for (auto* node : {&nodes.sender, &nodes.receiver})
    {
        node->limit = large_bytes + 1000;
    }
    const auto back =
        nodes.receiver.network->link_to({host, nodes.sender.port});
    int received = 0;
    for (int i = 0; i < 3; ++i)
    {
        nodes.sender.network->send(nodes.link, large_call('a'));
        nodes.receiver.network->send(back, large_call('b'));
    }
    CHECK(nodes.run_until(
        [&]
        {
            for (auto* node : {&nodes.sender, &nodes.receiver})
            {
                received += static_cast<int>(node->frames.size());
                node->frames.clear();
            }
            return received == 6;
        }));
}

TEST_CASE("a call that waits for its acceptance is unsent when the link ends")
{
    node_pair nodes;
    nodes.receiver.limit = large_bytes / 2;
    nodes.sender.network->send(nodes.link, large_call('a'));
    REQUIRE(nodes.run_until([&] { return nodes.receiver.held > 0; }));
    nodes.receiver.network->close();
    REQUIRE(nodes.run_until([&] { return !nodes.sender.unsent.empty(); }));
    CHECK(nodes.sender.unsent == std::vector<std::uint64_t>{call_id});
}
