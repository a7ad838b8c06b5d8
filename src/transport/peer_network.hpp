#pragma once

#include "base/error.hpp"
#include "base/guarded.hpp"
#include "transport/peer_link.hpp"

#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bilberrytally::transport
{
//! Callbacks from the network to its owner. Invoked from any worker thread.
struct network_events
{
    link_events links;
    //! A datagram that passed all checks was received.
    std::function<void(frame)> on_datagram;
};

//! All connections of a node to its peers, addressed by link ids, and its UDP
//! socket for datagrams. Thread-safe.
class peer_network
{
public:
    //! Listens on the TCP and UDP port of the node at \p local_address. \p key
    //! authenticates all frames; \p local_hello is sent on every connection,
    //! with a session id of its own. Fails if the address is not an IP address
    //! or the port cannot be opened.
    static base::result<std::unique_ptr<peer_network>> open(
        asio::io_context& context, const peer_address& local_address,
        const std::string& key, const schema::hello& local_hello,
        network_events events);

    //! Returns the connection to a peer; starts to connect if there is none.
    link_id link_to(const peer_address& peer);

    //! Queues a message. Returns false if the connection no longer exists.
    bool send(link_id id, outgoing_message message);

    //! Queues a message that carries no call and has no payload.
    bool send(link_id id, frame_kind kind, std::string body);

    //! Drops the message of this kind for this call, if its payload is large
    //! and not sent completely.
    void withdraw(link_id id, frame_kind kind, std::uint64_t call);

    //! Lets the connections accept what their peers have offered as far as
    //! there is memory now, the oldest offers first; to be called periodically.
    void resume_offers();

    //! Queues a message on every established connection.
    void send_to_all(frame_kind kind, const std::string& body);

    //! Sends a datagram without any guarantee of delivery. Datagrams larger
    //! than the limit (1400 bytes with the header) are dropped.
    void send_datagram(
        const peer_address& peer, frame_kind kind, const std::string& body);

    //! Checks the liveness of the connections; to be called periodically.
    //! \p awaiting_answers holds those with calls in flight: they are pinged
    //! when idle, and closed if the ping stays unanswered.
    void check_liveness(const std::set<link_id>& awaiting_answers);

    //! Number of messages on established connections that are not yet written
    //! to their socket completely.
    std::size_t unwritten_count();

    //! Sets the draining flag in the hello of connections made from now on.
    void set_draining(bool draining);

    //! Simulates a network partition, for failure tests: drops datagrams to and
    //! from the peers at these ports, and the frames on connections that this
    //! node opened to them. An empty set ends the partition.
    void set_partitioned_ports(std::set<std::uint32_t> ports);

    //! Closes the listener, the datagram socket and all connections.
    void close();

    //! Bytes of datagrams and of frames other than calls and answers, for
    //! metrics. Frames are counted when queued; hello, ping and pong are not
    //! counted.
    std::uint64_t control_bytes() const;

private:
    //! Largest datagram, including the frame header: below the usual MTU of
    //! 1500 bytes.
    static constexpr std::size_t max_datagram_bytes = 1400;

    //! A connection and its state; established once the handshake is complete.
    struct link_entry
    {
        std::shared_ptr<peer_link> link;
        peer_address address;
        bool established{false};
        bool unresponsive{false};
    };
    struct link_table
    {
        std::map<link_id, link_entry> by_id;
        std::map<peer_address, link_id> by_address;
        //! Accepted connections whose handshake is not complete.
        std::set<link_id> handshaking;
        std::set<std::uint32_t> partitioned_ports;
        schema::hello local_hello;
        link_id next_id{1};
    };

    peer_network(
        asio::io_context& context, std::string key,
        const schema::hello& local_hello, network_events events);

    base::result<void> listen(const peer_address& local_address);
    void accept_next();
    void on_accepted(asio::ip::tcp::socket accepted);
    void receive_next();
    void on_datagram(std::size_t length);
    std::shared_ptr<peer_link>
    make_link(link_table& table, const peer_address& address, link_id id);
    std::shared_ptr<peer_link> find(link_id id);

    asio::io_context& context;
    std::string key;
    network_events events;
    //! Callbacks given to the connections: they update the table, then call
    //! the owner's callbacks.
    link_events tracking_events;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    asio::strand<asio::io_context::executor_type> datagram_strand;
    asio::ip::udp::socket datagrams;
    asio::ip::udp::endpoint datagram_sender;
    std::string datagram_buffer;
    frame_codec datagram_codec;
    std::atomic<std::uint64_t> sent_control_bytes{0};
    //! Lock rank 60.
    base::guarded<link_table, 60> table;
};
} // namespace bilberrytally::transport
