#pragma once

#include "base/error.hpp"
#include "base/guarded.hpp"
#include "transport/peer_link.hpp"

#include <asio/ip/udp.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bilberrytally::transport
{
//! Calls from the network to its owner; made on any worker.
struct network_events
{
    link_events links;
    std::function<void(frame)> on_datagram;
};

//! All connections of a node, addressed by ids, and its datagram socket.
class peer_network
{
public:
    //! Opens the TCP and UDP port of the node.
    static base::result<std::unique_ptr<peer_network>> open(
        asio::io_context& context, const peer_address& own,
        const std::string& key, const schema::hello& own_hello,
        network_events events);

    //! Connection to a peer, opened if there is none.
    link_id link_to(const peer_address& peer);

    //! Queues a message; false if the connection is gone.
    bool
    send(link_id id, frame_kind kind, std::string body, std::uint64_t call = 0);

    //! Queues a message on every established connection.
    void send_to_all(frame_kind kind, const std::string& body);

    void send_datagram(
        const peer_address& peer, frame_kind kind, const std::string& body);

    //! Pings silent connections, \p awaiting says which have open calls, and
    //! closes those that stay silent.
    void check_silence(const std::set<link_id>& awaiting);

    //! Messages on established connections that are not yet handed to the
    //! system as a whole.
    std::size_t unwritten();

    //! Announces draining in the hello of later connections.
    void set_draining(bool draining);

    //! Drops all traffic with peers at these ports; for failure tests.
    void set_cut(std::set<std::uint32_t> ports);

    //! Closes the listener and all connections.
    void close();

    //! Bytes of datagrams and non-call frames sent, for metrics.
    std::uint64_t control_bytes() const;

private:
    struct entry
    {
        std::shared_ptr<peer_link> link;
        peer_address address;
        bool up{false};
        bool silent{false};
    };
    struct link_table
    {
        std::map<link_id, entry> by_id;
        std::map<peer_address, link_id> by_address;
        std::set<std::uint32_t> cut_ports;
        schema::hello own_hello;
        link_id next_id{1};
    };

    peer_network(
        asio::io_context& context, std::string key,
        const schema::hello& own_hello, network_events events);

    base::result<void> listen(const peer_address& own);
    void accept_next();
    void receive_next();
    void on_datagram(std::size_t length);
    std::shared_ptr<peer_link>
    make_link(link_table& table, const peer_address& address, link_id id);
    std::shared_ptr<peer_link> find(link_id id);

    asio::io_context& context;
    std::string key;
    network_events events;
    link_events wrapped;
    asio::ip::tcp::acceptor acceptor;
    asio::strand<asio::io_context::executor_type> datagram_strand;
    asio::ip::udp::socket datagrams;
    asio::ip::udp::endpoint datagram_sender;
    std::string datagram_buffer;
    frame_codec datagram_codec;
    std::atomic<std::uint64_t> sent_control_bytes{0};
    //! Rank 60 in the lock order.
    base::guarded<link_table, 60> table;
};
} // namespace bilberrytally::transport
