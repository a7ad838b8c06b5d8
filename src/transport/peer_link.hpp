#pragma once

#include "schema/messages.hpp"
#include "transport/delay_meter.hpp"
#include "transport/frame.hpp"
#include "transport/frame_buffer.hpp"
#include "transport/frame_codec.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberrytally::transport
{
//! Identifies a connection within this process; never reused.
using link_id = std::uint64_t;

//! Address and port where a node listens for its peers.
struct peer_address
{
    //! IP address.
    std::string host;
    std::uint32_t port{0};

    auto operator<=>(const peer_address&) const = default;
};

//! Describes a connection that has ended.
struct disconnect_info
{
    //! Instance of the peer; empty if no hello was received.
    std::string instance;
    //! Where the peer listens; empty if the peer opened the connection.
    peer_address peer;
    //! The handshake was complete: the peer's hello had been received.
    bool established{false};
    //! Ids of the calls of which no byte was handed to the socket.
    std::vector<std::uint64_t> unsent_calls;
};

//! Callbacks from a connection to its owner. Invoked on the connection's
//! strand, from any worker thread.
struct link_events
{
    //! The handshake is complete; passes the peer's hello.
    std::function<void(link_id, const schema::hello&)> on_up;
    //! A frame other than hello, ping and pong was received.
    std::function<void(link_id, frame)> on_frame;
    //! The connection has ended or could not be opened. Called again for each
    //! call sent on a connection that has already ended.
    std::function<void(link_id, const disconnect_info&)> on_down;
    //! The peer became unresponsive (true) or responsive again (false).
    std::function<void(link_id, const peer_address&, bool)>
        on_responsiveness_change;
    //! A received frame was rejected.
    std::function<void(frame_error)> on_rejected;
    //! Returns the next time of the hybrid logical clock, to stamp a frame.
    std::function<std::uint64_t()> logical_time;
};

//! One TCP connection between two nodes, with handshake, sequence numbers and
//! liveness checks. Thread-safe: public members post to the strand.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    //! \p peer is the address to connect to, empty for an accepted connection.
    //! \p key authenticates the frames; \p events must outlive the connection.
    peer_link(
        asio::io_context& context, link_id id, const std::string& key,
        peer_address peer, schema::hello local_hello,
        const link_events& events);

    //! Connects to a peer and starts the handshake.
    void connect(const asio::ip::tcp::endpoint& endpoint);
    //! Takes over an accepted socket and waits for the peer's hello.
    void accept(asio::ip::tcp::socket accepted);

    //! Queues a message, to be sent after the handshake. \p call is the id of
    //! the call that it carries, 0 if none.
    void send(frame_kind kind, std::string body, std::uint64_t call);

    //! Number of messages not yet written to the socket completely.
    std::size_t unwritten_count() const;

    //! Bytes of their bodies.
    std::uint64_t unwritten_bytes() const;

    //! Closes the connection; on_down follows.
    void close();

    //! Simulates a network partition, for failure tests: while set, drops all
    //! frames in both directions without closing the connection.
    void set_partitioned(bool partitioned);

    //! Checks that the peer still responds; to be called periodically. If
    //! answers are awaited and nothing was received for a while, sends a ping.
    //! If the ping stays unanswered, first reports the peer as unresponsive,
    //! then closes the connection. Also closes a connection whose handshake
    //! takes too long.
    void check_liveness(bool awaiting_answers);

private:
    //! A message to send; call is the id of the call it carries, 0 if none.
    struct outgoing
    {
        frame_kind kind;
        std::string body;
        std::uint64_t call;
    };

    void send_hello();
    void enqueue(outgoing message);
    void write_next();
    //! Moves queued messages to the batch that is written next.
    void fill_batch();
    void read_next();
    void on_complete_frame(received_frame received);
    void on_hello(const received_frame& received);
    void deliver(received_frame received, base::duration_ms delay);
    void reject(frame_error error);
    void set_unresponsive(bool unresponsive);
    void update_unwritten_count();
    //! Removes the messages that were written.
    void clear_batch();
    void disconnect();

    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::tcp::socket socket;
    link_id id;
    frame_codec codec;
    peer_address peer;
    schema::hello local_hello;
    const link_events& events;
    bool initiator{false};
    bool connected{false};
    bool established{false};
    bool disconnected{false};
    bool partitioned{false};
    bool writing{false};
    std::string peer_instance;
    std::uint64_t peer_session{0};
    std::uint64_t next_sequence{1};
    std::uint64_t last_received_sequence{0};
    base::time_ms last_received_at;
    base::time_ms ping_pending_since;
    bool ping_pending{false};
    bool reported_unresponsive{false};
    base::time_ms created_at;
    delay_meter delays;
    std::deque<outgoing> queue;
    std::atomic<std::size_t> unwritten_messages{0};
    std::atomic<std::uint64_t> unwritten_body_bytes{0};
    //! Messages in write with their headers. One write takes all queued
    //! messages, up to a bound, since each write costs a turn of the event
    //! loop.
    std::vector<outgoing> batch;
    std::vector<header_bytes> batch_headers;
    frame_buffer received;
};
} // namespace bilberrytally::transport
