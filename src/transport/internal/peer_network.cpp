#include "transport/peer_network.hpp"

#include "base/hash.hpp"
#include "transport/internal/peer_endpoint.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace bilberrytally::transport
{
namespace
{
//! Accepted connections that may be without a complete handshake at a time.
//! For each one more, the oldest of them is closed.
constexpr std::size_t max_handshakes = 256;
//! Pause after a connection could not be accepted, for example since no
//! descriptor is left.
constexpr std::chrono::milliseconds accept_pause{50};
} // namespace

peer_network::peer_network(
    asio::io_context& context, std::string key,
    const schema::hello& local_hello, network_events events)
    : context(context), key(std::move(key)), events(std::move(events)),
      acceptor(context), accept_timer(context),
      datagram_strand(asio::make_strand(context)),
      datagrams(this->datagram_strand),
      datagram_buffer(max_datagram_bytes, '\0'), datagram_codec(this->key)
{
    this->table.with([&](auto& table) { table.local_hello = local_hello; });
    this->tracking_events = this->events.links;
    this->tracking_events.on_up = [this](link_id id, const schema::hello& hello)
    {
        this->table.with(
            [&](auto& table)
            {
                const auto found = table.by_id.find(id);
                if (found != table.by_id.end())
                {
                    found->second.established = true;
                }
                table.handshaking.erase(id);
            });
        this->events.links.on_up(id, hello);
    };
    this->tracking_events.on_responsiveness_change =
        [this](link_id id, const peer_address& peer, bool unresponsive)
    {
        this->table.with(
            [&](auto& table)
            {
                const auto found = table.by_id.find(id);
                if (found != table.by_id.end())
                {
                    found->second.unresponsive = unresponsive;
                }
            });
        this->events.links.on_responsiveness_change(id, peer, unresponsive);
    };
    this->tracking_events.on_down =
        [this](link_id id, const disconnect_info& loss)
    {
        this->table.with(
            [&](auto& table)
            {
                table.handshaking.erase(id);
                const auto found = table.by_id.find(id);
                if (found == table.by_id.end())
                {
                    return;
                }
                const auto known = table.by_address.find(found->second.address);
                if (known != table.by_address.end() && known->second == id)
                {
                    table.by_address.erase(known);
                }
                table.by_id.erase(found);
            });
        this->events.links.on_down(id, loss);
    };
}

base::result<std::unique_ptr<peer_network>> peer_network::open(
    asio::io_context& context, const peer_address& local_address,
    const std::string& key, const schema::hello& local_hello,
    network_events events)
{
    std::unique_ptr<peer_network> network(
        new peer_network(context, key, local_hello, std::move(events)));
    BOOST_LEAF_CHECK(network->listen(local_address));
    network->accept_next();
    network->receive_next();
    return network;
}

base::result<void> peer_network::listen(const peer_address& local_address)
{
    std::error_code error;
    const auto place =
        local_address.host + ":" + std::to_string(local_address.port);
    const auto tcp = endpoint_of<asio::ip::tcp>(local_address, error);
    const auto udp = endpoint_of<asio::ip::udp>(local_address, error);
    if (error)
    {
        return base::fail(place, "expected an IP address");
    }
    const auto run_unless_failed = [&](auto&& step)
    {
        if (!error)
        {
            step();
        }
    };
    run_unless_failed([&] { this->acceptor.open(tcp.protocol(), error); });
    run_unless_failed(
        [&]
        {
            const asio::ip::tcp::acceptor::reuse_address reuse(true);
            this->acceptor.set_option(reuse, error);
        });
    run_unless_failed([&] { this->acceptor.bind(tcp, error); });
    run_unless_failed(
        [&] {
            this->acceptor.listen(
                asio::socket_base::max_listen_connections, error);
        });
    run_unless_failed([&] { this->datagrams.open(udp.protocol(), error); });
    run_unless_failed([&] { this->datagrams.bind(udp, error); });
    if (error)
    {
        return base::fail(place, "cannot listen: " + error.message());
    }
    return {};
}

link_id peer_network::link_to(const peer_address& peer)
{
    std::shared_ptr<peer_link> new_link;
    const auto id = this->table.with(
        [&](auto& table)
        {
            const auto found = table.by_address.find(peer);
            if (found != table.by_address.end())
            {
                return found->second;
            }
            const auto next = table.next_id++;
            new_link = this->make_link(table, peer, next);
            table.by_address.emplace(peer, next);
            return next;
        });
    if (new_link)
    {
        std::error_code error;
        const auto endpoint = endpoint_of<asio::ip::tcp>(peer, error);
        new_link->connect(endpoint);
    }
    return id;
}

bool peer_network::send(link_id id, outgoing_message message)
{
    const auto link = this->find(id);
    if (!link)
    {
        return false;
    }
    if (message.kind != frame_kind::call && message.kind != frame_kind::answer)
    {
        this->sent_control_bytes += frame_header_bytes + message.body.size();
    }
    link->send(std::move(message));
    return true;
}

bool peer_network::send(link_id id, frame_kind kind, std::string body)
{
    return this->send(id, outgoing_message::plain(kind, std::move(body)));
}

void peer_network::withdraw(link_id id, frame_kind kind, std::uint64_t call)
{
    const auto link = this->find(id);
    if (link)
    {
        link->withdraw(kind, call);
    }
}

void peer_network::resume_offers()
{
    std::vector<std::pair<base::time_ms, std::shared_ptr<peer_link>>> waiting;
    this->table.with(
        [&](auto& table)
        {
            for (const auto& [id, item] : table.by_id)
            {
                const auto since = item.link->offers_wait_since();
                if (since)
                {
                    waiting.emplace_back(*since, item.link);
                }
            }
        });
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [since, link] : waiting)
    {
        link->resume_offers();
    }
}

void peer_network::send_to_all(frame_kind kind, const std::string& body)
{
    std::vector<std::shared_ptr<peer_link>> links;
    this->table.with(
        [&](auto& table)
        {
            for (const auto& [id, item] : table.by_id)
            {
                if (item.established)
                {
                    links.push_back(item.link);
                }
            }
        });
    for (const auto& link : links)
    {
        this->sent_control_bytes += frame_header_bytes + body.size();
        link->send(outgoing_message::plain(kind, body));
    }
}

void peer_network::check_liveness(const std::set<link_id>& awaiting_answers)
{
    std::vector<std::pair<link_id, std::shared_ptr<peer_link>>> links;
    this->table.with(
        [&](auto& table)
        {
            for (const auto& [id, item] : table.by_id)
            {
                if (!item.established || item.unresponsive ||
                    awaiting_answers.count(id) != 0)
                {
                    links.emplace_back(id, item.link);
                }
            }
        });
    for (const auto& [id, link] : links)
    {
        link->check_liveness(awaiting_answers.count(id) != 0);
    }
}

std::size_t peer_network::unwritten_count()
{
    return this->table.with(
        [](auto& table)
        {
            std::size_t total = 0;
            for (const auto& [id, item] : table.by_id)
            {
                total += item.established ? item.link->unwritten_count() : 0;
            }
            return total;
        });
}

void peer_network::set_draining(bool draining)
{
    this->table.with([&](auto& table)
                     { table.local_hello.draining = draining; });
}

void peer_network::set_partitioned_ports(std::set<std::uint32_t> ports)
{
    this->table.with(
        [&](auto& table)
        {
            table.partitioned_ports = std::move(ports);
            for (const auto& [id, item] : table.by_id)
            {
                item.link->set_partitioned(
                    table.partitioned_ports.count(item.address.port) != 0);
            }
        });
}

void peer_network::close()
{
    std::error_code ignored;
    this->acceptor.close(ignored);
    this->accept_timer.cancel();
    asio::post(
        this->datagram_strand,
        [this]
        {
            std::error_code unused;
            this->datagrams.close(unused);
        });
    std::vector<std::shared_ptr<peer_link>> links;
    this->table.with(
        [&](auto& table)
        {
            for (const auto& [id, item] : table.by_id)
            {
                links.push_back(item.link);
            }
        });
    for (const auto& link : links)
    {
        link->close();
    }
}

std::uint64_t peer_network::control_bytes() const
{
    return this->sent_control_bytes;
}

void peer_network::accept_next()
{
    this->acceptor.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket accepted)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                this->on_accepted(std::move(accepted));
                this->accept_next();
                return;
            }
            this->accept_timer.expires_after(accept_pause);
            this->accept_timer.async_wait(
                [this](std::error_code stopped)
                {
                    if (!stopped)
                    {
                        this->accept_next();
                    }
                });
        });
}

void peer_network::on_accepted(asio::ip::tcp::socket accepted)
{
    std::shared_ptr<peer_link> oldest;
    const auto link = this->table.with(
        [&](auto& table)
        {
            if (table.handshaking.size() >= max_handshakes)
            {
                const auto oldest_id = *table.handshaking.begin();
                table.handshaking.erase(table.handshaking.begin());
                oldest = table.by_id.at(oldest_id).link;
            }
            const auto id = table.next_id++;
            table.handshaking.insert(id);
            return this->make_link(table, {}, id);
        });
    if (oldest)
    {
        oldest->close();
    }
    link->accept(std::move(accepted));
}

std::shared_ptr<peer_link> peer_network::make_link(
    link_table& table, const peer_address& address, link_id id)
{
    auto hello = table.local_hello;
    hello.session = base::random_bits();
    auto link = std::make_shared<peer_link>(
        this->context, id, this->key, address, std::move(hello),
        this->tracking_events);
    if (table.partitioned_ports.count(address.port) != 0)
    {
        link->set_partitioned(true);
    }
    table.by_id.emplace(id, link_entry{link, address, false, false});
    return link;
}

std::shared_ptr<peer_link> peer_network::find(link_id id)
{
    return this->table.with(
        [&](auto& table)
        {
            const auto found = table.by_id.find(id);
            if (found == table.by_id.end())
            {
                return std::shared_ptr<peer_link>();
            }
            return found->second.link;
        });
}
} // namespace bilberrytally::transport
