#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "node/internal/caller_side.hpp"
#include "node/internal/frame_dispatcher.hpp"
#include "node/internal/quota_exchange.hpp"
#include "node/internal/target_side.hpp"
#include "transport/message_codec.hpp"
#include "transport/tests/running_network.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::node;

namespace
{
constexpr double rate_per_s = 600;
constexpr double burst = 60;
//! Time within which the nodes must have done what a test waits for.
constexpr std::chrono::seconds time_limit{20};
//! Largest datagram, with its header.
constexpr std::size_t max_datagram_bytes = 1400;

//! A backend server that is never called.
class idle_client : public http::http_client
{
public:
    std::uint64_t start(http::transfer_request, http::transfer_handler) override
    {
        return 0;
    }
    void cancel(std::uint64_t) override
    {
    }
    std::uint64_t held_bytes() const override
    {
        return 0;
    }
    void set_connections_per_host(std::uint32_t) override
    {
    }
};

schema::node_settings
make_settings(const std::string& address, std::uint32_t port)
{
    schema::node_settings settings;
    settings.node.instance = address;
    settings.node.service = "s";
    settings.node.address = address;
    settings.node.node_port = port;
    settings.node.zone = address;
    settings.platform.store = "127.0.0.1:1";
    // Holders start after 0.4 s.
    settings.fleet.apply_s = 0.25;
    return settings;
}

std::shared_ptr<const directory::workspace> make_workspace()
{
    directory::workspace result;
    result.name = "team-a";
    result.rate_per_s = rate_per_s;
    result.burst = burst;
    return std::make_shared<const directory::workspace>(result);
}

//! The parts of a node that exchange tokens.
struct quota_member
{
    quota_member(
        asio::io_context& context, const std::string& address,
        std::uint32_t port)
        : tables(context, make_settings(address, port), port),
          inbound(this->tables, std::make_unique<idle_client>()),
          outbound(this->tables, this->inbound),
          frames(this->tables, this->inbound, this->outbound),
          quota(this->tables, [this] { return this->age; })
    {
        this->frames.set_quota(this->quota);
        schema::hello hello;
        hello.instance = address;
        hello.host = address;
        hello.port = port;
        transport::network_events events;
        events.links.on_rejected = [](auto) {};
        events.links.logical_time = [] { return std::uint64_t{1}; };
        events.on_datagram = [this](const auto& frame)
        {
            this->largest = std::max(
                this->largest,
                frame.body.size() + transport::frame_header_bytes);
            this->frames.on_datagram(frame);
        };
        auto opened = transport::peer_network::open(
            context, {address, port}, "key", hello, std::move(events));
        REQUIRE(opened);
        this->network = std::move(*opened);
        this->quota.set_network(*this->network);
        this->quota.apply_workspaces({*make_workspace()});
    }

    node_tables tables;
    target_side inbound;
    caller_side outbound;
    frame_dispatcher frames;
    std::optional<base::duration_ms> age{base::duration_ms{0}};
    std::size_t largest{0};
    quota_exchange quota;
    std::unique_ptr<transport::peer_network> network;
};

//! Nodes on loopback addresses, each in an availability zone of its own.
struct quota_fleet
{
    explicit quota_fleet(std::size_t count)
    {
        std::vector<quota_node> nodes;
        for (std::size_t i = 0; i < count; ++i)
        {
            const auto address = "127.0.0." + std::to_string(i + 1);
            nodes.push_back({address, address, false, 1});
            this->members.push_back(std::make_unique<quota_member>(
                this->context, address, this->port));
        }
        for (auto& member : this->members)
        {
            member->quota.apply_nodes(nodes);
        }
        this->slots.apply(nodes, {0});
    }

    //! Ticks the running nodes until \p done returns true.
    bool run_until(const std::function<bool()>& done)
    {
        const auto end = std::chrono::steady_clock::now() + time_limit;
        while (!done())
        {
            if (std::chrono::steady_clock::now() >= end)
            {
                return false;
            }
            for (auto& member : this->members)
            {
                if (member->network)
                {
                    member->quota.tick(base::now());
                }
            }
            this->context.run_for(std::chrono::milliseconds(10));
            this->context.restart();
        }
        return true;
    }

    void offer(std::size_t index, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->members[index]->quota.acquire(
                make_workspace(),
                [this](const quota_decision& decision)
                {
                    ++(decision.granted ? this->granted : this->refused);
                    this->unavailable += decision.unavailable ? 1 : 0;
                    this->no_time +=
                        !decision.granted && decision.retry_after.count <= 0
                            ? 1
                            : 0;
                });
        }
    }

    //! Slots that a node holds.
    std::size_t slots_of(std::size_t index)
    {
        std::size_t result = 0;
        for (std::uint32_t slot = 0; slot < decisions::quota_slot_count; ++slot)
        {
            result += this->slots.holder(
                          decisions::quota_id(make_workspace()->name), slot) ==
                              this->members[index]->tables.settings.node.address
                          ? 1
                          : 0;
        }
        return result;
    }

    //! Offers requests at the first node until the count has been granted.
    bool run_until_granted(std::size_t count)
    {
        return this->run_until(
            [&]
            {
                if (this->granted >= count)
                {
                    return true;
                }
                this->offer(0, 1);
                return false;
            });
    }

    asio::io_context context;
    std::uint32_t port{transport::free_port()};
    decisions::quota_slots slots{"", "", {0}};
    std::vector<std::unique_ptr<quota_member>> members;
    std::size_t granted{0};
    std::size_t refused{0};
    std::size_t unavailable{0};
    std::size_t no_time{0};
};

//! Tokens that so many slots can have granted since a time.
double tokens_of(std::size_t slots, base::time_ms since)
{
    const decisions::quota_limit limit{0, rate_per_s, burst};
    const auto seconds =
        static_cast<double>((base::now() - since).count) / 1000;
    return static_cast<double>(slots) *
           (limit.slot_capacity() + seconds * limit.slot_rate_per_s());
}
} // namespace

TEST_CASE("three nodes grant each other tokens, and not more than the quota")
{
    quota_fleet fleet(3);
    const auto start = base::now();
    // New holders wait first: no request is granted, and each is told that the
    // quota is not the reason.
    REQUIRE(fleet.run_until_granted(1));
    CHECK(base::now() - start >= base::duration_ms{400});
    CHECK(fleet.unavailable > 0);
    while (fleet.granted < 300)
    {
        fleet.offer(0, 20);
        fleet.offer(1, 20);
        fleet.offer(2, 20);
        REQUIRE(base::now() - start < base::duration_ms{20000});
        fleet.run_until([first = true]() mutable
                        { return !std::exchange(first, false); });
    }
    CHECK(
        static_cast<double>(fleet.granted) <=
        tokens_of(decisions::quota_slot_count, start));
    CHECK(fleet.no_time == 0);
}

TEST_CASE("a killed holder costs only its slots")
{
    quota_fleet fleet(3);
    REQUIRE(fleet.run_until_granted(1));
    std::size_t killed = 1;
    if (fleet.slots_of(killed) == 0)
    {
        killed = 2;
    }
    const auto left = decisions::quota_slot_count - fleet.slots_of(killed);
    REQUIRE(left > 0);
    REQUIRE(left < decisions::quota_slot_count);
    fleet.members[killed]->network.reset();
    // Lets tokens of the killed node expire.
    const auto killed_at = base::now();
    fleet.run_until(
        [&] { return base::now() - killed_at > base::duration_ms{600}; });
    fleet.granted = 0;
    CHECK(fleet.run_until_granted(200));
    const auto answers = fleet.granted + fleet.refused;
    fleet.offer(0, 1000);
    CHECK(fleet.run_until(
        [&] { return fleet.granted + fleet.refused >= answers + 1000; }));
    CHECK(
        static_cast<double>(fleet.granted) <=
        tokens_of(left, killed_at - base::duration_ms{600}));
}

TEST_CASE("nodes without a proof grant no tokens")
{
    quota_fleet fleet(2);
    REQUIRE(fleet.run_until_granted(1));
    for (auto& member : fleet.members)
    {
        member->age.reset();
    }
    const auto lost_at = base::now();
    fleet.run_until([&]
                    { return base::now() - lost_at > base::duration_ms{800}; });
    fleet.granted = 0;
    fleet.unavailable = 0;
    fleet.offer(0, 20);
    CHECK(fleet.run_until([&] { return fleet.unavailable >= 20; }));
    CHECK(fleet.granted == 0);
}

TEST_CASE("what is asked of one node is split into datagrams")
{
    quota_fleet fleet(2);
    std::vector<directory::workspace> workspaces;
    for (int i = 0; i < 300; ++i)
    {
        auto workspace = *make_workspace();
        workspace.name += std::to_string(i);
        workspaces.push_back(workspace);
    }
    for (auto& member : fleet.members)
    {
        member->quota.apply_workspaces(workspaces);
    }
    std::size_t granted = 0;
    CHECK(fleet.run_until(
        [&]
        {
            if (granted >= 2 * workspaces.size())
            {
                return true;
            }
            for (const auto& workspace : workspaces)
            {
                fleet.members[0]->quota.acquire(
                    std::make_shared<const directory::workspace>(workspace),
                    [&](const quota_decision& decision)
                    { granted += decision.granted ? 1 : 0; });
            }
            return false;
        }));
    CHECK(fleet.members[0]->largest > max_datagram_bytes / 2);
    CHECK(fleet.members[0]->largest <= max_datagram_bytes);
    CHECK(fleet.members[1]->largest <= max_datagram_bytes);
}

TEST_CASE("the use by workspace has a bounded number of labels")
{
    metrics node_metrics;
    node_metrics.set_workspace_use({{"a", 1, 2}, {"b", 3, 4}});
    node_metrics.set_workspace_use({{"c", 5, 0}});
    const auto text = node_metrics.expose();
    CHECK(text.find("workspace=\"c\"") != std::string::npos);
    CHECK(text.find("workspace=\"a\"") == std::string::npos);
}
