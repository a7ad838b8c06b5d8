#include "transport/message_codec.hpp"
#include "transport/peer_link.hpp"

#include <utility>

// The part of peer_link that receives large payloads.
namespace bilberrytally::transport
{
namespace
{
//! Largest payload that may be offered.
constexpr std::uint64_t max_payload_bytes = 80U << 20U;
//! Offers of a peer that may wait at a time; more are declined at once.
constexpr std::size_t max_waiting_offers = 16;
//! An offer that has waited this long for memory is declined, so that the
//! sender can do without.
constexpr base::duration_ms max_offer_wait{1000};
} // namespace

void peer_link::resume_offers()
{
    auto self = this->shared_from_this();
    asio::dispatch(
        this->strand,
        [self]
        {
            const auto now = base::now();
            const auto* first = self->incoming.first_waiting();
            while (first != nullptr && now - first->offered_at > max_offer_wait)
            {
                const auto id = self->incoming.first_waiting_id();
                self->incoming.remove(id);
                self->enqueue_reply(frame_kind::payload_decline, id);
                first = self->incoming.first_waiting();
            }
            self->accept_offers();
        });
}

std::optional<base::time_ms> peer_link::offers_wait_since() const
{
    const auto since = this->oldest_offer.load();
    return since == never_waiting ? std::nullopt
                                  : std::optional(base::time_ms{since});
}

bool peer_link::on_payload_frame(
    const received_frame& received, base::duration_ms delay)
{
    const auto kind = static_cast<frame_kind>(received.header.kind);
    switch (kind)
    {
    case frame_kind::payload_offer:
        this->on_offer(received.body, delay);
        return true;
    case frame_kind::payload_piece:
        this->on_piece(received);
        return true;
    case frame_kind::payload_accept:
    case frame_kind::payload_decline:
    case frame_kind::payload_withdraw:
        break;
    default:
        return false;
    }
    const auto reply = decode<schema::payload_reply>(received.body);
    if (!reply)
    {
        this->reject(frame_error::malformed);
        return true;
    }
    if (kind == frame_kind::payload_accept)
    {
        this->outgoing.accept(reply->id);
        this->write_next();
    }
    else if (kind == frame_kind::payload_decline)
    {
        this->on_decline(reply->id);
    }
    else
    {
        this->incoming.remove(reply->id);
        this->update_offers_wait();
    }
    return true;
}

void peer_link::on_offer(const std::string& body, base::duration_ms delay)
{
    auto offer = decode<schema::payload_offer>(body);
    if (!offer || offer->size > max_payload_bytes)
    {
        this->reject(offer ? frame_error::oversize : frame_error::malformed);
        return;
    }
    const auto kind = static_cast<frame_kind>(offer->kind);
    auto held = this->reserve(kind, offer->message.size());
    if (!held || this->incoming.waiting_count() >= max_waiting_offers)
    {
        this->enqueue_reply(frame_kind::payload_decline, offer->id);
        return;
    }
    incoming_payloads::message offered;
    offered.kind = kind;
    offered.body = std::move(offer->message);
    offered.size = offer->size;
    offered.offered_at = base::now();
    offered.delay = delay;
    offered.held = std::move(held);
    if (!this->incoming.add(offer->id, std::move(offered)))
    {
        this->reject(frame_error::replayed);
        return;
    }
    this->accept_offers();
}

void peer_link::accept_offers()
{
    const auto* first = this->incoming.first_waiting();
    while (first != nullptr)
    {
        auto held =
            this->reserve(first->kind, first->size + first->body.size());
        if (!held)
        {
            break;
        }
        const auto id = this->incoming.first_waiting_id();
        this->incoming.accept_first(std::move(held));
        this->enqueue_reply(frame_kind::payload_accept, id);
        first = this->incoming.first_waiting();
    }
    this->update_offers_wait();
}

void peer_link::on_decline(std::uint64_t offer)
{
    const auto declined = this->outgoing.remove(offer);
    this->update_unwritten_count();
    if (declined)
    {
        this->events.on_declined(
            this->id, declined->kind, declined->call, declined->body);
    }
}

void peer_link::on_piece(const received_frame& received)
{
    const auto piece = decode<schema::payload_piece>(received.body);
    bool valid = false;
    auto complete =
        piece ? this->incoming.add_piece(piece->id, received.payload, valid)
              : std::nullopt;
    if (!valid)
    {
        this->reject(frame_error::malformed);
        return;
    }
    if (!complete)
    {
        return;
    }
    // The time since the offer counts as spent on the way.
    const auto delay = complete->delay + (base::now() - complete->offered_at);
    this->events.on_frame(
        this->id, {complete->kind, std::move(complete->body),
                   std::move(complete->payload), delay,
                   received.header.logical_time, std::move(complete->held)});
}

void peer_link::update_offers_wait()
{
    const auto* first = this->incoming.first_waiting();
    this->oldest_offer =
        first == nullptr ? never_waiting : first->offered_at.count;
}

held_memory peer_link::reserve(frame_kind kind, std::uint64_t bytes) const
{
    return this->events.reserve ? this->events.reserve(kind, bytes)
                                : std::make_shared<std::uint64_t>(bytes);
}
} // namespace bilberrytally::transport
