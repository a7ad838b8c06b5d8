#include "node/internal/frame_dispatcher.hpp"

#include "node/internal/caller_side.hpp"
#include "node/internal/directory_follower.hpp"
#include "node/internal/document_gossip.hpp"
#include "node/internal/quota_exchange.hpp"
#include "node/internal/target_side.hpp"
#include "transport/message_codec.hpp"

#include <utility>

namespace bilberrytally::node
{
frame_dispatcher::frame_dispatcher(
    node_tables& tables, target_side& inbound_calls,
    caller_side& outbound_calls)
    : tables(tables), inbound_calls(inbound_calls),
      outbound_calls(outbound_calls)
{
}

void frame_dispatcher::set_gossip(document_gossip& gossip)
{
    this->gossip = &gossip;
}

void frame_dispatcher::set_directory(directory_follower& directory)
{
    this->directory = &directory;
}

void frame_dispatcher::set_quota(quota_exchange& quota)
{
    this->quota = &quota;
}

void frame_dispatcher::on_peer_availability(const schema::hello& peer)
{
    const auto now = base::now();
    this->tables.routing.with(
        [&](routing_table& table)
        {
            for (auto& [service, service_targets] : table.services)
            {
                service_targets.on_node_state(
                    peer.host, peer.port, peer.draining, now);
            }
        });
    this->tables.record_event({0, "link_up", 0, 0, peer.instance, ""});
}

template <class Message, class Function>
void frame_dispatcher::decode_and_handle(
    const transport::frame& frame, Function&& function)
{
    auto message = transport::decode<Message>(frame.body);
    if (!message)
    {
        this->tables.record_event(
            {0, "frame_rejected", 0, 0, "", "reason=malformed"});
        return;
    }
    function(std::move(*message));
}

void frame_dispatcher::on_frame(transport::link_id link, transport::frame frame)
{
    using transport::frame_kind;
    this->tables.events.observe(frame.logical_time);
    this->tables.event_loop.on_frame(frame.delay);
    switch (frame.kind)
    {
    case frame_kind::call:
        this->decode_and_handle<schema::call>(
            frame,
            [&](schema::call call)
            {
                call.body = std::move(frame.payload);
                this->on_call(
                    {link, std::move(call), frame.delay,
                     std::move(frame.held)});
            });
        return;
    case frame_kind::answer:
        this->decode_and_handle<schema::answer>(
            frame,
            [&](schema::answer answer)
            {
                answer.body = std::move(frame.payload);
                this->outbound_calls.on_answer(link, std::move(answer));
            });
        return;
    case frame_kind::cancel:
        this->decode_and_handle<schema::cancel>(
            frame,
            [&](const auto& cancel)
            {
                this->inbound_calls.on_cancel(link, cancel);
                if (!cancel.only_waiting)
                {
                    this->outbound_calls.on_home_cancel(link, cancel.id);
                }
            });
        return;
    case frame_kind::crash_report:
        this->decode_and_handle<schema::crash_report>(
            frame, [&](const auto& report)
            { this->inbound_calls.on_crash_report(report); });
        return;
    case frame_kind::crash_query:
        this->decode_and_handle<schema::crash_query>(
            frame, [&](const auto& query)
            { this->inbound_calls.on_crash_query(link, query); });
        return;
    case frame_kind::unanswered_calls:
        this->decode_and_handle<schema::unanswered_calls>(
            frame, [&](const auto& message)
            { this->inbound_calls.on_unanswered_calls(message, frame.delay); });
        return;
    case frame_kind::availability_notice:
        this->decode_and_handle<schema::hello>(
            frame, [&](const auto& peer) { this->on_peer_availability(peer); });
        return;
    default:
        this->on_gossip_frame(link, frame);
    }
}

void frame_dispatcher::on_gossip_frame(
    transport::link_id link, const transport::frame& frame)
{
    using transport::frame_kind;
    if (frame.kind == frame_kind::item_query && this->directory != nullptr)
    {
        this->decode_and_handle<schema::item_query>(
            frame,
            [&](const auto& query) { this->directory->on_query(link, query); });
    }
    else if (frame.kind == frame_kind::item_list && this->directory != nullptr)
    {
        this->decode_and_handle<schema::item_list>(
            frame, [&](const auto& list) { this->directory->on_items(list); });
    }
    else if (frame.kind == frame_kind::document && this->gossip != nullptr)
    {
        this->decode_and_handle<schema::document>(
            frame,
            [&](const auto& document) {
                this->gossip->on_document(document.text, document_source::peer);
            });
    }
    else if (
        frame.kind == frame_kind::bucket_summary && this->gossip != nullptr)
    {
        this->decode_and_handle<schema::summary>(
            frame, [&](const auto& summary)
            { this->gossip->on_summary(link, summary); });
    }
    else if (frame.kind == frame_kind::bucket_ids && this->gossip != nullptr)
    {
        this->decode_and_handle<schema::bucket_ids>(
            frame,
            [&](const auto& ids) { this->gossip->on_bucket_ids(link, ids); });
    }
    else
    {
        this->tables.record_event(
            {0, "frame_rejected", 0, 0, "", "reason=kind"});
    }
}

void frame_dispatcher::on_call(received_call received)
{
    if (received.message.home)
    {
        this->outbound_calls.on_home_call(std::move(received));
        return;
    }
    this->inbound_calls.on_call(std::move(received));
}

void frame_dispatcher::on_declined(
    transport::link_id link, transport::frame_kind kind, std::uint64_t call,
    const std::string& body)
{
    this->tables.record_event({0, "message_declined", 0, call, "", ""});
    if (kind == transport::frame_kind::call)
    {
        this->outbound_calls.on_declined(call);
        return;
    }
    auto answer = transport::decode<schema::answer>(body);
    if (answer)
    {
        this->inbound_calls.replace_answer(link, std::move(*answer));
    }
}

void frame_dispatcher::on_datagram(const transport::frame& frame)
{
    this->tables.events.observe(frame.logical_time);
    if (frame.kind == transport::frame_kind::directory_digest &&
        this->directory != nullptr)
    {
        this->decode_and_handle<schema::directory_digest>(
            frame,
            [&](const auto& digest) { this->directory->on_digest(digest); });
    }
    if (frame.kind == transport::frame_kind::gossip_digest &&
        this->gossip != nullptr)
    {
        this->decode_and_handle<schema::document_digest>(
            frame,
            [&](const auto& digest) { this->gossip->on_digest(digest); });
    }
    if (frame.kind == transport::frame_kind::quota_request &&
        this->quota != nullptr)
    {
        this->decode_and_handle<schema::quota_request>(
            frame,
            [&](const auto& request) { this->quota->on_request(request); });
    }
    if (frame.kind == transport::frame_kind::quota_grant &&
        this->quota != nullptr)
    {
        this->decode_and_handle<schema::quota_grant>(
            frame, [&](const auto& grant) { this->quota->on_grant(grant); });
    }
}
} // namespace bilberrytally::node
