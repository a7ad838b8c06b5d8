#pragma once

#include "schema/messages.hpp"
#include "transport/delay_meter.hpp"
#include "transport/frame.hpp"
#include "transport/frame_buffer.hpp"
#include "transport/frame_codec.hpp"
#include "transport/incoming_payloads.hpp"
#include "transport/outgoing_payloads.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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
    //! Reserves memory for what a message of a kind makes this node hold, in
    //! bytes; null if there is no room. Without it there always is.
    std::function<held_memory(frame_kind, std::uint64_t)> reserve;
    //! The peer has no memory for a message, which it did not get. \p call is
    //! the id given to send(), \p body the serialized message.
    std::function<void(
        link_id, frame_kind, std::uint64_t call, const std::string& body)>
        on_declined;
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

    //! Queues a message, to be sent after the handshake. One with a large
    //! payload is sent once the peer has memory for it.
    void send(outgoing_message message);

    //! Drops the message of this kind for this call, if its payload is large
    //! and not sent completely.
    void withdraw(frame_kind kind, std::uint64_t call);

    //! Accepts what the peer has offered as far as there is memory, and
    //! declines offers that have waited too long.
    void resume_offers();

    //! Since when the oldest offer of the peer has waited; nothing if none
    //! waits.
    std::optional<base::time_ms> offers_wait_since() const;

    //! Number of messages not yet written to the socket completely.
    std::size_t unwritten_count() const;

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
    static constexpr std::int64_t never_waiting = INT64_MAX;

    //! A frame that is being written.
    struct written_frame
    {
        header_bytes header;
        std::string body;
        //! Owns \c data.
        base::shared_text payload;
        std::string_view data;
        held_memory held;
    };

    void send_hello();
    void enqueue(outgoing_message message);
    //! Queues a message of this kind about an offer.
    void enqueue_reply(frame_kind kind, std::uint64_t offer);
    void write_next();
    //! Moves queued messages, and one piece of a large payload, to the batch
    //! that is written next.
    void fill_batch();
    void add_to_batch(frame_kind kind, written_frame frame);
    void read_next();
    void on_complete_frame(received_frame received);
    void on_hello(const received_frame& received);
    void deliver(received_frame received, base::duration_ms delay);
    //! Handles the frames of large payloads; false for other frames.
    bool
    on_payload_frame(const received_frame& received, base::duration_ms delay);
    void on_offer(const std::string& body, base::duration_ms delay);
    void on_decline(std::uint64_t offer);
    void on_piece(const received_frame& received);
    void accept_offers();
    void update_offers_wait();
    held_memory reserve(frame_kind kind, std::uint64_t bytes) const;
    void reject(frame_error error);
    void set_unresponsive(bool unresponsive);
    void update_unwritten_count();
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
    std::deque<outgoing_message> queue;
    outgoing_payloads outgoing;
    incoming_payloads incoming;
    std::atomic<std::size_t> unwritten_messages{0};
    //! Milliseconds; never_waiting if no offer waits.
    std::atomic<std::int64_t> oldest_offer{never_waiting};
    //! One write takes all queued messages, up to a bound, since each write
    //! costs a turn of the event loop.
    std::vector<written_frame> batch;
    frame_buffer received;
};
} // namespace bilberrytally::transport
