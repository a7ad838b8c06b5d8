#pragma once

#include "schema/messages.hpp"
#include "transport/delay_meter.hpp"
#include "transport/frame.hpp"
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
//! Identifies a connection within the process; never reused.
using link_id = std::uint64_t;

//! Where a node listens.
struct peer_address
{
    std::string host;
    std::uint32_t port{0};

    auto operator<=>(const peer_address&) const = default;
};

//! What a lost connection leaves behind.
struct link_loss
{
    std::string instance;
    //! Where the peer listens; empty where it opened the connection.
    peer_address peer;
    //! The peer had answered the hello.
    bool established{false};
    //! Calls of which no byte was handed to the socket.
    std::vector<std::uint64_t> unsent_calls;
};

//! Calls from a connection to its owner; made on the connection's strand.
struct link_events
{
    std::function<void(link_id, const schema::hello&)> on_up;
    std::function<void(link_id, frame)> on_frame;
    std::function<void(link_id, const link_loss&)> on_down;
    //! The peer does not answer a ping (true), or does again (false).
    std::function<void(link_id, const peer_address&, bool)> on_silent;
    std::function<void(frame_error)> on_rejected;
    std::function<std::uint64_t()> logical_time;
};

//! One TCP connection between two nodes with its frame protocol.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(
        asio::io_context& context, link_id id, const std::string& key,
        peer_address peer, schema::hello own_hello, const link_events& events);

    //! Connects to a peer.
    void connect(const asio::ip::tcp::endpoint& endpoint);
    //! Serves an accepted socket.
    void accept(asio::ip::tcp::socket accepted);

    //! Queues a message; \p call names the call it carries, 0 for none.
    void send(frame_kind kind, std::string body, std::uint64_t call);

    //! Messages that are not yet handed to the system as a whole.
    std::size_t unwritten() const;

    //! Closes the connection; on_down follows.
    void close();

    //! Drops all traffic silently while set; for failure tests.
    void set_cut(bool cut);

    //! Sends a ping if the peer is silent, reports a silence that lasts, and
    //! closes after too long a silence or wait for the connection.
    void check_silence(bool awaiting_answers);

private:
    struct outgoing
    {
        frame_kind kind;
        std::string body;
        std::uint64_t call;
    };

    asio::ip::tcp::socket make_socket();
    void send_hello();
    void enqueue(outgoing message);
    void write_next();
    void read_header();
    void read_body(const frame_header& header);
    void on_whole_frame(const frame_header& header);
    void on_hello(const frame_header& header);
    void deliver(const frame_header& header, base::duration_ms delay);
    void reject(frame_error error);
    void set_silent(bool silent);
    void count_unwritten();
    void lose();

    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::tcp::socket socket;
    link_id id;
    frame_codec codec;
    peer_address peer;
    schema::hello own_hello;
    const link_events& events;
    bool initiator{false};
    bool connected{false};
    bool established{false};
    bool lost{false};
    bool cut{false};
    bool writing{false};
    std::string peer_instance;
    std::uint64_t peer_session{0};
    std::uint64_t next_sent{1};
    std::uint64_t last_received{0};
    base::time_ms last_heard;
    base::time_ms silent_since;
    bool ping_pending{false};
    bool reported_silent{false};
    base::time_ms opened;
    delay_meter delays;
    std::deque<outgoing> queue;
    std::atomic<std::size_t> unwritten_messages{0};
    outgoing in_write;
    header_bytes write_header{};
    header_bytes read_header_bytes{};
    std::string read_body_bytes;
};
} // namespace bilberrytally::transport
