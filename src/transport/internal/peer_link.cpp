#include "transport/peer_link.hpp"

#include "base/time.hpp"
#include "transport/message_codec.hpp"

#include <asio/buffer.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <utility>

namespace bilberrytally::transport
{
namespace
{
//! Largest frame body accepted from a peer. Documents and lists of items are
//! sent as one frame.
constexpr std::size_t max_body_bytes = 16U << 20U;
//! Larger payloads are offered first and sent in pieces.
constexpr std::size_t max_inline_payload_bytes = 64U << 10U;
//! Largest frame body accepted before the handshake, while anybody may have
//! opened the connection.
constexpr std::size_t max_hello_bytes = 4U << 10U;
//! No further message joins a batch of messages of this size.
constexpr std::size_t max_batch_bytes = 64U << 10U;
//! Limit for connecting and completing the handshake.
constexpr base::duration_ms connect_timeout{500};
//! Limit for the first frame of an accepted connection.
constexpr base::duration_ms accept_timeout{2000};
//! A peer from which an answer is awaited is pinged after receiving nothing for
//! this long.
constexpr base::duration_ms ping_after{150};
//! A peer that leaves a ping unanswered this long is reported as unresponsive,
//! so that calls avoid it. Longer than the pause of a process that has used up
//! its CPU quota, and than the retransmission of one lost packet.
constexpr base::duration_ms unresponsive_after{250};
//! A connection on which a ping stays unanswered this long is closed.
constexpr base::duration_ms disconnect_after{1500};
} // namespace

peer_link::peer_link(
    asio::io_context& context, link_id id, const std::string& key,
    peer_address peer, schema::hello local_hello, const link_events& events)
    : strand(asio::make_strand(context)), socket(this->strand), id(id),
      codec(key), peer(std::move(peer)), local_hello(std::move(local_hello)),
      events(events), last_received_at(base::now()),
      created_at(this->last_received_at), received(max_hello_bytes)
{
}

void peer_link::connect(const asio::ip::tcp::endpoint& endpoint)
{
    this->initiator = true;
    auto self = this->shared_from_this();
    asio::post(
        this->strand,
        [self, endpoint]
        {
            self->socket.async_connect(
                endpoint,
                [self](std::error_code error)
                {
                    if (error || self->disconnected)
                    {
                        self->disconnect();
                        return;
                    }
                    self->connected = true;
                    self->socket.set_option(asio::ip::tcp::no_delay(true));
                    self->send_hello();
                    self->read_next();
                });
        });
}

void peer_link::accept(asio::ip::tcp::socket accepted)
{
    auto self = this->shared_from_this();
    const auto protocol = accepted.local_endpoint().protocol();
    const auto handle = accepted.release();
    asio::post(
        this->strand,
        [self, protocol, handle]
        {
            self->socket.assign(protocol, handle);
            self->connected = true;
            self->socket.set_option(asio::ip::tcp::no_delay(true));
            self->read_next();
        });
}

void peer_link::send(outgoing_message message)
{
    auto self = this->shared_from_this();
    // Runs immediately if the strand is idle, without a hop to another worker.
    asio::dispatch(
        this->strand, [self, message = std::move(message)]() mutable
        { self->enqueue(std::move(message)); });
}

void peer_link::withdraw(frame_kind kind, std::uint64_t call)
{
    auto self = this->shared_from_this();
    asio::dispatch(
        this->strand,
        [self, kind, call]
        {
            const auto offer = self->outgoing.find(kind, call);
            if (offer)
            {
                self->outgoing.remove(*offer);
                self->enqueue_reply(frame_kind::payload_withdraw, *offer);
            }
        });
}

void peer_link::close()
{
    auto self = this->shared_from_this();
    asio::post(this->strand, [self] { self->disconnect(); });
}

void peer_link::set_partitioned(bool partitioned)
{
    auto self = this->shared_from_this();
    asio::post(
        this->strand, [self, partitioned] { self->partitioned = partitioned; });
}

void peer_link::check_liveness(bool awaiting_answers)
{
    auto self = this->shared_from_this();
    asio::post(
        this->strand,
        [self, awaiting_answers]
        {
            const auto now = base::now();
            const bool idle = now - self->last_received_at >= ping_after;
            const auto unanswered_for = self->ping_pending
                                            ? now - self->ping_pending_since
                                            : base::duration_ms{0};
            const auto handshake_timeout =
                self->initiator ? connect_timeout : accept_timeout;
            const bool overdue = !self->established &&
                                 now - self->created_at >= handshake_timeout;
            if (unanswered_for >= disconnect_after || overdue)
            {
                self->disconnect();
            }
            else if (unanswered_for >= unresponsive_after)
            {
                self->set_unresponsive(true);
            }
            else if (awaiting_answers && idle && !self->ping_pending)
            {
                self->ping_pending = true;
                self->ping_pending_since = now;
                if (self->established)
                {
                    self->enqueue(outgoing_message::plain(frame_kind::ping));
                }
            }
        });
}

void peer_link::send_hello()
{
    this->queue.push_front(
        outgoing_message::plain(frame_kind::hello, encode(this->local_hello)));
    this->write_next();
}

void peer_link::enqueue(outgoing_message message)
{
    if (this->disconnected)
    {
        if (message.sent_call() != 0)
        {
            this->events.on_down(
                this->id, {this->peer_instance,
                           this->peer,
                           this->established,
                           {message.sent_call()}});
        }
        return;
    }
    if (message.payload.size() > max_inline_payload_bytes)
    {
        const auto offer = this->outgoing.add(std::move(message));
        message =
            outgoing_message::plain(frame_kind::payload_offer, encode(offer));
    }
    this->queue.push_back(std::move(message));
    this->write_next();
    this->update_unwritten_count();
}

void peer_link::enqueue_reply(frame_kind kind, std::uint64_t offer)
{
    this->enqueue(
        outgoing_message::plain(kind, encode(schema::payload_reply{offer})));
}

std::size_t peer_link::unwritten_count() const
{
    return this->unwritten_messages;
}

void peer_link::update_unwritten_count()
{
    this->unwritten_messages = this->queue.size() + this->outgoing.size() +
                               (this->writing ? this->batch.size() : 0);
}

void peer_link::write_next()
{
    if (this->writing || !this->connected)
    {
        return;
    }
    this->fill_batch();
    if (this->batch.empty())
    {
        return;
    }
    this->writing = true;
    std::vector<asio::const_buffer> buffers;
    for (const auto& frame : this->batch)
    {
        buffers.push_back(asio::buffer(frame.header));
        buffers.push_back(asio::buffer(frame.body));
        buffers.push_back(asio::buffer(frame.data));
    }
    auto self = this->shared_from_this();
    asio::async_write(
        this->socket, buffers,
        [self](std::error_code error, std::size_t)
        {
            self->writing = false;
            if (error || self->disconnected)
            {
                self->disconnect();
                return;
            }
            self->write_next();
            self->update_unwritten_count();
        });
}

void peer_link::fill_batch()
{
    this->batch.clear();
    std::size_t batch_bytes = 0;
    while (!this->queue.empty() && batch_bytes < max_batch_bytes)
    {
        auto& message = this->queue.front();
        if (!this->established && message.kind != frame_kind::hello)
        {
            return;
        }
        batch_bytes += message.body.size() + message.payload.size();
        const std::string_view data = message.payload;
        this->add_to_batch(
            message.kind, {{},
                           std::move(message.body),
                           std::move(message.payload),
                           data,
                           std::move(message.held)});
        this->queue.pop_front();
    }
    // Behind the other messages, so that these do not wait for all pieces.
    if (auto piece = this->outgoing.next_piece())
    {
        this->add_to_batch(
            frame_kind::payload_piece,
            {{},
             encode(schema::payload_piece{piece->id, {}}),
             std::move(piece->payload),
             piece->data,
             std::move(piece->held)});
    }
}

void peer_link::add_to_batch(frame_kind kind, written_frame frame)
{
    if (this->partitioned)
    {
        return;
    }
    const frame_header header{
        static_cast<std::uint32_t>(kind),
        static_cast<std::uint32_t>(frame.body.size() + frame.data.size()),
        static_cast<std::uint32_t>(frame.data.size()),
        this->next_sequence++,
        this->peer_session,
        base::now().count,
        this->events.logical_time()};
    frame.header = this->codec.seal(header, frame.body, frame.data);
    this->batch.push_back(std::move(frame));
}

void peer_link::read_next()
{
    auto self = this->shared_from_this();
    const auto space = this->received.free_space();
    this->socket.async_read_some(
        asio::buffer(space.data(), space.size()),
        [self](std::error_code error, std::size_t count)
        {
            if (error || self->disconnected)
            {
                self->disconnect();
                return;
            }
            self->received.commit(count);
            while (auto frame = self->received.next())
            {
                self->on_complete_frame(std::move(*frame));
                if (self->disconnected)
                {
                    return;
                }
            }
            if (self->received.error() != frame_error::none)
            {
                self->reject(self->received.error());
                return;
            }
            self->read_next();
        });
}

void peer_link::on_complete_frame(received_frame received)
{
    const auto& header = received.header;
    const auto problem = this->codec.verify(
        received.header_as_sent, received.body, received.payload);
    if (problem != frame_error::none)
    {
        this->reject(problem);
        return;
    }
    const auto now = base::now();
    if (this->partitioned)
    {
        this->last_received_sequence = header.sequence;
        return;
    }
    if (!this->established)
    {
        this->on_hello(received);
        return;
    }
    if (header.session != this->local_hello.session ||
        header.sequence <= this->last_received_sequence)
    {
        this->events.on_rejected(frame_error::replayed);
        return;
    }
    this->last_received_sequence = header.sequence;
    this->last_received_at = now;
    this->ping_pending = false;
    this->set_unresponsive(false);
    const auto delay = this->delays.measure(header.sent_at, now);
    this->deliver(std::move(received), delay);
}

void peer_link::on_hello(const received_frame& received)
{
    const auto& header = received.header;
    const auto hello = decode<schema::hello>(received.body);
    const bool is_hello =
        header.kind == static_cast<std::uint32_t>(frame_kind::hello);
    const auto expected_session =
        this->initiator ? this->local_hello.session : 0;
    if (!is_hello || !hello || header.session != expected_session)
    {
        this->reject(frame_error::malformed);
        return;
    }
    this->last_received_sequence = header.sequence;
    this->peer_session = hello->session;
    this->peer_instance = hello->instance;
    this->delays.measure(header.sent_at, base::now());
    if (!this->initiator)
    {
        this->send_hello();
    }
    this->established = true;
    this->received.set_max_body(max_body_bytes);
    this->events.on_up(this->id, *hello);
    this->write_next();
}

void peer_link::deliver(received_frame received, base::duration_ms delay)
{
    const auto kind = static_cast<frame_kind>(received.header.kind);
    if (kind == frame_kind::ping)
    {
        this->enqueue(outgoing_message::plain(frame_kind::pong));
        return;
    }
    if (kind == frame_kind::pong || this->on_payload_frame(received, delay))
    {
        return;
    }
    this->events.on_frame(
        this->id, {kind, std::move(received.body), std::move(received.payload),
                   delay, received.header.logical_time, nullptr});
}

void peer_link::reject(frame_error error)
{
    this->events.on_rejected(error);
    this->disconnect();
}

void peer_link::set_unresponsive(bool unresponsive)
{
    if (this->reported_unresponsive != unresponsive)
    {
        this->reported_unresponsive = unresponsive;
        this->events.on_responsiveness_change(
            this->id, this->peer, unresponsive);
    }
}

void peer_link::disconnect()
{
    if (this->disconnected)
    {
        return;
    }
    this->disconnected = true;
    std::error_code ignored;
    this->socket.close(ignored);
    disconnect_info loss{
        this->peer_instance, this->peer, this->established,
        this->outgoing.sent_calls()};
    for (const auto& message : this->queue)
    {
        if (message.sent_call() != 0)
        {
            loss.unsent_calls.push_back(message.sent_call());
        }
    }
    this->queue.clear();
    this->outgoing.clear();
    this->incoming.clear();
    this->update_offers_wait();
    this->writing = false;
    this->update_unwritten_count();
    this->events.on_down(this->id, loss);
}
} // namespace bilberrytally::transport
